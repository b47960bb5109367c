"""Scenarios of streams that are taken up after all gateways have ended."""

import asyncio

from fleet import Fleet
from standins import EngineStatus
from version_scenarios import Stream, add_engine, version_events

GATEWAYS = 5
STREAMS = 40
NEXT = ("n0", "n1")


async def observe_all(bench, names):
    """Engines' observers, on hosts that do not end with the gateways."""
    observers = []
    for name in names:
        engine = await EngineStatus(name).start()
        observers.append(await bench.spawn_observer(engine))
    bench.observers += observers
    await asyncio.sleep(2.5)
    return observers


async def start(bench, versions):
    """A fleet, and engines of VERSIONS with observers."""
    fleet = Fleet(bench, GATEWAYS)
    script = version_events(bench, delay_s=0.2)
    names = []
    await fleet.start(retry_ratio=1)
    for i, version in enumerate(versions):
        names.append(f"m{i}")
        await add_engine(bench, f"m{i}", version, script)
    fleet.engine_observers = await observe_all(bench, names)
    return fleet, script


async def add_next(bench, script):
    """Engines of the next version."""
    for name in NEXT:
        await add_engine(bench, name, "v2", script)


async def begin(fleet, count=STREAMS):
    streams = [Stream(fleet, i) for i in range(count)]
    await asyncio.gather(*(
        s.begin(fleet.gateways[s.number % GATEWAYS]) for s in streams))
    return streams


async def end_all_gateways(fleet, meanwhile=None, away_s=1.0):
    """Kill all gateways, and start them again at their addresses after
    MEANWHILE."""
    for gateway in fleet.gateways:
        gateway.process.kill()
    for gateway in fleet.gateways:
        await gateway.process.wait()
    if meanwhile:
        await meanwhile
    await asyncio.sleep(away_s)
    for gateway in fleet.gateways:
        await gateway.start_process()
        if gateway is not fleet.bench:
            fleet.bench.observers.append(gateway.process)
    for gateway in fleet.gateways:
        await gateway.until(gateway.is_ready)


async def take_up(bench, fleet, streams):
    """Callers come again at any gateway, at most four times."""
    async def come_again(stream):
        for _ in range(4):
            await stream.take_up(fleet.draw_gateway())
            if stream.statuses[-1] != 503:
                return
            await asyncio.sleep(0.5)
    await asyncio.gather(*(come_again(s) for s in streams))
    going_on = sum(s.goes_on() for s in streams)
    mixed = sum(s.is_mixed() for s in streams)
    return going_on, mixed


async def rejoined_two_versions(bench):
    """Two versions serve as all gateways end: streams go on at theirs."""
    fleet, _ = await start(bench, ["v1", "v1", "v2", "v2"])
    streams = await begin(fleet)
    await end_all_gateways(fleet)
    going_on, mixed = await take_up(bench, fleet, streams)
    bench.say(f"half or more go on: {going_on >= STREAMS / 2}, "
              f"of two versions: {mixed}")


async def rejoined_version_left(bench):
    """The former version's engines leave as all gateways end, and the next one is
    all that these see at their start: no stream goes on there."""
    fleet, script = await start(bench, ["v1", "v1"])
    streams = await begin(fleet)
    for name in ("m0", "m1"):
        await bench.store.remove("servers", name)
    await end_all_gateways(fleet, add_next(bench, script))
    _, mixed = await take_up(bench, fleet, streams)
    bench.say(f"of two versions: {mixed}")


async def rejoined_version_and_hosts_left(bench):
    """The same, and the hosts of the former engines have left too."""
    fleet, script = await start(bench, ["v1", "v1"])
    streams = await begin(fleet)
    for name in ("m0", "m1"):
        await bench.store.remove("servers", name)
    for process in fleet.engine_observers:
        process.kill()
    await add_next(bench, script)
    await observe_all(bench, NEXT)
    await end_all_gateways(fleet)
    _, mixed = await take_up(bench, fleet, streams)
    bench.say(f"of two versions: {mixed}")


async def rejoined_one_version(bench):
    """One version serves all the time: streams go on."""
    fleet, _ = await start(bench, ["v1", "v1"])
    streams = await begin(fleet)
    await end_all_gateways(fleet)
    going_on, mixed = await take_up(bench, fleet, streams)
    bench.say(f"half or more go on: {going_on >= STREAMS / 2}, "
              f"of two versions: {mixed}")
