"""A part of a prompt crashes each engine that begins to write an answer on it.
It is the ninth of ten parts.  The gateways go on sending requests with it to
engines, as they know the first eight parts only."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import EDGE, Engine, has_trouble, main  # noqa: E402
from bench import Bench, read_answer  # noqa: E402

GATEWAYS = 2
ENGINES = 8
EVENTS = 20  # of a stream, 0.8 s
LENGTH_S = 30
SOUND_PER_S = 8
BAD_PER_S = 1
BAD_FROM_S = 3
# A prompt: parts that all requests share, one that crashes engines or another
# one, and the request's own.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "8"))
BAD_PART = "bad0"
BACK_AFTER_S = 1.2
ENTRY_S = 3.0  # until the store drops the entry of a process that crashed
CONTACT_S = 3.0  # ContactMs
# BUDGET: "after the fifth crash", "more than three requests".
CRASHES = 5
LATE_MAX = 3


class CrashingEngine(Engine):
    """Crashes when it begins an answer on the bad part, and starts again at its
    address as another instance."""

    born = 1

    def __init__(self, name, service, fleet, bench, record, crashes, arrivals):
        super().__init__(name, service, fleet, record)
        self.base_name = name
        self.bench = bench
        self.crashes = crashes  # times, of all engines
        self.arrivals = arrivals  # times of requests with the bad part
        self.tasks = []

    def record(self, phase=None):
        return {**super().record(phase), "born": self.born}

    async def stream(self, request, writer):
        parts = [p.split(":")[0]
                 for p in request.headers["prefix-hash"].split(",")]
        if BAD_PART in parts:
            self.arrivals.append(time.monotonic())
            self.record_line(f"{self.name}: gets "
                             f"{request.headers['attempt-id']} with the bad "
                             "part")
        if BAD_PART in parts and has_trouble():
            await asyncio.sleep(0.1)
            if self.server is not None:
                self.crash()
            return False
        return await super().stream(request, writer)

    def crash(self):
        self.crashes.append(time.monotonic())
        self.record_line(f"{self.name}: crashes")
        self.server.close()
        self.server = None
        self.drop_connections()
        self.tasks.append(asyncio.ensure_future(self.come_back(self.name)))

    async def come_back(self, former):
        await asyncio.sleep(BACK_AFTER_S)
        self.born += 1
        self.name = f"{self.base_name}-{self.born}"
        self.runs.clear()
        self.server = await asyncio.start_server(self.serve, self.address,
                                                 self.port)
        await self.bench.store.put("servers", self.name, self.record())
        await asyncio.sleep(ENTRY_S - BACK_AFTER_S)
        await self.bench.store.remove("servers", former)


async def call(gateway, attempt, parts, outcomes):
    try:
        reader, writer = await gateway.connect()
        writer.write(gateway.head(
            "POST", f"/tag/{EVENTS}", attempt.encode(),
            **{"Attempt-Id": attempt, "Deadline-Ms": "6000", "Model": "m",
               "Token-Usage": f"{30 * len(parts)},{4 * EVENTS}",
               "Prefix-Hash": ",".join(f"{p}:30" for p in parts)}))
        status, _, body = await read_answer(reader)
        outcomes[attempt] = "complete" if body.count(b"data:") == EVENTS \
            else f"status {status}"
        writer.close()
    except (asyncio.IncompleteReadError, OSError):
        outcomes[attempt] = "broken off"


async def case(bench, record):
    for route in bench.config["Routes"]:
        if route["Name"] == "r-tag":
            route["TimeoutMs"] = 6000
    await bench.store.start()
    await bench.store.put("config", "main", bench.config)
    crashes, arrivals, outcomes, tasks, engines = [], [], {}, [], []
    for i in range(1, ENGINES + 1):
        engine = await CrashingEngine(f"engine-{i}", "model", {}, bench, record,
                                      crashes, arrivals).start()
        engines.append(engine)
        await bench.store.put("servers", engine.name, engine.record())
    gateways = [bench] + [Bench(bench.program) for _ in range(GATEWAYS - 1)]
    for i, gateway in enumerate(gateways, 1):
        gateway.store = bench.store
        gateway.stderr = bench.stderr
        await gateway.start_gateway(instance=f"gateway-{i}", **EDGE)
    for engine in engines:
        bench.observers.append(await bench.spawn_observer(engine))
    # Observers read the list of gateways every 2 s.
    await asyncio.sleep(3)
    shared = [f"a{i}" for i in range(SHARED_PARTS)]
    dice = random.Random(1)
    start = time.monotonic()
    sent = {"sound": 0, "bad": 0}
    rates = {"sound": SOUND_PER_S, "bad": BAD_PER_S}
    begins = {"sound": 0, "bad": BAD_FROM_S}
    try:
        while time.monotonic() - start < LENGTH_S:
            for kind, rate in rates.items():
                due = (time.monotonic() - start - begins[kind]) * rate
                if sent[kind] > due:
                    continue
                attempt = f"{kind}-{sent[kind]}"
                own = f"c{0 if kind == 'sound' else 1}{sent[kind]:06x}"
                middle = BAD_PART if kind == "bad" else "b0"
                sent[kind] += 1
                tasks.append(asyncio.ensure_future(call(
                    dice.choice(gateways), attempt, shared + [middle, own],
                    outcomes)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
    finally:
        for gateway in gateways[1:]:
            await gateway.stop()
    return judge(crashes, arrivals, outcomes, record)


def judge(crashes, arrivals, outcomes, record):
    for attempt, outcome in outcomes.items():
        record(f"caller: {attempt}: {outcome}")
    for kind in ("sound", "bad"):
        ends = [o for a, o in outcomes.items() if a.startswith(kind)]
        record(f"{kind} requests: "
               f"{ {o: ends.count(o) for o in sorted(set(ends))} }")
    late = 0
    if len(crashes) >= CRASHES:
        late = sum(at > crashes[CRASHES - 1] + CONTACT_S for at in arrivals)
    record(f"{len(crashes)} crashes; {late} requests with the bad part reached "
           f"engines later than {CONTACT_S} s after crash {CRASHES}, "
           f"{LATE_MAX} are allowed")
    return late <= LATE_MAX


main(case, HERE)
