"""A service and an engine are reclaimed at once, with work that runs, that
waits and that arrives meanwhile.  Each caller gets its outcome from the side,
not by the entry's time limit for a lost side."""

import json
import threading
import time

from cluster import http_call, wait_for

NOTICE_MS = 100
OUTCOME_S = 1.0  # less than the time after which a side is lost
CALLERS = 6


def run(s):
    c = s.start(engines=1, services=1, entries=1,
                engine_flags=["--token-ms", "20"],
                service_flags=["--work-ms", "1500"],
                side_settings={"max_calls": 2})
    streams = [s.generate(f"long{k}", entries=(0,), tokens=400)
               for k in range(3)]
    running = [s.booking(0, f"/run{k}") for k in range(2)]
    wait_for("the calls run", lambda: s.effects() == len(running))
    for caller in streams:
        caller.wait_tokens(5)
    queued = [s.booking(0, f"/queue{k}") for k in range(3)]
    time.sleep(0.2)

    until = time.monotonic() + 0.4
    late = []
    callers = [threading.Thread(target=_call, args=(s, k, until, late))
               for k in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(0.1)
    notice = time.monotonic()
    statuses = [http_call(c.targets[name]["control"], "POST", "/leave",
                          json.dumps({"within_ms": NOTICE_MS}))[0]
                for name in ("e0", "s0")]
    s.judge(statuses == [202, 202], "the sides accept the notice", statuses)
    for caller in streams:
        caller.wait_end()
    s.judge(all(x.outcome == "interrupted"
                and x.ended_at - notice < OUTCOME_S for x in streams),
            "streams: interrupted at once",
            [(x.outcome, x.ended_at - notice) for x in streams])
    records = [call.wait_end() for call in running]
    s.judge(all(r["outcome"] == "unknown" for r in records)
            and time.monotonic() - notice < OUTCOME_S,
            "running calls: unknown at once",
            [(r["outcome"], r["took_s"]) for r in records])
    records = [call.wait_end() for call in queued]
    s.judge(all(r["outcome"] in ("refused", "not_run") for r in records)
            and time.monotonic() - notice < OUTCOME_S,
            "queued calls: refused at once",
            [(r["outcome"], r["took_s"]) for r in records])
    for caller in callers:
        caller.join(30)
    s.note(f"{len(late)} calls beside the notice")
    s.judge(all(r["outcome"] in ("refused", "not_run")
                and r["took_s"] < OUTCOME_S for r in late),
            "calls beside the notice: refused at once",
            [(r["outcome"], r["took_s"]) for r in late
             if r["outcome"] not in ("refused", "not_run")
             or r["took_s"] >= OUTCOME_S])
    for name in ("e0", "s0"):
        side = c["side-" + name]
        wait_for(f"{name} ends", lambda p=side: not p.running())
        s.judge(side.popen.wait() == 0, f"the side of {name} exits")


def _call(s, number, until, late):
    count = 0
    while time.monotonic() < until:
        late.append(s.book(0, f"/late{number}-{count}"))
        count += 1
