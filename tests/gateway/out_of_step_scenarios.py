"""Scenarios of a release during which one gateway is out of step for some seconds:
engines of a new version join, and streams that began there through the others
are taken up at this gateway when it is back."""

import asyncio
import signal

from page_scenarios import PageFleet
from version_scenarios import Stream, add_engine, say_streams, version_events

GATEWAYS = 4
STREAMS = 16
OUT_S = 3
# The store knows of no gateway at this address.
NOWHERE = {"address": "127.0.0.1", "port": 9}


async def release(bench, leave, come_back):
    """LEAVE and COME_BACK (fleet, gateway) put one gateway out of step and back.
    Engines of version 2 join and those of version 1 stay meanwhile."""
    fleet = PageFleet(bench, GATEWAYS)
    script = version_events(bench, 0.1)
    for i in range(2):
        await add_engine(bench, f"m{i}", "v1", script)
    await fleet.start()
    late, others = fleet.gateways[-1], fleet.gateways[:-1]
    await leave(fleet, late)
    for i in range(2, 6):
        await add_engine(bench, f"m{i}", "v2", script)
    for gateway in others:
        await gateway.until_logged("GATEWAY_TARGET_ADDED", target="m5")
    streams = [Stream(fleet, i) for i in range(STREAMS)]
    await asyncio.gather(*(s.begin(others[i % len(others)])
                           for i, s in enumerate(streams)))
    await asyncio.sleep(OUT_S)
    await come_back(fleet, late)
    await asyncio.gather(*(s.take_up(late) for s in streams))
    say_streams(bench, streams)


async def out_of_step_stalled(bench):
    """It stands still."""
    async def leave(fleet, gateway):
        gateway.process.send_signal(signal.SIGSTOP)

    async def come_back(fleet, gateway):
        gateway.process.send_signal(signal.SIGCONT)

    await release(bench, leave, come_back)


async def out_of_step_turned_away(bench):
    """The store turns it away."""
    async def leave(fleet, gateway):
        fleet.doors[-1].is_closed = True

    async def come_back(fleet, gateway):
        fleet.doors[-1].is_closed = False

    await release(bench, leave, come_back)


async def out_of_step_unheard(bench):
    """The others do not know its address: it hears nothing, but reads the
    store."""
    name = f"gateway-{GATEWAYS}"

    async def write(fleet, spec):
        await fleet.bench.store.put("gateways", name, spec)
        # The others read the list of gateways every 2 s.
        await asyncio.sleep(2.5)

    async def leave(fleet, gateway):
        item = fleet.bench.store.objects[("gateways", name)]
        fleet.own_entry = item["Spec"]
        await write(fleet, {**item["Spec"], **{
            k: NOWHERE["port"] if isinstance(v, int) else v
            for k, v in item["Spec"].items()}})

    async def come_back(fleet, gateway):
        await fleet.bench.store.put("gateways", name, fleet.own_entry)

    await release(bench, leave, come_back)
