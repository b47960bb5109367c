"""Model servers are upgraded in place, machine by machine, while the store is
down.  A server that is back has another software version under its id, which
the gateways cannot know; they go on there with streams that the former version
began."""

import asyncio
import os
import re
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import EDGE, Engine, has_trouble, main  # noqa: E402
from bench import Bench, read_body, read_head  # noqa: E402
from standins import chunk, start_stream  # noqa: E402

GATEWAYS = 2
ENGINES = 6
EVENTS = 30
EVENT_S = 0.15
STREAMS_PER_S = 14
LENGTH_S = 16
# The store is down.
DOWN_AT_S, DOWN_FOR_S = 4.0, 4.5
# The machines are restarted one after the other, and are back after some time.
UPGRADES_AT_S = (4.1, 6.3, 8.0)
BACK_AFTER_S = 1.0
# ORDER: "more than two streams".
MIXED_MAX = 2


class VersionedEngine(Engine):
    """Its events name its software version; it can start again in place."""

    born = 1

    def record(self, phase=None):
        return {**super().record(phase), "born": self.born}

    async def stream(self, request, writer):
        attempt = request.headers["attempt-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        version = self.version
        self.record_line(f"{self.name} {version}: runs {attempt} from event "
                         f"{first}")
        self.runs[attempt] = first
        try:
            await asyncio.sleep(0.1)
            await start_stream(request, writer)
            for number in range(first, EVENTS + 1):
                writer.write(chunk(f"id: {number}\ndata: {version}\n\n"
                                   .encode()))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.runs.pop(attempt, None)
        return True

    async def report(self, writer):
        born, body = self.born, []

        class Keep:
            def write(self, data):
                body.append(data)

        await super().report(Keep())
        writer.write(body[0].replace(b'"born": 1,', b'"born": %d,' % born))


class Machine:
    """A side machine: an engine and its observer."""

    def __init__(self, bench, engine, record):
        self.bench = bench
        self.engine = engine
        self.record = record
        self.observer = None

    async def start_observer(self):
        self.observer = await self.bench.spawn_observer(self.engine)
        self.bench.observers.append(self.observer)

    async def upgrade(self, store_is_up):
        engine = self.engine
        self.observer.kill()
        await self.observer.wait()
        port = engine.port
        engine.server.close()
        engine.drop_connections()
        engine.runs.clear()
        self.record(f"{engine.name}: its machine is restarted")
        await asyncio.sleep(BACK_AFTER_S)
        engine.version = "v2"
        engine.born += 1
        engine.server = await asyncio.start_server(engine.serve,
                                                   engine.address, port)
        self.record(f"{engine.name}: serves as v2")
        await self.start_observer()
        await store_is_up.wait()
        await self.bench.store.put("servers", engine.name, engine.record())
        self.record(f"{engine.name}: the store has its new entry")


class Stream:
    """A stream of a caller, which does not take it up again."""

    def __init__(self, gateway, attempt):
        self.gateway = gateway
        self.attempt = attempt
        self.versions = []  # of its events
        self.outcome = None

    async def run(self):
        reader, writer = await self.gateway.connect()
        head = self.gateway.head(
            "POST", "/tag/1", b"x",
            **{"Attempt-Id": self.attempt, "Deadline-Ms": "6000", "Model": "m",
               "Token-Usage": f"300,{4 * EVENTS}", "Prefix-Hash": "a1:300"})
        body = b""
        try:
            writer.write(head)
            status, headers = await read_head(reader)
            if status != 200:
                await read_body(reader, headers)
            while status == 200:
                size = int(await reader.readuntil(b"\n"), 16)
                if size == 0:
                    break
                body += (await reader.readexactly(size + 2))[:-2]
            self.outcome = f"status {status}"
        except (asyncio.IncompleteReadError, ConnectionError):
            self.outcome = "broken off"
        writer.close()
        self.versions = re.findall(r"data: (\w+)", body.decode())

    def is_mixed(self):
        return len(set(self.versions)) > 1

    def describe(self):
        parts = []
        for version in self.versions:
            if parts and parts[-1][0] == version:
                parts[-1][1] += 1
            else:
                parts.append([version, 1])
        return ", ".join(f"{n} events of {v}" for v, n in parts) or "no event"


async def break_store(bench, record, store_is_up):
    await asyncio.sleep(DOWN_AT_S)
    record(f"the store is down for {DOWN_FOR_S} s")
    store_is_up.clear()
    bench.store.silent = True
    await asyncio.sleep(DOWN_FOR_S)
    bench.store.silent = False
    bench.store.drop_connections()
    store_is_up.set()
    record("the store is back")


async def case(bench, record):
    store_is_up = asyncio.Event()
    store_is_up.set()
    for route in bench.config["Routes"]:
        if route["Name"] == "r-tag":
            route["TimeoutMs"] = 6000
    await bench.store.start()
    await bench.store.put("config", "main", bench.config)
    machines, fleet = [], {}
    for i in range(1, ENGINES + 1):
        engine = await VersionedEngine(f"engine-{i}", "model", fleet,
                                       record).start()
        await bench.store.put("servers", engine.name, engine.record())
        machines.append(Machine(bench, engine, record))
    gateways = [bench] + [Bench(bench.program) for _ in range(GATEWAYS - 1)]
    for i, gateway in enumerate(gateways, 1):
        gateway.store = bench.store
        gateway.stderr = bench.stderr
        await gateway.start_gateway(instance=f"gateway-{i}", **EDGE)
    for machine in machines:
        await machine.start_observer()
    # Observers read the list of gateways every 2 s.
    await asyncio.sleep(3)
    start = time.monotonic()
    tasks, streams = [], []
    try:
        if has_trouble():
            tasks.append(asyncio.ensure_future(
                break_store(bench, record, store_is_up)))
        for machine, at in zip(machines, UPGRADES_AT_S):
            async def upgrade(machine=machine, at=at):
                await asyncio.sleep(at)
                await machine.upgrade(store_is_up)
            tasks.append(asyncio.ensure_future(upgrade()))
        while time.monotonic() - start < LENGTH_S - 6:
            stream = Stream(gateways[len(streams) % GATEWAYS],
                            f"s{len(streams)}")
            streams.append(stream)
            tasks.append(asyncio.ensure_future(stream.run()))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*tasks)
    finally:
        for gateway in gateways[1:]:
            await gateway.stop()
    return judge(streams, record)


def judge(streams, record):
    for stream in streams:
        record(f"caller: {stream.attempt}: {stream.outcome}, "
               f"{stream.describe()}")
    mixed = [s for s in streams if s.is_mixed()]
    record(f"{len(mixed)} of {len(streams)} streams hold events of two "
           f"versions, {MIXED_MAX} are allowed")
    return len(mixed) <= MIXED_MAX


main(case, HERE)
