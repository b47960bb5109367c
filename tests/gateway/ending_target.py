#!/usr/bin/env python3
"""A target whose process ends within its first response, which has no length:
the scenario that has started it ends it.  A later process of the same kind
sends all.

Usage: ending_target.py NAME part|all.  Prints its port, and "sent" when the
part was sent.  On SIGTERM it closes its connections, and exits."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, HERE)

from standins import Target, event  # noqa: E402

EVENTS = 20
PIECES = 8
PIECE_BYTES = 60000


async def respond(target, request, writer):
    head = ("HTTP/1.1 200 OK\r\nServer-Signature: s\r\nAttempt-Id: "
            f"{request.headers['attempt-id']}\r\n")
    if request.path.startswith("/read/"):
        parts = [b"x" * PIECE_BYTES] * PIECES
    else:
        head += "Content-Type: text/event-stream\r\n"
        first = int(request.headers.get("last-event-id", "-1")) + 1
        parts = [event(i) for i in range(first, EVENTS)]
    if target.sends_part:
        parts = parts[:len(parts) * 3 // 4]
    writer.write((head + "\r\n").encode())
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)
    if target.sends_part:
        print("sent", flush=True)
        await asyncio.sleep(60)
    return False


async def main(name, how):
    service = "plain" if name.startswith("t") else "model"
    target = Target(name, service, respond)
    target.sends_part = how == "part"
    await target.start()
    print(target.port, flush=True)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    for writer in list(target.writers):
        writer.close()
    # The kernel closes the rest.
    os._exit(0)


asyncio.run(main(*sys.argv[1:3]))
