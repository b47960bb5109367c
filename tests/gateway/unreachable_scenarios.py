"""Scenarios of targets to which no connection can be opened."""

import asyncio
import os
import resource

from scenarios import GEN_HEADERS
from standins import chunk, echo, event, signed, start_stream

# A host refuses at once to connect to its broadcast address.
BROADCAST = "127.255.255.255"
# More than an exchange remembers as tried.
UNREACHABLE = 12
# The failed connections that one request may have.
TRIES_MAX = 4
BOOKINGS = 6
READS = 20
# Of a second, when the process only waits and retries.
BUSY_S = 0.3


async def add_unreachable(bench, service, record):
    for i in range(UNREACHABLE):
        await bench.store.put("servers", f"{service}-{i}", {
            **record, "Backend": service, "Address": f"{BROADCAST}:{2000 + i}"})
    await bench.until_logged("GATEWAY_TARGET_ADDED",
                             target=f"{service}-{UNREACHABLE - 1}")


def processor_s(pid):
    """Processor time of a process."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


async def say_running(bench):
    await asyncio.sleep(0.3)
    bench.say(f"gateway runs: {bench.process.returncode is None}")


def say_tries(bench):
    failed = [l["request"] for l in bench.logged("GATEWAY_ATTEMPT_FAILED")]
    most = max((failed.count(r) for r in set(failed)), default=0)
    bench.say(f"failed attempts, tries of a request at most {TRIES_MAX}: "
              f"{0 < most <= TRIES_MAX}")


def say_resumes(bench):
    failed = [l["request"] for l in bench.logged("GATEWAY_ATTEMPT_FAILED")]
    # The attempt that crashed, and six resumes.
    bench.say(f"attempts of a request at most 7: "
              f"{max(failed.count(r) for r in set(failed)) <= 7}")


async def unreachable_targets(bench):
    """Connections to most targets fail while they are opened: requests in
    progress elsewhere are answered, and the others have bounded tries."""
    async def work(target, request, writer):
        await asyncio.sleep(1.5 if request.path == "/book/long" else 0.01)
        writer.write(signed(request, b"ok"))
        return True

    bench.config["Backends"].append(
        {**bench.config["Backends"][0], "Name": "desk"})
    bench.config["Routes"][1].update(Backend="desk", TimeoutMs=4000)
    await bench.add_target("d1", "desk", work)
    p1 = await bench.add_target("p1", "plain", work)
    # The gateway prefers the others, which are in its failure domain.
    await bench.store.put("servers", "p1", {**p1.record(), "Zone": "zone-b"})
    await bench.start()
    connections = [await bench.connect() for _ in range(BOOKINGS)]
    for connection in connections:
        await bench.exchange(*connection, bench.head("POST", "/book/1", b"x"))
    await add_unreachable(bench, "plain", p1.record())
    bookings = [asyncio.ensure_future(bench.exchange(*c, bench.head(
        "POST", "/book/long", b"x"))) for c in connections]
    await asyncio.sleep(0.2)
    reads = []
    for _ in range(READS):
        reads.append(asyncio.ensure_future(bench.send("GET", "/read/x")))
        await asyncio.sleep(0.02)
    statuses = {status for status, _, _ in await asyncio.gather(*reads)}
    bench.say(f"reads: {sorted(statuses)}")
    bench.say(f"bookings: {[a[0] for a in await asyncio.gather(*bookings)]}")
    say_tries(bench)
    await say_running(bench)


async def unreachable_engines(bench):
    """The engine of a stream crashes, and connections to the others fail while
    they are opened: the stream is cut, others go on, and a new request is
    refused."""
    async def generate(target, request, writer):
        await start_stream(request, writer)
        for i in range(10):
            if request.path == "/tag/broken" and i == 3:
                writer.transport.abort()
                return False
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.1)
        writer.write(chunk(b""))
        return False

    async def call(path):
        status, _, body = await bench.send("POST", path, b"x", **GEN_HEADERS)
        return f"{path}: {status}, {body.count(b'piece')} events"

    m1 = await bench.add_target("m1", "model", generate)
    await bench.start()
    calls = [asyncio.ensure_future(call(f"/tag/{name}"))
             for name in ("whole", "broken")]
    await asyncio.sleep(0.1)
    await add_unreachable(bench, "model", m1.record())
    for line in await asyncio.gather(*calls):
        bench.say(line)
    await bench.store.remove("servers", "m1")
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target="m1")
    bench.say(await call("/tag/late"))
    say_resumes(bench)
    await say_running(bench)


def limit_descriptors(pid):
    """Leave a process no free descriptor; returns what it had."""
    soft, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    used = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
    lowest = min(set(range(len(used) + 1)) - used)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (lowest, hard))
    return soft, hard


async def no_descriptors(bench):
    """The gateway has no descriptor left for a connection: requests are refused,
    no target is avoided for it, and the store is not asked without a pause."""
    for i in range(UNREACHABLE):
        await bench.add_target(f"p{i}", "plain", echo)
    await bench.start()
    connection = await bench.connect()
    await bench.exchange(*connection, bench.head("GET", "/none/"))
    pid = bench.process.pid
    limits = limit_descriptors(pid)
    # Together they try all targets, if each is avoided that they have tried.
    for method, path in (("GET", "/read/1"), ("POST", "/book/1"),
                         ("GET", "/read/2")):
        status, headers, _ = await bench.exchange(
            *connection, bench.head(method, path))
        bench.say(f"{method} {path}: {status}, "
                  f"Retry-After {'retry-after' in headers}")
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    status, _, _ = await bench.exchange(*connection,
                                        bench.head("GET", "/read/3"))
    bench.say(f"with descriptors: {status}")
    await bench.until_finished(f"a{bench.request_count}")
    say_tries(bench)
    limit_descriptors(pid)
    bench.store.drop_connections()
    before = processor_s(pid)
    await asyncio.sleep(1)
    bench.say(f"busy while the store cannot be reached: "
              f"{processor_s(pid) - before > BUSY_S}")
    await say_running(bench)
