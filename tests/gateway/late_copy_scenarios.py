"""Scenarios of targets that write an answer once more on a kept connection, which
is in use again or idle then."""

import asyncio
import collections

from bench import read_body, read_head
from scenarios import GEN_HEADERS
from standins import answer, chunk, event, start_stream

REQUESTS = 24


class Copier:
    """Script of targets that write each third answer once more on its connection:
    WHEN is "at once" (with the answer), "idle" (while no request is there),
    "before" (ahead of the next answer) or "torn" (a part while idle, the rest
    ahead of the next answer).  With "before nameless" each answer to a request
    without a name has the last one of its connection ahead of it.  WRITE, a
    coroutine function, returns the bytes of an answer."""

    def __init__(self, write, when):
        self.write = write
        self.when = when
        self.count = 0
        self.copies = {}  # bytes to be written ahead of the next answer
        self.last = {}  # answer of each connection
        self.runs = {}  # by attempt

    def copy(self, data, writer):
        match self.when:
            case "at once":
                writer.write(data)
            case "idle":
                asyncio.get_running_loop().call_later(0.01, writer.write, data)
            case "before":
                self.copies[writer] = data
            case "torn":
                half = len(data) // 2
                self.copies[writer] = data[half:]
                asyncio.get_running_loop().call_later(0.01, writer.write,
                                                      data[:half])

    def take_copy(self, request, writer):
        """What goes ahead of the answer to REQUEST, or None."""
        if self.when == "before nameless":
            return None if "attempt-id" in request.headers \
                else self.last.get(writer)
        return self.copies.pop(writer, None)

    async def __call__(self, target, request, writer):
        attempt = request.headers.get("attempt-id", request.path)
        earlier = self.take_copy(request, writer)
        if earlier is not None:
            writer.write(earlier)
            await asyncio.sleep(0.01)
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        data = await self.write(request)
        writer.write(data)
        self.last[writer] = data
        self.count += 1
        if earlier is None and self.count % 3 == 0:
            self.copy(data, writer)
        return True


async def plain(request):
    return answer(200, request.path.encode(), [
        ("Attempt-Id", request.headers["attempt-id"]),
        ("Server-Signature", "s")])


async def unnamed(request):
    return answer(200, request.path.encode(), [("Server-Signature", "s")])


async def named_as_asked(request):
    if "attempt-id" in request.headers:
        return await plain(request)
    return await unnamed(request)


async def informed(request):
    """With two informational responses, which belong to the copy too."""
    name = f"Attempt-Id: {request.headers['attempt-id']}\r\n\r\n"
    return (f"HTTP/1.1 100 Continue\r\n{name}"
            f"HTTP/1.1 103 Early Hints\r\n{name}").encode() + await plain(request)


async def headless(request):
    """To HEAD: the length is that of an answer to GET, which is absent."""
    whole = await plain(request)
    if request.method == "HEAD":
        return whole[:whole.index(b"\r\n\r\n") + 4]
    return whole


class Buffer:
    """Collects what is written, as a writer."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data


async def stream(request):
    out = Buffer()
    await start_stream(request, out)
    for i in range(3):
        out.write(chunk(event(i).replace(b"piece", request.path.encode())))
    out.write(chunk(b""))
    return out.data


async def send(bench, method, path, headers):
    """Status, attempt and body of one answer, which ends its connection."""
    reader, writer = await bench.connect()
    writer.write(bench.head(method, path, b"x" if method == "POST" else b"",
                            **{"Connection": "close", **headers}))
    try:
        status, sent = await asyncio.wait_for(read_head(reader), 6)
        rest = reader.read(1 << 16) if method == "HEAD" \
            else read_body(reader, sent)
        body = await asyncio.wait_for(rest, 6)
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, None, b""
    finally:
        writer.close()
    return status, sent.get("attempt-id"), body


async def send_all(bench, when, methods, path, pieces=1, nameless=False,
                   **headers):
    """What became of requests whose answers name their path PIECES times.  With
    NAMELESS each fourth of them names no attempt."""
    counts = collections.Counter()
    for i in range(REQUESTS):
        method = methods[i % len(methods)]
        own = f"{path}{when.replace(' ', '-')}-{i}."
        named = {} if i % 4 or not nameless else {"Attempt-Id": None}
        status, attempt, body = await send(bench, method, own,
                                           {**headers, **named})
        text = body.decode()
        due = 0 if method == "HEAD" else pieces
        if status == 200:
            is_own = (text.count(own) == text.count(path) == due
                      and attempt in (None, f"a{bench.request_count}"))
            counts["own" if is_own else "other"] += 1
        await asyncio.sleep(0.02 if i % 2 else 0)
    return counts


async def try_copies(bench, write, service, methods, path, pieces=1,
                     nameless=False, **headers):
    for name in ("t1", "t2"):
        await bench.add_target(name, service, None)
    for route in bench.config["Routes"]:
        route["MaxAttempts"] = 2
    await bench.start(retry_ratio=1, retry_slack=800)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="t2")
    ways = ["at once", "idle", "before", "torn"]
    if nameless:
        ways.append("before nameless")
    for when in ways:
        copier = Copier(write, when)
        for target in bench.targets.values():
            target.script = copier
        counts = await send_all(bench, when, methods, path, pieces, nameless,
                                **headers)
        bench.say(f"{when}: most own {counts['own'] > REQUESTS / 2}, "
                  f"other {counts['other']}")
        if service == "plain" and "POST" in methods:
            twice = sum(n > 1 for n in copier.runs.values())
            bench.say(f"{when}: run twice {twice}")


async def late_copies(bench):
    """Of answers with the name of their request."""
    await try_copies(bench, plain, "plain", ("GET",), "/read/")


async def late_copies_of_actions(bench):
    """Of answers to non-idempotent requests, none of which may run twice."""
    await try_copies(bench, plain, "plain", ("POST",), "/book/")


async def late_copies_unnamed(bench):
    """Of answers that name no request, from targets that never name one."""
    await try_copies(bench, unnamed, "plain", ("GET",), "/read/")


async def late_copies_to_nameless(bench):
    """Of answers to requests of which each fourth has no name."""
    await try_copies(bench, named_as_asked, "plain", ("GET",), "/read/",
                     nameless=True)


async def late_copies_informed(bench):
    """Of informational responses with the answer that follows them."""
    await try_copies(bench, informed, "plain", ("GET",), "/read/")


async def late_copies_of_heads(bench):
    """Of answers to HEAD, whose length is that of a body that is absent, between
    answers with a body."""
    await try_copies(bench, headless, "plain", ("HEAD", "GET", "GET"), "/read/")


async def late_copies_of_streams(bench):
    """Of whole streams."""
    await try_copies(bench, stream, "model", ("POST",), "/tag/", 3,
                     **GEN_HEADERS)
