"""Scenarios of answers in which a line is no field, as its name is none
(RFC 9110, 5.1)."""

import asyncio

from scenarios import GEN_HEADERS
from standins import EngineStatus, chunk, echo, event, signed, start_stream
from status_scenarios import ROUTES, ask, start

EVENTS = 8
# Lines in place of a field.
LINES = {
    "blank-within": b"X-Odd Name: 1",
    "blank-before-the-colon": b"X-Odd : 1",
    # Read as a rest of the field before it (RFC 9112, 5.2).
    "blank-first": b" X-Odd: 1",
    "tab-first": b"\tX-Odd: 1",
    "length-in-a-folded-line": b"X-Empty:\r\n Content-Length: 2",
    "tab-within": b"X-Odd\tName: 1",
    "tab-before-the-colon": b"X-Odd\t: 1",
    "null": b"X-Odd\0Name: 1",
    "control": b"X-Odd\x01Name: 1",
    "control-first": b"\x1bX-Odd: 1",
    "vertical-tab": b"X-Odd\x0bName: 1",
    "carriage-return": b"X-Odd\rName: 1",
    "delete": b"X-Odd\x7fName: 1",
    "high-byte": b"X-Odd\xe9: 1",
    "no-name": b": 1",
    "no-colon": b"X-Odd",
    "length": b"Content-Length : 2",
    "chunks": b"Transfer-Encoding : chunked",
}
ODD_LINE = LINES["blank-within"]
PLACES = ("first", "last", "informational", "after-informational", "trailer")
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n"


def spoil(data, place, line):
    """DATA, a proper answer with a length, with LINE at PLACE."""
    head, _, body = data.partition(b"\r\n\r\n")
    status, *fields = head.split(b"\r\n")
    first = b""
    if place == "first":
        fields.insert(0, line)
    elif place == "informational":
        first = INFORMATIONAL + line + b"\r\n\r\n"
    elif place == "trailer":
        fields = [f for f in fields if not f.startswith(b"Content-Length")]
        fields.append(b"Transfer-Encoding: chunked")
        body = chunk(body) + b"0\r\nX-Sum: 1\r\n" + line + b"\r\n\r\n"
    else:
        fields.append(line)
        if place == "after-informational":
            first = INFORMATIONAL + b"\r\n"
    return first + b"\r\n".join((status, *fields)) + b"\r\n\r\n" + body


class Spoiler:
    """Writer of answers that have LINE at PLACE, in pieces of STEP bytes."""

    def __init__(self, writer, place, line, step=None):
        self.writer = writer
        self.place = place
        self.line = line
        self.step = step

    def write(self, data):
        self.writer.write(spoil(data, self.place, self.line))

    async def write_in_pieces(self, data):
        data = spoil(data, self.place, self.line)
        for at in range(0, len(data), self.step):
            if self.writer.transport.is_closing():
                return
            self.writer.write(data[at:at + self.step])
            await asyncio.sleep(0.0005)


class Odd:
    """Targets that answer with a line at a place of the path, as in
    /read/trailer/no-name, at once or in pieces of STEP bytes."""

    def __init__(self, step=None):
        self.step = step
        self.sends = 0

    async def __call__(self, target, request, writer):
        _, _, place, line = request.path.split("/")
        self.sends += 1
        spoiler = Spoiler(writer, place, LINES[line], self.step)
        if self.step is None:
            spoiler.write(signed(request, b"body"))
        else:
            await spoiler.write_in_pieces(signed(request, b"body"))
        return True


async def play(bench, script, kinds):
    """Each line at each place on routes of KINDS; lines with the same result
    share a line."""
    await start(bench, script, PLACES)
    for place in PLACES:
        for kind in kinds:
            results = {}
            for line in LINES:
                result = await ask(bench, script, kind, f"{place}/{line}")
                results.setdefault(result, []).append(line)
            for result, lines in results.items():
                names = "all" if len(lines) == len(LINES) else ", ".join(lines)
                bench.say(f"{place}, {kind}: {result} ({names})")


async def field_name_invalid(bench):
    """A target answers with a line that is no field."""
    await play(bench, Odd(), ROUTES)


async def field_name_invalid_in_pieces(bench):
    """The same, and the answer arrives byte by byte."""
    await play(bench, Odd(1), ("non-idempotent",))


async def field_name_invalid_of_a_resumed_stream(bench):
    """A stream breaks off, and the next engine answers with a line that is no
    field: the stream goes on at another engine."""
    resumes = []

    async def script(target, request, writer):
        place = request.path.split("/")[2]
        first = int(request.headers.get("last-event-id", "-1")) + 1
        if first > 0:
            resumes.append(target.name)
            if len(resumes) == 1:
                rest = b"".join(event(i) for i in range(first, EVENTS))
                Spoiler(writer, place, ODD_LINE).write(signed(
                    request, rest, [("Content-Type", "text/event-stream")]))
                return True
        await start_stream(request, writer)
        for i in range(first, EVENTS):
            if first == 0 and i == 3:
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(chunk(event(i)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    await start(bench, script, PLACES)
    for place in PLACES:
        resumes.clear()
        status, _, body = await bench.send("POST", f"/tag/{place}/1", b"x",
                                           **GEN_HEADERS)
        whole = body == b"".join(event(i) for i in range(EVENTS))
        bench.say(f"{place}: {status}, whole {whole}, resumed {len(resumes)} "
                  "times")


async def field_name_invalid_of_the_store(bench):
    """The store answers with a line that is no field: the gateway keeps what it
    knows until the store answers properly."""
    handle = bench.store.handle
    await bench.add_target("t1", "plain", echo)
    await bench.start()
    for place in PLACES:
        bench.logs.clear()
        bench.store.handle = lambda request, writer: handle(
            request, Spoiler(writer, place, ODD_LINE))
        bench.store.drop_connections()
        bench.config["Version"] += 1
        await bench.store.put("config", "main", bench.config)
        await asyncio.sleep(2)
        status, _, _ = await bench.send("GET", "/read/1")
        is_adopted = bool(bench.logged("GATEWAY_ROUTING_ADOPTED",
                                       version=bench.config["Version"]))
        reasons = {l["reason"] for l in bench.logged("GATEWAY_STORE_LOST")}
        bench.store.handle = handle
        await bench.until_logged("GATEWAY_ROUTING_ADOPTED",
                                 version=bench.config["Version"])
        bench.say(f"{place}: {status}, {', '.join(sorted(reasons))}, adopted "
                  f"{is_adopted}; adopted from a proper answer")


class OddStatus(EngineStatus):
    """Has ODD_LINE at PLACE of its answers, if set."""

    place = None

    async def handle(self, request, writer):
        if self.place is not None:
            writer = Spoiler(writer, self.place, ODD_LINE)
        return await super().handle(request, writer)


async def field_name_invalid_of_a_load_report(bench):
    """An engine answers its observer with a line that is no field: the observer
    takes it as not reached, and as reached once it answers properly."""
    await bench.start()
    engine = OddStatus("m1")
    await bench.observe(engine)
    for place in PLACES:
        bench.logs.clear()
        engine.place = place
        await asyncio.sleep(1.5)
        reasons = {l["reason"] for l in bench.logged("OBSERVER_ENGINE_DOWN")}
        engine.place = None
        if reasons:
            await bench.until_logged("OBSERVER_ENGINE_UP")
        bench.say(f"{place}: {', '.join(sorted(reasons))}")
