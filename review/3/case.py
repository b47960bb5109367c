"""A draining engine answers the order to copy a run with bytes without end,
while callers book at sound servers of another service."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from common import (EDGE, Booker, Engine, MemoryLimit, configure,  # noqa: E402
                    has_trouble, main, plain_script)

# Below the link of the gateway's machine, 1,000 Mbit/s.
BYTES_PER_S = 100e6
# Of the site; one that leaves is a share of 0.11.
ENGINES = 9
EVENTS = 300
BOOKERS = 8
BOOKING_S = 0.1
# The engine stays longer than DrainMs, 2,000.
STAY_S = 4
# More than three requests lost in this way break the rule.
LOST_MAX = 3


class EndlessEngine(Engine):
    """Answers an order to copy a run without end."""

    async def move(self, request, writer):
        if not has_trouble():
            return await super().move(request, writer)
        self.record_line(f"{self.name}: answers an order to copy without end")
        piece = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        start, sent = time.monotonic(), 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
                ahead = sent / BYTES_PER_S - (time.monotonic() - start)
                await asyncio.sleep(max(0, ahead))
        finally:
            self.record_line(f"{self.name}: the connection of the order ends "
                             f"after {sent >> 20} MB")


async def run_stream(bench, record):
    """Read a stream to its end."""
    status, _, body = await bench.raw(bench.head(
        "POST", f"/long/{EVENTS}", b"prompt", **{
            "Deadline-Ms": "39000", "Model": "m",
            "Token-Usage": f"300,{4 * EVENTS}",
            "Prefix-Hash": "a1:79,b2:221"}), timeout=60)
    record(f"stream: {status}, {body.count(b'data:')} of {EVENTS} events")


async def case(bench, record):
    fleet = {}
    configure(bench)
    ran = []
    await bench.start(**EDGE)
    for i in range(3):
        await bench.add_target(f"portal-{i}", "plain",
                               plain_script(ran, BOOKING_S))
    for i in range(1, ENGINES + 1):
        engine = await EndlessEngine(f"engine-{i}", "model", fleet,
                                     record).start()
        await bench.store.put("servers", engine.name, engine.record())
    await asyncio.sleep(3)
    limit = MemoryLimit(bench, EDGE["memory_mb"], record)
    watch = asyncio.ensure_future(limit.run())
    stream = asyncio.ensure_future(run_stream(bench, record))
    await asyncio.sleep(2)
    leaving = next(e for e in fleet.values() if e.runs)
    bookers = [Booker(bench, i, ran, record) for i in range(BOOKERS)]
    tasks = [asyncio.ensure_future(b.run(STAY_S + 2)) for b in bookers]
    await asyncio.sleep(1)
    await leaving.leave(bench.store, STAY_S)
    await asyncio.gather(*tasks)
    await stream
    watch.cancel()
    lost = sum(len(b.lost) for b in bookers)
    record(f"bookings answered {sum(b.answered for b in bookers)}, lost {lost}; "
           f"most memory {limit.peak_mb:.0f} MB, kills {limit.kills}")
    return lost <= LOST_MAX


main(case, os.path.dirname(os.path.abspath(__file__)))
