"""Edge machines have been replaced by others again and again.  The gateways that
serve now do not know of each other, and each acts as the one that counts the
requests for a server with a limit."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import EDGE, Bench, has_trouble, main  # noqa: E402
from standins import answer  # noqa: E402

GATEWAYS = 3
REPLACED = 520
AT_ONCE = 16
PER_S = 10  # Server-Limit
ASKED_PER_S = 20  # at each gateway
LENGTH_S = 40
CONTACT_S = 3.0  # ContactMs
# LIMIT: "in some 4 s", "half a second before or earlier".
WINDOW_S = 4.0
TOLD_S = 0.5


async def replace_machines(bench, first):
    """Start gateways on machines that are then removed without a notice."""
    async def replace(number):
        gateway = Bench(bench.program)
        gateway.store = bench.store
        gateway.stderr = bench.stderr
        name = f"edge-a-{number:03d}"
        await gateway.start_gateway(wait=False, instance=name, **EDGE)

        async def is_registered():
            return ("gateways", name) in bench.store.objects
        await gateway.until(is_registered)
        await gateway.stop()
        gateway.directory.cleanup()

    await asyncio.gather(*(replace(first + i) for i in range(AT_ONCE)))


class LimitedServer:
    """A sound server that names a limit in all its answers."""

    def __init__(self, record):
        self.record = record
        self.named_at = None
        self.arrivals = []  # (time, gateway)

    async def __call__(self, target, request, writer):
        gateway = request.path.split("/")[2]
        attempt = request.headers["attempt-id"]
        self.arrivals.append((time.monotonic(), gateway))
        self.record(f"server: runs {attempt} of gateway {gateway}")
        await asyncio.sleep(0.015)
        writer.write(answer(200, b"x" * 800, [
            ("Attempt-Id", attempt), ("Server-Signature", "s"),
            ("Server-Limit", str(PER_S))]))
        self.named_at = self.named_at or time.monotonic()
        return True


class Callers:
    """Callers of one gateway, which ask as often whatever they get."""

    def __init__(self, gateway, number, record):
        self.gateway = gateway
        self.number = number
        self.record = record
        self.sent = 0
        self.told_at = None  # when the gateway had passed on an answer
        self.statuses = {}

    async def call(self):
        self.sent += 1
        try:
            status, _, _ = await self.gateway.send(
                "GET", f"/read/{self.number}/x",
                **{"Attempt-Id": f"g{self.number}-{self.sent}"})
        except OSError:
            status = 0
        if status == 200:
            self.told_at = self.told_at or time.monotonic()
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(self.call()))
            await asyncio.sleep(1 / ASKED_PER_S)
        await asyncio.gather(*tasks)
        self.record(f"callers of gateway {self.number}: answers by status "
                    f"{self.statuses}")


async def case(bench, record):
    server = LimitedServer(record)
    await bench.store.start()
    await bench.store.put("config", "main", bench.config)
    await bench.add_target("plain-1", "plain", server)
    for first in range(0, REPLACED if has_trouble() else 0, AT_ONCE):
        await replace_machines(bench, first)
    count = sum(kind == "gateways" for kind, _ in bench.store.objects)
    record(f"{count} edge machines have been replaced; the store has the "
           "objects of their gateways")
    gateways = [bench] + [Bench(bench.program) for _ in range(GATEWAYS - 1)]
    for i, gateway in enumerate(gateways, 1):
        gateway.store = bench.store
        gateway.stderr = bench.stderr
        await gateway.start_gateway(instance=f"edge-c-{i}", **EDGE)
    # Gateways read the list of the others every 2 s.
    await asyncio.sleep(4)
    callers = [Callers(g, i, record) for i, g in enumerate(gateways, 1)]
    until = time.monotonic() + LENGTH_S
    try:
        await asyncio.gather(*(c.run(until) for c in callers))
    finally:
        for gateway in gateways[1:]:
            await gateway.stop()
    keepers = [g.settings["instance"] for g in gateways
               if g.logged("GATEWAY_LIMIT_KEEPER")]
    record(f"gateways that have counted the server's requests: {keepers}")
    return judge(server, callers, record)


def judge(server, callers, record):
    told = {str(c.number): c.told_at for c in callers}
    counted = [at for at, gateway in server.arrivals
               if told[gateway] is not None and at > told[gateway] + TOLD_S
               and at > server.named_at + CONTACT_S]
    most = max((sum(begin <= at < begin + WINDOW_S for at in counted)
                for begin in counted), default=0)
    allowed = 1.5 * PER_S * WINDOW_S + 5
    record(f"a server that names a limit of {PER_S} a second got at most "
           f"{most} requests in {WINDOW_S:.0f} s, {allowed:.0f} are allowed")
    return most <= allowed


main(case, HERE)
