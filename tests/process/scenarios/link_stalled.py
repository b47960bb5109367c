"""Network links that stall without being closed, or break.  Streams survive a
short stall; after a long one they are interrupted or resumed at another entry,
and non-streamed requests are retried."""

import time

SIDE_TIMEOUT_S = 6  # a silent side counts as lost after 3 s
ENGINE_TIMEOUT_S = 12  # SILENCE_LOST in side/engine_events.c: 10 s
SHORT_S = 1.2


def run(s):
    c = s.start(engines=2, services=0, relays=True,
                engine_flags=["--token-ms", "20"])
    _short_stall(s, c)
    _long_stall(s, c)
    _engine_link(s, c)


def _use_only(c, name, other):
    """Remove OTHER from the list, so that new work goes to NAME only."""
    c.unlist(other)
    for entry in (0, 1):
        c.wait_state(entry, other, "draining")
        c.wait_state(entry, name, "live")


def _relist(c, name):
    c.list_target(name)
    for entry in (0, 1):
        c.wait_state(entry, name, "live")


def _short_stall(s, c):
    _use_only(c, "e0", "e1")
    streams = [s.generate(f"short{k}", entries=(0,), tokens=200)
               for k in range(3)]
    for caller in streams:
        caller.wait_tokens(10)
    c.link_relays["e0"].stall()
    time.sleep(SHORT_S)
    c.link_relays["e0"].resume()
    for caller in streams:
        caller.wait_end()
    s.judge(all(x.outcome == "done" for x in streams),
            "entry-side link stalls for 1.2 s: streams continue",
            [(x.outcome, x.record["error"]) for x in streams])
    _relist(c, "e1")


def _long_stall(s, c):
    _use_only(c, "e0", "e1")
    streamed = s.generate("streamed", tokens=600, resume_interrupted=True)
    plain = s.generate("plain", entries=(0,), tokens=600)
    non_streamed = s.generate("whole", entries=(0,), tokens=100,
                              non_streamed=True)
    streamed.wait_tokens(10)
    plain.wait_tokens(10)
    _relist(c, "e1")
    stalled_at = time.monotonic()
    c.link_relays["e0"].stall()
    plain.wait_end()
    s.judge(plain.outcome == "interrupted"
            and plain.ended_at - stalled_at < SIDE_TIMEOUT_S,
            "link stays stalled: interrupted within 6 s",
            (plain.outcome, plain.ended_at - stalled_at))
    non_streamed.wait_end()
    s.judge(non_streamed.outcome == "done",
            "a non-streamed request is retried and done",
            (non_streamed.outcome, non_streamed.record["error"]))
    streamed.wait_end()
    s.judge(streamed.outcome == "done" and streamed.count == 600,
            "resumed at the other entry: same generation, complete",
            (streamed.outcome, streamed.record["error"]))
    new = [s.generate(f"new{k}", entries=(0,), tokens=20).wait_end()
           for k in range(4)]
    s.judge(all(x.outcome == "done" for x in new),
            "new requests go to the other target")
    c.link_relays["e0"].resume()
    c.wait_state(0, "e0", "live")
    s.say("the link works and the target is live again")


def _engine_link(s, c):
    streams = [s.generate(f"broken{k}", tokens=200) for k in range(4)]
    for caller in streams:
        caller.wait_tokens(10)
    for relay in c.target_relays.values():
        relay.cut()
    for caller in streams:
        caller.wait_end()
    s.judge(all(x.outcome == "done" for x in streams),
            "side-engine link breaks: streams are resumed and complete",
            [(x.outcome, x.record["error"]) for x in streams])
    _use_only(c, "e0", "e1")
    streamed = s.generate("silent", entries=(0,), tokens=600)
    non_streamed = s.generate("silent-whole", entries=(0,), tokens=200,
                              non_streamed=True)
    streamed.wait_tokens(10)
    _relist(c, "e1")
    stalled_at = time.monotonic()
    c.target_relays["e0"].stall()
    streamed.wait_end()
    non_streamed.wait_end()
    s.judge(streamed.outcome == "interrupted"
            and streamed.ended_at - stalled_at < ENGINE_TIMEOUT_S,
            "side-engine link stalls: interrupted within 12 s",
            (streamed.outcome, streamed.ended_at - stalled_at))
    s.judge(non_streamed.outcome == "done",
            "a non-streamed request is retried and done",
            (non_streamed.outcome, non_streamed.record["error"]))
    c.target_relays["e0"].resume()
    c.wait_state(0, "e0", "live")
    s.say("the engine responds and the target is live again")
