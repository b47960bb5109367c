"""Callers upload large bodies.  The servers of a plain service are silent for a
second and go on.  The gateway keeps each body twice meanwhile, exceeds its
memory and is killed, with the streams that it had at sound engines."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import (EDGE, Engine, MemoryLimit, StreamCaller,  # noqa: E402
                    configure, has_trouble, main)
from bench import read_answer  # noqa: E402
from standins import Target, answer, read_request  # noqa: E402

STREAMS = 12
EVENTS = 200  # of a stream, 8 s
UPLOADERS = 60
UPLOADS_PER_S = 15  # 480 Mbit/s of a link with 1,000
# Within MaxBodyBytes, 4194304.
BODY_BYTES = 4_000_000
SILENT_AT_S, SILENT_FOR_S = 4.0, 1.25
LENGTH_S = 9
# LOST: "more than three times".
LOST_MAX = 3


class Silence:
    """All of a service's servers read and answer nothing until then."""

    def __init__(self):
        self.until = 0

    async def end(self):
        while time.monotonic() < self.until:
            await asyncio.sleep(0.01)


class PlainServer(Target):
    def __init__(self, name, silence):
        super().__init__(name, "plain", None)
        self.silence = silence

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.silence.end()
                request = await read_request(reader)
                if request is None:
                    break
                await asyncio.sleep(0.015)
                await self.silence.end()
                writer.write(answer(200, b"x" * 800, [
                    ("Attempt-Id", request.headers["attempt-id"]),
                    ("Server-Signature", "s")]))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Uploader:
    """Sends bookings on one connection, which it keeps."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.link = None
        self.outcomes = []
        self.is_free = True

    async def send(self):
        self.is_free = False
        try:
            if self.link is None:
                self.link = await self.gateway.connect()
            self.link[1].write(self.gateway.head(
                "POST", "/book/1", b"z" * BODY_BYTES,
                **{"Deadline-Ms": "4000"}))
            status, _, _ = await asyncio.wait_for(read_answer(self.link[0]), 5)
            self.outcomes.append(status)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.outcomes.append(0)
            self.leave()
        self.is_free = True

    def leave(self):
        if self.link:
            self.link[1].close()
        self.link = None


async def case(bench, record):
    configure(bench)
    bench.config["Routes"][1]["TimeoutMs"] = 4000
    silence = Silence()
    await bench.store.start()
    await bench.store.put("config", "main", bench.config)
    for i in range(1, 4):
        server = await PlainServer(f"plain-{i}", silence).start()
        await bench.store.put("servers", server.name, server.record())
    engines = []
    for i in range(1, 4):
        engine = await Engine(f"engine-{i}", "model", {}, record).start()
        engines.append(engine)
        await bench.store.put("servers", engine.name, engine.record())
    await bench.start_gateway(**EDGE)
    limit = MemoryLimit(bench, EDGE["memory_mb"], record)
    watcher = asyncio.ensure_future(limit.run())
    callers = [StreamCaller(bench, i, EVENTS, record) for i in range(STREAMS)]
    tasks = [asyncio.ensure_future(c.run()) for c in callers]
    uploaders = [Uploader(bench, record) for _ in range(UPLOADERS)]
    start = time.monotonic()
    is_silent = False
    sent = 0
    while time.monotonic() - start < LENGTH_S:
        if has_trouble() and not is_silent \
                and time.monotonic() - start > SILENT_AT_S:
            is_silent = True
            silence.until = time.monotonic() + SILENT_FOR_S
            record(f"the plain servers are silent for {SILENT_FOR_S} s")
        uploader = next((u for u in uploaders if u.is_free), None)
        if uploader:
            sent += 1
            tasks.append(asyncio.ensure_future(uploader.send()))
        await asyncio.sleep(max(0, start + sent / UPLOADS_PER_S
                                - time.monotonic()))
    await asyncio.gather(*tasks)
    watcher.cancel()
    for uploader in uploaders:
        uploader.leave()
    outcomes = [o for u in uploaders for o in u.outcomes]
    record(f"uploads by status, 0 without an answer: "
           f"{ {s: outcomes.count(s) for s in sorted(set(outcomes))} }")
    lost = [c for c in callers if c.outcome == "no complete answer"
            and any(c.attempt in e.ran for e in engines)]
    record(f"at most {limit.peak_mb:.0f} MB in use, killed {limit.kills} times")
    record(f"{len(lost)} streams at sound engines ended without an answer, "
           f"{LOST_MAX} are allowed")
    return len(lost) <= LOST_MAX


main(case, HERE)
