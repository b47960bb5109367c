"""The store is unavailable, or its responses are lost.  Streams and tickets
work without it; a call with a key gets a definite outcome only afterwards."""

import time

from cluster import wait_for

MEASURE_S = 3
MAX_CALLS_PER_S = 6  # two entries poll every second, plus a margin


def run(s):
    c = s.start(engines=1, services=1, engine_flags=["--token-ms", "20"])
    before = s.ticket(0)
    stream = s.generate("across", tokens=150)
    stream.wait_tokens(10)
    s.judge(s.book(0, "/key-before", "key-before")["outcome"] == "done",
            "key before the outage: done")

    c.store_fault(down=True)
    s.judge(s.book(1, "/ticket-before", before)["outcome"] == "done",
            "outage: a ticket from before the outage runs")
    s.judge(s.book(0, "/ticket-during", s.ticket(1))["outcome"] == "done",
            "outage: a new ticket runs")
    during = s.generate("during", tokens=20).wait_end()
    s.judge(during.outcome == "done" and stream.wait_end().outcome == "done",
            "outage: streams are complete")
    for path, key in (("/key-during", "key-during"),
                      ("/key-before", "key-before")):
        answer = s.book(1, path, key)
        s.judge(answer["outcome"] == "unknown"
                and answer["error"]["retry_after_ms"] > 0,
                f"outage: {key}: unknown, with retry_after_ms", answer)
    s.judge(s.effects("/key-during") == 0, "outage: key-during did not run")

    c.store_fault(down=False)
    first = wait_for("the key works again", lambda: _done(s, "key-during"))
    again = s.book(1, "/key-during", "key-during")
    s.judge(again["outcome"] == "done" and again["replayed"]
            and again["body"] == first["body"],
            "afterwards: the key runs once, its repeat gets the result", again)
    again = s.book(1, "/key-before", "key-before")
    s.judge(again["outcome"] == "done" and again["replayed"],
            "afterwards: the earlier key gets its first result", again)

    c.store_fault(lose_answers=1)
    lost = s.book(0, "/lost", "lost")
    s.judge(lost["outcome"] == "done" and s.effects("/lost") == 1,
            "lost response to the claim of a key: done, ran once", lost)
    s.judge(c.store_audit()["lost"] == 1, "one response was lost")

    start = _calls(c)
    time.sleep(MEASURE_S)
    rate = (_calls(c) - start) / MEASURE_S
    s.judge(rate <= MAX_CALLS_PER_S,
            "afterwards: calls to the store are bounded", f"{rate:.1f}/s")


def _done(s, key):
    answer = s.book(0, "/" + key, key)
    return answer if answer["outcome"] == "done" else None


def _calls(c):
    audit = c.store_audit()
    return audit["reads"] + audit["writes"]
