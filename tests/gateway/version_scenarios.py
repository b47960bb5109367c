"""Scenarios of engines of several software versions: a stream goes on only at the
version that began it, over all tries of its caller."""

import asyncio
import json
import signal

from bench import read_head
from fleet import Fleet
from scenarios import GEN_HEADERS
from standins import EngineStatus, answer, chunk, start_stream

EVENTS = 6
EVENT_S = 0.04
# The longest time from the first event of a stream to its last try.
STREAM_LIFE_S = 60


def version_events(bench, delay_s=EVENT_S, reset_at=None, events=EVENTS):
    """Script of an engine whose events name its version; it resets a new stream
    before event RESET_AT."""
    async def script(target, request, writer):
        if request.path == "/kv-move":
            order = json.loads(request.body)
            target.stopped = target.stopped or order["Final"]
            writer.write(answer(200, b'{"Session":"h1","Created":2}'))
            return True
        first = int(request.headers.get("last-event-id", "-1")) + 1
        await start_stream(request, writer)
        for i in range(first, events):
            if target.stopped or (reset_at == i and first == 0):
                writer.transport.abort()
                return False
            writer.write(chunk(f"id: {i}\ndata: {target.version}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(delay_s)
        writer.write(b"0\r\n\r\n")
        return True
    return script


async def add_engine(bench, name, version, script):
    engine = await bench.add_target(name, "model", script)
    engine.version = version
    engine.stopped = False
    await bench.store.put("servers", name, engine.record())
    return engine


async def remove_engine(bench, name):
    await bench.store.remove("servers", name)
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target=name)


def parse(body):
    """Numbers and versions of the events of BODY."""
    lines = body.decode().split("\n")
    return ([int(l[4:]) for l in lines if l.startswith("id: ")],
            [l[6:] for l in lines if l.startswith("data: ")])


def describe(status, body, events=EVENTS):
    numbers, versions = parse(body)
    whole = numbers == list(range(events))
    return f"{status}, whole {whole}, versions {sorted(set(versions))}"


class Stream:
    """A stream over the tries of its caller.  The first try is cut after CUT
    events; the next one names it, at another gateway."""

    def __init__(self, fleet, number, cut=2, path="/tag/1"):
        self.fleet = fleet
        self.number = number
        self.cut = cut
        self.path = path
        self.body = b""
        self.statuses = []

    async def begin(self, gateway):
        reader, writer = await gateway.connect()
        writer.write(gateway.head("POST", self.path, b"x", **{
            **GEN_HEADERS, "Attempt-Id": f"s{self.number}"}))
        status, _ = await read_head(reader)
        self.statuses.append(status)
        while status == 200 and len(parse(self.body)[0]) < self.cut:
            size = int(await reader.readuntil(b"\n"), 16)
            self.body += (await reader.readexactly(size + 2))[:-2]
        writer.transport.abort()

    async def take_up(self, gateway, **headers):
        last = parse(self.body)[0][-1]
        status, _, body = await gateway.send(
            "POST", self.path, b"x", **{
                **GEN_HEADERS, "Attempt-Id": f"t{self.number}",
                "Last-Event-Id": str(last), "Resumes": f"s{self.number}",
                **headers})
        self.statuses.append(status)
        if status == 200:
            self.body += body

    def goes_on(self):
        return parse(self.body)[0] == list(range(EVENTS))

    def is_mixed(self):
        return len(set(parse(self.body)[1])) > 1


async def versions_resume(bench):
    """An engine of one version resets its streams; since they began, one more of
    its version has been added and four of another: they go on at the one of the
    same version."""
    script = version_events(bench, delay_s=0.1, events=25)
    await bench.start(retry_ratio=1)
    first = await add_engine(bench, "m1", "v1", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m1")
    callers = [asyncio.ensure_future(
        bench.send("POST", "/tag/1", b"x", **GEN_HEADERS)) for _ in range(10)]
    await asyncio.sleep(0.2)
    for i in range(2, 7):
        await add_engine(bench, f"m{i}", "v1" if i == 2 else "v2", script)
    for i in range(2, 7):
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=f"m{i}")
    first.stopped = True
    results = [await caller for caller in callers]
    for line in sorted({describe(*r[::2], 25) for r in results}):
        bench.say(line)
    resumed = bench.logged("GATEWAY_RESUMED")
    targets = sorted({line["target"] for line in resumed})
    bench.say(f"resumed: {len(resumed)}, at {targets}")


async def versions_move(bench):
    """An engine drains, and only engines of another version have room: its
    generation ends where it is.  One of its own version is chosen."""
    script = version_events(bench, delay_s=0.2, events=25)
    await bench.start()
    for with_same in (False, True):
        old = await add_engine(bench, f"old-{with_same}", "v1", script)
        await bench.until_logged("GATEWAY_TARGET_ADDED",
                                 target=f"old-{with_same}")
        caller = asyncio.ensure_future(
            bench.send("POST", "/long/1", b"x",
                       **{**GEN_HEADERS, "Token-Usage": "400,400",
                          "Deadline-Ms": "8000"}))
        await asyncio.sleep(0.4)
        names = [f"new-{with_same}"] + (["same"] if with_same else [])
        for name in names:
            await add_engine(bench, name, "v2" if name != "same" else "v1",
                             script)
            await bench.until_logged("GATEWAY_TARGET_ADDED", target=name)
        await bench.store.put("servers", old.name, old.record("draining"))
        status, _, body = await caller
        bench.say(describe(status, body, 25))
        for name in (old.name, names[0]):
            await remove_engine(bench, name)
    moved = bench.logged("GATEWAY_MOVE_ENDED", outcome="moved")
    bench.say(f"moved: {[l['to'] for l in moved]}")


async def start_mixed(bench, gateways, delay_s=EVENT_S):
    """A fleet with three engines of each of two versions."""
    fleet = Fleet(bench, gateways)
    for i in range(6):
        await add_engine(bench, f"m{i}", f"v{i % 2 + 1}",
                         version_events(bench, delay_s))
    await fleet.start()
    return fleet


def say_streams(bench, streams):
    bench.say(f"of two versions: {sum(s.is_mixed() for s in streams)}")
    part = sum(s.goes_on() for s in streams) / len(streams)
    bench.say(f"go on: {part >= 0.9 or f'{part:.2f}'}")


async def versions_taken_up(bench):
    """Callers take up their streams at any of five gateways."""
    fleet = await start_mixed(bench, 5)
    streams = [Stream(fleet, i) for i in range(40)]

    async def play(stream):
        await stream.begin(fleet.dice.choice(fleet.gateways))
        await stream.take_up(fleet.dice.choice(fleet.gateways))

    for i in range(0, 40, 4):
        await asyncio.gather(*(play(s) for s in streams[i:i + 4]))
    say_streams(bench, streams)


async def versions_gateway_killed(bench):
    """The gateway that began the streams is killed before callers take them up
    elsewhere."""
    fleet = await start_mixed(bench, 5, delay_s=0.3)
    # Until the gateway knows that two versions serve, which makes it send all
    # that it has recorded so far.
    await Stream(fleet, 99).begin(fleet.gateways[1])
    await asyncio.sleep(0.5)
    streams = [Stream(fleet, i) for i in range(24)]
    await asyncio.gather(*(s.begin(fleet.gateways[1]) for s in streams))
    fleet.gateways[1].process.kill()
    await fleet.gateways[1].process.wait()
    others = [g for i, g in enumerate(fleet.gateways) if i != 1]
    await asyncio.gather(*(s.take_up(fleet.dice.choice(others))
                           for s in streams))
    say_streams(bench, streams)


async def versions_second_appears(bench):
    """The streams begin while one version serves.  Engines of another one
    start before their callers take them up."""
    fleet = Fleet(bench, 4)
    for i in range(2):
        await add_engine(bench, f"m{i}", "v1", version_events(bench, 0.5))
    await fleet.start()
    streams = [Stream(fleet, i) for i in range(16)]
    await asyncio.gather(*(s.begin(fleet.gateways[1]) for s in streams))
    running = [asyncio.ensure_future(Stream(fleet, 100 + i, EVENTS).begin(
        fleet.gateways[1])) for i in range(8)]
    await asyncio.sleep(0.8)
    for i in range(2, 8):
        await add_engine(bench, f"m{i}", "v2", version_events(bench))
    for gateway in fleet.gateways:
        await gateway.until_logged("GATEWAY_TARGET_ADDED", target="m7")
    await asyncio.gather(*(s.take_up(fleet.dice.choice(fleet.gateways))
                           for s in streams))
    for task in running:
        task.cancel()
    say_streams(bench, streams)


async def versions_chain(bench):
    """A third try names the first, which brought the first event, also when the
    second one brought some."""
    fleet = await start_mixed(bench, 3)
    streams = [Stream(fleet, i, 1) for i in range(12)]
    for stream in streams:
        await stream.begin(fleet.gateways[0])
        reader, writer = await fleet.gateways[1].connect()
        writer.write(fleet.gateways[1].head("POST", "/tag/1", b"x", **{
            **GEN_HEADERS, "Attempt-Id": f"u{stream.number}",
            "Last-Event-Id": "0", "Resumes": f"s{stream.number}"}))
        status, _ = await read_head(reader)
        if status == 200:
            size = int(await reader.readuntil(b"\n"), 16)
            stream.body += (await reader.readexactly(size + 2))[:-2]
        writer.transport.abort()
        await stream.take_up(fleet.gateways[2])
    say_streams(bench, streams)


async def versions_restarted_engine(bench):
    """An engine has started again under its id with another version, which its
    observer reports before the list of instances does: streams of the former
    version do not go on there, and new ones begin."""
    await add_engine(bench, "m1", "v1", version_events(bench, reset_at=3))
    await bench.start()
    statuses = [EngineStatus("m1"), EngineStatus("m2")]
    for status in statuses:
        await bench.observe(status)
    results = set()
    # The entry of the former process of m2.
    restarted = await add_engine(bench, "m2", "v1", version_events(bench))
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m2")
    restarted.version = "v2"
    statuses[1].born = 2
    await asyncio.sleep(1)
    for _ in range(12):
        status, _, body = await bench.send("POST", "/tag/1", b"x",
                                           **GEN_HEADERS)
        results.add(describe(status, body))
    for line in sorted(results):
        bench.say(line)


async def restart_unseen(bench, wait):
    """An engine has started again under its id with another version, and nothing
    tells of it before its streams are sent there.  It awaits WAIT before the
    first event."""
    events = version_events(bench, 0.1, reset_at=5)

    async def script(target, request, writer):
        if "last-event-id" not in request.headers:
            await wait.wait()
        return await events(target, request, writer)

    fleet = Fleet(bench, 3)
    await add_engine(bench, "m1", "v1", version_events(bench, 0.1))
    restarted = await add_engine(bench, "m2", "v1", script)
    await fleet.start(retry_ratio=1)
    restarted.version = "v2"
    running = [asyncio.ensure_future(
        bench.send("POST", "/tag/1", b"x", **GEN_HEADERS)) for _ in range(8)]
    streams = [Stream(fleet, i) for i in range(16)]
    begun = asyncio.gather(*(s.begin(bench) for s in streams))
    if wait.is_set():
        await begun
    else:
        await asyncio.sleep(0.3)
    await bench.store.put("servers", "m2", {**restarted.record(), "born": 2})
    for gateway in fleet.gateways:
        await gateway.until_logged("GATEWAY_TARGET_ADDED", target="m2",
                                   started_ms=2)
    wait.set()
    await begun
    await asyncio.gather(*(s.take_up(fleet.gateways[i % 3])
                           for i, s in enumerate(streams)))
    bodies = [body for _, _, body in await asyncio.gather(*running)]
    bodies += [s.body for s in streams]
    begun = {versions[0] for _, versions in map(parse, bodies) if versions}
    mixed = sum(len(set(parse(body)[1])) > 1 for body in bodies)
    bench.say(f"begun at {sorted(begun)}, of two versions: {mixed}")


async def versions_restarted_unseen(bench):
    """The list tells of it before its streams break off, within the gateway or
    at its caller: none goes on at the former version."""
    begun = asyncio.Event()
    begun.set()
    await restart_unseen(bench, begun)


async def versions_restarted_silent(bench):
    """The list tells of it before its streams bring their first event."""
    await restart_unseen(bench, asyncio.Event())


async def versions_restarted_stalled(bench):
    """A gateway stands still as an engine to which it has sent streams starts
    again, and the store is slow as it goes on: they are taken up, there or at
    another gateway, before it can know."""
    begun = asyncio.Event()
    events = version_events(bench, 0.1)

    async def script(target, request, writer):
        if "last-event-id" not in request.headers:
            await begun.wait()
        return await events(target, request, writer)

    fleet = Fleet(bench, 2)
    await add_engine(bench, "m1", "v1", script)
    restarted = await add_engine(bench, "m2", "v1", script)
    await fleet.start(retry_ratio=1)
    streams = [Stream(fleet, i) for i in range(16)]

    async def play(stream):
        await stream.begin(bench)
        await stream.take_up(fleet.gateways[stream.number % 2])

    played = asyncio.gather(*(play(s) for s in streams))
    await asyncio.sleep(0.3)
    bench.process.send_signal(signal.SIGSTOP)
    restarted.version = "v2"
    begun.set()
    await bench.store.put("servers", "m2", {**restarted.record(), "born": 2})
    await asyncio.sleep(0.6)
    bench.store.delay_s = 0.2
    bench.process.send_signal(signal.SIGCONT)
    await played
    began = {parse(s.body)[1][0] for s in streams}
    bench.say(f"begun at {sorted(began)}, of two versions: "
              f"{sum(s.is_mixed() for s in streams)}, all of v1 go on there: "
              f"{all(s.goes_on() for s in streams[::2] if b'v2' not in s.body)}")


async def versions_none_left(bench):
    """No engine of the version that began a stream is left: the try is refused
    at once, as not run."""
    await add_engine(bench, "m1", "v1", version_events(bench))
    await bench.start()
    stream = Stream(None, 1)
    await stream.begin(bench)
    await add_engine(bench, "m2", "v2", version_events(bench))
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m2")
    await remove_engine(bench, "m1")
    await asyncio.wait_for(stream.take_up(bench), 0.5)
    bench.say(f"{stream.statuses}, of two versions {stream.is_mixed()}")


async def versions_unknown(bench):
    """A stream that nobody knows: it is refused by gateways that do not know yet
    what served before they started, goes on while one version serves, and is
    refused while two do.  The attempt of another account is another stream."""
    fleet = Fleet(bench, 2)
    bench.config["Tenants"].append({"Name": "other", "ApiKeys": ["key-2"]})
    await add_engine(bench, "m1", "v1", version_events(bench))
    await fleet.start()
    for version in ("start", "v1", "v2"):
        if version == "v1":
            await asyncio.sleep(STREAM_LIFE_S + 1)
        if version == "v2":
            for i in range(2, 6):
                await add_engine(bench, f"m{i}", "v2", version_events(bench))
            for gateway in fleet.gateways:
                await gateway.until_logged("GATEWAY_TARGET_ADDED", target="m5")
        for headers in ({"Resumes": f"nobody-{version}"}, {"Resumes": None},
                        {"X-Api-Key": "key-2"}):
            stream = Stream(fleet, {"start": 6, "v1": 7, "v2": 8}[version])
            await stream.begin(bench)
            await stream.take_up(fleet.gateways[1], **headers)
            bench.say(f"{version} {headers}: {stream.statuses[-1]}")


async def versions_ending(bench):
    """One of two engines of a version drains, beside two of another version: new
    streams begin where they can still be moved, and at the last engine of the
    version once no other one takes requests."""
    engines = [await add_engine(bench, f"m{i}", "v1" if i < 2 else "v2",
                                version_events(bench)) for i in range(4)]
    await bench.start()
    await bench.store.put("servers", "m0", engines[0].record("draining"))
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target="m0")
    # Gateways count the engines of each version four times a second.
    await asyncio.sleep(0.4)

    async def begin(number):
        results = [await bench.send("POST", "/tag/1", b"x", **GEN_HEADERS)
                   for _ in range(number)]
        used = {tuple(parse(body)[1][:1]) for _, _, body in results}
        return sorted({r[0] for r in results}), sorted(v for v, in used)

    bench.say(f"one version ends: {await begin(12)}")
    for name in ("m2", "m3"):
        await remove_engine(bench, name)
    bench.say(f"no other is left: {await begin(3)}")
