"""Scenarios of streams of a plain service whose responses begin in a stop, and
which may last longer: each is sent to its caller at its end, or not at all."""

import asyncio

from cut_scenarios import reset_connection
from scenarios import GEN_HEADERS
from standins import CHUNKS, CLOSE, chunk, event

EVENTS = 12
# An event that is torn, and the bytes of it that are sent.
TORN_AT = 6
TORN_BYTES = 9
# Bytes of comments before the first event: above the size up to which a gateway
# buffers a response that is not held back.
LARGE_BYTES = 300 << 10
# From a request to the head of its response, which begins in the stop.
HEAD_S = 0.6
GRACE_S = 5


def stream_body(large, events=range(EVENTS), with_ids=True):
    body = b":" + b"x" * LARGE_BYTES + b"\n\n" if large else b""
    for number in events:
        data = event(number)
        body += data if with_ids else data.partition(b"\n")[2]
    return body


async def send_stream(request, writer, body, framing, sent=None):
    """Send the first SENT bytes of BODY and, if that is all, its end; returns
    whether the connection is kept."""
    fields = framing or f"Content-Length: {len(body)}"
    writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  f"Attempt-Id: {request.headers['attempt-id']}\r\n"
                  f"Server-Signature: s\r\n{fields}\r\n\r\n").encode())
    part = body[:sent]
    writer.write(chunk(part) if framing == CHUNKS else part)
    await writer.drain()
    if framing == CHUNKS and sent is None:
        writer.write(chunk(b""))
    return framing != CLOSE and sent is None


FRAMINGS = {"close": CLOSE, "chunks": CHUNKS, "length": None}


async def start_and_stop(bench, script, calls, before=None):
    """Run BEFORE, and then CALLS, the response of each beginning in a stop;
    returns the results of CALLS."""
    for r in bench.config["Routes"]:
        if r["RouteType"] == "streaming":
            r["Backend"] = "plain"
    for name in ("p1", "p2"):
        target = await bench.add_target(name, "plain", script)
        await bench.store.put("servers", name,
                              {**target.record(), "Capacity": 100})
    await bench.start(grace_s=GRACE_S)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="p2")
    if before:
        await before
    running = [asyncio.ensure_future(c) for c in calls]
    await asyncio.sleep(HEAD_S / 3)
    bench.terminate()
    return await asyncio.gather(*running)


async def call(bench, path, **headers):
    """The status and body of a stream; the status is 0 if its response is not
    complete."""
    try:
        status, _, body = await bench.send("POST", path, b"x", **{
            **GEN_HEADERS, "Deadline-Ms": "8000", **headers})
    except ValueError:  # no size of the next chunk
        return 0, b""
    return status, body


async def stop_torn_streams(bench):
    """A target ends its streams inside an event, however their ends are told:
    no caller gets a complete response."""
    async def script(target, request, writer):
        _, _, framing, end, size = request.path.split("/")
        await asyncio.sleep(HEAD_S)
        whole = stream_body(size == "large")
        torn = (stream_body(size == "large", range(TORN_AT))
                + event(TORN_AT)[:TORN_BYTES])
        if end == "whole":
            return await send_stream(request, writer, whole, FRAMINGS[framing])
        if end == "told":
            return await send_stream(request, writer, torn, FRAMINGS[framing])
        await send_stream(request, writer, whole, FRAMINGS[framing], len(torn))
        if end == "reset":
            reset_connection(writer)
        return False

    cases = [f"{framing}/{end}/{size}" for framing in FRAMINGS
             for end in ("whole", "told", "closed", "reset")
             for size in ("small", "large")]
    results = await start_and_stop(
        bench, script, [call(bench, f"/long/{case}") for case in cases])
    for case, (status, body) in zip(cases, results):
        whole = body == stream_body("large" in case)
        bench.say(f"{case}: {status}, whole {whole}")
    bench.say(f"exit code {await bench.process.wait()}")


async def stop_torn_streams_again(bench):
    """The first target tears a stream that may be resumed: its caller gets the
    whole stream of another one, with ids and without."""
    attempts = []

    async def script(target, request, writer):
        attempts.append(request.path)
        with_ids = request.path.endswith("ids")
        first = int(request.headers.get("last-event-id", "-1")) + 1
        body = stream_body(False, range(first, EVENTS), with_ids)
        await asyncio.sleep(HEAD_S)
        if attempts.count(request.path) > 1:
            return await send_stream(request, writer, body, CLOSE)
        await send_stream(request, writer, body, CLOSE, len(body) // 2)
        return False

    kinds = ("ids", "none")
    results = await start_and_stop(
        bench, script, [call(bench, f"/tag/{kind}") for kind in kinds])
    for kind, (status, body) in zip(kinds, results):
        whole = body == stream_body(False, with_ids=kind == "ids")
        bench.say(f"{kind}: {status}, whole {whole}, "
                  f"attempts {attempts.count(f'/tag/{kind}')}")
    bench.say(f"exit code {await bench.process.wait()}")


async def stop_taken_up_stream(bench):
    """A caller takes a stream up, and the target begins at its first event: the
    caller gets the events that follow its own."""
    async def script(target, request, writer):
        await asyncio.sleep(HEAD_S if "last-event-id" in request.headers else 0)
        return await send_stream(request, writer, stream_body(False), CLOSE)

    (status, body), = await start_and_stop(
        bench, script,
        [call(bench, "/tag/1", **{"Last-Event-Id": "4", "Resumes": "begun"})],
        call(bench, "/tag/1", **{"Attempt-Id": "begun"}))
    bench.say(f"{status}, the rest {body == stream_body(False, range(5, EVENTS))}")
    bench.say(f"exit code {await bench.process.wait()}")
