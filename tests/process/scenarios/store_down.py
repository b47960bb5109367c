"""The store is down before, during and after calls, or loses answers."""

import time

from cluster import wait_for

WATCH_S = 3
READS_PER_S = 6  # two entries that poll every second, and some slack


def run(s):
    c = s.start(engines=1, services=1, engine_flags=["--token-ms", "20"])
    before = s.ticket(0)
    stream = s.generate("across", tokens=150)
    stream.wait_tokens(10)
    s.judge(s.book(0, "/key-before", "key-before")["outcome"] == "done",
            "key before the outage: done")

    c.store_fault(down=True)
    s.judge(s.book(1, "/ticket-before", before)["outcome"] == "done",
            "outage: ticket from before it runs")
    s.judge(s.book(0, "/ticket-during", s.ticket(1))["outcome"] == "done",
            "outage: a new ticket runs")
    during = s.generate("during", tokens=20).wait_end()
    s.judge(during.outcome == "done" and stream.wait_end().outcome == "done",
            "outage: streams are whole")
    for path, key in (("/key-during", "key-during"),
                      ("/key-before", "key-before")):
        answer = s.book(1, path, key)
        s.judge(answer["outcome"] == "unknown"
                and answer["error"]["retry_after_ms"] > 0,
                f"outage: {key}: unknown, with a time to come back", answer)
    s.judge(s.effects("/key-during") == 0, "outage: it did not run")

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
            "lost answer of a claim: settled, done, ran once", lost)
    s.judge(c.store_audit()["lost"] == 1, "one answer was lost")

    start = _calls(c)
    time.sleep(WATCH_S)
    rate = (_calls(c) - start) / WATCH_S
    s.judge(rate <= READS_PER_S, "afterwards: calls to the store are bounded",
            f"{rate:.1f}/s")


def _done(s, key):
    answer = s.book(0, "/" + key, key)
    return answer if answer["outcome"] == "done" else None


def _calls(c):
    audit = c.store_audit()
    return audit["reads"] + audit["writes"]
