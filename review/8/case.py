"""A machine of the system is stopped while streams are under way, and one of
their servers crashes, which cuts its streams inside an event."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))

import common_2  # noqa: E402
from bench import read_answer  # noqa: E402
from common_2 import BROKEN, HELD, NOT_RUN  # noqa: E402
from standins import (CLOSE, Target, answer, event,  # noqa: E402
                      start_stream)

# One of them crashes, a share of 0.143.
SERVERS = 7
CALLERS = 14
EVENTS = 12
EVENT_S = 0.05
# Of the event that the crash cuts.
TORN_BYTES = 9
GENERATION = {"Model": "m", "Token-Usage": "400,48", "Prefix-Hash": "1:400"}
# From the arrival of a request to the head of its answer, and from the sending
# of the requests to the SIGTERM and to the crash.
HEAD_S = 0.6
STOP_S = 0.2
CRASH_S = 0.9


class Server(Target):
    """A server that answers without length or chunks.  Its crash cuts its
    streams inside an event, and its kernel closes their connections."""

    def __init__(self, case, name):
        super().__init__(name, "portal", None)
        self.case = case
        self.runs = {}  # by path: the writer and the next event
        self.broken = set()  # paths
        self.has_crashed = False

    async def handle(self, request, writer):
        if request.method != "POST":
            writer.write(answer(200, b"", [("Instance-Id", self.name)]))
            return True
        if request.headers.get("target-instance") != self.name:
            writer.write(answer(421, b"", [("Instance-Id", self.name)]))
            return True
        path = request.path
        self.case.say(f"{self.name} runs {path}")
        await asyncio.sleep(HEAD_S if path.startswith("/summary/late-") else 0)
        await start_stream(request, writer, framing=CLOSE)
        self.runs[path] = [writer, 0]
        while self.runs[path][1] < EVENTS:
            if self.has_crashed:
                return False
            writer.write(event(self.runs[path][1]))
            self.runs[path][1] += 1
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        del self.runs[path]
        return False

    def crash(self):
        self.has_crashed = True
        self.server.close()
        for path, (writer, number) in self.runs.items():
            self.broken.add(path)
            writer.write(event(number)[:TORN_BYTES])
            self.case.say(f"{self.name} crashes within event {number} of "
                          f"{path}")
        for writer in list(self.writers):
            writer.close()


async def send(case, connection, path):
    """Send a request on a kept connection and read its answer: the status,
    whether it is complete in HTTP, and its whole events."""
    reader, writer = connection
    writer.write(case.bench.head("POST", path, b"x", **{
        **GENERATION, "Deadline-Ms": "39000"}))
    try:
        status, headers, body = await asyncio.wait_for(read_answer(reader), 20)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        case.say(f"{path}: no complete answer")
        return 0, False, 0
    framing = headers.get("content-length", "chunks")
    events = body.count(b"\n\n")
    case.say(f"{path}: {status}, complete, length {framing}, {events} of "
             f"{EVENTS} events, ends with {body[-12:]!r}")
    return status, True, events


async def play(case):
    # `fleetbench wire` shows a streaming route, with prompts, that goes to a
    # service without Engine in part.
    case.route("r-summary")["Backend"] = "portal"
    await case.bench.store.start()
    servers = [await Server(case, f"p{i}").start() for i in range(SERVERS)]
    for server in servers:
        case.bench.targets[server.name] = server
        await case.bench.store.put("servers", server.name, server.record())
    await case.start()
    await asyncio.sleep(common_2.CONTACT_S + 0.5)
    connections = [await case.bench.connect() for _ in range(CALLERS)]
    calm = await asyncio.gather(*(
        send(case, c, f"/summary/calm-{i}")
        for i, c in enumerate(connections)))
    if calm != [(200, True, EVENTS)] * CALLERS:
        return NOT_RUN
    paths = [f"/summary/late-{i}" for i in range(CALLERS)]
    sent = [asyncio.ensure_future(send(case, c, p))
            for c, p in zip(connections, paths)]
    await asyncio.sleep(STOP_S)
    if case.trouble:
        case.say("SIGTERM to the gateway")
        case.bench.terminate()
    await asyncio.sleep(CRASH_S - STOP_S)
    server = max(servers, key=lambda s: len(s.runs))
    server.crash()
    answers = dict(zip(paths, await asyncio.gather(*sent)))
    if not server.broken or any(
            answers[p] != (200, True, EVENTS) for p in paths
            if p not in server.broken):
        return NOT_RUN
    broken = sum(answers[p][0] == 200 and answers[p][1]
                 and answers[p][2] < EVENTS for p in server.broken)
    case.say(f"{broken} of {len(server.broken)} streams that the crash cut look "
             f"complete; the other {CALLERS - len(server.broken)} are whole")
    return BROKEN if broken else HELD


common_2.main(play, __file__)
