"""Two faults at once: store outage with a killed side, and a killed engine
with a frozen entry.  Calls keep one definite outcome, and streams of the other
engine are resumed."""

from cluster import wait_for

READ_TIMEOUT_S = 4


def run(s):
    c = s.start(engines=2, services=2, engine_flags=["--token-ms", "20"],
                service_flags=["--work-ms", "1000"])
    _store_and_side(s, c)
    _engine_and_entry(s, c)


def _store_and_side(s, c):
    tickets = [s.ticket(k % 2) for k in range(8)]
    stream = s.generate("across", tokens=200)
    calls = [s.booking(k % 2, f"/pair{k}", t) for k, t in enumerate(tickets)]
    wait_for("all bookings run", lambda: s.effects() == len(tickets))
    c.store_fault(down=True)
    c["side-s0"].kill()
    ends = [call.wait_end()["outcome"] for call in calls]
    s.judge(set(ends) <= {"done", "unknown"} and "done" in ends
            and "unknown" in ends,
            "store down, side killed: done or unknown", ends)
    again = [s.book(1 - k % 2, f"/pair{k}", t)["outcome"]
             for k, t in enumerate(tickets)]
    s.judge(again == ends, "repeats at the other entry: the same", again)
    c.wait_state(0, "s0", "lost")
    s.judge(s.book(0, "/other", s.ticket(0))["outcome"] == "done",
            "new tickets run at the other target")
    c.start_side("s0")
    for entry in (0, 1):
        c.wait_state(entry, "s0", "live")
    again = [s.book(k % 2, f"/pair{k}", t)["outcome"]
             for k, t in enumerate(tickets)]
    s.judge(again == ends, "repeats after the side restarted: the same", again)
    s.judge(stream.wait_end().outcome == "done", "a stream continues")
    c.store_fault(down=False)


def _engine_and_entry(s, c):
    streams = [s.generate(f"frozen{k}", tokens=300,
                          read_timeout_s=READ_TIMEOUT_S)
               for k in range(6)]
    for caller in streams:
        caller.wait_tokens(10)
    c["entry0"].freeze()
    c.kill_target("e0")
    for caller in streams:
        caller.wait_end()
    s.judge({x.outcome for x in streams} <= {"done", "interrupted"}
            and any(x.outcome == "done" for x in streams),
            "engine killed, entry frozen: done or interrupted",
            [(x.outcome, x.record["error"]) for x in streams])
    s.judge(all(x.count == 300 for x in streams if x.outcome == "done"),
            "those of the other engine are resumed and complete")
    c.start_target("e0")
    c["entry0"].unfreeze()
    # Just after it continues, an entry still shows its old state.
    wait_for("entry 0 serves", lambda: s.generate(
        "awake", entries=(0,), tokens=5).wait_end().outcome == "done")
    for entry in (0, 1):
        c.wait_state(entry, "e0", "live")
    later = [s.generate(f"later{k}", tokens=20, entries=(k % 2,))
             for k in range(4)]
    s.judge(all(x.wait_end().outcome == "done" for x in later),
            "entry continues: it serves again")
