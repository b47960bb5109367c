"""What the scripts of the review share: the programs under test, the record of
a run, and stand-ins that add to those of tests/gateway."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tests", "gateway"))

from bench import Bench, read_answer, read_head  # noqa: E402,F401
from standins import Target, answer, chunk, event, start_stream  # noqa: E402

# What the deploy file runs, with the path of a settings file.
PROGRAM = os.path.join(ROOT, "target", "build", "catkinvaled", "catkinvaled")
# Settings of a gateway as platform/gateway.template makes them for an edge
# machine of qfa-arcade.
EDGE = {"memory_mb": 110, "descriptors": 4100, "grace_s": 8,
        "retry_ratio": 0.2, "retry_slack": 54}
TIME_LIMIT_S = 112

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of record.txt, with the seconds since the start of the run."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self.start:8.3f}  {text}", file=self.out,
              flush=True)


def resident_mb(pid):
    """Memory in use by the process PID, None if it has ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
            pages = int(statm.read().split()[1])
    except (OSError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


class MemoryLimit:
    """The platform's limit on the memory of a process: kills a gateway that
    exceeds it, and starts it again after a short delay."""

    def __init__(self, gateway, limit_mb, record):
        self.gateway = gateway
        self.limit_mb = limit_mb
        self.record = record
        self.kills = 0
        self.peak_mb = 0

    async def run(self):
        while True:
            process = self.gateway.process
            used = resident_mb(process.pid) if process.returncode is None \
                else None
            if used is not None:
                self.peak_mb = max(self.peak_mb, used)
            if used is not None and used > self.limit_mb:
                name = self.gateway.settings["instance"]
                process.send_signal(signal.SIGKILL)
                self.kills += 1
                self.record(f"platform: {name} uses {used:.0f} MB of "
                            f"{self.limit_mb} MB and is killed")
                await process.wait()
                await asyncio.sleep(0.5)
                await self.gateway.start_process()
                self.record(f"platform: {name} is started again")
            await asyncio.sleep(0.01)


class Engine(Target):
    """A model server: streams of numbered events, load reports, and moves of
    runs to other engines.  A run makes as many events as the last part of its
    path says."""

    FIRST_EVENT_S = 0.1
    EVENT_S = 0.04

    def __init__(self, name, service, fleet, record):
        super().__init__(name, service, None)
        self.fleet = fleet  # by address
        self.record_line = record
        self.phase = "ready"
        self.runs = {}  # by attempt: number of the last event made
        self.stopped = set()
        self.copies = {}  # by handle: attempt, of the runs copied to this one
        self.handles = 0
        self.ran = []  # attempts
        self.is_gone = False

    async def start(self):
        await super().start()
        self.fleet[f"{self.address}:{self.port}"] = self
        return self

    def record(self, phase=None):
        return {**super().record(phase or self.phase), "Capacity": 24}

    def leaving(self):
        return [("Server-Leaving", "1")] if self.phase == "draining" else []

    async def handle(self, request, writer):
        if request.path == "/report":
            await self.report(writer)
        elif request.path == "/healthz":
            writer.write(answer(200 if self.phase == "ready" else 503, b"",
                                [("Instance-Id", self.name), *self.leaving()]))
        elif request.path == "/kv-move":
            return await self.move(request, writer)
        elif request.path.startswith("/kv-handle/"):
            self.copies.pop(request.path.rsplit("/", 1)[1], None)
            writer.write(answer(200, b"", self.leaving()))
        elif request.headers.get("target-instance") != self.name:
            writer.write(answer(421, b"", [("Instance-Id", self.name)]))
        else:
            return await self.stream(request, writer)
        return True

    async def report(self, writer):
        runs = [[a, 3000 + 4 * n, n, 5] for a, n in self.runs.items()]
        writer.write(answer(200, json.dumps({
            "Stage": "mixed", "Busy": False, "Sequence": 0, "Sessions": 0,
            "Active": len(runs), "Queued": 0, "Next": 0,
            "KvUsed": sum(r[1] for r in runs), "KvTotal": 34286, "Pinned": 0,
            "held": 0, "born": 1, "Runs": runs,
            "Phase": self.phase}).encode(), self.leaving()))

    async def move(self, request, writer):
        order = json.loads(request.body)
        attempt, to = order["InstanceId"], self.fleet.get(order["To"])
        if attempt not in self.runs:
            writer.write(answer(404, b"", self.leaving()))
            return True
        if to is None or to.is_gone:
            writer.write(answer(503, b"", self.leaving()))
            return True
        if order.get("Final"):
            self.stopped.add(attempt)
        handle = f"{self.name}-{attempt}"
        to.copies[handle] = attempt
        await asyncio.sleep(0.05)
        writer.write(answer(200, json.dumps(
            {"Session": handle, "Created": self.runs.get(attempt, 0)}
        ).encode(), self.leaving()))
        return True

    async def stream(self, request, writer):
        attempt = request.headers["attempt-id"]
        source = request.headers.get("kv-from")
        first = int(request.headers.get("last-event-id", "0")) + 1
        if source and self.copies.pop(source.rsplit("/", 1)[1], None) is None:
            writer.write(answer(503, b"", [("Not-Executed", "1")]))
            return True
        self.ran.append(attempt)
        self.record_line(f"{self.name}: runs {attempt} from event {first}")
        self.runs[attempt] = first - 1
        try:
            await asyncio.sleep(self.FIRST_EVENT_S)
            await start_stream(request, writer, self.leaving())
            for number in range(first, int(request.path.rsplit("/")[-1]) + 1):
                if attempt in self.stopped:
                    return False
                writer.write(chunk(event(number)))
                await writer.drain()
                self.runs[attempt] = number
                await asyncio.sleep(self.EVENT_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            del self.runs[attempt]
        return True

    async def leave(self, store, stay_s):
        """Say that this engine is leaving, and leave after STAY_S."""
        self.phase = "draining"
        await store.put("servers", self.name, self.record())
        self.record_line(f"{self.name}: is draining")
        await asyncio.sleep(stay_s)
        self.is_gone = True
        self.server.close()
        self.drop_connections()
        await store.remove("servers", self.name)
        self.record_line(f"{self.name}: has left")


def plain_script(ran, work_s):
    """Script of a sound server of a plain service."""
    async def script(target, request, writer):
        attempt = request.headers["attempt-id"]
        ran.append((time.monotonic(), attempt))
        await asyncio.sleep(work_s)
        writer.write(answer(200, b"x" * 800, [
            ("Attempt-Id", attempt), ("Server-Signature", "s")]))
        return True
    return script


class Booker:
    """Sends bookings one after the other on a kept connection."""

    def __init__(self, bench, number, ran, record):
        self.bench = bench
        self.number = number
        self.ran = ran  # of the servers: (time, attempt)
        self.record = record
        self.answered = 0
        self.lost = []  # attempts that a server got and that were not answered

    async def book(self, reader, writer, is_kept):
        head = self.bench.head("POST", f"/book/{self.number}", b"slot",
                               **{"Deadline-Ms": "1000"})
        attempt = f"a{self.bench.request_count}"
        try:
            writer.write(head)
            await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            if is_kept and any(a == attempt for _, a in self.ran):
                self.lost.append(attempt)
                self.record(f"booker {self.number}: {attempt} was at a server, "
                            "and its connection ends without an answer")
            return False
        self.answered += 1
        return True

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await self.bench.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            is_kept = False
            while time.monotonic() < end \
                    and await self.book(reader, writer, is_kept):
                is_kept = True
            writer.close()


def configure(bench):
    """The limits of callers as in the example of the pages, and a long timeout of
    long streams."""
    for route in bench.config["Routes"]:
        if route["Name"] == "r-long":
            route["TimeoutMs"] = 39000
    bench.config["Limits"] = {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def limited(case, bench, record):
    try:
        return await asyncio.wait_for(case(bench, record), TIME_LIMIT_S)
    finally:
        await bench.stop()


def main(case, directory):
    """Run CASE (bench, record), which returns whether the rule held, and exit
    with the result."""
    record = Record(os.path.join(directory, "record.txt"))
    if not os.access(PROGRAM, os.X_OK):
        record("the program is not built")
        sys.exit(NOT_RUN)
    bench = Bench(PROGRAM)
    bench.stderr = asyncio.subprocess.DEVNULL
    record(f"disruption: {'yes' if has_trouble() else 'no'}")
    try:
        held = asyncio.run(limited(case, bench, record))
    except Exception as e:  # whatever fails here says nothing on the rule
        record(f"the case could not run: {e!r}")
        sys.exit(NOT_RUN)
    record("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
