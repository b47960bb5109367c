"""Scenarios of requests whose answers the end of a stop could lose."""

import asyncio
import signal

from scenarios import GEN_HEADERS
from standins import chunk, echo, event, start_stream
from stop_scenarios import LATE_IN_STOP_S

# More than the gateway buffers of a response before it forwards it.
LARGE_BYTES = 300 * 1024


async def hang(target, request, writer):
    """The target does not respond until its connection ends."""
    await request.reader.read(1)
    return False


async def stop_plain_generation(bench):
    """A request with the fields of a generation reaches a route of a plain
    service late in a stop."""
    await bench.add_target("t1", "plain", echo)
    await bench.start(grace_s=6)
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(LATE_IN_STOP_S)
    status, _, _ = await bench.send("GET", "/read/1", **GEN_HEADERS)
    bench.say(f"late in the stop: {status}")
    bench.say(f"exit code {await bench.process.wait()}")


async def stop_zero_stride(bench):
    """The configuration states 0 tokens for each event of an engine, and a
    generation arrives late in a stop."""
    async def one_event(target, request, writer):
        await start_stream(request, writer)
        writer.write(chunk(event(0)) + b"0\r\n\r\n")
        return True

    bench.config["Backends"][1]["Engine"]["Stride"] = 0
    await bench.add_target("m1", "model", one_event)
    await bench.start(grace_s=8)
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(LATE_IN_STOP_S)
    status, _, _ = await bench.send(
        "POST", "/tag/1", b"x", **{**GEN_HEADERS, "Token-Usage": "400,8"})
    bench.say(f"late in the stop: {status}")
    bench.say(f"exit code {await bench.process.wait()}")


async def stop_stalled_end(bench):
    """The process is stalled while its stop should end.  The requests that it
    has read get a refusal before it exits."""
    await bench.add_target("m1", "model", hang)
    await bench.start(grace_s=3)
    sent = asyncio.ensure_future(
        bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
    await bench.until_logged("GATEWAY_SENT")
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(1.8)
    bench.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.9)  # 2.7 s: the last responses were due by 2.5 s
    bench.process.send_signal(signal.SIGCONT)
    status, _, _ = await sent
    bench.say(f"sent: {status}")
    bench.say(f"exit code {await bench.process.wait()}")


async def stop_stalled_stream(bench):
    """The process is stalled while its stop should end, and an engine ends its
    stream meanwhile.  The caller gets the whole stream."""
    async def stream(target, request, writer):
        await start_stream(request, writer)
        writer.write(chunk(event(0)))
        await asyncio.sleep(1.8)
        writer.write(chunk(event(1)) + b"0\r\n\r\n")
        return True

    await bench.add_target("m1", "model", stream)
    await bench.start(grace_s=3)
    sent = asyncio.ensure_future(
        bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
    await bench.until_logged("GATEWAY_SENT")
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(1.3)
    bench.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(1.2)
    bench.process.send_signal(signal.SIGCONT)
    try:
        status, _, body = await sent
    except ValueError:  # no size of the next chunk
        status, body = 0, b""
    bench.say(f"stream: {status}, {body.count(b'data:')} events")


async def stop_late_large_response(bench):
    """A response of a plain service, too large to be buffered, begins shortly
    before the stopping gateway ends and goes on for longer."""
    async def slow_end(target, request, writer):
        body = b"y" * LARGE_BYTES
        writer.write(
            (f"HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES + 1}\r\n"
             f"Attempt-Id: {request.headers['attempt-id']}\r\n"
             "Server-Signature: s\r\n\r\n").encode() + body)
        await asyncio.sleep(3)
        writer.write(b"z")
        return True

    bench.config["Routes"][1]["TimeoutMs"] = 5000
    await bench.add_target("t1", "plain", slow_end)
    await bench.add_target("m1", "model", hang)
    await bench.start(grace_s=6)
    # Keeps the process from an early exit.
    other = asyncio.ensure_future(
        bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
    await bench.until_logged("GATEWAY_SENT")
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(3.5)
    try:
        status, _, _ = await bench.send("POST", "/book/1", b"x")
    except ValueError:  # no size of the next chunk
        status = 0
    bench.say(f"complete response: {status != 0}")
    await other
    await bench.process.wait()


async def stop_late_plain_stream(bench):
    """A plain service streams events to a request that comes late in a stop:
    the caller gets the whole stream, or a refusal if it lasts too long."""
    async def stream(target, request, writer):
        await start_stream(request, writer)
        writer.write(chunk(event(0)))
        await asyncio.sleep(0.3 if request.path == "/book/1" else 3)
        writer.write(chunk(event(1)) + b"0\r\n\r\n")
        return True

    bench.config["Routes"][1]["TimeoutMs"] = 5000
    await bench.add_target("t1", "plain", stream)
    await bench.add_target("m1", "model", hang)
    await bench.start(grace_s=6)
    other = asyncio.ensure_future(
        bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
    await bench.until_logged("GATEWAY_SENT")
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(3.5)
    for path in ("/book/1", "/book/2"):
        try:
            status, _, body = await bench.send("POST", path, b"x")
        except ValueError:  # no size of the next chunk
            status, body = 0, b""
        bench.say(f"{path}: {status}, {body.count(b'data:')} events")
    await other


async def stop_not_full(bench):
    """The end of a stop is not logged as a full table of connections."""
    await bench.add_target("m1", "model", hang)
    await bench.start(grace_s=2)
    sent = asyncio.ensure_future(
        bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
    await bench.until_logged("GATEWAY_SENT")
    idle = await bench.connect()
    bench.terminate()
    await sent
    await bench.process.wait()
    idle[1].close()
    full = len(bench.logged("GATEWAY_CONNECTIONS_FULL"))
    bench.say(f"logged as full: {full}")


async def stop_cut_http_1_0(bench):
    """A stream to an HTTP/1.0 caller, whose body ends with the connection, is
    cut off by the end of a stop.  The caller must not take it for complete."""
    async def endless(target, request, writer):
        await start_stream(request, writer)
        writer.write(chunk(event(0)))
        await request.reader.read(1)
        return False

    await bench.add_target("m1", "model", endless)
    await bench.start(grace_s=2)
    reader, writer = await bench.connect()
    head = bench.head("POST", "/long/1", b"x", **GEN_HEADERS)
    writer.write(head.replace(b"HTTP/1.1", b"HTTP/1.0"))
    await reader.readuntil(b"piece 0\n\n")
    bench.terminate()
    try:
        await reader.read()
        bench.say("the connection ends as after a complete response")
    except ConnectionResetError:
        bench.say("the connection is reset")
    writer.close()
