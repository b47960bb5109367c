"""Sides stop while the entry runs only a part of the time, so that it has not
read their last messages when they are ready to exit.  No response is cut."""

import time

from cluster import wait_for

FROZEN_S = 0.25
RUNNING_S = 0.05


def run(s):
    c = s.start(engines=3, services=5, entries=1,
                engine_flags=["--token-ms", "10"],
                service_flags=["--work-ms", "2500"])
    s.planned_stops = True
    streams = [s.generate(f"long{k}", entries=(0,), tokens=250)
               for k in range(6)]
    calls = [s.booking(0, f"/call{k}") for k in range(15)]
    for caller in streams:
        caller.wait_tokens(5)
    wait_for("the calls run", lambda: s.effects() == len(calls))
    sides = [c["side-" + name] for name in c.targets]
    for side in sides:
        side.terminate()
    while any(side.running() for side in sides):
        c["entry0"].freeze()
        time.sleep(FROZEN_S)
        c["entry0"].unfreeze()
        time.sleep(RUNNING_S)
    for caller in streams:
        caller.wait_end()
    outcomes = [call.wait_end()["outcome"] for call in calls]
    s.judge(all(x.outcome == "done" and x.record["connections"] == 1
                for x in streams), "streams complete on one connection",
            [(x.outcome, x.record["connections"]) for x in streams])
    s.judge(outcomes == ["done"] * len(calls), "calls complete", outcomes)
    s.judge(all(side.popen.wait() == 0 for side in sides),
            "all sides drained")
