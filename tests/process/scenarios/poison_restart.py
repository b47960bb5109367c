"""Engines that die and serve again before their side can look: the content
aboard is under suspicion all the same."""

from cluster import wait_for

LOAD_POLL_MS = 5000  # the side learns of a death by the streams alone
TOKENS = 3000


def run(s):
    c = s.start(engines=2, services=0, engine_flags=["--token-ms", "20"],
                side_settings={"load_poll_ms": LOAD_POLL_MS})
    s.lost_audits = True
    caller = s.generate("aboard", tokens=TOKENS, whole=True, entries=(0,))
    before = None
    for death in range(2):
        before = wait_for("it runs at an engine that lives",
                          lambda b=before: _runs_at(c, b))
        _die_unseen(c, before)
        s.say(f"death {death + 1}")
    caller.wait_end()
    s.judge(caller.record["error"]
            and caller.record["error"]["code"] == "content_refused",
            "after two deaths with it aboard, the content is refused",
            (caller.outcome, caller.record["error"]))
    again = s.generate("aboard", tokens=TOKENS, entries=(1,)).wait_end()
    s.judge(again.outcome == "refused", "and at the other entry",
            (again.outcome, again.record["error"]))


def _runs_at(c, before):
    """The target, other than BEFORE, whose engine runs the content."""
    for name in c.targets:
        streams = c.audit(name)["streams"]
        if name != before and any(x["produced"] > 2 and not x["cancelled"]
                                  for x in streams):
            return name
    return None


def _die_unseen(c, name):
    """The side stands still while its engine dies and is started again."""
    c["side-" + name].freeze()
    c.kill_target(name)
    c.start_target(name)
    c["side-" + name].thaw()
