"""kill -9 of an engine's side in the middle of streams."""


def run(s):
    c = s.start(engines=2, services=0, engine_flags=["--token-ms", "20"])
    c.unlist("e1")
    for entry in (0, 1):
        c.wait_state(entry, "e1", "draining")
    streamed = s.generate("streamed", tokens=400, entries=(0,))
    whole = s.generate("whole", tokens=400, entries=(1,), whole=True)
    streamed.wait_tokens(10)
    c.list_target("e1")
    for entry in (0, 1):
        c.wait_state(entry, "e1", "live")
    c["side-e0"].kill()
    streamed.wait_end()
    s.judge(streamed.outcome == "interrupted"
            and streamed.record["error"]["retry_after_ms"] > 0,
            "streamed: interrupted, with a time to come back",
            (streamed.outcome, streamed.record["error"]))
    whole.wait_end()
    s.judge(whole.outcome == "done", "whole: run again elsewhere and done",
            (whole.outcome, whole.record["error"]))
    c.start_side("e0")
    for entry in (0, 1):
        c.wait_state(entry, "e0", "live")
    after = [s.generate(f"after{k}", tokens=20, entries=(k % 2,)).wait_end()
             for k in range(2)]
    s.judge(all(x.outcome == "done" for x in after),
            "a new side beside it: it serves again",
            [(x.outcome, x.record["error"]) for x in after])
