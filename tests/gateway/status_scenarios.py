"""Scenarios of answers whose status is none, or that announces another answer."""

import asyncio
import json
import time

from bench import read_head
from scenarios import GEN_HEADERS
from standins import EngineStatus, answer, chunk, echo, event, start_stream

EVENTS = b"".join(event(i) for i in range(3))
# Shorter than each time limit of the routes and calls below.
AT_ONCE_S = 0.5
TARGETS = 16
FIELDS = "Attempt-Id: {}\r\nServer-Signature: s\r\n"
# Fields of the head and bytes of the body.
BODIES = {
    "length": ("Content-Length: 4\r\n", b"body"),
    "empty": ("Content-Length: 0\r\n", b""),
    "chunks": ("Transfer-Encoding: chunked\r\n", chunk(b"body") + b"0\r\n\r\n"),
    "close": ("", b"body"),
    "events": ("Content-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n",
               chunk(EVENTS) + b"0\r\n\r\n"),
}
# A status is from 100 to 599 in three digits (RFC 9110, 15), and 101 follows only
# a request that asks for another protocol.
INVALID = ("000", "099", "20", "0200", "101", "600", "999", "2000", "-20",
           "2xx")
ROUTES = {"idempotent": ("GET", "/read/"), "non-idempotent": ("POST", "/book/"),
          "stream": ("POST", "/long/"), "resumable": ("POST", "/tag/")}


def encode(line, body, attempt, fields=""):
    """The answer with the status line LINE and the body of the kind BODY."""
    more, data = BODIES[body]
    return (f"HTTP/1.1 {line} X\r\n" + FIELDS.format(attempt) + fields + more
            + "\r\n").encode() + data


class Responder:
    """Targets that answer with a status line and a body of the path, as in
    /read/000/length.  Each connection stays open, but for bodies that end with
    it."""

    def __init__(self, fields=""):
        self.fields = fields
        self.sends = 0

    async def __call__(self, target, request, writer):
        _, _, line, body = request.path.split("/")
        self.sends += 1
        writer.write(encode(line, body, request.headers["attempt-id"],
                            self.fields))
        await writer.drain()
        return body != "close"


async def start(bench, script, names):
    """Start a gateway with targets of its own for each of NAMES, as targets
    that failed are avoided."""
    routes, services = [], []
    for i, name in enumerate(names):
        for route in bench.config["Routes"]:
            kind = route["Backend"]
            routes.append({**route, "Name": f"{route['Name']}-{i}",
                           "PathPrefix": f"{route['PathPrefix']}{name}/",
                           "MaxAttempts": 2, "Backend": f"{kind}-{i}"})
        for service in bench.config["Backends"]:
            services.append({**service, "Name": f"{service['Name']}-{i}"})
            for k in range(TARGETS):
                await bench.add_target(f"{service['Name']}-{i}-{k}",
                                       f"{service['Name']}-{i}", script)
    bench.config["Routes"] += routes
    bench.config["Backends"] += services
    await bench.start(retry_ratio=1, retry_slack=1000)


async def ask(bench, script, kind, path):
    """What a caller gets, how often its request was sent, and whether it was
    answered at once."""
    method, prefix = ROUTES[kind]
    script.sends = 0
    headers = GEN_HEADERS if prefix in ("/long/", "/tag/") else {}
    begun = time.monotonic()
    status, fields, body = await bench.send(
        method, prefix + path, b"" if method == "GET" else b"x", **headers)
    took = time.monotonic() - begun
    whose = "" if status == 0 or b'"error"' in body else \
        f" and {len(body)} bytes of the target"
    return (f"{status}{whose}, sent {script.sends}, "
            f"{'at once' if took < AT_ONCE_S else 'late'}")


async def play(bench, script, lines):
    """Each line with each body on each route; bodies with the same result share
    a line."""
    await start(bench, script, lines)
    for line in lines:
        for kind in ROUTES:
            results = {}
            for body in BODIES:
                result = await ask(bench, script, kind, f"{line}/{body}")
                results.setdefault(result, []).append(body)
            for result, bodies in results.items():
                names = "all" if len(bodies) == len(BODIES) else \
                    ", ".join(bodies)
                bench.say(f"{line}, {kind}: {result} ({names})")


async def status_invalid(bench):
    """A target answers with a status that is none: it was taken for an
    informational answer, which the request waited behind until its deadline,
    or passed on to the caller."""
    await play(bench, Responder(), INVALID)


async def status_invalid_with_refusal(bench):
    """The same with the field that says that the request did not run: what is no
    answer promises nothing."""
    await play(bench, Responder("Not-Executed: 1\r\n"), ("000", "101", "600"))


async def status_invalid_after_informational(bench):
    """The same behind an informational answer."""
    async def script(target, request, writer):
        _, _, line, body = request.path.split("/")
        script.sends += 1
        writer.write(INFORMATIONAL["103"].encode()
                     + encode(line, body, request.headers["attempt-id"]))
        await writer.drain()
        return body != "close"

    await play(bench, script, ("000", "099", "101", "600", "2xx"))


async def status_invalid_of_a_resumed_stream(bench):
    """A stream breaks off, and the next engine answers with a status that is
    none: the stream goes on at another engine."""
    resumes = []

    async def script(target, request, writer):
        line = request.path.split("/")[2]
        first = int(request.headers.get("last-event-id", "-1")) + 1
        attempt = request.headers["attempt-id"]
        if first > 0:
            resumes.append(target.name)
            if len(resumes) == 1:
                writer.write(encode(line, "events", attempt))
                return True
        await start_stream(request, writer)
        for i in range(first, 8):
            if first == 0 and i == 3:
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(chunk(event(i)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    lines = ("000", "099", "101", "600", "2xx")
    await start(bench, script, lines)
    for line in lines:
        resumes.clear()
        begun = time.monotonic()
        status, _, body = await bench.send("POST", f"/tag/{line}/1", b"x",
                                           **GEN_HEADERS)
        took = time.monotonic() - begun
        bench.say(f"{line}: {status}, whole "
                  f"{body == b''.join(event(i) for i in range(8))}, resumed "
                  f"{len(resumes)} times, within 1 s {took < 1}")


async def status_invalid_of_an_order(bench):
    """An engine drains, and answers the orders to copy and to stop its run with
    a status that is none: the gateway knows at once that it has no answer."""
    async def play_order(line, ordered):
        stopped, orders = asyncio.Event(), []

        async def script(target, request, writer):
            if request.path.startswith("/kv-move"):
                kind = "stop" if json.loads(request.body)["Final"] else "copy"
                orders.append(time.monotonic())
                if kind == "stop":
                    stopped.set()
                writer.write(answer(line if kind == ordered else 200,
                                    b'{"Session":"h1","Created":4}'))
                return True
            if request.path.startswith("/kv-handle"):
                writer.write(answer(200))
                return True
            first = int(request.headers.get("last-event-id", "-1")) + 1
            await start_stream(request, writer)
            for i in range(first, 40 if first == 0 else first + 3):
                if stopped.is_set() and first == 0:
                    return False
                writer.write(chunk(event(i)))
                await asyncio.sleep(0.05)
            writer.write(b"0\r\n\r\n")
            return True

        name = f"{line}-{ordered}"
        old = await bench.add_target(f"old-{name}", "model", script)
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=old.name)
        caller = asyncio.ensure_future(
            bench.send("POST", "/long/1", b"x", **GEN_HEADERS))
        await asyncio.sleep(0.3)
        new = await bench.add_target(f"new-{name}", "model", script)
        await bench.until_logged("GATEWAY_TARGET_ADDED", target=new.name)
        await bench.store.put("servers", old.name, old.record("draining"))
        status, _, body = await caller
        numbers = [int(l[4:]) for l in body.decode().split("\n")
                   if l.startswith("id:")]
        bench.say(f"{line}, {ordered}: {status}, each event once and in order "
                  f"{numbers == list(range(len(numbers)))}, ordered "
                  f"{len(orders) > 0}")
        for target in (old, new):
            await bench.store.remove("servers", target.name)
        await bench.until_logged("GATEWAY_TARGET_LEAVING", target=new.name)

    await bench.start()
    for line in ("000", "101", "600"):
        for ordered in ("copy", "stop"):
            await play_order(line, ordered)


async def status_invalid_of_the_store(bench):
    """The store answers with a status that is none: the gateway asks again at
    once as after any failed call, and keeps what it knows."""
    await bench.add_target("t1", "plain", echo)
    await bench.start()
    for line in ("000", "101", "600", "2xx"):
        bench.logs.clear()
        bench.store.status = line
        await asyncio.sleep(2)
        status, _, _ = await bench.send("GET", "/read/1")
        reasons = {l["reason"] for l in bench.logged("GATEWAY_STORE_LOST")}
        bench.store.status = None
        bench.config["Version"] += 1
        await bench.store.put("config", "main", bench.config)
        await bench.until_logged("GATEWAY_ROUTING_ADOPTED",
                                 version=bench.config["Version"])
        bench.say(f"{line}: {status}, {', '.join(sorted(reasons))}; the next "
                  f"configuration is in force")


class OddStatus(EngineStatus):
    """Answers with the status LINE, if set."""

    line = None

    async def handle(self, request, writer):
        if self.line is None:
            return await super().handle(request, writer)
        writer.write(answer(self.line, b"{}"))
        return True


async def status_invalid_of_a_load_report(bench):
    """An engine answers its observer with a status that is none: the observer
    takes it as not reached, and as reached once it answers properly."""
    await bench.start()
    engine = OddStatus("m1")
    await bench.observe(engine)

    for line in ("000", "101", "600"):
        bench.logs.clear()
        engine.line = line
        await asyncio.sleep(1.5)
        reasons = {l["reason"] for l in bench.logged("OBSERVER_ENGINE_DOWN")}
        engine.line = None
        await bench.until_logged("OBSERVER_ENGINE_UP")
        bench.say(f"{line}: {', '.join(sorted(reasons))}; then up again")


# What precedes the proper answer, or the end of the connection.
INFORMATIONAL = {
    "100": "HTTP/1.1 100 Continue\r\n\r\n",
    "102": "HTTP/1.1 102 Processing\r\n\r\n" * 3,
    "103": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    "199": "HTTP/1.1 199 X\r\n\r\n",
    "100-and-103": "HTTP/1.1 100 Continue\r\n\r\n"
                   "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    # An informational answer has no body, whatever it says (RFC 9112, 6.3).
    "103-with-a-length": "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\n",
    "103-in-chunks": "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n",
    "103-encoded": "HTTP/1.1 103 X\r\nTransfer-Encoding: gzip\r\n\r\n",
}


async def status_informational(bench):
    """Informational answers precede the proper one, at once and later."""
    async def script(target, request, writer):
        _, _, first, body = request.path.split("/")
        script.sends += 1
        writer.write(INFORMATIONAL[first].encode())
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(encode("200", body, request.headers["attempt-id"]))
        await writer.drain()
        return body != "close"

    await start(bench, script, INFORMATIONAL)
    for first in INFORMATIONAL:
        for kind in ROUTES:
            body = "events" if kind in ("stream", "resumable") else "length"
            result = await ask(bench, script, kind, f"{first}/{body}")
            bench.say(f"{first}, {kind}: {result}")


async def status_informational_then_end(bench):
    """The connection ends behind an informational answer: the request waited
    until its deadline for an answer on it."""
    async def script(target, request, writer):
        _, _, first, end = request.path.split("/")
        script.sends += 1
        writer.write(INFORMATIONAL[first].encode())
        await writer.drain()
        if end == "reset":
            await asyncio.sleep(0.02)
            writer.transport.abort()
        return False

    await start(bench, script, INFORMATIONAL)
    for first in INFORMATIONAL:
        for kind in ROUTES:
            for end in ("close", "reset"):
                result = await ask(bench, script, kind, f"{first}/{end}")
                bench.say(f"{first}, {end}, {kind}: {result}")


async def status_without_body(bench):
    """Answers that have no body by their status, with a length or a body all the
    same: the gateway waited for the body, or passed it on."""
    sent = {"a length": b"", "a body": b"body"}
    script = Responder()

    async def respond(target, request, writer):
        _, _, line, body = request.path.split("/")
        script.sends += 1
        head = FIELDS.format(request.headers["attempt-id"])
        writer.write(f"HTTP/1.1 {line} X\r\n{head}Content-Length: 4\r\n\r\n"
                     .encode() + sent[body.replace("-", " ")])
        return True

    await start(bench, respond, ("204", "304"))
    for line in ("204", "304"):
        for kind in ("idempotent", "non-idempotent"):
            for body in sent:
                result = await ask(bench, script, kind,
                                   f"{line}/{body.replace(' ', '-')}")
                bench.say(f"{line} with {body}, {kind}: {result}")


async def status_informational_to_head(bench):
    """An informational answer precedes the one to HEAD, which has the length of
    a body that is absent: the gateway waited for that body."""
    async def script(target, request, writer):
        writer.write(INFORMATIONAL[request.path.split("/")[2]].encode())
        writer.write((f"HTTP/1.1 200 X\r\nContent-Length: 4\r\n"
                      f"{FIELDS.format(request.headers['attempt-id'])}\r\n")
                     .encode())
        return True

    await start(bench, script, INFORMATIONAL)
    for first in INFORMATIONAL:
        reader, writer = await bench.connect()
        begun = time.monotonic()
        writer.write(bench.head("HEAD", f"/read/{first}/1"))
        status, headers = await read_head(reader)
        writer.close()
        bench.say(f"{first}: {status}, length {headers.get('content-length')}, "
                  f"{'at once' if time.monotonic() - begun < AT_ONCE_S else 'late'}")


async def status_of_another_then_end(bench):
    """An answer to an earlier request ends with its connection: the next request
    waited until its deadline for its own answer."""
    async def script(target, request, writer):
        script.sends += 1
        attempt = request.headers["attempt-id"]
        if len(target.requests) % 2 == 1:
            writer.write(encode("200", "length", attempt))
            return True
        writer.write(encode("200", "close", "another"))
        return False

    await bench.add_target("t1", "plain", script)
    await bench.start()
    for _ in range(2):
        bench.say(await ask(bench, script, "non-idempotent", "1/1"))


async def status_of_streams(bench):
    """Streams whose status is another success than 200 are cut if they end
    inside an event, and a response with the type of a stream that has no body
    leaves its connection in step."""
    torn = b"id: 0\ndata: a\n\nid: 1\nda"

    async def script(target, request, writer):
        _, _, status, body = request.path.split("/")
        end = {"torn": torn, "whole": torn[:-8]}.get(body)
        framing = "Connection: close" if end else "Transfer-Encoding: chunked"
        writer.write((f"HTTP/1.1 {status} X\r\n"
                      + FIELDS.format(request.headers["attempt-id"])
                      + f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
                      ).encode() + (end or b""))
        return end is None

    bench.config["Routes"][2]["Backend"] = "plain"
    await bench.add_target("t1", "plain", script)
    await bench.start()
    for status in (200, 201, 206):
        for body in ("whole", "torn"):
            got, _, data = await bench.send("POST", f"/long/{status}/{body}")
            bench.say(f"{status} {body}: {got}, {data.count(b'data')} events")
    for method, status in (("HEAD", 200), ("HEAD", 201), ("POST", 204)):
        reader, writer = await bench.connect()
        writer.write(bench.head(method, f"/long/{status}/none"))
        got, _ = await asyncio.wait_for(read_head(reader), 8)
        following, _, data = await bench.exchange(
            reader, writer, bench.head("POST", "/long/200/whole"))
        bench.say(f"{method} {status}: {got}, and then {following}, "
                  f"{data.count(b'data')} events")
        writer.close()
