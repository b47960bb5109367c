"""SIGHUP to an entry with requests in flight, also during a stop: no request
is interrupted."""

import signal
import time

from cluster import wait_for
from rawcaller import RawCaller, generation


def run(s):
    c = s.start(entries=1, engines=1, services=1,
                engine_flags=["--token-ms", "10"],
                service_flags=["--work-ms", "1500"])
    entry = c["entry0"]
    for text, signals in (
            ("SIGHUP", [signal.SIGHUP] * 3),
            ("SIGTERM and SIGHUP", [signal.SIGTERM, signal.SIGHUP] * 2)):
        callers = [
            RawCaller(c.entries[0], "POST", "/v1/completions",
                      generation("whole", 150, False), name="whole"),
            RawCaller(c.entries[0], "POST", "/v1/completions",
                      generation("streamed", 150, True), name="streamed"),
            RawCaller(c.entries[0], "POST", "/svc/shop/once", "{}",
                      name="once")]
        for caller in callers:
            caller.start()
        wait_for("the entry has the requests", lambda: _in_flight(c) == 3)
        for number in signals:
            if entry.running():
                entry.signal(number)
            time.sleep(0.02)
        for caller in callers:
            caller.wait_end()
        s.judge(all(x.complete and x.status == 200 and x.outcome is None
                    for x in callers), f"{text}: the responses are complete",
                [x.seen() for x in callers])
    s.judge(entry.popen.wait(40) == 0, "the entry exits with code 0",
            entry.popen.returncode)


def _in_flight(c):
    return int(c.rows(0, "entries")["rows"][0]["requests"])
