"""Scenarios of endless answers to the calls that a gateway or an observer makes
itself: orders to engines, load reports, reads of the store."""

import asyncio
import json

from answer_scenarios import BLOCK_BYTES, memory_mb
from scenarios import GEN_HEADERS
from standins import EngineStatus, answer, chunk, echo, event, start_stream

BLOCK = chunk(b"x" * BLOCK_BYTES)
# Far above the size of any answer, and below the memory of a process.
WRITTEN_MAX = 16 << 20


async def write_endlessly(writer):
    """Write an answer without end until the connection is closed; return the
    number of bytes."""
    written = 0
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    try:
        while not writer.transport.is_closing() and written < 256 << 20:
            writer.write(BLOCK)
            written += len(BLOCK)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        pass
    return written


def order_kind(request):
    """"copy" or "stop" of an order to copy a run, which goes on or is stopped,
    "free" of one to free a copy."""
    if request.path.startswith("/kv-handle"):
        return "free"
    return "stop" if json.loads(request.body)["Final"] else "copy"


async def play_order(bench, endless):
    """An engine drains, and answers orders of the kind ENDLESS without end."""
    written, stopped = [], asyncio.Event()

    async def handle_order(kind, writer):
        # A copy is freed if its run was not stopped.
        is_refused = endless == "free" and kind == "stop"
        if kind == "stop" and not is_refused:
            stopped.set()
        if kind == endless:
            written.append(await write_endlessly(writer))
            return False
        writer.write(answer(503) if is_refused else answer(
            200, b'{"Session":"h1","Created":4}'))
        return True

    async def script(target, request, writer):
        if request.path.startswith(("/kv-move", "/kv-handle")):
            return await handle_order(order_kind(request), writer)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        await start_stream(request, writer)
        for i in range(first, 80 if first == 0 else first + 3):
            if stopped.is_set() and first == 0:
                return False
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        return True

    await bench.start()
    old = await bench.add_target("m1", "model", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m1")
    caller = asyncio.ensure_future(
        bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
    await bench.until_logged("GATEWAY_SENT")
    await asyncio.sleep(0.2)
    await bench.add_target("m2", "model", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m2")
    await bench.store.put("servers", "m1", old.record("draining"))
    status, _, body = await caller
    numbers = [int(l[4:]) for l in body.decode().split("\n")
               if l.startswith("id:")]
    bench.say(f"{status}, each event once and in order "
              f"{numbers == list(range(len(numbers)))}; endless answers "
              f"{len(written) > 0}, each read for less than 16 MB "
              f"{all(n < WRITTEN_MAX for n in written)}")


async def endless_answer_to_copy(bench):
    """An engine answers the order to copy a run without end: the gateway keeps
    the whole answer, and exceeds its memory."""
    await play_order(bench, "copy")


async def endless_answer_to_stop(bench):
    """The same for the order to stop the run and to copy the rest."""
    await play_order(bench, "stop")


async def endless_answer_to_free(bench):
    """The same for the order to free a copy."""
    await play_order(bench, "free")


class EndlessStatus(EngineStatus):
    """Answers the path ENDLESS without end."""

    endless = None

    def __init__(self, name):
        super().__init__(name)
        self.written = []

    async def handle(self, request, writer):
        if request.path != self.endless:
            return await super().handle(request, writer)
        self.written.append(await write_endlessly(writer))
        return False


async def endless_load_report(bench):
    """An engine answers its observer without end: the observer keeps the whole
    answer, and exceeds its memory."""
    await bench.start()
    engine = EndlessStatus("m1")
    await bench.observe(engine)
    observer = bench.observers[-1]
    for path in ("/report", "/healthz"):
        engine.endless = path
        engine.born += 1  # the name of the engine is asked for again
        await asyncio.sleep(1.5)
        engine.endless = None
        await asyncio.sleep(1.5)
        states = [l["name"] for l in bench.logs
                  if l["name"].startswith("OBSERVER_ENGINE_")]
        bench.say(f"{path}: endless answers {len(engine.written) > 0}, each "
                  f"read for less than 16 MB "
                  f"{all(n < WRITTEN_MAX for n in engine.written)}; up again "
                  f"{states[-1] == 'OBSERVER_ENGINE_UP'}")
        engine.written.clear()
    bench.say(f"the observer runs: {observer.returncode is None}, less than "
              f"80 MB in use: {memory_mb(observer) < 80}")


async def endless_answers_of_store(bench):
    """The store's answers have no end for a while: a gateway keeps the whole of
    each, and exceeds its memory."""
    written = []
    handle = bench.store.handle

    async def handle_endlessly(request, writer):
        written.append(await write_endlessly(writer))
        return False

    await bench.add_target("t1", "plain", echo)
    await bench.start()
    bench.store.handle = handle_endlessly
    await asyncio.sleep(4)
    status, _, _ = await bench.send("GET", "/read/1")
    bench.say(f"meanwhile: {status}; endless answers {len(written) > 0}, each "
              f"read for less than 16 MB "
              f"{all(n < WRITTEN_MAX for n in written)}")
    bench.store.handle = handle
    bench.config["Version"] = 2
    await bench.store.put("config", "main", bench.config)
    await bench.until_logged("GATEWAY_ROUTING_ADOPTED", version=2)
    bench.say("the next configuration is in force")


async def changes_beyond_one_answer(bench):
    """The changes since a gateway's last call exceed what it keeps of one
    answer: it reads the list, and does not ask for the same changes for ever."""
    await bench.start()
    bench.store.silent = True
    bench.store.drop_connections()
    bench.config["Note"] = "x" * (1000 << 10)
    for version in range(2, 8):
        bench.config["Version"] = version
        await bench.store.put("config", "main", dict(bench.config))
    bench.store.silent = False
    bench.store.drop_connections()
    await bench.until_logged("GATEWAY_ROUTING_ADOPTED", version=7)
    bench.say("the last configuration is in force")
