"""The drain time of an entry ends while requests are in flight.  Every caller
gets a complete response that does not claim that its request did not run, and
the process ends within the drain time, also with a caller that reads nothing.
Further signals arrive during the stop."""

import signal
import time

from cluster import wait_for
from rawcaller import RawCaller, encode, generation, wait_until

DRAIN_S = 4
WORK_MS = 8000
TOKENS = 4000


def run(s):
    c = s.start(entries=2, engines=1, services=1,
                engine_flags=["--token-ms", "10"],
                service_flags=["--work-ms", str(WORK_MS)],
                side_settings={"resume_s": 5, "generation_s": 10},
                entry_settings={"drain_s": DRAIN_S})
    address = c.entries[0]
    ticket = s.ticket(0)
    callers = [
        RawCaller(address, "POST", "/v1/completions",
                  generation("whole", TOKENS, False), name="whole"),
        RawCaller(address, "POST", "/v1/completions",
                  generation("streamed", TOKENS, True), name="streamed"),
        RawCaller(address, "GET", "/svc/shop/get", name="get"),
        RawCaller(address, "POST", "/svc/shop/once", "{}", name="once"),
        RawCaller(address, "POST", "/svc/shop/key", "{}",
                  {"Idempotency-Key": "key"}, name="key"),
        RawCaller(address, "POST", "/svc/shop/ticket", "{}",
                  {"Idempotency-Key": ticket}, name="ticket")]
    idle = RawCaller(address, "GET", "/healthz")
    unread = RawCaller(address, "POST", "/v1/completions", name="unread")
    unread.sock.sendall(encode("POST", "/v1/completions",
                              generation("unread", TOKENS, True)))
    for caller in callers:
        caller.start()
    resumed = s.generate("resumed", tokens=600, resume_interrupted=True)
    wait_for("the requests are at the targets", lambda: _at_targets(c) == 8)
    entry = c["entry0"]
    started = time.monotonic()
    entry.terminate()
    for at, number in ((0.3, signal.SIGINT), (0.35, signal.SIGTERM),
                       (1.5, signal.SIGTERM), (DRAIN_S - 0.5, signal.SIGINT)):
        wait_until(started + at)
        if entry.running():
            entry.signal(number)
    code = entry.popen.wait(30)
    took = time.monotonic() - started
    for caller in callers:
        caller.wait_end()
        s.judge(caller.complete and caller.outcome in ("unknown",
                                                       "interrupted"),
                f"{caller.label}: a complete response, unknown or interrupted",
                caller.seen())
    resumed.wait_end()
    s.judge(resumed.outcome == "done" and resumed.record["connections"] == 2,
            "an interrupted stream is resumed at the other entry",
            (resumed.outcome, resumed.record["connections"]))
    s.judge(code == 0, "the entry exits with code 0", code)
    s.judge(DRAIN_S / 2 < took < DRAIN_S + 1.5, "at the end of the drain time",
            f"{took:.1f} s")
    idle.sock.settimeout(1)
    s.judge(idle.sock.recv(1) == b"", "an idle connection was closed")
    unread.sock.close()


def _at_targets(c):
    return sum(len(a.get("streams", [])) + len(a.get("calls", []))
               for a in c.audits())
