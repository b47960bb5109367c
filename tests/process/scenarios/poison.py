"""A prompt that crashes every engine that runs it is sent repeatedly.  It may
crash two engines; then its content is quarantined at every entry, while other
callers' content is not."""

import threading
import time

from cluster import wait_for

# CV_SUSPECT_STRIKES in policy/policy.h: then the content is quarantined.
MAX_CRASHES = 2
SUBMISSIONS = 5
MAX_ATTEMPTS = 3
REPORT_DELAY_S = 1.5  # docs/API.md: a crash is reported within a second


class Restarter(threading.Thread):
    """Restarts crashed engines and counts the crashes."""

    def __init__(self, c):
        super().__init__(daemon=True)
        self.c = c
        self.crashes = 0
        self.quit = threading.Event()

    def run(self):
        while not self.quit.wait(0.05):
            for name in self.c.targets:
                process = self.c["target-" + name]
                if not process.running():
                    self.crashes += 1
                    process.killed = True
                    self.c.start_target(name)


def run(s):
    c = s.start(engines=3, services=0, engine_flags=["--token-ms", "20"])
    s.lost_audits = True
    restarter = Restarter(c)
    restarter.start()

    # Start with a second of the wall clock: two crashes within a second then
    # carry the same second.
    time.sleep(1 - time.time() % 1)
    send_repeatedly(s, c, restarter, "alone")

    for entry in (0, 1):
        wait_for(f"entry{entry} uses every target again",
                 lambda e=entry: _all_served(s, e))
    others = [s.generate(f"innocent{k}", tokens=150, non_streamed=k % 2 == 0)
                 for k in range(6)]
    for caller in others[1::2]:
        caller.wait_tokens(1)
    send_repeatedly(s, c, restarter, "beside")
    for caller in others:
        caller.wait_end()
    s.judge(all(x.outcome in ("done", "interrupted") for x in others),
            "other generations during the crashes: done or interrupted",
            [(x.outcome, x.record["error"]) for x in others])
    threads = [threading.Thread(target=_retry_until_done,
                                args=(s, f"later{k}"))
               for k in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    done = {x.record["mark"][:6] for x in s.callers
            if x.record["mark"].startswith("later") and x.outcome == "done"}
    s.judge(len(done) == len(threads),
            "other generations that are retried: done", done)
    restarter.quit.set()
    restarter.join()


def send_repeatedly(s, c, restarter, mark):
    """Send the content to both entries in turn until it is quarantined."""
    before = restarter.crashes
    ends = []
    for k in range(SUBMISSIONS):
        caller = s.generate(mark, entries=(k % 2,), tokens=30,
                            non_streamed=True, extra="poison")
        ends.append(caller.wait_end().record["error"]["code"])
        time.sleep(REPORT_DELAY_S)
        for name in c.targets:
            wait_for(f"{name} is live", lambda n=name:
                     c.target_row(0, n)["state"] == "live"
                     and c.target_row(1, n)["state"] == "live")
    crashes = restarter.crashes - before
    s.note(f"{mark}: {crashes} crashes, {ends}")
    s.judge(0 < crashes <= MAX_CRASHES,
            f"{mark}: at most {MAX_CRASHES} engine crashes", crashes)
    s.judge(ends[-2:] == ["content_refused"] * 2,
            f"{mark}: the content is refused at both entries", ends)


def _all_served(s, entry):
    """Whether several requests all succeed: after a failure a target gets one
    request at a time until one succeeds."""
    callers = [s.generate("warm", tokens=5, entries=(entry,))
               for _ in range(6)]
    return {x.wait_end().outcome for x in callers} == {"done"}


def _retry_until_done(s, mark):
    """Send a request, and retry it after retry_after_ms."""
    for k in range(MAX_ATTEMPTS):
        caller = s.generate(f"{mark}-{k}", tokens=60).wait_end()
        if caller.outcome == "done":
            return
        time.sleep(caller.record["error"]["retry_after_ms"] / 1000)
