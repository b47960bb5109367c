"""Changes of the configuration: two operators at once, a store outage right
after a change, and a lost response to a change.  Every accepted change takes
effect at every entry and side, also at those that start during the outage."""

import threading
import time

from cluster import wait_for

IN_EFFECT_S = 19  # longest time until a change is in effect everywhere
# max_tokens of the class after the change before the outage, and after the
# change whose response is lost.
OUTAGE_MAX_TOKENS = 5
LOST_RESPONSE_MAX_TOKENS = 7


def run(s):
    c = s.start(engines=2, services=0, engine_flags=["--token-ms", "5"])
    base = c.config_version(0)
    answers = _change_concurrently(c, base)
    outcomes = sorted(_outcome(a[2]) for a in answers)
    s.judge(outcomes == ["accepted", "conflict"]
            and sorted(a[0] for a in answers) == [200, 409],
            "two operators at once: one accepted, one conflict", answers)
    wait_for("the change is in effect",
             lambda: _in_effect(c, base + 1), IN_EFFECT_S)

    status, _, answer = _change(
        c, 0, f"set class live max_tokens {OUTAGE_MAX_TOKENS}", None)
    accepted_at = time.monotonic()
    c.store_fault(down=True)
    s.judge(status == 200 and answer["outcome"] == "accepted",
            "a change is accepted, and the store goes down", answer)
    version = answer["version"]
    # Wait longer than IN_EFFECT_S, so that a late change is reported below.
    wait_for("the change is in effect",
             lambda: _in_effect(c, version), IN_EFFECT_S + 10)
    took = time.monotonic() - accepted_at
    s.judge(took < IN_EFFECT_S, "in effect at every entry and side in time",
            f"{took:.1f} s")

    c["side-e1"].kill()
    c["entry1"].kill()
    c.wait_state(0, "e1", "lost")
    c.start_side("e1")
    c.start_entry(1)
    streams = [s.generate(f"new{k}", tokens=50, entries=(k % 2,))
               for k in range(8)]
    c.wait_state(0, "e1", "live")
    streams += [s.generate(f"later{k}", tokens=50, entries=(0,))
                for k in range(8)]
    wait_for("the new entry serves", lambda: c.config_version(1) >= version)
    c.wait_state(1, "e1", "live")
    streams += [s.generate(f"last{k}", tokens=50, entries=(1,))
                for k in range(8)]
    for caller in streams:
        caller.wait_end()
    done = [x for x in streams if x.outcome == "done"]
    s.judge(all(x.outcome in ("done", "refused") for x in streams),
            "entry and side started during the outage: done or refused",
            [(x.outcome, x.record["error"]) for x in streams])
    s.judge(done and all(x.count == OUTAGE_MAX_TOKENS for x in done),
            "none was served under an older version",
            [x.count for x in done])
    s.judge(any(a["target"] == "e1" and a["streams"] for a in c.audits()),
            "the new side served some of them")

    c.store_fault(down=False)
    wait_for("the store is back",
             lambda: _change(c, 0, "set class report priority 41",
                             None)[0] == 200)
    before = c.config_version(0)
    c.store_fault(lose_answers=1)
    status, _, answer = _change(
        c, 0, f"set class live max_tokens {LOST_RESPONSE_MAX_TOKENS}", None)
    s.judge(status == 200 and answer["outcome"] == "accepted"
            and c.store_audit()["lost"] == 1,
            "lost response to a change: reported as accepted", answer)
    wait_for("the change is in effect",
             lambda: _in_effect(c, before + 1), IN_EFFECT_S)
    s.judge(s.generate("lost", tokens=50, entries=(1,)).wait_end().count
            == LOST_RESPONSE_MAX_TOKENS, "and in effect")


def _outcome(answer):
    return answer.get("outcome") or answer["error"]["outcome"]


def _change(c, entry, text, base):
    headers = {} if base is None else {"X-Base-Version": str(base)}
    return c.operator(entry, "POST", "change", text, headers)


def _change_concurrently(c, base):
    answers = []
    barrier = threading.Barrier(2)

    def one(entry):
        barrier.wait()
        answers.append(_change(c, entry, "set account caller weight "
                               f"{entry + 2}", base))

    threads = [threading.Thread(target=one, args=(e,)) for e in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def _in_effect(c, version):
    """Whether every entry has VERSION and sees it at every side."""
    for entry in range(len(c.entries)):
        if c.config_version(entry) < version:
            return False
        if any(int(row["config"]) < version
               for row in c.rows(entry)["rows"]):
            return False
    return True
