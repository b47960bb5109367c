"""SIGKILL of a service's side during calls.  Whether they ran is unknown:
repeats must not run them again, also after the side has restarted."""

from cluster import wait_for


def run(s):
    c = s.start(engines=0, services=1, service_flags=["--work-ms", "1500"])

    shared = s.ticket(0)
    callers = [s.booking(k % 2, "/both", shared) for k in range(6)]
    answers = [caller.wait_end() for caller in callers]
    s.judge({a["outcome"] for a in answers} == {"done"}
            and len({a["body"] for a in answers}) == 1,
            "one ticket at two entries at once: all got the same response",
            answers)
    s.judge(s.effects("/both") == 1, "the call ran once")

    ticket = s.ticket(0)
    first = s.booking(0, "/ticket", ticket)
    named = s.booking(1, "/named", "booking-7")
    wait_for("both calls run", lambda: s.effects("/ticket") == 1
             and s.effects("/named") == 1)
    c["side-s0"].kill()
    s.judge(first.wait_end()["outcome"] == "unknown",
            "side killed while the ticket ran: unknown", first.record)
    s.judge(named.wait_end()["outcome"] == "unknown",
            "side killed while the key ran: unknown", named.record)

    c.start_side("s0")
    for entry in (0, 1):
        c.wait_state(entry, "s0", "live")
    for entry in (0, 1):
        again = s.book(entry, "/ticket", ticket)
        s.judge(again["outcome"] == "unknown"
                and again["error"]["code"] == "ticket_expired",
                f"repeat of the ticket at entry {entry}: unknown", again)
        again = s.book(entry, "/named", "booking-7")
        s.judge(again["outcome"] == "unknown",
                f"repeat of the key at entry {entry}: unknown", again)
    s.judge(s.effects("/ticket") == 1 and s.effects("/named") == 1,
            "each ran once", s.effects())
    s.judge(s.book(1, "/new", s.ticket(1))["outcome"] == "done",
            "a new ticket runs")
