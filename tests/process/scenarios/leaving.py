"""Planned stops under load: drain requests to an engine and a service, then
SIGTERM to each side and to an entry.  No response is cut and no request is
refused."""

import threading
import time

from cluster import wait_for

LIST_DELAY_S = 5
PAUSE_S = 0.05


class Load(threading.Thread):
    """Short generations and bookings, one after the other, until self.quit."""

    def __init__(self, s, name, entries):
        super().__init__(daemon=True)
        self.s, self.name_, self.entries = s, name, entries
        self.quit = False
        self.count = 0
        self.refused = 0

    def run(self):
        while not self.quit:
            mark = f"{self.name_}-{self.count}"
            caller = self.s.generate(mark, entries=self.entries, tokens=60)
            caller.wait_end()
            record = self.s.book(self.entries[0], "/" + mark)
            if record["outcome"] == "cut":
                self.entries = self.entries[::-1]
            self.refused += (caller.outcome, record["outcome"]).count(
                "refused")
            self.count += 1
            time.sleep(PAUSE_S)


def run(s):
    c = s.start(engines=2, services=2, engine_flags=["--token-ms", "10"],
                service_flags=["--work-ms", "200"])
    s.planned_stops = True
    load = [Load(s, f"load{k}", (k % 2,)) for k in range(4)]
    for one in load:
        one.start()
    wait_for("the load runs", lambda: all(one.count > 1 for one in load))

    long = [s.generate(f"long{k}", tokens=500) for k in range(4)]
    for caller in long:
        caller.wait_tokens(10)
    c.drain("e0")
    c.drain("s0")
    time.sleep(LIST_DELAY_S)  # the list shows the drain late
    c.list_target("e0", "leaving")
    c.list_target("s0", "leaving")
    for caller in long:
        caller.wait_end()
    s.judge(all(x.outcome == "done" for x in long),
            "streams of a draining target complete",
            [(x.outcome, x.record["error"]) for x in long])
    for name in ("e0", "s0"):
        side = c["side-" + name]
        wait_for(f"{name} ends", lambda p=side: not p.running())
        s.judge(side.popen.wait() == 0, f"side of {name} exits by itself")
        _replace_side(c, name)

    for name in c.targets:
        side = c["side-" + name]
        c.note_drain(name)
        side.terminate()
        wait_for(f"{name} ends", lambda p=side: not p.running())
        s.judge(side.popen.wait() == 0, f"SIGTERM: side of {name} drained")
        del c.drained_at[name]
        _replace_side(c, name)
    for one in load:
        one.quit = True
    for one in load:
        one.join(30)
    _stop_entry(s, c)
    refused = sum(one.refused for one in load)
    s.note(f"{sum(one.count for one in load)} rounds, {refused} refused")
    s.judge(refused == 0, "no request of the load was refused", refused)


def _replace_side(c, name):
    """Start a new side for the target and wait until it is live."""
    drained_at = c.drained_at.pop(name, None)
    if drained_at is not None:
        late = [w for w in _work(c.audit(name))
                if w["at_ms"] > drained_at + 3000]
        assert not late, f"P5 {name}: {len(late)} late"
    c.start_side(name)
    c.list_target(name)
    for entry in (0, 1):
        c.wait_state(entry, name, "live")


def _work(audit):
    return audit.get("streams", []) + audit.get("calls", [])


def _stop_entry(s, c):
    streams = [s.generate(f"last{k}", entries=(0,), tokens=200)
               for k in range(4)]
    call = s.booking(0, "/last")
    for caller in streams:
        caller.wait_tokens(10)
    c["entry0"].terminate()
    for caller in streams:
        caller.wait_end()
    s.judge(all(x.outcome == "done" and x.record["connections"] == 1
                for x in streams) and call.wait_end()["outcome"] == "done",
            "SIGTERM of an entry: its responses complete",
            [(x.outcome, x.record["connections"]) for x in streams])
    wait_for("entry0 ends", lambda: not c["entry0"].running())
    s.judge(c["entry0"].popen.wait() == 0, "the entry drained")
