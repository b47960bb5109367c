"""Signals to a side in series and overlapping with a drain request, while its
callers keep their connections open.  No response is cut."""

import signal
import time

from cluster import wait_for

SIGNAL_INTERVAL_S = 0.05
SERIES = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM,
          signal.SIGHUP, signal.SIGINT)


def run(s):
    c = s.start(engines=1, services=1, entries=1,
                engine_flags=["--token-ms", "20"],
                service_flags=["--work-ms", "3000"])
    s.planned_stops = True
    sides = [c["side-e0"], c["side-s0"]]
    streams = [s.generate(f"long{k}", entries=(0,), tokens=200)
               for k in range(3)]
    calls = [s.booking(0, f"/call{k}") for k in range(3)]
    for caller in streams:
        caller.wait_tokens(5)
    wait_for("the calls run", lambda: s.effects() == len(calls))

    for side in sides:
        side.signal(signal.SIGHUP)
    time.sleep(SIGNAL_INTERVAL_S)
    s.judge(all(side.running() for side in sides),
            "SIGHUP: the sides go on")
    for number in SERIES:
        for side in sides:
            if side.running():
                side.signal(number)
        time.sleep(SIGNAL_INTERVAL_S)
    if all(side.running() for side in sides):
        c.drain("e0")
        c.drain("s0")
    for caller in streams:
        caller.wait_end()
    outcomes = [call.wait_end()["outcome"] for call in calls]
    s.judge(all(x.outcome == "done" and x.record["connections"] == 1
                for x in streams),
            "signals in series: streams complete on one connection",
            [(x.outcome, x.record["connections"]) for x in streams])
    s.judge(outcomes == ["done"] * len(calls),
            "signals in series: calls complete", outcomes)
    for side in sides:
        wait_for(f"{side.name} ends", lambda p=side: not p.running())
        s.judge(side.popen.wait() == 0, f"{side.name} drained",
                side.popen.wait())
