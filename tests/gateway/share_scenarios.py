"""Scenarios of gateways and engines without observers: the gateways tell each other
what they have at the engines."""

import asyncio
import collections

from fleet import Fleet
from scenarios import GEN_HEADERS
from standins import chunk, event, start_stream

GATEWAYS = 6
ENGINES = 6
# Half of what fits into the engines.
STREAMS = 24
LARGE = {**GEN_HEADERS, "Token-Usage": "4000,200"}


async def shares(bench):
    """Streams begin one after another at gateways in turn, and last: no engine has
    many more than its part, also after one gateway was killed."""
    running = collections.Counter()
    most = collections.Counter()

    async def script(target, request, writer):
        running[target.name] += 1
        most[target.name] = max(most[target.name], running[target.name])
        await start_stream(request, writer)
        for i in range(30):
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.1)
        writer.write(chunk(b""))
        running[target.name] -= 1
        return True

    fleet = Fleet(bench, GATEWAYS)
    await fleet.add_targets(ENGINES, "model", script)
    await fleet.start()
    for text in ("all", "one killed"):
        most.clear()
        running.clear()
        gateways = fleet.gateways if text == "all" else fleet.gateways[1:]
        tasks = []
        for i in range(STREAMS):
            tasks.append(asyncio.ensure_future(gateways[i % len(gateways)].send(
                "POST", f"/long/{i}", b"x", **LARGE)))
            await asyncio.sleep(0.1)
        served = [(await t)[0] for t in tasks]
        bench.say(f"{text}: served {served.count(200)}, at most "
                  f"{max(most.values())} at one engine, of {len(most)}")
        if text == "all":
            fleet.gateways[0].process.kill()
            await asyncio.sleep(2)
