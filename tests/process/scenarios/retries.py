"""One engine is killed again and again: the retries must stay within the retry
budget, so that they do not overload the other engine."""

from cluster import wait_for

REQUESTS = 24
BUDGET_START, BUDGET_RATIO = 3, 0.1  # policy/retry.c
KILLS = 3


def run(s):
    c = s.start(entries=1, engines=2, services=0,
                engine_flags=["--token-ms", "20"])
    callers = []
    for _ in range(KILLS):
        batch = [s.generate(f"p{len(callers) + k}", entries=(0,), tokens=60,
                            non_streamed=True)
                 for k in range(REQUESTS // KILLS)]
        callers += batch
        wait_for("both engines run", lambda n=len(callers): _both_busy(c))
        c.kill_target("e0")
        for caller in batch:
            caller.wait_end()
        c.start_target("e0")
        c.wait_state(0, "e0", "live")
    attempts = sum(len(a["streams"]) for a in c.audits())
    budget = BUDGET_START + BUDGET_RATIO * REQUESTS
    s.note(f"{attempts} attempts for {REQUESTS} requests")
    s.judge(REQUESTS <= attempts <= REQUESTS + budget,
            "attempts stay within the retry budget", attempts)
    s.judge(all(x.outcome == "done" or x.record["error"]["retry_after_ms"] > 0
                for x in callers),
            "each is done, or gets retry_after_ms",
            [(x.outcome, x.record["error"]) for x in callers])
    s.judge(any(x.outcome == "done" for x in callers), "at least one is done",
            [x.outcome for x in callers])


def _both_busy(c):
    return all(any(s["produced"] > 0 and s["ended"] == ""
                   for s in c.audit(name)["streams"]) for name in c.targets)
