"""Requests arrive at a stopping entry until its process is gone, on new
connections and on connections that are kept open.  Each request that the entry
has read gets a complete response."""

import threading
import time

from rawcaller import RawCaller, generation

ROUNDS = 12
DRAIN_S = 2
CALLERS = 32


class Load(threading.Thread):
    """One request after the other until no connection can be made."""

    def __init__(self, address, k):
        super().__init__(daemon=True)
        self.address, self.k = address, k
        self.count = 0
        self.unanswered = []
        self.statuses = {}

    def run(self):
        while True:
            try:
                caller = RawCaller(
                    self.address, "POST", "/v1/completions",
                    generation(f"late{self.k}", 1, self.k % 4 == 1))
            except OSError:
                return
            while caller.exchange():
                self._note(caller)
                if self.k % 2 == 0:
                    break
            if caller.unanswered:
                self.unanswered.append(caller.seen())
            caller.sock.close()

    def _note(self, caller):
        self.count += 1
        self.statuses[caller.status] = self.statuses.get(caller.status, 0) + 1


def run(s):
    c = s.start(entries=1, engines=1, services=0,
                engine_flags=["--token-ms", "1"],
                entry_settings={"drain_s": DRAIN_S})
    unanswered = []
    statuses = {}
    for k in range(ROUNDS):
        if k > 0:
            c.start_entry(0)
            c.wait_ready(0)
        load = [Load(c.entries[0], i) for i in range(CALLERS)]
        for one in load:
            one.start()
        time.sleep(0.5)
        entry = c["entry0"]
        entry.terminate()
        code = entry.popen.wait(30)
        for one in load:
            one.join(20)
            unanswered += one.unanswered
            for status, n in one.statuses.items():
                statuses[status] = statuses.get(status, 0) + n
        s.judge(code == 0 and not any(one.is_alive() for one in load),
                "the entry has stopped", code)
    s.note(f"statuses {statuses}, {len(unanswered)} unanswered")
    s.judge(not unanswered, "each request that it had read was answered",
            (len(unanswered), unanswered[:3]))
    s.judge(set(statuses) == {200, 503}, "with 200 or 503", statuses)
