"""Scenarios of targets that are leaving, or have left, while older entries show them
as ready."""

import asyncio
import signal

from scenarios import GEN_HEADERS
from standins import EngineStatus, chunk, event, signed, start_stream

# DrainMs of the deployments is 2 s: what reaches a target later than that after
# its leaving was acknowledged counts.
SEND_S = 3.0
# Beyond three heartbeats of 1.2 s, after which the store drops an entry.
HELD_S = 6.5


async def echo(target, request, writer):
    writer.write(signed(request, target.name.encode()))
    return True


def arrivals(target):
    return sum(r.path != "/healthz" for r in target.requests)


async def start(bench, names=("p1", "p2")):
    for name in names:
        await bench.add_target(name, "plain", echo)
    await bench.start()
    for name in names:
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=name)


async def send_for(bench, seconds=SEND_S):
    """Statuses of requests sent in a row for SECONDS, and how many reached p1."""
    before = arrivals(bench.targets["p1"])
    statuses = set()
    for _ in range(int(seconds / 0.1)):
        statuses.add((await bench.send("GET", "/read/x"))[0])
        await asyncio.sleep(0.1)
    return (f"{sorted(statuses)}, at p1: "
            f"{arrivals(bench.targets['p1']) - before}")


async def write_entry(bench, name, **fields):
    record = {**bench.targets[name].record(), **fields}
    await bench.store.put("servers", name, record)


async def until_leaving(bench, name, reason):
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target=name,
                             reason=reason)


async def drain_restored(bench):
    """A target whose leaving was acknowledged, and one that was removed, get
    nothing after the store returned from a copy that shows them as ready."""
    await start(bench, ("p1", "p2", "p3"))
    older = bench.store.copy()
    await write_entry(bench, "p1", Phase="draining")
    await until_leaving(bench, "p1", "leaving")
    await bench.store.restore(older)
    bench.say(f"draining: {await send_for(bench)}")
    await write_entry(bench, "p1", Phase="draining", Sequence=2)
    bench.say(f"written again: {await send_for(bench, 1)}")


async def drain_restored_removed(bench):
    """The same for a target that was removed, until it has registered again or
    its entry stays."""
    await start(bench)
    older = bench.store.copy()
    await bench.store.remove("servers", "p1")
    await until_leaving(bench, "p1", "removed from the list")
    await asyncio.sleep(0.2)
    await bench.store.restore(older)
    bench.say(f"removed: {await send_for(bench)}")
    await bench.store.restore(older)
    bench.say(f"restored again: {await send_for(bench, 2)}")
    await bench.store.remove("servers", "p1")
    await asyncio.sleep(2)
    await write_entry(bench, "p1")
    await asyncio.sleep(2)
    sent = await send_for(bench)
    bench.say(f"registered: {not sent.endswith(' 0')}")


async def drain_restored_alive(bench):
    """A target that was removed while it ran is used again if its entry stays
    after the return."""
    await start(bench)
    older = bench.store.copy()
    await bench.store.remove("servers", "p1")
    await until_leaving(bench, "p1", "removed from the list")
    await asyncio.sleep(0.2)
    await bench.store.restore(older)
    await asyncio.sleep(HELD_S)
    sent = await send_for(bench)
    bench.say(f"used again: {not sent.endswith(' 0')}")


async def drain_older_start(bench):
    """An older start of an instance is no new one: neither after the newer one has
    left, nor while it runs."""
    await start(bench)
    p2 = bench.targets["p2"]
    await write_entry(bench, "p2", born=0, Address="127.0.0.1:9")
    await asyncio.sleep(1.5)
    before = arrivals(p2)
    await send_for(bench, 2)
    bench.say(f"entry without a start, still used: {arrivals(p2) > before}")
    await write_entry(bench, "p1", born=5)
    await until_leaving(bench, "p1", "instance restarted")
    p1 = bench.targets["p1"]
    bench.say(f"runs: {(await send_for(bench, 2))[:5]}")
    # An address at which nothing listens.
    await write_entry(bench, "p1", born=4, Address="127.0.0.1:9")
    await asyncio.sleep(1.5)
    before = arrivals(p1)
    await send_for(bench, 2)
    bench.say(f"older start while it runs, still used: {arrivals(p1) > before}")
    await write_entry(bench, "p1", born=5, Phase="draining")
    await until_leaving(bench, "p1", "leaving")
    await bench.store.remove("servers", "p1")
    await until_leaving(bench, "p1", "removed from the list")
    await asyncio.sleep(0.3)
    await write_entry(bench, "p1", born=3)
    await asyncio.sleep(1.5)
    bench.say(f"older start after it: {await send_for(bench)}")
    await write_entry(bench, "p1", born=6)
    await asyncio.sleep(1.5)
    sent = await send_for(bench)
    bench.say(f"later start used: {not sent.endswith(' 0')}")


async def drain_announced_restored(bench):
    """A target announces its leaving in an answer; its entry is removed, and comes
    back with an older start after the store was restored."""
    headers = []

    async def script(target, request, writer):
        writer.write(signed(request, b"ok",
                            headers if target.name == "p1" else []))
        return True
    for name in ("p1", "p2"):
        await bench.add_target(name, "plain", script)
    await write_entry(bench, "p1", born=1)
    older = bench.store.copy()
    await write_entry(bench, "p1", born=2)
    await bench.start()
    for name in ("p1", "p2"):
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=name)
    headers.append(("Server-Leaving", "1"))
    # Until one of them reaches p1, which the choice of targets decides.
    while not bench.logged("GATEWAY_TARGET_LEAVING", target="p1"):
        await bench.send("GET", "/read/x")
    await until_leaving(bench, "p1", "announced in an answer")
    headers.clear()
    await bench.store.remove("servers", "p1")
    await asyncio.sleep(1.5)
    await bench.store.restore(older)
    bench.say(f"older start: {await send_for(bench, 8)}")


async def drain_while_reserved(bench):
    """An engine announces its leaving while a request waits for its observer's
    reply: the request does not reach it."""
    heads = asyncio.Event()

    async def script(target, request, writer):
        if request.path == "/tag/first":
            await heads.wait()
        await start_stream(request, writer, [("Server-Leaving", "1")])
        writer.write(chunk(event(0)) + b"0\r\n\r\n")
        return True

    await bench.start()
    m1 = await bench.add_target("m1", "model", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m1")
    await bench.observe(EngineStatus("m1"))
    observer = bench.observers[0]
    await asyncio.sleep(0.5)
    first = asyncio.ensure_future(
        bench.send("POST", "/tag/first", b"x", **GEN_HEADERS))
    await asyncio.sleep(0.2)
    observer.send_signal(signal.SIGSTOP)
    second = asyncio.ensure_future(
        bench.send("POST", "/tag/second", b"x", **GEN_HEADERS))
    await asyncio.sleep(0.012)
    heads.set()
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target="m1")
    observer.send_signal(signal.SIGCONT)
    statuses = [(await first)[0], (await second)[0]]
    late = sum(r.path == "/tag/second" for r in m1.requests)
    bench.say(f"{statuses}, reached the engine: {late}")
