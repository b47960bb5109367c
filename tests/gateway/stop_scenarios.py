"""Scenarios of a gateway that is stopped while callers keep using it."""

import asyncio
import collections
import contextlib
import itertools
import os
import random
import signal
import time

from scenarios import GEN_HEADERS
from standins import chunk, echo, event, signed, start_stream

# Requests are sent at this interval while the gateway stops.
INTERVAL_S = 0.05
# Requests sent this long after the start of a stop are late in it.
LATE_IN_STOP_S = 2.2


class Caller:
    """Sends requests one at a time, each on a connection of its own, and sorts
    them by what became of them."""

    def __init__(self, bench):
        self.bench = bench
        self.outcomes = {}  # by attempt id

    async def send(self, method, path, body=b"", **headers):
        head = self.bench.head(method, path, body, **headers)
        attempt = f"a{self.bench.request_count}"
        try:
            status, _, _ = await self.bench.raw(head)
        except OSError:
            status = None  # not connected, so certainly not read
        self.outcomes[attempt] = status

    def unanswered(self):
        """Attempts that reached a target and whose connection ended without a
        complete response."""
        arrived = {r.headers.get("attempt-id")
                   for t in self.bench.targets.values() for r in t.requests}
        return [a for a, status in self.outcomes.items()
                if status == 0 and a in arrived]


async def send_until_stopped(bench, *request, **headers):
    """Send REQUEST every INTERVAL_S until the process, which is stopping, has
    ended.  Returns the caller."""
    caller = Caller(bench)
    tasks = []
    while bench.process.returncode is None:
        tasks.append(asyncio.ensure_future(caller.send(*request, **headers)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return caller


async def stop_late_request(bench):
    """New connections reach a stopping gateway until its end, as when under
    half of the gateways are ready.  A short generation that takes an engine
    longer than its size suggests must not be cut off by the end of the
    process."""
    async def slow_start(target, request, writer):
        await asyncio.sleep(0.9)
        await start_stream(request, writer)
        writer.write(chunk(event(0)) + b"0\r\n\r\n")
        return True

    await bench.add_target("m1", "model", slow_start)
    await bench.start(grace_s=4)
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    caller = await send_until_stopped(
        bench, "POST", "/tag/1", b"x",
        **{**GEN_HEADERS, "Token-Usage": "400,12"})
    served = sum(s == 200 for s in caller.outcomes.values())
    bench.say(f"some are served: {served > 0}")
    bench.say(f"unanswered at the engine: {len(caller.unanswered())}")
    bench.say(f"logged as unanswered: {len(bench.logged('GATEWAY_UNANSWERED'))}")


async def stop_late_stream(bench):
    """An engine begins to respond shortly before the stopping gateway ends.  A
    response that was begun cannot become a refusal, so one that may not end in
    time must not begin."""
    async def slow_start(target, request, writer):
        await asyncio.sleep(3)
        await start_stream(request, writer)
        for i in range(3):
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.4)
        writer.write(b"0\r\n\r\n")
        return True

    await bench.add_target("m1", "model", slow_start)
    await bench.start(grace_s=7)
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(LATE_IN_STOP_S)
    caller = await send_until_stopped(
        bench, "POST", "/tag/1", b"x",
        **{**GEN_HEADERS, "Token-Usage": "400,12"})
    bench.say(f"reached the engine: {len(bench.targets['m1'].requests) > 0}")
    bench.say(f"unanswered at the engine: {len(caller.unanswered())}")


async def stop_early_stream(bench):
    """As before, with a request that was taken at the begin of the stop."""
    async def slow_start(target, request, writer):
        await asyncio.sleep(2.8)
        await start_stream(request, writer)
        for i in range(3):
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.2)
        writer.write(b"0\r\n\r\n")
        return True

    await bench.add_target("m1", "model", slow_start)
    await bench.start(grace_s=4)
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    caller = Caller(bench)
    await caller.send("POST", "/tag/1", b"x",
                      **{**GEN_HEADERS, "Token-Usage": "400,12"})
    bench.say(f"reached the engine: {len(bench.targets['m1'].requests)}")
    bench.say(f"response: {caller.outcomes}")


async def stop_waiting_stream(bench):
    """A request is taken early in the stop and waits for an engine until late
    in it.  The engine then takes longer than the rest of the stop, within what
    a sound engine may take: the stream must not begin."""
    async def with_pauses(target, request, writer):
        await start_stream(request, writer)
        for i in range(3):
            await asyncio.sleep((0.9, 0, 1.2)[i])
            writer.write(chunk(event(i)))
        writer.write(b"0\r\n\r\n")
        return True

    await bench.start(grace_s=4.7)
    bench.terminate()
    await bench.until_logged("DAEMON_STOPPING")
    await asyncio.sleep(LATE_IN_STOP_S - 0.4)
    caller = Caller(bench)
    request = asyncio.ensure_future(caller.send(
        "POST", "/tag/1", b"x", **{**GEN_HEADERS, "Token-Usage": "400,12"}))
    await asyncio.sleep(0.35)
    await bench.add_target("m1", "model", with_pauses)
    await request
    bench.say(f"reached the engine: {len(bench.targets['m1'].requests)}")
    bench.say(f"response: {caller.outcomes}")


async def stop_pipelined(bench):
    """A request has arrived behind one in progress when the stop begins: both
    are answered."""
    async def slow(target, request, writer):
        await asyncio.sleep(0.4)
        writer.write(signed(request, request.path.encode()))
        return True

    await bench.add_target("t1", "plain", slow)
    await bench.start(grace_s=4)
    reader, writer = await bench.connect()
    writer.write(bench.head("GET", "/read/1") + bench.head("GET", "/read/2"))
    await bench.until_logged("GATEWAY_SENT")
    bench.terminate()
    for _ in range(2):
        status, headers, body = await bench.exchange(reader, writer, b"")
        bench.say(f"{status} {body.decode()}, connection "
                  f"{headers.get('connection')}")


async def stop_signals(bench):
    """Signals arrive until the process has ended: it still ends by itself, with
    its last log lines."""
    async def hang(target, request, writer):
        await request.reader.read(1)
        return False

    await bench.add_target("t1", "plain", hang)
    codes = []
    await bench.start(grace_s=1.5)
    for attempt in range(5):
        if attempt > 0:
            await bench.start_process()
            await bench.until(bench.is_ready)
        name = f"a{bench.request_count + 1}"
        answer = asyncio.ensure_future(bench.send("GET", "/read/1"))
        await bench.until_logged("GATEWAY_SENT", request=name)
        # A reload is logged, and more lines than the log's limit are dropped.
        series = itertools.cycle((signal.SIGTERM, signal.SIGINT) * 20
                                 + (signal.SIGHUP,))
        while bench.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(bench.process.pid, next(series))
            await asyncio.sleep(0.0002)
        codes.append((bench.process.returncode, (await answer)[0]))
    bench.say(f"exit codes and responses {codes}")
    await asyncio.sleep(0.1)
    bench.say(f"ends logged: {len(bench.logged('GATEWAY_STOPPED'))}")


async def stop_late_actions(bench):
    """Requests that may run once come on new connections and on kept ones until
    the end of a calm stop, and take a target up to almost their time limit: the
    process does not end before each that has run is answered."""
    dice = random.Random(1)

    async def work(target, request, writer):
        await asyncio.sleep(dice.choice((0.05, 0.3, 0.9)))
        writer.write(signed(request, b"ok"))
        return True

    async def send_on_one_connection(caller):
        with contextlib.suppress(OSError):
            reader, writer = await bench.connect()
            while True:
                head = bench.head("POST", "/book/x", b"x")
                attempt = f"a{bench.request_count}"
                status, headers, _ = await bench.exchange(reader, writer, head)
                caller.outcomes[attempt] = status
                if status == 0 or headers.get("connection") == "close":
                    break
            writer.close()

    for name in ("t1", "t2", "t3"):
        await bench.add_target(name, "plain", work)
    await bench.start(grace_s=4)
    kept = Caller(bench)
    tasks = [asyncio.ensure_future(send_on_one_connection(kept))
             for _ in range(8)]
    await asyncio.sleep(0.5)
    bench.terminate()
    new = await send_until_stopped(bench, "POST", "/book/x", b"x")
    await asyncio.gather(*tasks)
    late = sum(s == 200 for s in new.outcomes.values())
    bench.say(f"served in the stop: {late > 10}, unanswered on new connections "
              f"{len(new.unanswered())}, on kept ones "
              f"{len(kept.unanswered())}")


async def stop_unanswered(bench):
    """Requests have no response when the grace period ends.  One that was sent
    to an engine gets 502, since it may have run; one that waits for an engine
    gets 503 with Retry-After, since it did not."""
    async def hang(target, request, writer):
        await request.reader.read(1)
        return False

    await bench.add_target("m1", "model", hang)
    await bench.start(grace_s=2)
    sent = asyncio.ensure_future(bench.send(
        "POST", "/long/1", b"x",
        **{**GEN_HEADERS, "Token-Usage": "30000,900"}))
    await bench.until_logged("GATEWAY_SENT")
    waiting = asyncio.ensure_future(bench.send(
        "POST", "/long/2", b"x",
        **{**GEN_HEADERS, "Token-Usage": "4000,900"}))
    await asyncio.sleep(0.2)
    bench.terminate()
    for name, task in (("sent", sent), ("waiting", waiting)):
        status, headers, _ = await task
        bench.say(f"{name}: {status}, retry-after "
                  f"{'retry-after' in headers}, connection "
                  f"{headers.get('connection')}")
    bench.say(f"exit code {await bench.process.wait()}")


class Load:
    """Callers that send requests until a process has ended, and what became of
    them."""

    def __init__(self, bench):
        self.bench = bench
        self.ends = collections.Counter()

    def note(self, kind, status):
        """STATUS: 0 for an answer that is absent or incomplete, None for a
        connection that was refused."""
        if status is None:
            self.ends["refused connections"] += 1
        elif status == 0:
            self.ends[f"cut, {kind}"] += 1
        else:
            self.ends["answered"] += 1

    async def send(self, kind, data, pause_s=0):
        """DATA on a connection of its own, its last bytes after a pause."""
        try:
            reader, writer = await self.bench.connect()
        except OSError:
            self.note(kind, None)
            return
        try:
            writer.write(data[:-100])
            await asyncio.sleep(pause_s)
            status, _, _ = await self.bench.exchange(reader, writer,
                                                     data[-100:])
        except OSError:
            status = 0
        writer.close()
        self.note(kind, status)

    async def send_on_one(self, kind):
        """Requests on a connection, two at a time, and on the next one when the
        gateway closes it."""
        while self.bench.process.returncode is None:
            try:
                reader, writer = await self.bench.connect()
            except OSError:
                self.note(kind, None)
                return
            is_kept = True
            while is_kept:
                data = b"".join(self.bench.head("GET", f"/read/{i}")
                                for i in range(2))
                for part in (data, b""):
                    status, headers, _ = await self.bench.exchange(
                        reader, writer, part)
                    self.note(kind, status)
                    is_kept = status and headers.get("connection") != "close"
                    if not is_kept:
                        break
                await asyncio.sleep(0.01)
            writer.close()


async def stop_under_load(bench):
    """New connections, kept ones with requests behind each other, bodies that come
    in parts and generations of which most wait for memory, until the process
    has ended: each request that it has accepted is answered."""
    async def work(target, request, writer):
        await asyncio.sleep(0.05)
        writer.write(signed(request, b"ok"))
        return True

    async def generate(target, request, writer):
        await start_stream(request, writer)
        for i in range(4):
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.05)
        writer.write(chunk(b""))
        return True

    for name in ("t1", "t2"):
        await bench.add_target(name, "plain", work)
    await bench.add_target("m1", "model", generate)
    await bench.start(grace_s=4)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m1")
    load = Load(bench)
    tasks = [asyncio.ensure_future(load.send_on_one("kept")) for _ in range(8)]
    await asyncio.sleep(0.5)
    bench.terminate()
    for i in itertools.count():
        if bench.process.returncode is not None:
            break
        read = bench.head("POST", "/read/x", b"x" * 2000)
        tasks.append(asyncio.ensure_future(load.send("new", read)))
        if i % 5 == 0:
            read = bench.head("POST", "/read/x", b"x" * 2000)
            tasks.append(asyncio.ensure_future(load.send("in parts", read, 0.2)))
        if i % 10 == 0:
            large = {**GEN_HEADERS, "Token-Usage": "12000,900"}
            data = bench.head("POST", "/tag/x", b"x" * 200, **large)
            tasks.append(asyncio.ensure_future(load.send("generation", data)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    cut = {k: n for k, n in load.ends.items() if k.startswith("cut")}
    bench.say(f"most answered {load.ends['answered'] > 500}, {cut}")
    bench.say(f"logged as unanswered: {len(bench.logged('GATEWAY_UNANSWERED'))}")


async def stop_last_requests(bench):
    """Connections that are made until the end of a stop, and their requests some
    milliseconds later: those that the gateway has accepted are answered."""
    # The gateway reads for 50 ms after its end; this process may be late itself.
    pause_s, late_s = 0.015, 0.04
    ends = collections.Counter()

    async def send():
        begun_at = time.monotonic()
        try:
            reader, writer = await bench.connect()
        except OSError:
            return
        try:
            await asyncio.sleep(pause_s)
            is_late = time.monotonic() - begun_at > late_s
            status, _, _ = await bench.exchange(
                reader, writer, bench.head("GET", "/read/x"))
        except OSError:
            status = 0
        writer.close()
        ends["late" if is_late else "answered" if status else "cut"] += 1

    await bench.add_target("t1", "plain", echo)
    await bench.start(grace_s=4)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="t1")
    bench.terminate()
    tasks = []
    while bench.process.returncode is None:
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    bench.say(f"most answered {ends['answered'] > ends['late']}, "
              f"cut {ends['cut']}")
