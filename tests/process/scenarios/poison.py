"""A prompt that kills each engine that runs it, sent again and again."""

import threading
import time

from cluster import wait_for

# CV_SUSPECT_STRIKES in policy/policy.h: then the content is condemned.
DEATHS_MAX = 2
SENT = 5
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
    restarter = Restarter(c)
    restarter.start()
    innocents = [s.generate(f"innocent{k}", tokens=60, whole=k % 2 == 0)
                 for k in range(6)]
    s.lost_audits = True
    poison = []
    for k in range(SENT):
        caller = s.generate("bad", entries=(k % 2,), tokens=30, whole=True,
                            extra="poison")
        poison.append(caller.wait_end())
        time.sleep(NEWS_S)
        for name in c.targets:
            wait_for(f"{name} is back", lambda n=name:
                     c.target_row(0, n)["state"] == "live"
                     and c.target_row(1, n)["state"] == "live")
    for caller in innocents:
        caller.wait_end()
    s.note(f"deaths {restarter.deaths}, poison "
           f"{[(x.outcome, x.record['error']['code']) for x in poison]}")
    s.judge(restarter.deaths <= DEATHS_MAX,
            f"engine deaths are at most {DEATHS_MAX}", restarter.deaths)
    s.judge([x.record["error"]["code"] for x in poison[-2:]]
            == ["content_refused"] * 2,
            "the content is refused at both entries")
    s.judge(all(x.outcome in ("done", "interrupted") for x in innocents),
            "innocents beside it: done or interrupted",
            [(x.outcome, x.record["error"]) for x in innocents])
    later = [s.generate(f"innocent{k}-again", tokens=60) for k in range(6)]
    s.judge(all(x.wait_end().outcome == "done" for x in later),
            "innocents that come again: done",
            [(x.outcome, x.record["error"]) for x in later])
    restarter.quit.set()
    restarter.join()
