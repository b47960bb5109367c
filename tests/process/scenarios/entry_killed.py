"""SIGKILL of an entry during streams and a call: streams are resumed at the
other entry, and a repeat of the call there gets its first result."""

from cluster import wait_for


def run(s):
    c = s.start(engines=2, services=1, engine_flags=["--token-ms", "20"],
                service_flags=["--work-ms", "1500"])
    streams = [s.generate(f"p{k}", tokens=150) for k in range(6)]
    ticket = s.ticket(0)
    first = s.booking(0, "/ticket", ticket)
    wait_for("the booking runs", lambda: s.effects("/ticket") == 1)
    for caller in streams:
        caller.wait_tokens(20)
    c["entry0"].kill()
    for caller in streams:
        caller.wait_end()
    s.judge(all(x.outcome == "done" and x.count == 150 for x in streams),
            "streams resumed at the other entry: all complete",
            [(x.outcome, x.count, x.record["error"]) for x in streams])
    s.judge(all(x.record["connections"] == 2 for x in streams),
            "each reconnected once")
    s.judge(first.wait_end()["outcome"] == "cut",
            "the booking's connection is cut")
    again = s.book(1, "/ticket", ticket)
    s.judge(again["outcome"] == "done" and again["replayed"],
            "its repeat at the other entry: the first result", again)
    s.judge(s.effects("/ticket") == 1, "the booking ran once")
