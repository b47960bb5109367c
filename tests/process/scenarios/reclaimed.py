"""An engine with running streams is reclaimed at short notice.  Streams that
cannot end in time are interrupted before the deadline, non-streamed requests
are retried at the other engine."""

import json
import time

from cluster import http_call, wait_for

NOTICE_MS = 3000


def run(s):
    c = s.start(engines=2, services=0, engine_flags=["--token-ms", "20"])
    c.unlist("e1")  # all work goes to e0
    for entry in (0, 1):
        c.wait_state(entry, "e1", "draining")
    short = s.generate("short", tokens=60, max_tokens=60, entries=(0,))
    long = [s.generate(f"long{k}", tokens=600, entries=(k,)) for k in (0, 1)]
    non_streamed = s.generate("whole", tokens=400, entries=(1,),
                              non_streamed=True)
    for caller in (short, *long):
        caller.wait_tokens(5)
    c.list_target("e1")
    for entry in (0, 1):
        c.wait_state(entry, "e1", "live")
    notice = time.monotonic()
    status, _, _ = http_call(c.targets["e0"]["control"], "POST", "/leave",
                             json.dumps({"within_ms": NOTICE_MS}))
    s.judge(status == 202, "the side accepts the notice")
    c.note_drain("e0")
    for caller in long:
        caller.wait_end()
    s.judge(all(x.outcome == "interrupted"
                and x.ended_at - notice < NOTICE_MS / 1000 for x in long),
            "streams that cannot end in time: interrupted before the reclaim",
            [(x.outcome, x.ended_at - notice) for x in long])
    wait_for("the side exits", lambda: not c["side-e0"].running())
    c.kill_target("e0")
    s.judge(short.wait_end().outcome == "done",
            "a stream that could end in time: done", short.record)
    s.judge(non_streamed.wait_end().outcome == "done",
            "a non-streamed request is retried and done", non_streamed.record)
    after = [s.generate(f"after{k}", tokens=20, entries=(k % 2,)).wait_end()
             for k in range(4)]
    s.judge(all(x.outcome == "done" for x in after),
            "new requests go to the other engine",
            [(x.outcome, x.record["error"]) for x in after])
