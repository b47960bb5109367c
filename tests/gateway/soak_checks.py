"""Checks of the soak: what callers got against what targets received."""

import collections
import re
import time

from soak_load import (DEADLINE_S, KEY, LONG, ONCE_PATHS, STEADY_PATHS,
                       STREAM_PATHS, TOKENS_PER_EVENT)
from soak_targets import plain_text

# Statuses that say that the request did not run.
NOT_RUN = (408, 421, 429, 503)
# Margin for the observation of times in another process.
MARGIN_S = 0.1
# A stream that began before this time of a stop may be cut at its end.
STOP_EARLY_S = 2
# Responses in progress may be cut this long before the end of the grace period.
STOP_MARGIN_S = 0.7
# The process ends this long after the grace period at the latest.
EXIT_SLACK_S = 1.5
# Longest distance of the line of a killed process from its request: the process
# loses the lines that it has not written.
LOST_LINES_S = 0.2
# A gateway without a disruption for this long is in touch with the others.
CONTACT_S = 3
# Crashes after which arrivals of the same bad request are counted, and how many
# may follow in all, sent by gateways in touch.
CRASHES_MAX = {"request": 3, "part": 5}
LATE_ARRIVALS_MAX = 3
# A gateway that has no answer to an order for this long takes it for lost.
ORDER_WAIT_S = 2.4
# The arrivals at a target with a limit are counted over this time.
LIMIT_WINDOW_S = 4


# Whole events of a stream.
EVENTS = re.compile(r"(?:id: \d+\ndata: v\d\n\n)*")


def fault_of_events(text, count, is_complete=True):
    """Why TEXT cannot be all COUNT events of a stream, or the first of them;
    None if it can."""
    numbers = [l[4:] for l in text.split("\n") if l.startswith("id: ")]
    if numbers != [str(i) for i in range(len(numbers))] \
            or len(numbers) > count:
        return f"events {numbers}"
    if is_complete and len(numbers) < count:
        return "complete without its last events"
    if not EVENTS.fullmatch(text):
        return "a part of an event"
    return None


def versions_of(text):
    """The software versions that wrote the events of a stream."""
    return {l[6:] for l in text.split("\n") if l.startswith("data: ")}


def overlaps(attempt, since, until):
    end = attempt.ended_at or time.monotonic()
    return since <= end and (until is None or until >= attempt.begun_at)


def may_have_lost_line(attempt):
    """The gateway was killed within LOST_LINES_S of the line on ATTEMPT, which it
    wrote after the request was written and before the response was read; what it
    sent just before may be read later."""
    killed = attempt.run.killed_at
    # A request may be refused before its second part is written, and its caller
    # reads the refusal after that.
    if killed is not None and attempt.is_in_parts \
            and attempt.begun_at <= killed < attempt.ended_at:
        return True
    times = [attempt.written_at or attempt.begun_at, attempt.head_at,
             attempt.ended_at]
    return killed is not None and any(
        at is not None and -MARGIN_S <= killed - at < LOST_LINES_S for at in times)


# ---- excuses for an incomplete response ----

def was_killed(soak, attempt):
    """SIGKILL leaves the process no time to respond."""
    killed = attempt.run.killed_at
    return killed is not None and overlaps(attempt, killed, killed + MARGIN_S)


def was_frozen(soak, attempt):
    """A process that is frozen across the request misses its own times."""
    return any(overlaps(attempt, since, until)
               for since, until in attempt.run.freezes)


def was_broken_off(soak, attempt):
    """The last target or its link failed after the response began, which can
    then no longer become a refusal."""
    last = attempt.visits[-1]
    # The reset that cuts a response to HTTP/1.0 discards what is unread of it.
    if attempt.head_at is None and not (
            attempt.ends_at_close and any(v.made for v in attempt.visits)):
        return False
    return last.how == "broke off" or any(
        since <= attempt.ended_at and (until is None or until >= last.begun_at)
        for _, since, until in soak.targets.proxies[last.target].faults)


def was_late(soak, attempt):
    """The request's deadline passed after the response began.  Before that the
    gateway owes 504."""
    return attempt.head_at is not None \
        and attempt.ended_at >= attempt.begun_at + DEADLINE_S - MARGIN_S


def was_at_work_at_stop(soak, attempt):
    """A stream that had begun early in the stop, and whose target was still at
    work at the end of the grace period, cannot be completed.  One that has not
    begun can still be refused."""
    stop = attempt.run.noticed_stop_at()
    if stop is None or attempt.head_at is None \
            or attempt.path not in STREAM_PATHS:
        return False
    begun = [v.head_at for v in attempt.visits if v.head_at is not None]
    last = attempt.visits[-1]
    end = stop + min(attempt.run.graces_s) - STOP_MARGIN_S - MARGIN_S
    return min(begun, default=float("inf")) <= stop + STOP_EARLY_S + MARGIN_S \
        and attempt.ended_at >= end \
        and (last.ended_at is None or last.ended_at >= end)


def was_stopped_late(soak, attempt):
    """An order whose answer was lost stopped the run after a second or two, and
    the request may not run again."""
    if attempt.head_at is None or attempt.path not in ONCE_PATHS:
        return False
    last = attempt.visits[-1]
    return last.how == "moved" and any(
        o.is_lost_and_late() and o.stopped_at and o.target == last.target
        for o in attempt.orders)


EXCUSES = (("killed", was_killed), ("frozen", was_frozen),
           ("target failed", was_broken_off), ("deadline", was_late),
           ("stopped by a lost order", was_stopped_late),
           ("at work at the end of the stop", was_at_work_at_stop))


def was_known_to_end(soak, attempt, visit):
    """Each order to stop the run of VISIT was answered, with a status which says
    that it was not stopped."""
    return all(o.answer in ("404", "409", "503")
               and o.answered_at - o.at < ORDER_WAIT_S
               for o in attempt.orders
               if o.final and o.target == visit.target
               and visit.begun_at <= o.at) \
        and not was_frozen(soak, attempt) \
        and not any(overlaps(attempt, since, until) for _, since, until
                    in soak.targets.proxies[visit.target].faults)


# ---- checks ----

class Checks:
    def __init__(self, soak):
        self.soak = soak
        self.excused = collections.Counter()
        self.not_at_target = 0
        self.violations = []  # (text, attempt or None)
        self.lines = collections.defaultdict(list)  # by request

    def add(self, text, attempt=None):
        if attempt:
            text = f"{attempt.name} {attempt.path}: {text}"
        self.violations.append((text, attempt))

    def check(self, recent_since):
        for bench in self.soak.gateways:
            for line in bench.logs:
                if "request" in line:
                    self.lines[line["request"]].append((bench, line))
        for attempt in self.soak.attempts.values():
            self.check_runs(attempt)
            if attempt.leaves:
                continue
            if attempt.is_complete:
                self.check_response(attempt)
            else:
                self.check_unanswered(attempt)
        for text in self.soak.targets.violations:
            self.add(text)
        self.check_logs()
        for kind, caller in self.soak.bad_callers.items():
            self.check_bad(kind, caller)
        for name, text in self.soak.returning_caller.texts.items():
            if len(versions_of(text)) > 1:
                self.add(f"{name}: versions {versions_of(text)} over its tries")
            fault = fault_of_events(
                text, LONG // TOKENS_PER_EVENT,
                name in self.soak.returning_caller.ended)
            if fault:
                self.add(f"{name}: {fault} over its tries",
                         self.soak.attempts[name])
        for name, limit in self.soak.targets.limits.items():
            for span in limit.spans:
                self.check_limit(name, span, limit.arrivals)
        for run in self.soak.runs:
            self.check_versions(run)
            self.check_leaving(run)
            self.check_pauses(run)
            self.check_exit(run)
        self.check_recovery(recent_since)

    def check_runs(self, attempt):
        if attempt.path not in ONCE_PATHS:
            return
        if attempt.starts > 1:
            self.add(f"ran {attempt.starts} times", attempt)
        for visit in attempt.visits[:-1]:
            if visit.how == "complete" \
                    and was_known_to_end(self.soak, attempt, visit):
                self.add("goes on after its run has ended", attempt)


    def check_response(self, attempt):
        status, text = attempt.status, attempt.text
        if status in NOT_RUN and attempt.path in ONCE_PATHS \
                and attempt.starts:
            self.add(f"refused with {status} and it ran", attempt)
        if status in (401, 404) and attempt.key == KEY \
                and attempt.path in STEADY_PATHS:
            self.add(f"{status}, and all configurations allow it", attempt)
        if status != 200:
            return
        if "server-signature" not in attempt.headers:
            self.add("unsigned success", attempt)
        if attempt.path in STREAM_PATHS:
            fault = fault_of_events(text, attempt.events)
            if fault:
                self.add(fault, attempt)
            if len(versions_of(text)) > 1:
                self.add(f"versions {versions_of(text)}", attempt)
        elif text != "late":
            self.check_plain(attempt)

    def check_plain(self, attempt):
        whole = [plain_text(attempt, v.target, v.size) for v in attempt.visits]
        if attempt.text in whole:
            return
        if any(t.startswith(attempt.text) for t in whole):
            self.add("a part of a response as complete", attempt)
        else:
            self.add(f"response to another request: {attempt.text[:60]}",
                     attempt)

    def check_unanswered(self, attempt):
        if not attempt.visits:
            self.not_at_target += 1
            return
        for name, holds in EXCUSES:
            if holds(self.soak, attempt):
                self.excused[name] += 1
                return
        part = "part of a response" if attempt.head_at else "no response"
        ends = [f"{line['name']} {line.get('reason', '')}"
                for _, line in self.lines[attempt.name] if line["name"] in (
                    "GATEWAY_CUT", "GATEWAY_UNANSWERED", "GATEWAY_REFUSED",
                    "GATEWAY_ANSWERED", "GATEWAY_CALLER_LEFT")]
        self.add(f"{part}, {attempt.how}; logged: "
                 f"{', '.join(ends) or 'nothing'}", attempt)

    def check_logs(self):
        """GATEWAY_UNANSWERED is never right, and no failure goes without a
        line.  A process that was killed loses its last lines, and one that
        exceeds the rate of the log says how many it has dropped."""
        named = set()
        for name, lines in self.lines.items():
            for _, line in lines:
                if line["name"] in ("GATEWAY_REFUSED", "GATEWAY_ANSWERED"):
                    named.add(name)
                elif line["name"] == "GATEWAY_UNANSWERED":
                    self.add(f"logged as unanswered: {line['reason']}",
                             self.soak.attempts.get(name))
        # A request that was not read completely has no name in the logs: for
        # each status, a run must have as many lines as it so refused.
        in_part = collections.Counter(
            (run, line.get("status")) for run in self.soak.runs
            for line in run.logs() if line["name"] == "GATEWAY_BAD_INPUT")
        dropped = {run: sum(line["dropped"] for line in run.logs()
                            if line["name"] == "LINES_DROPPED")
                   for run in self.soak.runs}
        for attempt in self.soak.attempts.values():
            if not attempt.is_complete or attempt.status < 400 \
                    or attempt.name in named:
                continue
            if may_have_lost_line(attempt):
                continue
            key = (attempt.run, attempt.status)
            if not attempt.visits and in_part[key] > 0:
                in_part[key] -= 1
                continue
            if dropped[attempt.run] > 0:
                dropped[attempt.run] -= 1
                continue
            self.add(f"{attempt.status} without a log line", attempt)

    def is_in_touch(self, run, at):
        since = at - CONTACT_S
        disruptions = [t for t, _ in run.signals] + [run.started_at] \
            + [t for f in run.freezes for t in f if t]
        spans = self.soak.store_faults + [
            f[1:] for f in (*self.soak.store_proxy.faults,
                            *run.bench.store.faults)]
        return not any(since <= t <= at for t in disruptions) \
            and not any(a <= at and (b is None or b >= since)
                        for a, b in spans)

    def check_bad(self, kind, caller):
        """Arrivals later than CONTACT_S after the last crash allowed."""
        crashes = sorted(self.soak.targets.crashes[kind])
        if len(crashes) < CRASHES_MAX[kind]:
            return
        bound = crashes[CRASHES_MAX[kind] - 1] + CONTACT_S
        late = [at for at, name in self.soak.targets.bad_arrivals[kind]
                if at > bound and self.is_in_touch(caller.runs[name], at)]
        if len(late) > LATE_ARRIVALS_MAX:
            self.add(f"bad {kind}: {len(late)} late arrivals, "
                     f"{len(crashes)} crashes")

    def check_limit(self, name, span, arrivals):
        """Requests of gateways in touch that a target with a limit gets."""
        since, until, per_s = span
        times = [at for at, run in arrivals
                 if since + CONTACT_S <= at <= (until or time.monotonic())
                 and self.is_in_touch(run, at)]
        allowed = 1.5 * LIMIT_WINDOW_S * per_s + 5
        most = max((sum(a <= b < a + LIMIT_WINDOW_S for b in times)
                    for a in times), default=0)
        if most > allowed:
            self.add(f"{name}: {most} requests in {LIMIT_WINDOW_S} s at a "
                     f"limit of {per_s} a second")

    def check_in_force(self):
        """All gateways have the last configuration."""
        for bench in self.soak.gateways:
            adopted = [l["version"] for l in bench.run.logs()
                       if l["name"] == "GATEWAY_ROUTING_ADOPTED"]
            if adopted[-1:] != [self.soak.version]:
                self.add(f"{bench.name}: configuration {adopted[-1:]} in force "
                         f"at the end, not {self.soak.version}")

    def check_versions(self, run):
        """No older configuration replaces a newer one."""
        adopted = [l["version"] for l in run.logs()
                   if l["name"] == "GATEWAY_ROUTING_ADOPTED"]
        if adopted != sorted(adopted):
            self.add(f"{run.bench.name} run {run.number}: configurations "
                     f"{adopted}")

    def check_leaving(self, run):
        """A target that announced its leaving in an answer gets no requests that
        arrive later, until it is added with another start.  What it said before
        that start may be read after it."""
        announced, started = {}, {}
        for line in run.logs():
            name, target = line["name"], line.get("target")
            if line.get("leaving_us", 0) > line.get("waited_us", 0):
                self.add(f"{target}: {line['request']} sent although it was "
                         f"known to be leaving")
            if name == "GATEWAY_TARGET_ADDED":
                announced.pop(target, None)
                started[target] = line["started_ms"]
            elif line.get("reason") == "announced in an answer":
                # The line of the start may have been dropped.
                if started.get(target) in (None, line["started_ms"]):
                    announced[target] = line["steady_us"]
            elif name == "GATEWAY_SENT" and target in announced \
                    and line["steady_us"] - line["waited_us"] \
                    > announced[target]:
                self.add(f"{target}: {line['request']} sent after it announced "
                         f"its leaving")

    def check_pauses(self, run):
        """A target that asked for a pause gets nothing until its end, but for one
        run that can go on there only.  Another start of the target ends it."""
        until, sent = {}, collections.Counter()
        for line in run.logs():
            name, target = line["name"], line.get("target")
            if name == "GATEWAY_TARGET_ADDED":
                until.pop(target, None)
            elif name == "GATEWAY_TARGET_PAUSED":
                until[target] = line["steady_us"] + 1000 * line["pause_ms"]
                sent[target] = 0
            elif name == "GATEWAY_SENT" \
                    and line["steady_us"] < until.get(target, 0):
                sent[target] += 1
                if sent[target] > 1:
                    self.add(f"{target}: {line['request']} sent in its pause")

    def check_exit(self, run):
        """A stopped process ends with code 0 in its grace period.  A signal
        that arrives before it handles signals ends it at once."""
        if run.killed_at or run.exited_at is None:
            return
        code = run.process.returncode
        started = any(l["name"] == "GATEWAY_LISTENING" for l in run.logs())
        if code != 0 and (started or code > 0):
            self.add(f"{run.bench.name} run {run.number}: exit code {code}")
        stop = run.noticed_stop_at()
        if stop is None:
            return
        frozen = sum((until or run.exited_at) - since
                     for since, until in run.freezes)
        stalled = sum(max(0, min(until, run.exited_at) - max(since, stop))
                      for since, until in self.soak.stalls)
        limit = max(run.graces_s) + frozen + stalled + EXIT_SLACK_S
        if run.exited_at - stop > limit:
            self.add(f"{run.bench.name} run {run.number}: the stop took "
                     f"{run.exited_at - stop:.1f} s")

    def check_recovery(self, since):
        """Requests that ended between SINCE and the last stop."""
        recent = [a for a in self.soak.attempts.values()
                  if a.begun_at >= since and a.ended_at and not a.leaves
                  and a.ended_at < (a.run.stopped_at or float("inf"))]
        answered = sum(a.status in (200, 502) for a in recent)
        if answered < max(20, 0.8 * len(recent)):
            others = collections.Counter(
                f"{a.status} {a.path} at {a.run.bench.name}" for a in recent
                if a.status not in (200, 502))
            self.add(f"after the faults {answered} of {len(recent)} got status "
                     f"200 or 502; others {dict(others.most_common())}")

    # ---- traces ----

    def trace(self, attempt):
        """What is known of ATTEMPT, with times since the start of the soak."""
        def at(t):
            return "-" if t is None else f"{t - self.soak.started_at:.3f}"

        run = attempt.run
        yield (f"{run.bench.name} run {run.number}: signals "
               + ", ".join(f"{n} {at(t)}" for t, n in run.signals)
               + f"; grace {run.graces_s}; exit {at(run.exited_at)}")
        yield (f"begun {at(attempt.begun_at)}, written "
               f"{at(attempt.written_at)}, head {at(attempt.head_at)}, ended "
               f"{at(attempt.ended_at)}: {attempt.how}; status "
               f"{attempt.status}; {'; '.join(attempt.pattern)}")
        for v in attempt.visits:
            yield (f"at {v.target} {at(v.begun_at)} to {at(v.ended_at)}, head "
                   f"{at(v.head_at)}: {v.how}; delays {v.delays}; "
                   f"{v.made} events"
                   f"{', no length or chunks' if v.is_unframed else ''}")
            for kind, since, until in self.soak.targets.proxies[
                    v.target].faults:
                if overlaps(attempt, since, until):
                    yield (f"link of {v.target}: {kind} {at(since)} to "
                           f"{at(until)}")
        for o in attempt.orders:
            yield (f"order{' to stop' if o.final else ''} at {o.target} "
                   f"{at(o.at)}: {o.story}; stopped {at(o.stopped_at)}, "
                   f"answered {at(o.answered_at)}: {o.answer}")
        if attempt.text is not None and attempt.path in STREAM_PATHS:
            yield (f"the caller has {attempt.text.count('id: ')} of "
                   f"{attempt.events} events")

        def show(line):
            fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in (
                "steady_us", "time", "event", "name"))
            return f"{at(line['steady_us'] / 1e6)} {line['name']} {fields}"

        for bench, line in self.lines[attempt.name]:
            yield f"{bench.name}: {show(line)}"
        yield f"last lines of {run.bench.name} run {run.number}:"
        for line in run.logs()[-8:]:
            yield f"  {show(line)}"
