"""Slow callers at an entry that stops.  A response that its caller reads only
after the process is gone is whole.  A caller that never sends the rest of its
request does not delay the end beyond the drain time, and the log names it."""

import os
import time

from cluster import wait_for
from rawcaller import RawCaller, encode, generation

DRAIN_S = 4
TOKENS = 3000


def run(s):
    c = s.start(entries=1, engines=1, services=0,
                engine_flags=["--token-ms", "0"],
                entry_settings={"drain_s": DRAIN_S})
    reader = _send(c, "reader", 0)
    writer = _send(c, "writer", 10)
    wait_for("the generation has ended",
             lambda: c.rows(0, "entries")["rows"][0]["requests"] == "0"
             and any(x["prompt_head"] == "reader" for audit in c.audits()
                     for x in audit["streams"]))
    entry = c["entry0"]
    started = time.monotonic()
    entry.terminate()
    code = entry.popen.wait(30)
    took = time.monotonic() - started
    s.judge(code == 0 and DRAIN_S - 1 < took < DRAIN_S + 1.5,
            "the entry exits with code 0 at the end of the drain time",
            (code, took))
    reader.request = b""
    reader.start()
    reader.wait_end()
    s.note(f"{len(reader.data)} bytes")
    s.judge(reader.complete and b"data: [DONE]" in reader.data,
            "a response read after the end is whole", reader.seen())
    log = _log(c)
    s.judge("ENTRY_UNANSWERED: 1 requests" in log
            and "ENTRY_REQUEST_ABORTED" in log,
            "the log names the request that was not whole", log[-500:])
    writer.sock.close()


def _send(c, mark, missing):
    """Send a request without its last MISSING bytes and read nothing."""
    caller = RawCaller(c.entries[0], "POST", "/v1/completions", name=mark)
    request = encode("POST", "/v1/completions",
                     generation(mark, TOKENS, True))
    caller.sock.sendall(request[:len(request) - missing])
    return caller


def _log(c):
    with open(os.path.join(c.dir, "entry0.log"), encoding="utf-8") as log:
        return log.read()
