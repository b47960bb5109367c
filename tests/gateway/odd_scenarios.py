"""Scenarios of entries of other writers that cannot be read: each costs itself only."""

import asyncio

from standins import Target, signed

# Deeper than any entry, and than a decoder's stack may bear.
DEEP = b"[" * 100000 + b"]" * 100000
FOLLOW_S = 3


def odd_values(record):
    """Entries of a server, by name, each odd in one way."""
    return {
        "a-deep": {**record, "Zone": "@deep"},
        "b-deep-spec": "@deep",
        "c-number": {**record, "Capacity": "@digits"},
        "d-born": {**record, "born": "@digits"},
        "e-exponent": {**record, "WarmupLeftMs": "@exponent"},
        "f-port": {**record, "Address": "127.0.0.1:70001"},
        "g-ports": {**record, "Address": "127.0.0.1:" + "9" * 400},
        "h-types": {**record, "Phase": ["ready"], "Backend": {"x": 1}},
        "i-zone": {**record, "Zone": "z" * 300000},
        "j-bytes": {**record, "Zone": "@bytes"},
        "k-none": None,
        "l-list": [1, 2, {"x": "y"}],
        "zz-last": {**record, "Zone": "@deep"},
    }


RAW = {"@deep": DEEP, "@digits": b"9" * 400, "@exponent": b"1e999999",
       "@bytes": b'"\xff\xfe\xc3("'}


async def echo(target, request, writer):
    writer.write(signed(request, b"ok"))
    return True


async def served(bench, name):
    """Whether a target that is added now is used, and one that is removed is
    not."""
    target = await bench.add_target(name, "plain", echo)
    await asyncio.sleep(FOLLOW_S)
    statuses = {(await bench.send("GET", "/read/x"))[0] for _ in range(30)}
    used = bool(target.requests)
    await bench.store.remove("servers", name)
    await asyncio.sleep(FOLLOW_S)
    before = len(target.requests)
    statuses |= {(await bench.send("GET", "/read/x"))[0] for _ in range(20)}
    return (f"{sorted(statuses)}, added {used}, "
            f"removed {len(target.requests) == before}")


async def odd_entries(bench):
    """Odd entries of servers appear, stay as a gateway starts, and go."""
    bench.store.raw = RAW
    p1 = await bench.add_target("p1", "plain", echo)
    await bench.start()
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="p1")
    for name, value in odd_values(p1.record()).items():
        await bench.store.put("servers", name, value)
    bench.say(f"as they appear: {await served(bench, 'p2')}")
    bench.process.kill()
    await bench.process.wait()
    await bench.start_process()
    await bench.until(bench.is_ready)
    bench.say(f"after a start: {await served(bench, 'p3')}")
    invalid = {l["target"] for l in bench.logged("GATEWAY_TARGET_INVALID")}
    bench.say(f"logged: {len(invalid & set(odd_values({})))}")


async def odd_entries_paged(bench):
    """The same in pages of one object."""
    bench.store.raw = RAW
    bench.store.page_size = 1
    p1 = await bench.add_target("p1", "plain", echo)
    for name, value in odd_values(p1.record()).items():
        await bench.store.put("servers", name, value)
    await bench.start()
    bench.say(await served(bench, "p2"))


async def odd_objects(bench):
    """Odd objects beside the configuration and the gateways' own."""
    bench.store.raw = RAW
    for kind in ("config", "gateways", "suspect-content"):
        for name in ("a-deep", "zz-deep"):
            await bench.store.put(kind, name, {"Version": "@deep"})
    await bench.add_target("p1", "plain", echo)
    await bench.start()
    bench.config["Version"] = 2
    await bench.store.put("config", "main", {**bench.config, "Odd": "@deep"})
    await bench.store.put("config", "main", {**bench.config, "Version": 3})
    await bench.until_logged("GATEWAY_ROUTING_ADOPTED", version=3)
    bench.say(await served(bench, "p2"))


async def odd_entries_without_fields(bench):
    """Entries that lack a field of a server, or have it of another type: none
    of them is used, whoever listens at its address."""
    await bench.add_target("p1", "plain", echo)
    await bench.start()
    odd = await Target("odd", "plain", echo).start()
    fields = ("Backend", "Zone", "Address", "Phase", "Version", "Capacity",
              "WarmupLeftMs")
    entries = {}
    for field in fields:
        record = {**odd.record(), "Address": f"127.0.0.1:{odd.port}"}
        entries[f"{field}-of-another-type"] = {**record, field: [1]}
        entries[f"{field}-null"] = {**record, field: None}
        del record[field]
        entries[f"without-{field}"] = record
    for name, record in entries.items():
        await bench.store.put("servers", name, record)
    # Changes are followed in order.
    await bench.add_target("p2", "plain", echo)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="p2")
    statuses = {(await bench.send("GET", "/read/x"))[0] for _ in range(30)}
    bench.say(f"{sorted(statuses)}, requests by other entries: "
              f"{len(odd.requests)}")
    added = {l["target"] for l in bench.logged("GATEWAY_TARGET_ADDED")}
    invalid = {l["target"] for l in bench.logged("GATEWAY_TARGET_INVALID")}
    bench.say(f"added: {sorted(added)}")
    bench.say(f"logged: {len(invalid)} of {len(entries)}")
