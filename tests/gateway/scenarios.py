"""Scenarios: each is a load or a failure that a gateway must bear."""

import asyncio

from standins import answer, chunk, echo, event, signed, start_stream

PROMPT = {"Model": "m", "Token-Usage": "400,80", "Prefix-Hash": "1:400"}


async def plain(bench):
    """Requests of a plain service, on one kept connection."""
    await bench.add_target("t1", "plain", echo)
    await bench.start()
    reader, writer = await bench.connect()
    for method, path, body in (("GET", "/read/x?y=1", b""),
                               ("POST", "/book/1", b"slot")):
        status, headers, got = await bench.exchange(
            reader, writer, bench.head(method, path, body))
        bench.say(f"{method} {path}: {status} {got.decode()}")
    seen = [r for r in bench.targets["t1"].seen if "attempt-id" in r.headers]
    bench.say(f"account {seen[0].headers.get('tenant')}, "
              f"key {seen[0].headers.get('x-api-key')}, "
              f"body {seen[1].body.decode()}")


async def denied(bench):
    """Requests that no configuration allows."""
    await bench.add_target("t1", "plain", echo)
    await bench.start()
    cases = (("unknown path", {"path": "/none/"}),
             ("prefix without its slash", {"path": "/read"}),
             ("unknown host", {"Host": "b.example"}),
             ("unknown key", {"X-Api-Key": "key-9"}),
             ("no key", {"X-Api-Key": None}))
    for name, headers in cases:
        path = headers.pop("path", "/read/x")
        status, _, _ = await bench.ask("GET", path, **headers)
        bench.say(f"{name}: {status}")
    status, _, _ = await bench.raw(b"GET /read/x HTTP/1.1\r\nHost: a\r\n"
                                   b"Content-Length: 3\r\n"
                                   b"Transfer-Encoding: chunked\r\n\r\n")
    bench.say(f"two framings: {status}")
    status, _, _ = await bench.ask("POST", "/book/1", b"x" * 65537)
    bench.say(f"body over the limit: {status}")
    status, _, _ = await bench.ask("GET", "/read/x", **{"X-Long": "y" * 5000})
    bench.say(f"head over the limit: {status}")
    status, _, _ = await bench.raw(b"GET /read/x HTT")
    bench.say(f"head that does not come: {status}")


async def stop(bench):
    """Connections in use while the gateway stops: each request is answered,
    or its connection was closed before."""
    await bench.add_target("t1", "plain", echo)
    await bench.start(grace_s=4)
    links = [await bench.connect() for _ in range(6)]
    for reader, writer in links:
        await bench.exchange(reader, writer, bench.head("GET", "/read/x"))
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    whole = 0
    for i, (reader, writer) in enumerate(links):
        status, headers, _ = await bench.exchange(
            reader, writer, bench.head("GET", f"/read/{i}"))
        whole += status == 200 and headers.get("connection") == "close"
        await asyncio.sleep(0.05)
    bench.say(f"answered, as the last of its connection: {whole}")
    idle = await bench.connect()
    bench.say(f"idle connection ends with {await idle[0].read()}")
    bench.say(f"exit code {await bench.process.wait()}")


async def stop_stream(bench):
    """A stream's head was sent before the stop, without announcing an end:
    the next request on its connection is answered all the same."""
    async def stream(target, request, writer):
        await start_stream(request, writer)
        writer.write(chunk(event(1)))
        await asyncio.sleep(0.5)
        writer.write(chunk(event(2)) + b"0\r\n\r\n")
        return True

    await bench.add_target("t1", "plain", echo)
    await bench.add_target("m1", "model", stream)
    await bench.start(grace_s=4)
    reader, writer = await bench.connect()
    writer.write(bench.head("POST", "/long/1", b"x", **PROMPT))
    await bench.until_logged("GATEWAY_SENT")
    await asyncio.sleep(0.2)
    bench.terminate()
    status, headers, body = await bench.exchange(reader, writer, b"")
    bench.say(f"stream: {status}, connection {headers.get('connection')}, "
              f"{body.count(b'data:')} events")
    status, headers, _ = await bench.exchange(
        reader, writer, bench.head("GET", "/read/1"))
    bench.say(f"next: {status}, connection {headers.get('connection')}")
