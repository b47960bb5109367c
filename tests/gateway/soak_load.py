"""Callers of the soak, their requests, and the processes of the gateways."""

import asyncio
import random
import signal
import socket
import time

from bench import read_body, read_head

# Output tokens of short and long generations, and their events.
SHORT, LONG = 12, 80
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = 400
DEADLINE_S = 3
# A caller waits this long for the end of a response: the deadline, the longest
# freeze, and a margin.
CALLER_WAIT_S = 9
# Share of the requests that are sent with HTTP/1.0.
HTTP_1_0 = 0.1
LARGE_BODY_BYTES = 60000
LARGE_ANSWER_BYTES = 200000
# Interval of the new connections to a gateway that stops.
PROBE_S = 0.08
# A request with this path crashes the targets that run it.
BAD_PATH = "/read/bad"
# So does one whose prompt has this part, hexadecimal.
BAD_PART = "bad"
# Interval of the bad requests of one kind.
BAD_S = 0.4
# More events than a stream has.
EVENTS_ALL = 1000
# Paths that every configuration allows for KEY, and those that some do not.
KEY, OTHER_KEY = "key-1", "key-2"
STEADY_PATHS = ("/read/x", "/read/large", "/book/1", "/tag/1", "/long/1")
STREAM_PATHS = ("/tag/1", "/long/1", "/extra-tag/1")
ONCE_PATHS = ("/book/1", "/long/1")


def generator(*names):
    """A generator of random choices that depends only on NAMES."""
    return random.Random("/".join(str(n) for n in names))


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
        self.is_in_parts = False  # written in two parts
        self.visits = []
        self.orders = []  # to copy or stop its runs
        self.starts = 0
        self.leaves = False  # its caller closes before the end
        # Sent with HTTP/1.0: nothing but the end of the connection in order
        # tells that the response is complete.
        self.ends_at_close = False

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

    def choose_path(self):
        return self.dice.choice(STEADY_PATHS + (
            () if self.soak.calm else ("/extra/1", "/extra-tag/1", "/tag/1")))

    def choose_output(self):
        return self.dice.choice((SHORT, LONG))

    def next_request(self, run):
        self.count += 1
        calm = self.soak.calm
        path = self.choose_path()
        key = OTHER_KEY if not calm and self.dice.random() < 0.08 else KEY
        attempt = Attempt(f"{self.name}n{self.count}", path, run, key=key)
        headers = {"Attempt-Id": attempt.name, "X-Api-Key": key,
                   "Deadline-Ms": str(1000 * DEADLINE_S)}
        body = b""
        if path in STREAM_PATHS:
            output = self.choose_output()
            attempt.events = output // TOKENS_PER_EVENT
            headers.update({"Model": "m", "Prefix-Hash": "1:200,2:100," + f"{self.count:x}f:100",
                            "Token-Usage": f"{PROMPT_TOKENS},{output}"})
            body = f"prompt {attempt.name} ".encode()
        elif path == "/book/1":
            body = b"slot"
        if body and not calm and self.dice.random() < 0.1:
            attempt.pattern.append("large body")
            body *= LARGE_BODY_BYTES // len(body)
        text = run.bench.head("POST" if body else "GET", path, body, **headers)
        if generator(self.soak.seed, "version", attempt.name).random() < HTTP_1_0:
            attempt.ends_at_close = True
            attempt.pattern.append("HTTP/1.0")
            text = text.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
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
        return attempt.how == "complete" and not attempt.ends_at_close \
            and attempt.headers.get("connection") != "close"

    async def send_and_read(self, attempt, text, head_size, reader, writer):
        if not self.soak.calm and self.dice.random() < 0.15:
            cut = self.dice.choice((head_size, head_size // 2))
            attempt.pattern.append(f"in two parts at {cut}")
            attempt.is_in_parts = True
            writer.write(text[:cut])
            attempt.written_at = time.monotonic()
            await asyncio.sleep(self.dice.uniform(0, 0.4))
            text = text[cut:]
        writer.write(text)
        # A request without a body is whole with its head.
        if text and not writer.transport.is_closing():
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


class StreamCaller(Caller):
    """Requests long streams only."""

    def choose_path(self):
        return self.dice.choice(("/tag/1", "/long/1", "/long/1", "/long/1"))

    def choose_output(self):
        return LONG


class BadCaller:
    """Sends one request that crashes its targets again and again, each time at
    a gateway drawn at random and under another id."""

    prefix = "bad"  # of the attempts

    def __init__(self, soak):
        self.soak = soak
        self.dice = generator(soak.seed, type(self).__name__)
        self.runs = {}  # of the gateways, by attempt

    async def run(self):
        tasks = set()
        while not self.soak.over:
            task = asyncio.ensure_future(self.send(len(self.runs)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(BAD_S)
        if tasks:
            await asyncio.wait(tasks)

    def text(self, run, name):
        return run.bench.head("GET", BAD_PATH, **{
            "Attempt-Id": name, "X-Api-Key": KEY,
            "Deadline-Ms": str(1000 * DEADLINE_S)})

    async def send(self, number):
        run = self.dice.choice(self.soak.gateways).run
        name = f"{self.prefix}{number}"
        self.runs[name] = run
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", run.bench.ports["listen"])
        except OSError:
            return
        try:
            writer.write(self.text(run, name))
            await asyncio.wait_for(reader.read(), DEADLINE_S + 1)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()


class BadPartCaller(BadCaller):
    """Sends requests whose prompts share a part that crashes engines; no two
    are alike."""

    prefix = "part"

    def text(self, run, name):
        return run.bench.head("POST", "/tag/1", name.encode(), **{
            "Attempt-Id": name, "X-Api-Key": KEY, "Model": "m",
            "Deadline-Ms": str(1000 * DEADLINE_S),
            "Token-Usage": f"{PROMPT_TOKENS},{SHORT}",
            "Prefix-Hash": f"1:200,{BAD_PART}:100,{len(self.runs):x}e:100"})


class ReturningCaller(BadCaller):
    """Begins streams, leaves them after some events, and takes them up at
    gateways drawn at random until it has their end."""

    prefix = "ret"

    def __init__(self, soak):
        super().__init__(soak)
        self.texts = {}  # of the events, by the attempt that began the stream
        self.ended = set()  # attempts that began a stream which ended
        self.taken_up = 0
        self.went_on = 0

    async def send(self, number):
        name = f"{self.prefix}{number}"
        self.texts[name] = ""
        await self.read_some(name, name, self.dice.randrange(1, 4))
        for i in range(2):
            if not self.texts[name]:
                return
            self.taken_up += 1
            before = len(self.texts[name])
            await self.read_some(name, f"{name}t{i}",
                                 self.dice.choice((1, EVENTS_ALL)))
            self.went_on += len(self.texts[name]) > before

    async def read_some(self, name, attempt, events):
        """Read EVENTS events of one try."""
        run = self.dice.choice(self.soak.gateways).run
        self.runs[attempt] = run
        record = Attempt(attempt, "/tag/1", run, LONG // TOKENS_PER_EVENT)
        record.leaves = True
        self.soak.attempts[attempt] = record
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", run.bench.ports["listen"])
        except OSError:
            return
        try:
            writer.write(self.text(run, attempt, name))
            await asyncio.wait_for(self.read_events(reader, name, events),
                                   DEADLINE_S + 1)
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def read_events(self, reader, name, events):
        status, _ = await read_head(reader)
        while status == 200 and events > 0:
            size = int(await reader.readuntil(b"\n"), 16)
            if size == 0:
                self.ended.add(name)
                return
            self.texts[name] += (await reader.readexactly(size + 2))[:-2].decode()
            events -= 1

    def text(self, run, attempt, name):
        headers = {"Attempt-Id": attempt, "X-Api-Key": KEY, "Model": "m",
                   "Deadline-Ms": str(1000 * DEADLINE_S),
                   "Token-Usage": f"{PROMPT_TOKENS},{LONG}",
                   "Prefix-Hash": f"1:200,{len(self.runs):x}d:100"}
        if attempt != name:
            ids = [l[4:] for l in self.texts[name].split("\n")
                   if l.startswith("id: ")]
            headers.update({"Last-Event-Id": ids[-1], "Resumes": name})
        return run.bench.head("POST", "/tag/1", attempt.encode(), **headers)
