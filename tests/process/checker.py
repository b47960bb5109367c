"""Judges what callers got against what the targets did."""

LEAVE_MS = 3000  # after this a leaving target gets no new work
READ_ONLY = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")


def check(records, audits, leaves=None, planned=False, lost=False):
    """Violations of the promises, a line each.

    RECORDS are the callers', AUDITS the targets'; one with "cut" was taken
    before the target was killed and may lack its last work.  LEAVES has the
    time of each target's notice.  PLANNED: all stops were planned ones.  LOST:
    engines died without an audit."""
    generations = [r for r in records if r["kind"] == "generation"]
    calls = [r for r in records if r["kind"] == "call"]
    engines = [a for a in audits if a["kind"] == "engine"]
    services = [a for a in audits if a["kind"] == "service"]
    found = []
    for record in generations:
        found += _check_tokens(record)
        found += _check_own(record, engines, lost)
    found += _check_shared(generations)
    found += _check_not_generated(generations, engines)
    found += _check_calls(calls, services)
    found += _check_leaves(audits, leaves or {})
    if planned:
        found += _check_planned(records)
    return found


def _name(record):
    return record.get("mark") or record["path"]


def _parts(token):
    """(boot, id, index) that a token's text names, or None."""
    parts = token.removesuffix(" ").split("-")
    if len(parts) != 3 or not token.endswith(" ") or not parts[2].isdigit():
        return None
    return parts[0], parts[1], int(parts[2])


def _check_tokens(record):
    """P1: once, in order, of one generation; complete only with the total."""
    name = _name(record)
    tokens = record["tokens"]
    found = []
    offsets = [offset for _, offset, _ in tokens]
    if offsets != list(range(len(offsets))):
        found.append(f"P1 {name}: offsets are not 0, 1, ...")
    named = [_parts(text) for _, _, text in tokens]
    if None in named:
        return found + [f"P1 {name}: a token is not whole"]
    if [index for _, _, index in named] != list(range(len(named))):
        found.append(f"P1 {name}: tokens are not once and in order")
    if len({(boot, stream) for boot, stream, _ in named}) > 1:
        found.append(f"P1 {name}: tokens of several generations")
    if len({stream for stream, _, _ in tokens}) > 1:
        found.append(f"P1 {name}: positions of several streams")
    if record["outcome"] == "done" and record["total"] != len(tokens):
        found.append(f"P1 {name}: done with {len(tokens)} of "
                     f"{record['total']} tokens")
    return found


def _generations_of(record):
    return {_parts(text)[:2] for _, _, text in record["tokens"]
            if _parts(text)}


def _check_own(record, engines, lost):
    """P2: the tokens are those of the caller's own prompt."""
    found = []
    for boot, short in _generations_of(record):
        of_boot = [a for a in engines if str(a["boot"]) == boot]
        streams = [s for a in of_boot for s in a["streams"]
                   if s["id"].startswith(short)]
        cut = lost or any(a.get("cut") for a in of_boot)
        if not streams and not cut:
            found.append(f"P2 {_name(record)}: no engine ran its stream")
        if any(s["prompt_head"] != record["mark"] for s in streams):
            found.append(f"P2 {_name(record)}: tokens of another prompt")
    return found


def _check_shared(generations):
    """P2: no generation reaches two callers."""
    owner = {}
    found = []
    for record in generations:
        for generation in _generations_of(record):
            if owner.setdefault(generation, record["mark"]) != record["mark"]:
                found.append(f"P2 {_name(record)}: tokens of a generation "
                             f"of {owner[generation]}")
    return found


def _check_not_generated(generations, engines):
    """P3: a prompt that never ran was at no engine."""
    found = []
    for mark in sorted({r["mark"] for r in generations}):
        outcomes = {r["outcome"] for r in generations if r["mark"] == mark}
        ran = any(s["prompt_head"] == mark for a in engines
                  for s in a["streams"])
        if ran and outcomes <= {"not_run", "refused"}:
            found.append(f"P3 {mark}: {min(outcomes)}, but it ran")
    return found


def _check_calls(calls, services):
    """P3 and P4, by the path that names a logical call."""
    found = []
    for path in sorted({r["path"] for r in calls}):
        same = [r for r in calls if r["path"] == path]
        outcomes = {r["outcome"] for r in same}
        effects = sum(c["path"] == path for a in services for c in a["calls"])
        if "not_run" in outcomes and effects > 0:
            found.append(f"P3 {path}: not_run, but {effects} effects")
        if outcomes == {"refused"} and effects > 0:
            found.append(f"P3 {path}: refused, but {effects} effects")
        if "done" in outcomes and effects == 0:
            found.append(f"P4 {path}: done without an effect")
        if effects > 1 and same[0]["method"] not in READ_ONLY:
            found.append(f"P4 {path}: {effects} effects")
    return found


def _check_leaves(audits, leaves):
    """P5: a leaving target gets no new work after LEAVE_MS."""
    found = []
    for audit in audits:
        if audit["target"] not in leaves:
            continue
        limit = leaves[audit["target"]] + LEAVE_MS
        work = audit.get("streams", []) + audit.get("calls", [])
        late = [w for w in work if w["at_ms"] > limit]
        if late:
            found.append(f"P5 {audit['target']}: {len(late)} pieces of new "
                         "work after its leave")
    return found


def _check_planned(records):
    """P5: a planned stop cuts no answer."""
    return [f"P5 {_name(r)}: {r['outcome']} at a planned stop" for r in records
            if r["outcome"] in ("interrupted", "unknown", "cut", "not_run")]
