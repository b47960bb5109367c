"""Entries of another writer stand among those of the servers of a service."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))

import common_2  # noqa: E402
from bench import read_answer  # noqa: E402
from common_2 import BROKEN, CONTACT_S, HELD, NOT_RUN  # noqa: E402
from standins import Target, answer, signed  # noqa: E402

# Entries of the other writer: the fields Version, Capacity, WarmupLeftMs,
# Sequence and born are missing.  Nobody is at the address, which a host refuses
# to connect to at once.
ODD_ENTRIES = 12
ODD_ADDRESS = "127.255.255.255"
# One server of the service in each zone, as on the site.
ZONES = ("lhr-a", "lhr-b", "lhr-c")
WORK_S = 0.05
# Requests to that service, one in this time: two or three are in progress.
FETCHES = 60
FETCH_INTERVAL_S = 0.02
# Callers of another service with requests in progress, on kept connections.
BOOKINGS = 6
BOOKING_S = 2.0
# Requests that the rule allows to be lost.
ALLOWED = 3


class Server(Target):
    """A sound server, which notes the attempts that it runs."""

    def __init__(self, name, service, zone, work_s):
        super().__init__(name, service, None)
        self.zone = zone
        self.work_s = work_s
        self.ran = set()

    def record(self, phase="ready"):
        return {**super().record(phase), "Zone": self.zone}

    async def handle(self, request, writer):
        attempt = request.headers.get("attempt-id")
        if attempt is None:
            writer.write(answer(200, b"", [("Instance-Id", self.name)]))
            return True
        if request.headers.get("target-instance") != self.name:
            writer.write(answer(421, b"", [("Instance-Id", self.name)]))
            return True
        self.ran.add(attempt)
        await asyncio.sleep(0 if request.path.endswith("/first")
                            else self.work_s)
        writer.write(signed(request, b"ok"))
        return True


async def add_server(case, *arguments):
    server = await Server(*arguments).start()
    case.bench.targets[server.name] = server
    await case.bench.store.put("servers", server.name, server.record())
    return server


async def book(case, server, connection, number):
    """A booking on a kept connection: whether it was passed on to its server and
    the connection ended without an answer."""
    reader, writer = connection
    attempt = f"booking-{number}"
    writer.write(case.bench.head("POST", f"/book/{number}", b"x", **{
        "Attempt-Id": attempt, "Deadline-Ms": "4000"}))
    try:
        status, _, _ = await asyncio.wait_for(read_answer(reader), 6)
        case.say(f"{attempt}: {status}")
        return False
    except (asyncio.IncompleteReadError, ConnectionError):
        case.say(f"{attempt}: its connection ends without an answer; it was "
                 f"passed on to its server: {attempt in server.ran}")
        return attempt in server.ran


async def fetch(case, number):
    try:
        status, _, _ = await case.bench.raw(case.bench.head(
            "GET", f"/fetch/{number}", **{"Deadline-Ms": "1000"}), timeout=3)
    except (OSError, asyncio.TimeoutError, ValueError):
        status = 0
    return status


def configure(case):
    """Add a service for bookings, with a route of its own."""
    config = case.bench.config
    portal = next(b for b in config["Backends"] if b["Name"] == "portal")
    config["Backends"].append({**portal, "Name": "desk"})
    config["Routes"].append({
        **case.route("r-fetch"), "Name": "r-book", "PathPrefix": "/book/",
        "RouteType": "non_idempotent", "Backend": "desk", "MaxAttempts": 1,
        "TimeoutMs": 4000})


async def write_odd_entries(case):
    for i in range(ODD_ENTRIES):
        await case.bench.store.put("servers", f"other-{i}", {
            "Backend": "portal", "Zone": ZONES[0], "Phase": "ready",
            "Address": f"{ODD_ADDRESS}:{2000 + i}"})
    case.say(f"another writer has written {ODD_ENTRIES} entries")


async def play(case):
    bench = case.bench
    configure(case)
    await bench.store.start()
    desk = await add_server(case, "d1", "desk", ZONES[0], BOOKING_S)
    for zone in ZONES:
        await add_server(case, f"p-{zone}", "portal", zone, WORK_S)
    await case.start()
    await asyncio.sleep(CONTACT_S + 0.5)
    connections = [await bench.connect() for _ in range(BOOKINGS)]
    for reader, writer in connections:
        status, _, _ = await bench.exchange(reader, writer, bench.head(
            "POST", "/book/first", b"x", **{"Deadline-Ms": "4000"}))
        if status != 200:
            return NOT_RUN
    case.say(f"{BOOKINGS} clients have got an answer on kept connections")
    if case.trouble:
        await write_odd_entries(case)
        await asyncio.sleep(1)
    bookings = [asyncio.ensure_future(book(case, desk, c, i))
                for i, c in enumerate(connections)]
    await asyncio.sleep(0.3)
    fetches = []
    for i in range(FETCHES):
        fetches.append(asyncio.ensure_future(fetch(case, i)))
        await asyncio.sleep(FETCH_INTERVAL_S)
    statuses = await asyncio.gather(*fetches)
    lost = sum(await asyncio.gather(*bookings))
    case.say(f"{statuses.count(200)} of {FETCHES} fetches got 200, "
             f"{statuses.count(0)} no answer")
    code = bench.process.returncode
    if code is not None:
        case.say(f"the gateway has ended with {code}")
    case.say(f"{lost} bookings were passed on to a sound server and got no "
             f"answer, {ALLOWED} may")
    if not case.trouble and statuses.count(200) < FETCHES:
        return NOT_RUN
    return BROKEN if lost > ALLOWED else HELD


common_2.main(play, __file__)
