"""Scenarios of targets that write an earlier refusal once more on a kept
connection."""

import asyncio

from standins import answer, signed

REQUESTS = 60
REFUSAL = [("Not-Executed", "1")]


class Repeater:
    """Script of targets that refuse each third request, and write the refusal once
    more, with the fields of REPEATED, before the answer to the next request on
    a connection that has served another one."""

    def __init__(self, repeated, status=503):
        self.repeated = repeated
        self.status = status  # of the repeated refusal
        self.runs = {}  # by attempt
        self.refused = {}  # attempt of the last refusal, by target
        self.kept = set()  # connections that have served a request
        self.count = 0

    async def __call__(self, target, request, writer):
        attempt = request.headers["attempt-id"]
        earlier = None
        if writer in self.kept:
            earlier = self.refused.pop(target.name, None)
        self.kept.add(writer)
        if earlier is not None:
            writer.write(answer(self.status, b"", self.repeated(earlier)))
            await asyncio.sleep(0.01)
        self.count += 1
        if earlier is None and self.count % 3 == 0:
            self.refused[target.name] = attempt
            writer.write(answer(503, b"", [("Attempt-Id", attempt), *REFUSAL]))
            return True
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        writer.write(signed(request, b"ok"))
        return True


async def send_all(bench, script, method, path):
    """How many refusals were untrue, and how many requests ran twice."""
    await asyncio.sleep(0.3)
    first = bench.request_count
    statuses = {}
    for i in range(REQUESTS):
        status, _, _ = await bench.send(method, path, b"x")
        statuses[f"a{first + i + 1}"] = status
    untrue = sum(s in (408, 421, 429, 503) and a in script.runs
                 for a, s in statuses.items())
    twice = sum(n > 1 for n in script.runs.values())
    served = sum(s == 200 for s in statuses.values())
    return untrue, twice, served


async def start(bench, script):
    for name in ("p1", "p2"):
        await bench.add_target(name, "plain", script)
    for route in bench.config["Routes"]:
        route["MaxAttempts"] = 2
    await bench.start(retry_ratio=1, retry_slack=800)
    for name in ("p1", "p2"):
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=name)


async def refusal_repeated(bench):
    """The repeated refusal names no request: no caller is told that a request did
    not run which has, and none runs twice that must not."""
    script = Repeater(lambda attempt: REFUSAL)
    await start(bench, script)
    untrue, twice, _ = await send_all(bench, script, "POST", "/book/1")
    bench.say(f"non-idempotent: refused although run {untrue}, "
              f"run twice {twice}")
    untrue, _, served = await send_all(bench, script, "POST", "/read/1")
    bench.say(f"idempotent: refused although run {untrue}, "
              f"most served {served > REQUESTS / 2}")


async def refusal_repeated_named(bench):
    """The same refusals with the name of the earlier request: the answer that
    follows counts."""
    script = Repeater(lambda attempt: [("Attempt-Id", attempt), *REFUSAL])
    await start(bench, script)
    untrue, twice, served = await send_all(bench, script, "POST", "/book/1")
    bench.say(f"refused although run {untrue}, run twice {twice}, "
              f"most served {served > REQUESTS / 2}")


async def refusal_repeated_misdirected(bench):
    """The same with a status that says by itself that the request did not run."""
    script = Repeater(lambda attempt: [], status=421)
    await start(bench, script)
    untrue, twice, _ = await send_all(bench, script, "POST", "/book/1")
    bench.say(f"refused although run {untrue}, run twice {twice}")


async def refusal_unnamed(bench):
    """Targets whose refusals never name a request, on new connections too: each
    is believed on a new one, and the request is sent elsewhere."""
    async def script(target, request, writer):
        if target.name == "p1":
            writer.write(answer(503, b"", REFUSAL))
            writer.close()
            return False
        writer.write(signed(request, b"ok"))
        return True
    await start(bench, script)
    statuses = set()
    for _ in range(30):
        statuses.add((await bench.send("POST", "/book/1", b"x"))[0])
        await asyncio.sleep(0.12)
    bench.say(f"{sorted(statuses)}")
