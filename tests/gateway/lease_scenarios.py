"""Scenarios of migrations off engines that have no observer: the gateways grant
each other leases, so that one copy at a time goes over an engine's network link."""

import asyncio
import json
import signal

from fleet import Fleet
from scenarios import GEN_HEADERS
from standins import answer, chunk, event, start_stream

GATEWAYS = 3
COPY_S = 0.25
NOTICE_S = 4


class Links:
    """Copies under way over the link of each engine."""

    def __init__(self):
        self.now = {}
        self.most = 0

    async def copy(self, *engines):
        for engine in engines:
            self.now[engine] = self.now.get(engine, 0) + 1
            self.most = max(self.most, self.now[engine])
        await asyncio.sleep(COPY_S)
        for engine in engines:
            self.now[engine] -= 1


def engine_script(links, stopped, ended):
    async def script(target, request, writer):
        if request.path == "/kv-move":
            order = json.loads(request.body)
            run = order["InstanceId"]
            if order["Final"]:
                stopped.add(run)
            else:
                await links.copy(f"{target.address}:{target.port}", order["To"])
            writer.write(answer(200, json.dumps(
                {"Session": f"h{run}", "Created": 4}).encode()))
            return True
        if request.method == "DELETE":
            writer.write(answer(200))
            return True
        run = request.headers["attempt-id"]
        first = int(request.headers.get("last-event-id", "-1")) + 1
        await start_stream(request, writer)
        for i in range(first, 400 if first == 0 else first + 3):
            if first == 0 and (run in stopped or target.name in ended):
                return False
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        return True
    return script


async def drain(bench, sources, streams, before_drain=None, destinations=3):
    """STREAMS streams at the engines SOURCES, through gateways in turn; the
    engines drain at one time, and end after NOTICE_S."""
    links, ended = Links(), set()
    script = engine_script(links, set(), ended)
    fleet = Fleet(bench, GATEWAYS)
    await fleet.start()
    for i in range(1, sources + 1):
        await bench.add_target(f"m{i}", "model", script)
    await asyncio.sleep(2)
    callers = []
    for i in range(streams):
        gateway = fleet.gateways[i % GATEWAYS]
        callers.append(asyncio.ensure_future(gateway.send(
            "POST", f"/long/{i}", b"x",
            **{**GEN_HEADERS, "Attempt-Id": f"run-{i}"})))
    await asyncio.sleep(0.3)
    for i in range(sources + 1, sources + 1 + destinations):
        await bench.add_target(f"m{i}", "model", script)
    await asyncio.sleep(2)
    if before_drain:
        before_drain(fleet)
    for i in range(1, sources + 1):
        engine = bench.targets[f"m{i}"]
        await bench.store.put("servers", engine.name, engine.record("draining"))
    await asyncio.sleep(NOTICE_S)
    ended.update(f"m{i}" for i in range(1, sources + 1))
    answers = await asyncio.gather(*callers)
    whole = 0
    for status, _, body in answers:
        numbers = [int(l[4:]) for l in body.decode().split("\n")
                   if l.startswith("id:")]
        whole += status == 200 and numbers == list(range(len(numbers)))
    return links, whole


async def leases_of_gateways(bench):
    """The streams of an engine are migrated one after the other."""
    links, whole = await drain(bench, 1, 6)
    bench.say(f"whole {whole}, copies at a time {links.most}")


async def leases_of_two_engines(bench):
    """Two engines drain at one time, and one has room: it does not get two copies
    at once."""
    links, whole = await drain(bench, 2, 6, destinations=1)
    bench.say(f"whole {whole}, copies at a time {links.most}")


async def leases_without_granter(bench):
    """The gateway that would grant them stands still: the others migrate their
    streams all the same."""
    def stall(fleet):
        for gateway in fleet.gateways[1:]:
            gateway.process.send_signal(signal.SIGSTOP)

    links, whole = await drain(bench, 1, 1, stall)
    bench.say(f"whole {whole}")
