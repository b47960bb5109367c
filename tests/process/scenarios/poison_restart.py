"""Engines crash and restart before their side polls them.  The side must
detect the crash by the broken streams and treat content in flight as
suspect."""

from cluster import wait_for

# Long, so that the side detects a crash only by broken streams.
LOAD_POLL_MS = 5000
TOKENS = 3000


def run(s):
    c = s.start(engines=2, services=0, engine_flags=["--token-ms", "20"],
                side_settings={"load_poll_ms": LOAD_POLL_MS})
    s.lost_audits = True
    caller = s.generate("aboard", tokens=TOKENS, non_streamed=True,
                        entries=(0,))
    before = None
    for crash in range(2):
        before = wait_for("the content runs at a live engine",
                          lambda b=before: _find_running(c, b))
        _crash_unobserved(c, before)
        s.say(f"crash {crash + 1}")
    caller.wait_end()
    s.judge(caller.record["error"]
            and caller.record["error"]["code"] == "content_refused",
            "after two crashes with it in flight, the content is refused",
            (caller.outcome, caller.record["error"]))
    again = s.generate("aboard", tokens=TOKENS, entries=(1,)).wait_end()
    s.judge(again.outcome == "refused", "and at the other entry",
            (again.outcome, again.record["error"]))


def _find_running(c, before):
    """Return the target, other than BEFORE, whose engine runs the content."""
    for name in c.targets:
        streams = c.audit(name)["streams"]
        if name != before and any(x["produced"] > 2 and not x["cancelled"]
                                  for x in streams):
            return name
    return None


def _crash_unobserved(c, name):
    """Freeze the side while its engine is killed and restarted."""
    c["side-" + name].freeze()
    c.kill_target(name)
    c.start_target(name)
    c["side-" + name].unfreeze()
