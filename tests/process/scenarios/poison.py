"""A prompt that kills each engine that runs it, sent again and again."""

import threading
import time

from cluster import wait_for

# CV_SUSPECT_STRIKES in policy/policy.h: then the content is condemned.
DEATHS_MAX = 2
SENT = 5
TRIES = 3
NEWS_S = 1.5  # docs/API.md: news of a death take a second


class Restarter(threading.Thread):
    """Starts engines that died again, and counts the deaths."""

    def __init__(self, c):
        super().__init__(daemon=True)
        self.c = c
        self.deaths = 0
        self.quit = threading.Event()

    def run(self):
        while not self.quit.wait(0.05):
            for name in self.c.targets:
                process = self.c["target-" + name]
                if not process.running():
                    self.deaths += 1
                    process.killed = True
                    self.c.start_target(name)


def run(s):
    c = s.start(engines=3, services=0, engine_flags=["--token-ms", "20"])
    s.lost_audits = True
    restarter = Restarter(c)
    restarter.start()

    # Both deaths may fall into one second of the wall clock.
    time.sleep(1 - time.time() % 1)
    send_again(s, c, restarter, "alone")

    for entry in (0, 1):
        wait_for(f"entry{entry} uses every target again",
                 lambda e=entry: _warm(s, e))
    innocents = [s.generate(f"innocent{k}", tokens=150, whole=k % 2 == 0)
                 for k in range(6)]
    for caller in innocents[1::2]:
        caller.wait_tokens(1)
    send_again(s, c, restarter, "beside")
    for caller in innocents:
        caller.wait_end()
    s.judge(all(x.outcome in ("done", "interrupted") for x in innocents),
            "innocents beside it: done or interrupted",
            [(x.outcome, x.record["error"]) for x in innocents])
    threads = [threading.Thread(target=_come_again, args=(s, f"later{k}"))
               for k in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    done = {x.record["mark"][:6] for x in s.callers
            if x.record["mark"].startswith("later") and x.outcome == "done"}
    s.judge(len(done) == len(threads), "innocents that come again: done", done)
    restarter.quit.set()
    restarter.join()


def send_again(s, c, restarter, mark):
    """The content goes to both entries in turn, and is condemned."""
    before = restarter.deaths
    ends = []
    for k in range(SENT):
        caller = s.generate(mark, entries=(k % 2,), tokens=30, whole=True,
                            extra="poison")
        ends.append(caller.wait_end().record["error"]["code"])
        time.sleep(NEWS_S)
        for name in c.targets:
            wait_for(f"{name} is back", lambda n=name:
                     c.target_row(0, n)["state"] == "live"
                     and c.target_row(1, n)["state"] == "live")
    deaths = restarter.deaths - before
    s.note(f"{mark}: {deaths} deaths, {ends}")
    s.judge(0 < deaths <= DEATHS_MAX,
            f"{mark}: at most {DEATHS_MAX} engine deaths", deaths)
    s.judge(ends[-2:] == ["content_refused"] * 2,
            f"{mark}: the content is refused at both entries", ends)


def _warm(s, entry):
    """After a failure a target gets one request at a time, until it works."""
    callers = [s.generate("warm", tokens=5, entries=(entry,))
               for _ in range(6)]
    return {x.wait_end().outcome for x in callers} == {"done"}


def _come_again(s, mark):
    """A caller that does as it is told by retry_after_ms."""
    for k in range(TRIES):
        caller = s.generate(f"{mark}-{k}", tokens=60).wait_end()
        if caller.outcome == "done":
            return
        time.sleep(caller.record["error"]["retry_after_ms"] / 1000)
