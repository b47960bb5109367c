"""kill -9 of an entry in the middle of streams and of a booking."""

from cluster import wait_for


def run(s):
    c = s.start(engines=2, services=1, engine_flags=["--token-ms", "20"],
                service_flags=["--work-ms", "1500"])
    streams = [s.generate(f"p{k}", tokens=150) for k in range(6)]
    mine = s.ticket(0)
    first = s.booking(0, "/ticket", mine)
    wait_for("the booking runs", lambda: s.effects("/ticket") == 1)
    for caller in streams:
        caller.wait_tokens(20)
    c["entry0"].kill()
    for caller in streams:
        caller.wait_end()
    s.judge(all(x.outcome == "done" and x.count == 150 for x in streams),
            "streams resumed at the other entry: all whole",
            [(x.outcome, x.count, x.record["error"]) for x in streams])
    s.judge(all(x.record["connections"] == 2 for x in streams),
            "each came back once")
    s.judge(first.wait_end()["outcome"] == "cut", "booking lost its caller")
    again = s.book(1, "/ticket", mine)
    s.judge(again["outcome"] == "done" and again["replayed"],
            "its repeat at the other entry: the first result", again)
    s.judge(s.effects("/ticket") == 1, "it ran once")
