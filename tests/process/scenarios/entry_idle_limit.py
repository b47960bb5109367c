"""The idle limit of an entry is shorter than its responses take.  It closes
connections on which the caller is idle, not those on which the caller waits."""

import time

from rawcaller import RawCaller, generation

IDLE_S = 1


def run(s):
    c = s.start(entries=1, engines=1, services=1,
                engine_flags=["--token-ms", "10"],
                service_flags=["--work-ms", "3000"],
                entry_settings={"idle_timeout_s": IDLE_S,
                                "keepalive_ms": 5000})
    address = c.entries[0]
    callers = [
        RawCaller(address, "POST", "/v1/completions",
                  generation("whole", 300, False), name="whole"),
        RawCaller(address, "POST", "/v1/completions",
                  generation("streamed", 300, True), name="streamed"),
        RawCaller(address, "POST", "/svc/shop/once", "{}", name="once"),
        RawCaller(address, "GET", "/svc/shop/get", name="get")]
    buffered = generation("buffered", 300, True)
    callers.append(RawCaller(
        address, "POST", "/v1/completions",
        buffered.replace('"stream"', '"class": "report", "stream"'),
        name="buffered"))
    idle = RawCaller(address, "GET", "/healthz")
    started = time.monotonic()
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.wait_end()
        s.judge(caller.complete and caller.status == 200
                and caller.outcome is None,
                f"{caller.label}: a complete response", caller.seen())
    closed = idle.sock.recv(1) == b""
    took = time.monotonic() - started
    s.judge(closed and took < 10, "an idle connection is closed", took)
