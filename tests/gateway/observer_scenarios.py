"""Scenarios of an observer that ends while gateways use it."""

import asyncio
import contextlib
import os
import signal

from scenarios import GEN_HEADERS
from standins import EngineStatus, chunk, event, start_stream

INTERVAL_S = 0.03
SIGNAL_INTERVAL_S = 0.02
SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT,
          signal.SIGTERM)


async def observer_stop(bench):
    """Signals in series end the observer while callers keep sending: each gets
    its response, before and after the gateway takes the observer for lost."""
    async def script(target, request, writer):
        await start_stream(request, writer)
        for i in range(10):
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        return True

    async def send():
        tasks = []
        while not over.is_set():
            tasks.append(asyncio.ensure_future(bench.send(
                "POST", "/long/1", b"x",
                **{**GEN_HEADERS, "Token-Usage": "50,20"})))
            await asyncio.sleep(INTERVAL_S)
        return [status for status, _, _ in await asyncio.gather(*tasks)]

    over = asyncio.Event()
    await bench.start()
    await bench.add_target("m1", "model", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m1")
    await bench.observe(EngineStatus("m1"))
    observer = bench.observers[-1]
    callers = asyncio.ensure_future(send())
    await asyncio.sleep(0.5)
    bench.say(f"reservations granted: "
              f"{len(bench.logged('OBSERVER_ROOM_GRANTED')) > 0}")
    observer.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    bench.say(f"after SIGHUP the observer runs: {observer.returncode is None}")
    for number in SERIES:
        if observer.returncode is None:
            observer.send_signal(number)
        await asyncio.sleep(SIGNAL_INTERVAL_S)
    bench.say(f"observer: exit code {await observer.wait()}")
    await asyncio.sleep(2)
    over.set()
    statuses = await callers
    bench.say(f"more than 60 requests: {len(statuses) > 60}, "
              f"statuses {sorted(set(statuses))}")


async def observer_signals(bench):
    """Signals arrive until an observer has ended: it still ends by itself."""
    await bench.start()
    engine = await EngineStatus("m1").start()
    codes = set()
    for _ in range(20):
        before = len(bench.logged("OBSERVER_STARTED"))
        process = await bench.spawn_observer(engine)
        while len(bench.logged("OBSERVER_STARTED")) == before:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        while process.returncode is None:
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, number)
            await asyncio.sleep(0)
        codes.add(process.returncode)
    bench.say(f"exit codes {codes}")
