"""Scenarios of a store that returns from an older copy of itself: revisions that it
gave out are given out again."""

import asyncio
import copy

from standins import signed

# ConfigSyncMs of the deployments: an acknowledged configuration is in force
# within this time.
IN_FORCE_S = 2.0


def configuration(bench, version, paths):
    """A configuration of VERSION whose routes are those of the fixture and
    idempotent ones for PATHS."""
    config = copy.deepcopy(bench.config)
    config["Version"] = version
    config["Routes"] += [
        {**config["Routes"][0], "Name": f"r{path}", "PathPrefix": path}
        for path in paths]
    return config


async def write(bench, version, *paths):
    await bench.store.put("config", "main", configuration(bench, version, paths))


async def fill(bench, changes):
    """Changes of objects that nobody reads."""
    for i in range(changes):
        await bench.store.put("other", "o", {"Count": i})


async def echo(target, request, writer):
    writer.write(signed(request, b"ok"))
    return True


async def status(bench, path):
    return (await bench.send("GET", path + "x"))[0]


async def start(bench):
    """A gateway with version 2, and the copy of the store before it."""
    await bench.add_target("p1", "plain", echo)
    await bench.start()
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="p1")
    older = bench.store.copy()
    await write(bench, 2, "/two/")
    await bench.until_logged("GATEWAY_ROUTING_ADOPTED", version=2)
    return older


async def config_restored(bench):
    """Versions written after the return are in force, although their revisions
    are lower than that of the last one before it."""
    older = await start(bench)
    await fill(bench, 5)
    await write(bench, 3, "/two/", "/three/")
    await bench.until_logged("GATEWAY_ROUTING_ADOPTED", version=3)
    await bench.store.restore(older)
    await asyncio.sleep(1)
    bench.say(f"before the operator writes again: {await status(bench, '/three/')}")
    await write(bench, 4, "/two/", "/three/", "/four/")
    await asyncio.sleep(IN_FORCE_S)
    bench.say(f"a later version: {await status(bench, '/four/')}")


async def config_restored_reused(bench):
    """A version whose revision another change had before the return is in force,
    although watches are answered without an error."""
    older = await start(bench)
    await bench.store.restore(older)
    await write(bench, 3, "/two/", "/three/")
    await fill(bench, 5)
    await asyncio.sleep(IN_FORCE_S)
    bench.say(f"a later version: {await status(bench, '/three/')}")


async def config_restored_again(bench):
    """Returns during and after returns."""
    older = await start(bench)
    for version in range(3, 6):
        await bench.store.restore(older, drop=version % 2 == 0)
        await fill(bench, 1)
        await write(bench, version, "/two/", f"/{version}/")
        await asyncio.sleep(IN_FORCE_S)
        bench.say(f"version {version}: {await status(bench, f'/{version}/')}, "
                  f"version 2: {await status(bench, '/two/')}")


async def config_restored_replayed(bench):
    """The operator writes all versions again, from the oldest on: no older one is
    in force meanwhile, and a key that was taken away stays so."""
    older = await start(bench)
    bench.config["Tenants"][0]["ApiKeys"] = ["key-2"]
    await write(bench, 3, "/two/", "/three/")
    await bench.until_logged("GATEWAY_ROUTING_ADOPTED", version=3)
    await bench.store.restore(older)
    await fill(bench, 20)
    bench.config["Tenants"][0]["ApiKeys"] = ["key-1"]
    await write(bench, 2, "/two/")
    await asyncio.sleep(IN_FORCE_S)
    old_key = await status(bench, "/three/")
    new_key = (await bench.send("GET", "/three/x", **{"X-Api-Key": "key-2"}))[0]
    bench.say(f"version 2 again: former key {old_key}, new key {new_key}")


async def config_restored_own_objects(bench):
    """What the gateway wrote since the copy is written again."""
    await bench.store.start()
    await bench.store.put("config", "main", bench.config)
    older = bench.store.copy()
    await bench.start_gateway()
    await bench.until_logged("GATEWAY_REGISTERED")
    await bench.store.restore(older)

    async def is_registered():
        return ("gateways", "gateway-1") in bench.store.objects
    try:
        await bench.until(is_registered, IN_FORCE_S + 2)
    except TimeoutError:
        pass
    bench.say(f"registered again: {await is_registered()}")


async def config_restored_in_a_list(bench):
    """The store returns between two pages of a list: the targets of both
    histories' pages are not mixed."""
    bench.store.page_size = 2
    for name in ("p1", "p2"):
        await bench.add_target(name, "plain", echo)
    older = bench.store.copy()
    for name in ("p3", "p4"):
        await bench.add_target(name, "plain", echo)
    gone = [await bench.add_target(f"p0{i}", "plain", echo) for i in range(2)]

    async def restore():
        await bench.store.restore(older, drop=False)
        await fill(bench, 20)
    bench.store.after_page = restore
    await bench.start()
    await asyncio.sleep(IN_FORCE_S)
    for name in ("p5", "p6"):
        await bench.add_target(name, "plain", echo)
    await asyncio.sleep(IN_FORCE_S)
    for target in gone:
        target.server.close()
        target.drop_connections()
    await asyncio.sleep(IN_FORCE_S)
    statuses = set(await asyncio.gather(*(status(bench, "/read/") for _ in range(60))))
    used = [n for n, t in sorted(bench.targets.items()) if t.requests]
    left = {l["target"] for l in bench.logged("GATEWAY_TARGET_LEAVING")}
    bench.say(f"{sorted(statuses)}, requests at {used}, left {sorted(left)}")


async def config_restored_eras(bench):
    """Eras that are missing, malformed or lower: versions come into force, and no
    older one does."""
    await start(bench)
    for version, era in ((3, None), (4, "2.5"), (5, "-1"), (6, 0), (7, 900), (8, 3)):
        bench.store.era = era
        await write(bench, version, f"/{version}/")
        await asyncio.sleep(IN_FORCE_S)
        bench.say(f"era {era}: {await status(bench, f'/{version}/')}")
    bench.say(f"invalid: {len(bench.logged('STORE_ERA_INVALID')) > 0}")
