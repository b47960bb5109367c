"""Requests with a part that crashes their engines come through four gateways,
one at each within 0.2 s, some seconds after the part was quarantined."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from common import (EDGE, chunk, configure, event, has_trouble, main,  # noqa: E402
                    start_stream)
import fleet as fleets  # noqa: E402

GATEWAYS = 4
ENGINES = 9
# An engine reads 14 prompt tokens in a ms: 3,000 take this long.
PREFILL_S = 0.214
EVENTS = 12
EVENT_S = 0.04
SOUND_INTERVAL_S = 0.1
# ContactMs of the site.
CONTACT_S = 3.0
# The first wave, and then one request at each gateway.
FIRST_PER_GATEWAY = 2
WAVES_AT_S = (8, 72)
GAP_S = 0.05
END_S = 76
CRASHES = 5
ARRIVALS_MAX = 3
BAD = "bad"
fleets.BACK_S = 2.0


def generation(number, parts, path):
    """A request whose prompt has PARTS, and a last one of its own."""
    hashes = ",".join(f"{p}:100" for p in (*parts, f"{number:x}f"))
    return "POST", path, f"prompt {number}".encode(), {
        "Deadline-Ms": "6000", "Model": "m",
        "Token-Usage": f"{100 * (len(parts) + 1)},{4 * EVENTS}",
        "Prefix-Hash": hashes}


def sound_request(number):
    first = "a1" if number % 2 else f"a{number % 7}"
    return generation(number, (first, f"b{number % 23:x}"), "/long/1")


class Case:
    def __init__(self, bench, record):
        self.bench = bench
        self.record = record
        self.fleet = fleets.Fleet(bench, GATEWAYS)
        self.bad = fleets.Fleet(bench, 1)  # outcomes of the bad requests
        self.arrivals = []  # times of the bad requests at engines
        self.running = {}  # sound runs, by engine
        self.broken = 0  # sound runs that ended with their engine
        self.number = 1000

    def crash(self, engine):
        before = len(engine.crashes)
        engine.crash()
        if len(engine.crashes) == before:
            return
        runs = self.running.get(engine, 0)
        self.broken += runs
        self.record(f"{engine.name}: crashes, the crash number "
                    f"{len(self.fleet.crashes())}, with {runs} sound runs")

    async def serve(self, engine, request, writer):
        parts = [p.split(":")[0]
                 for p in request.headers["prefix-hash"].split(",")]
        if BAD in parts[:-1]:
            self.arrivals.append(time.monotonic())
            self.record(f"{engine.name}: gets {request.body.decode()} with the "
                        f"part {BAD}")
            await asyncio.sleep(PREFILL_S)
            if has_trouble():
                self.crash(engine)
                return False
        else:
            await asyncio.sleep(PREFILL_S)
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.running[engine] = self.running.get(engine, 0) + 1
        try:
            await start_stream(request, writer)
            for i in range(first, EVENTS + 1):
                writer.write(chunk(event(i)))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running[engine] -= 1
        return True

    async def send_bad(self, gateway):
        self.number += 1
        method, path, body, headers = generation(
            self.number, ("a1", BAD), "/tag/1")
        status, _ = await self.bad.send(gateway, method, path, body, **headers)
        self.record(f"caller of {body.decode()}: {status}")

    async def send_wave(self, per_gateway, gap_s):
        tasks = []
        for _ in range(per_gateway):
            for gateway in self.fleet.gateways:
                tasks.append(asyncio.ensure_future(self.send_bad(gateway)))
                await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    async def send_all_bad(self, begun):
        await self.send_wave(FIRST_PER_GATEWAY, 0)
        for at in WAVES_AT_S:
            await asyncio.sleep(max(0, begun + at - time.monotonic()))
            await self.send_wave(1, GAP_S)

    def late_arrivals(self):
        """Requests with the part that reached engines later than CONTACT_S after
        the fifth crash."""
        crashes = self.fleet.crashes()
        if len(crashes) < CRASHES:
            return 0
        return sum(at > crashes[CRASHES - 1] + CONTACT_S
                   for at in self.arrivals)

    async def run(self):
        configure(self.bench)
        await self.fleet.add_targets(ENGINES, "model", self.serve)
        for gateway in self.fleet.gateways:
            gateway.stderr = self.bench.stderr
        await self.fleet.start(**EDGE)
        begun = time.monotonic()
        await asyncio.gather(
            self.fleet.send_repeatedly(END_S, SOUND_INTERVAL_S, sound_request),
            self.send_all_bad(begun))
        served = sum(status == 200 for _, _, status in self.fleet.outcomes)
        late = self.late_arrivals()
        self.record(f"sound requests: {len(self.fleet.outcomes)}, served "
                    f"{served}; sound runs that crashes ended: {self.broken}")
        self.record(f"crashes: {len(self.fleet.crashes())}; requests with the "
                    f"part later than {CONTACT_S} s after crash {CRASHES}: "
                    f"{late}")
        return late <= ARRIVALS_MAX


async def case(bench, record):
    return await Case(bench, record).run()


main(case, os.path.dirname(os.path.abspath(__file__)))
