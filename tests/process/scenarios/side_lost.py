"""SIGKILL of an engine's side during generations: a streamed one is
interrupted, a non-streamed one is retried at the other engine."""


def run(s):
    c = s.start(engines=2, services=0, engine_flags=["--token-ms", "20"])
    c.unlist("e1")  # all work goes to e0
    for entry in (0, 1):
        c.wait_state(entry, "e1", "draining")
    streamed = s.generate("streamed", tokens=400, entries=(0,))
    non_streamed = s.generate("whole", tokens=400, entries=(1,),
                              non_streamed=True)
    streamed.wait_tokens(10)
    c.list_target("e1")
    for entry in (0, 1):
        c.wait_state(entry, "e1", "live")
    c["side-e0"].kill()
    streamed.wait_end()
    s.judge(streamed.outcome == "interrupted"
            and streamed.record["error"]["retry_after_ms"] > 0,
            "streamed: interrupted, with retry_after_ms",
            (streamed.outcome, streamed.record["error"]))
    non_streamed.wait_end()
    s.judge(non_streamed.outcome == "done",
            "non-streamed: retried elsewhere and done",
            (non_streamed.outcome, non_streamed.record["error"]))
    c.start_side("e0")
    for entry in (0, 1):
        c.wait_state(entry, "e0", "live")
    after = [s.generate(f"after{k}", tokens=20, entries=(k % 2,)).wait_end()
             for k in range(2)]
    s.judge(all(x.outcome == "done" for x in after),
            "restarted side: the engine serves again",
            [(x.outcome, x.record["error"]) for x in after])
