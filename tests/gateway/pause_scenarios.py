"""Scenarios of targets that turn requests away for a time: a gateway sends them
nothing for as long as they say."""

import asyncio
import time

from scenarios import GEN_HEADERS
from standins import answer, chunk, event, signed, start_stream

# Requests that may be on their way as a target turns one away.
ON_THE_WAY_S = 0.5


class Pauses:
    """What the targets ask for, by name: the values of Retry-After, and until
    when they turn requests away."""

    def __init__(self):
        self.texts = {}
        self.until = {}
        self.arrivals = {}
        self.running = {}
        self.most_running = {}

    def ask(self, name, seconds, *texts):
        self.texts[name] = texts or (str(seconds),)
        self.until[name] = time.monotonic() + seconds

    def turn_away(self, target, request, writer):
        """Whether the target turned the request away."""
        now = time.monotonic()
        self.arrivals.setdefault(target.name, []).append(now)
        if now >= self.until.get(target.name, 0):
            return False
        attempt = ("Attempt-Id", request.headers["attempt-id"])
        writer.write(answer(503, b"", [attempt, ("Not-Executed", "1")] + [
            ("Retry-After", text) for text in self.texts[target.name]]))
        return True

    def script(self, work_s=0.02):
        async def plain(target, request, writer):
            if self.turn_away(target, request, writer):
                return True
            now = self.running.get(target.name, 0) + 1
            self.running[target.name] = now
            self.most_running[target.name] = max(
                now, self.most_running.get(target.name, 0))
            await asyncio.sleep(work_s)
            self.running[target.name] -= 1
            writer.write(signed(request, b"ok"))
            return True
        return plain

    def engine_script(self):
        async def engine(target, request, writer):
            if self.turn_away(target, request, writer):
                return True
            await start_stream(request, writer)
            writer.write(chunk(event(1)) + b"0\r\n\r\n")
            return True
        return engine

    def late(self, name, since):
        """Arrivals at NAME later than ON_THE_WAY_S after SINCE, until its time
        is over."""
        return sum(since + ON_THE_WAY_S < at < self.until[name]
                   for at in self.arrivals.get(name, []))


async def add_targets(bench, names, service, script):
    for name in names:
        await bench.add_target(name, service, script)
    await bench.start()
    for name in names:
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=name)


async def send_for(bench, seconds, interval_s=0.02):
    """Outcomes, (status, headers, duration), of requests sent each INTERVAL_S."""
    async def send():
        begun = time.monotonic()
        status, headers, _ = await bench.send("GET", "/read/x")
        return status, headers, time.monotonic() - begun

    end = time.monotonic() + seconds
    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


def statuses(outcomes):
    return sorted({status for status, _, _ in outcomes})


async def pause_answer(bench):
    """One of three targets asks for a pause of 1.5 s: it gets nothing until then,
    and callers notice nothing.  After it the load returns gradually."""
    pauses = Pauses()
    await add_targets(bench, ("p1", "p2", "p3"), "plain", pauses.script(0.2))
    since = time.monotonic()
    pauses.ask("p1", 1.5)
    outcomes = await send_for(bench, 1.4)
    bench.say(f"pause: {statuses(outcomes)}, late {pauses.late('p1', since)}")
    await asyncio.sleep(max(0, pauses.until["p1"] - time.monotonic()))
    pauses.most_running["p1"] = 0
    outcomes = await send_for(bench, 0.1)
    bench.say(f"return: {statuses(outcomes)}, at most two at once "
              f"{0 < pauses.most_running['p1'] <= 2}")
    outcomes = await send_for(bench, 1.5)
    bench.say(f"later: {statuses(outcomes)}, more than two at once "
              f"{pauses.most_running['p1'] > 2}")


async def pause_relisted(bench):
    """The entry of a target that pauses is removed, and read again during the
    pause, with that of another target."""
    pauses = Pauses()
    await add_targets(bench, ("p1", "p2"), "plain", pauses.script())
    since = time.monotonic()
    pauses.ask("p1", 8)
    await send_for(bench, 0.2)
    await bench.store.remove("servers", "p1")
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target="p1")
    await asyncio.sleep(0.3)
    await bench.store.put("servers", "p1", bench.targets["p1"].record())
    await bench.add_target("p3", "plain", pauses.script())
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="p3")
    outcomes = await send_for(bench, 0.5)
    bench.say(f"{statuses(outcomes)}, late {pauses.late('p1', since)}, "
              f"still pauses {time.monotonic() < pauses.until['p1']}")


async def restart(bench, name):
    """The entry of NAME shows that it has started again under its id."""
    await bench.store.put("servers", name,
                          {**bench.targets[name].record(), "born": 2})
    await bench.until_logged("GATEWAY_TARGET_ADDED", target=name, started_ms=2)


async def pause_restarted(bench):
    """A target that has started again asks for a pause before the gateway reads
    of its start."""
    pauses = Pauses()
    await add_targets(bench, ("p1", "p2"), "plain", pauses.script())
    since = time.monotonic()
    pauses.ask("p1", 4)
    await send_for(bench, 0.2)
    await restart(bench, "p1")
    outcomes = await send_for(bench, 1)
    bench.say(f"{statuses(outcomes)}, late {pauses.late('p1', since)}, "
              f"still pauses {time.monotonic() < pauses.until['p1']}")


async def pause_restarted_late(bench):
    """The answer that asks for the pause comes after the gateway has read of the
    start, to a request that it had sent before; its route allows one attempt."""
    pauses = Pauses()
    script = pauses.script()
    held = asyncio.Event()
    released = asyncio.Event()

    async def hold_first(target, request, writer):
        if target.name == "p1" and not held.is_set():
            held.set()
            await released.wait()
        return await script(target, request, writer)

    await add_targets(bench, ("p1", "p2"), "plain", hold_first)
    # From then on it reads of the start within the timeout of the requests.
    await bench.until_logged("GATEWAY_READER", kind="instances")
    # Requests that are not sent again while their target is silent.
    first = [asyncio.ensure_future(bench.send("POST", "/book/1", b"x"))
             for _ in range(4)]
    await held.wait()
    await restart(bench, "p1")
    since = time.monotonic()
    pauses.ask("p1", 3)
    released.set()
    outcomes = await asyncio.gather(*first)
    await asyncio.sleep(2 * ON_THE_WAY_S)
    outcomes += await send_for(bench, 1)
    bench.say(f"{statuses(outcomes)}, late {pauses.late('p1', since)}, "
              f"still pauses {time.monotonic() < pauses.until['p1']}")


async def pause_all(bench):
    """All targets ask for a pause that is longer than callers wait: they are
    refused at once, and told when the first target takes requests again."""
    pauses = Pauses()
    await add_targets(bench, ("p1", "p2"), "plain", pauses.script())
    asked_at = time.monotonic()
    pauses.ask("p1", 4)
    pauses.ask("p2", 3)
    await send_for(bench, 0.2)
    since = time.monotonic()
    outcomes = await send_for(bench, 1)
    left = pauses.until["p2"] - since
    waits = [float(headers["retry-after"]) for _, headers, _ in outcomes]
    bench.say(f"pause: {statuses(outcomes)}, "
              f"late {sum(pauses.late(n, asked_at) for n in ('p1', 'p2'))}")
    bench.say(f"at once: {max(d for _, _, d in outcomes) < 0.2}, "
              f"not too early: {min(waits) >= left - 1.1}, "
              f"not too late: {max(waits) <= left + 1.2}, "
              f"spread: {len(set(waits)) > len(waits) / 2}")
    # The load returns gradually.
    await asyncio.sleep(max(0, pauses.until["p2"] + 0.4 - time.monotonic()))
    bench.say(f"after it: {statuses(await send_for(bench, 0.5))}")


async def pause_short(bench):
    """All engines ask for a pause that callers can wait for.  The first request
    was at both."""
    pauses = Pauses()
    await add_targets(bench, ("m1", "m2"), "model", pauses.engine_script())
    pauses.ask("m1", 0.4)
    pauses.ask("m2", 0.4)
    served = [(await bench.send("POST", "/tag/1", b"x", **GEN_HEADERS))[0]
              for _ in range(3)]
    turned_away = sum(at < pauses.until[name]
                      for name in pauses.arrivals
                      for at in pauses.arrivals[name])
    bench.say(f"served: {served}, turned away {turned_away}")


async def pause_values(bench):
    """Other values count for nothing, and are logged once for each target."""
    pauses = Pauses()
    await add_targets(bench, ("p1", "p2"), "plain", pauses.script())
    for texts in (("soon",), ("-2",), ("1e9",), ("nan",), ("",), ("1", "2"),
                  ("Wed, 21 Oct 2026 07:28:00 GMT",)):
        pauses.ask("p1", 0.3, *texts)
        await send_for(bench, 0.4)
    arrivals = pauses.arrivals["p1"]
    bench.say(f"still gets requests: {len(arrivals) > 14}, logged "
              f"{len(bench.logged('GATEWAY_PAUSE_INVALID'))}, pauses "
              f"{len(bench.logged('GATEWAY_TARGET_PAUSED'))}")
    pauses.ask("p1", 1)
    pauses.texts["p1"] = ("1.25",)
    outcomes = await send_for(bench, 0.5)
    bench.say(f"a fraction: {statuses(outcomes)}, pauses "
              f"{len(bench.logged('GATEWAY_TARGET_PAUSED', pause_ms=1250))}")


async def pause_engine(bench):
    """An engine asks for a pause: new streams begin at the other one."""
    pauses = Pauses()
    await add_targets(bench, ("m1", "m2"), "model", pauses.engine_script())
    since = time.monotonic()
    pauses.ask("m1", 1.5)
    outcomes = []
    while time.monotonic() < since + 1.3:
        outcomes.append((await bench.send("POST", "/tag/1", b"x",
                                          **GEN_HEADERS))[0])
        await asyncio.sleep(0.02)
    bench.say(f"{sorted(set(outcomes))}, late {pauses.late('m1', since)}, "
              f"turned away {len(pauses.arrivals['m1']) <= 2}")


async def pause_beside_rejection(bench):
    """One engine asks for a long pause, the other one rejects a request without a
    time: the next request waits for the latter."""
    pauses = Pauses()
    await add_targets(bench, ("m1", "m2"), "model", pauses.engine_script())
    pauses.ask("m1", 4)
    while not bench.logged("GATEWAY_TARGET_PAUSED", target="m1"):
        await bench.send("POST", "/tag/1", b"x", **GEN_HEADERS)
    await asyncio.sleep(0.3)
    pauses.ask("m2", 0.05)
    pauses.texts["m2"] = ()
    for i in range(2):
        status, _, _ = await bench.send("POST", "/tag/1", b"x", **GEN_HEADERS)
        bench.say(f"request {i + 1}: {status}")
