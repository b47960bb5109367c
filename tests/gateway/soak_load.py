"""Load of the soak: proxies, targets, callers, and what each of them saw."""

import asyncio
import json
import random
import signal
import socket
import time

from bench import read_body, read_head
from standins import (EngineStatus, Target, answer, chunk, event, signed,
                      start_stream)

# Interval of the events of a stream.
EVENT_S = 0.04
# Output tokens of short and long generations, and their events.
SHORT, LONG = 12, 80
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = 400
DEADLINE_S = 3
# A caller waits this long for the end of a response: the deadline, the longest
# freeze, and a margin.
CALLER_WAIT_S = 9
LARGE_BODY_BYTES = 60000
LARGE_ANSWER_BYTES = 60000
# Interval of the new connections to a gateway that stops.
PROBE_S = 0.08
# Paths that every configuration allows for KEY, and those that some do not.
KEY, OTHER_KEY = "key-1", "key-2"
STEADY_PATHS = ("/read/x", "/read/large", "/book/1", "/tag/1", "/long/1")
STREAM_PATHS = ("/tag/1", "/long/1", "/extra-tag/1")
ONCE_PATHS = ("/book/1", "/long/1")


def generator(*names):
    """A generator of random choices that depends only on NAMES."""
    return random.Random("/".join(str(n) for n in names))


class Visit:
    """One arrival of a request at a target."""

    def __init__(self, target):
        self.target = target
        self.begun_at = time.monotonic()
        self.ended_at = None
        # "at work", "complete", "rejected", "moved", "broke off", "left": the
        # gateway closed.
        self.how = "at work"
        self.delays = []

    def end(self, how):
        if self.ended_at is None:
            self.ended_at = time.monotonic()
            self.how = how


class Attempt:
    """One request of a caller."""

    def __init__(self, name, path, run, events=0, key=KEY):
        self.name = name
        self.path = path
        self.run = run
        self.events = events
        self.key = key
        self.begun_at = time.monotonic()
        self.written_at = None  # the whole text was given to the socket
        self.head_at = None  # the head of the response was read
        self.ended_at = None
        self.how = "in progress"
        self.status = 0
        self.headers = {}
        self.text = None  # body of a complete response
        self.pattern = []  # how the caller sends and reads
        self.visits = []
        self.starts = 0

    @property
    def is_complete(self):
        return self.text is not None


class Run:
    """One process of a gateway."""

    def __init__(self, bench, number, first_log):
        self.bench = bench
        self.number = number
        self.process = bench.process
        self.started_at = time.monotonic()
        self.signals = []  # (time, name)
        self.stopped_at = None  # first SIGTERM or SIGINT
        self.killed_at = None
        self.freezes = []  # [from, to]
        self.graces_s = [bench.settings["grace_s"]]
        self.exited_at = None
        self.first_log = first_log
        self.last_log = None

    def send(self, number):
        """Send a signal unless the process has ended; SIGCONT only to a frozen
        one."""
        now = time.monotonic()
        frozen = bool(self.freezes) and self.freezes[-1][1] is None
        if number == signal.SIGCONT and not frozen:
            return
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            return
        self.signals.append((now, number.name))
        if number in (signal.SIGTERM, signal.SIGINT) and not self.stopped_at:
            self.stopped_at = now
        elif number == signal.SIGKILL:
            self.killed_at = self.killed_at or now
        elif number == signal.SIGSTOP and not frozen:
            self.freezes.append([now, None])
        elif number == signal.SIGCONT:
            self.freezes[-1][1] = now

    def noticed_stop_at(self):
        """When the process can have noticed the first signal to stop."""
        for since, until in self.freezes:
            if self.stopped_at and since <= self.stopped_at \
                    and (until is None or self.stopped_at < until):
                return until
        return self.stopped_at

    def logs(self):
        return self.bench.logs[self.first_log:self.last_log]


class Proxy:
    """A loopback proxy in front of one address that delays or resets
    connections, or stalls one or both directions."""

    def __init__(self, port):
        self.target_port = port
        self.port = 0
        self.delay = 0
        self.silent = set()  # stalled directions: "up", "down"
        self.writers = set()
        self.faults = []  # [kind, from, to]

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            upstream = await asyncio.open_connection("127.0.0.1",
                                                     self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream[1]}
        await asyncio.gather(self.pump(reader, upstream[1], "up"),
                             self.pump(upstream[0], writer, "down"))
        self.writers -= {writer, upstream[1]}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while direction in self.silent:
                    await asyncio.sleep(0.05)
                writer.write(data)
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        writer.close()

    def fail(self, kind, dice):
        now = time.monotonic()
        self.faults.append([kind, now, now if kind == "reset" else None])
        if kind == "delay":
            self.delay = 0.1
        elif kind == "silence":
            self.silent = {"up", "down"}
        elif kind == "one way":
            self.silent = {dice.choice(("up", "down"))}
        elif kind == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    def heal(self):
        self.delay = 0
        self.silent = set()
        for fault in self.faults:
            fault[2] = fault[2] or time.monotonic()


class Targets:
    """The plain services and engines, and their links."""

    def __init__(self, soak):
        self.soak = soak
        self.proxies = {}  # by name of the target
        self.engines = {}
        self.records = {}  # entries of the instance list by name
        self.stopped = set()  # (engine, attempt) stopped for a migration
        self.restarting = set()  # engines that are restarting
        self.violations = []

    def visit(self, target, request):
        attempt = self.soak.attempts[request.headers["attempt-id"]]
        visit = Visit(target.name)
        attempt.visits.append(visit)
        dice = generator(self.soak.seed, attempt.name, target.name,
                         len(attempt.visits))
        return attempt, visit, dice

    async def plain(self, target, request, writer):
        attempt, visit, dice = self.visit(target, request)
        kind = dice.random()
        if kind < 0.03:
            visit.end("rejected")
            writer.write(answer(503, b"", [("Not-Executed", "1")]))
            return True
        attempt.starts += 1
        delay = dice.uniform(0, 0.03)
        if dice.random() < 0.1 and not self.soak.calm:
            delay = dice.uniform(0.1, 1.2)
        visit.delays.append(round(delay, 2))
        await asyncio.sleep(delay)
        if kind < 0.06:
            visit.end("broke off")
            writer.transport.abort()
            return False
        if kind < 0.08:
            visit.end("broke off")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")
            return False
        # An extra response precedes the right one.  The caller may get either,
        # as both carry its attempt id; the right one must not then reach
        # another request.
        if kind < 0.10:
            writer.write(signed(request, b"late", [("X-Extra", "1")]))
        text = f"{attempt.name} {target.name} "
        if attempt.path == "/read/large":
            text += "x" * LARGE_ANSWER_BYTES
        writer.write(signed(request, text.encode()))
        visit.end("complete")
        return kind >= 0.10

    async def model(self, target, request, writer):
        """An engine: generations, copies of their KV cache, and restarts."""
        if request.path == "/kv-move":
            return self.move(target, request, writer)
        if request.method == "DELETE":
            writer.write(answer(200))
            return True
        attempt, visit, dice = self.visit(target, request)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        key = (target.name, attempt.name)
        if "kv-from" in request.headers:
            self.check_copy(attempt.name, request.headers["kv-from"])
        else:
            attempt.starts += 1
        # A stop for an earlier migration does not concern this run.
        self.stopped.discard(key)
        pauses = self.choose_pauses(attempt, visit, dice)
        try:
            await self.generate(attempt, visit, dice, first, pauses, writer)
        except (ConnectionError, asyncio.CancelledError):
            visit.end("left")
            raise
        finally:
            self.engines[target.name].runs.pop(attempt.name, None)
        return visit.how == "complete"

    def choose_pauses(self, attempt, visit, dice):
        """Pauses of a run by position: -1 is before the head of the response,
        the others before this event."""
        pauses = {}
        if self.soak.calm:
            return pauses
        if dice.random() < 0.25:
            pauses[dice.choice((-1, 0))] = dice.uniform(0.3, 1.5)
        if dice.random() < 0.1:
            pauses[dice.randrange(1, attempt.events)] = dice.uniform(0.8, 1.2)
        visit.delays = [f"{s:.1f} s before {n}" for n, s in pauses.items()]
        return pauses

    async def generate(self, attempt, visit, dice, first, pauses, writer):
        key = (visit.target, attempt.name)
        runs = self.engines[visit.target].runs
        runs[attempt.name] = PROMPT_TOKENS
        await asyncio.sleep(pauses.get(-1, 0))
        writer.write(stream_head(attempt.name))
        for i in range(first, attempt.events):
            await asyncio.sleep(pauses.get(i, 0))
            if key in self.stopped:
                visit.end("moved")
                return
            if dice.random() < 0.005 or visit.target in self.restarting:
                visit.end("broke off")
                writer.transport.abort()
                return
            runs[attempt.name] = PROMPT_TOKENS + TOKENS_PER_EVENT * i
            writer.write(chunk(event(i)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        visit.end("complete")

    def move(self, target, request, writer):
        order = json.loads(request.body)
        attempt = order["InstanceId"]
        if attempt not in self.engines[target.name].runs:
            writer.write(answer(404))
            return True
        if generator(self.soak.seed, "move", attempt,
                     len(target.requests)).random() < 0.1:
            writer.write(answer(503))
            return True
        if order["Final"]:
            self.stopped.add((target.name, attempt))
        handle = f"h-{target.name}-{attempt}"
        writer.write(answer(200, json.dumps(
            {"Session": handle, "Created": 4}).encode()))
        return True

    def check_copy(self, attempt, source):
        # The handle is h-ENGINE-ATTEMPT, and attempts have no dash.
        name, _, owner = source.split("/")[1][2:].rpartition("-")
        if owner != attempt:
            self.violations.append(
                f"{attempt} continues from the KV cache of {owner}")
        if attempt in self.engines[name].runs \
                and (name, attempt) not in self.stopped:
            self.violations.append(
                f"{attempt} continues while {name} still runs it")

    async def add(self, name, service, script):
        target = await Target(name, service, script).start()
        proxy = await Proxy(target.port).start()
        self.proxies[name] = proxy
        record = {**target.record(), "Address": f"127.0.0.1:{proxy.port}"}
        self.records[name] = record
        await self.soak.store.put("servers", name, record)

    async def add_engine(self, name, service):
        self.engines[name] = await EngineStatus(name).start()
        await self.add(name, service, self.model)

    async def drain(self, name):
        """The engine drains for 1.5 s, stops, and restarts under its name."""
        engine = self.engines[name]
        if engine.phase == "draining":
            return
        engine.phase = "draining"
        record = self.records[name]
        await self.soak.store.put("servers", name,
                                  {**record, "Phase": "draining"})
        await asyncio.sleep(1.5)
        self.restarting.add(name)
        await asyncio.sleep(0.2)
        self.restarting.discard(name)
        engine.born += 1
        engine.phase = "ready"
        self.records[name] = {**record, "born": engine.born}
        await self.soak.store.put("servers", name, self.records[name])

    async def leave(self, name, duration_s):
        """The engine leaves the list of instances for DURATION_S, and completes
        its streams."""
        if self.engines[name].phase == "draining":
            return
        self.engines[name].phase = "draining"
        await self.soak.store.remove("servers", name)
        await asyncio.sleep(duration_s)
        self.engines[name].phase = "ready"
        await self.soak.store.put("servers", name, self.records[name])


def stream_head(attempt):
    return ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {attempt}\r\nServer-Signature: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()


class Caller:
    """Sends requests one at a time.  One that stays uses the address of its
    gateway until connections are refused; others avoid gateways that stop."""

    def __init__(self, soak, name, stays=False, reads_slowly=False):
        self.soak = soak
        self.name = name
        self.dice = generator(soak.seed, "caller", name)
        self.stays = stays
        self.reads_slowly = reads_slowly
        self.count = 0

    def choose_gateway(self):
        benches = [b for b in self.soak.gateways if self.stays
                   or not b.run.stopped_at] or self.soak.gateways
        return self.dice.choice(benches)

    async def run(self):
        bench = self.choose_gateway()
        while not self.soak.over:
            run = bench.run
            try:
                reader, writer = await self.connect(bench)
            except OSError:
                await asyncio.sleep(0.05)
                bench = self.choose_gateway()
                continue
            try:
                while not self.soak.over \
                        and await self.exchange(run, reader, writer):
                    await self.rest()
            finally:
                writer.close()
            await asyncio.sleep(self.dice.uniform(0, 0.04))
            if not self.stays:
                bench = self.choose_gateway()

    async def probe(self, run):
        """One request on a new connection; false if it is refused."""
        try:
            reader, writer = await self.connect(run.bench)
        except OSError:
            return False
        try:
            await self.exchange(run, reader, writer)
        finally:
            writer.close()
        return True

    async def connect(self, bench):
        sock = socket.socket()
        sock.setblocking(False)
        if self.reads_slowly:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, ("127.0.0.1", bench.ports["listen"]))
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(
            sock=sock, limit=8192 if self.reads_slowly else 1 << 16)

    async def rest(self):
        """Time between two requests on a connection."""
        if self.dice.random() < 0.08 and not self.soak.calm:
            await asyncio.sleep(self.dice.uniform(
                0, 0.8 * self.soak.idle_timeout_s))
        else:
            await asyncio.sleep(self.dice.uniform(0, 0.03))

    def next_request(self, run):
        self.count += 1
        calm = self.soak.calm
        path = self.dice.choice(STEADY_PATHS + (
            () if calm else ("/extra/1", "/extra-tag/1", "/tag/1")))
        key = OTHER_KEY if not calm and self.dice.random() < 0.08 else KEY
        attempt = Attempt(f"{self.name}n{self.count}", path, run, key=key)
        headers = {"Attempt-Id": attempt.name, "X-Api-Key": key,
                   "Deadline-Ms": str(1000 * DEADLINE_S)}
        body = b""
        if path in STREAM_PATHS:
            output = self.dice.choice((SHORT, LONG))
            attempt.events = output // TOKENS_PER_EVENT
            headers.update({"Model": "m", "Prefix-Hash": f"1:{PROMPT_TOKENS}",
                            "Token-Usage": f"{PROMPT_TOKENS},{output}"})
            body = b"x"
        elif path == "/book/1":
            body = b"slot"
        if body and self.dice.random() < 0.1:
            attempt.pattern.append("large body")
            body *= LARGE_BODY_BYTES // len(body)
        text = run.bench.head("POST" if body else "GET", path, body, **headers)
        return attempt, text, len(text) - len(body)

    async def exchange(self, run, reader, writer):
        """One request and its response; true if the connection can be used
        again."""
        attempt, text, head_size = self.next_request(run)
        self.soak.attempts[attempt.name] = attempt
        try:
            await asyncio.wait_for(
                self.send_and_read(attempt, text, head_size, reader, writer),
                CALLER_WAIT_S)
            attempt.how = "complete"
        except asyncio.TimeoutError:
            attempt.how = "caller gave up"
        except asyncio.IncompleteReadError:
            attempt.how = "closed"
        except OSError as error:
            attempt.how = f"lost: {error}"
        except ValueError as error:
            attempt.how = f"malformed: {error}"
        finally:
            attempt.ended_at = time.monotonic()
        return attempt.how == "complete" \
            and attempt.headers.get("connection") != "close"

    async def send_and_read(self, attempt, text, head_size, reader, writer):
        if not self.soak.calm and self.dice.random() < 0.15:
            cut = self.dice.choice((head_size, head_size // 2))
            attempt.pattern.append(f"in two parts at {cut}")
            writer.write(text[:cut])
            await asyncio.sleep(self.dice.uniform(0, 0.4))
            text = text[cut:]
        writer.write(text)
        if not writer.transport.is_closing():
            attempt.written_at = time.monotonic()
        if self.reads_slowly and not self.soak.calm:
            pause = self.dice.uniform(0, 0.8)
            attempt.pattern.append(f"reads after {pause:.1f} s")
            await asyncio.sleep(pause)
        attempt.status, attempt.headers = await read_head(reader)
        attempt.head_at = time.monotonic()
        if self.reads_slowly and not self.soak.calm:
            await asyncio.sleep(self.dice.uniform(0, 0.8))
        body = await read_body(reader, attempt.headers)
        attempt.text = body.decode()
