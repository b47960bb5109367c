"""Scenarios of targets that name the rate of requests that they take from all
gateways together.  The bound: from CONTACT_S after a target first named a limit,
no span of WINDOW_S has more arrivals than one and a half times the limit allows
and five."""

import asyncio
import signal
import time

from fleet import CONTACT_S, Fleet
from scenarios import GEN_HEADERS
from standins import answer, chunk, event, signed, start_stream

WINDOW_S = 4
WORK_S = 0.015
INTERVAL_S = 1 / 60
FIELD = "Server-Limit"


class Limits:
    """The limits that targets name, and the arrivals at targets."""

    def __init__(self):
        self.named = {}  # target: [(time, requests a second, 0 for none)]
        self.text = {}  # target: value of the field
        self.arrivals = {}  # target: times

    def set(self, target, per_s, text=None):
        """TARGET names PER_S from now on; None: no limit."""
        self.text[target] = text or (per_s is not None and str(per_s))
        self.named.setdefault(target, []).append((time.monotonic(), per_s))

    def headers(self, target):
        text = self.text.get(target)
        return [(FIELD, text)] if text else []

    def arrived(self, target):
        self.arrivals.setdefault(target, []).append(time.monotonic())

    def allowed(self, target, begin, end):
        """Requests that the limit of TARGET allows from BEGIN to END; no limit
        at all allows any number."""
        spans = self.named[target] + [(end, 0)]
        total = 0
        for (since, per_s), (until, _) in zip(spans, spans[1:]):
            length = min(until, end) - max(since, begin)
            if length > 0:
                total += float("inf") if per_s is None else per_s * length
        return total

    def worst(self, target):
        """The largest part of the bound that some WINDOW_S used, and the part
        of the limit that was used, 1 if it allowed none; both since the bound
        holds."""
        times = self.arrivals.get(target, [])
        first = self.named[target][0][0]
        end = time.monotonic()
        worst = 0
        for i, begin in enumerate(times):
            if begin < first + CONTACT_S:
                continue
            count = sum(begin <= t < begin + WINDOW_S for t in times[i:])
            bound = 1.5 * self.allowed(target, begin, begin + WINDOW_S) + 5
            worst = max(worst, count / bound)
        since = sum(t >= first + CONTACT_S for t in times)
        allowed = self.allowed(target, first + CONTACT_S, end)
        return worst, since / allowed if allowed else 1

    def script(self):
        async def plain(target, request, writer):
            self.arrived(target.base_name)
            await asyncio.sleep(WORK_S)
            writer.write(signed(request, b"ok", self.headers(target.base_name)))
            return True
        return plain

    def engine_script(self):
        async def engine(target, request, writer):
            self.arrived(target.base_name)
            await asyncio.sleep(WORK_S)
            await start_stream(request, writer, self.headers(target.base_name))
            for i in range(3):
                writer.write(chunk(event(i)))
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.write(b"0\r\n\r\n")
            return True
        return engine

    def say(self, bench, target, used=True):
        worst, part = self.worst(target)
        kept = worst <= 1 or f"{worst:.2f} of the bound"
        bench.say(f"{target}: bound kept: {kept}")
        if used:
            enough = part > 0.5 or f"{part:.2f} of the limit"
            bench.say(f"{target}: over half of the limit used: {enough}")


def read(number):
    return "GET", f"/read/{number}", b"", {}


def generation(number):
    return "POST", f"/tag/{number}", b"x", dict(GEN_HEADERS)


async def start_fleet(bench, gateways, script, service="plain", targets=4):
    fleet = Fleet(bench, gateways)
    await fleet.add_targets(targets, service, script)
    await fleet.start()
    return fleet


def say_outcomes(bench, fleet, since=0):
    statuses = sorted({s for at, _, s in fleet.outcomes if at >= since})
    bench.say(f"outcomes: {statuses}")


async def target_limit(bench):
    """One of four targets names a limit below its share of the requests, which
    all gateways get alike: the others serve the rest."""
    limits = Limits()
    fleet = await start_fleet(bench, 8, limits.script())
    limits.set("plain-1", 4)
    await fleet.send_repeatedly(11, INTERVAL_S, read)
    limits.say(bench, "plain-1")
    say_outcomes(bench, fleet)


async def target_limit_uneven(bench):
    """Nine tenths of the requests come to one gateway."""
    limits = Limits()
    fleet = await start_fleet(bench, 8, limits.script())
    fleet.weights = [9] + 7 * [1 / 7]
    limits.set("plain-1", 4)
    await fleet.send_repeatedly(11, INTERVAL_S, read)
    limits.say(bench, "plain-1")
    say_outcomes(bench, fleet)


async def target_limit_small(bench):
    """All targets name a limit of less than one request in a second."""
    limits = Limits()
    fleet = await start_fleet(bench, 8, limits.script(), targets=2)
    for i in (1, 2):
        limits.set(f"plain-{i}", 0.4)
    await fleet.send_repeatedly(20, 4 * INTERVAL_S, read)
    for i in (1, 2):
        limits.say(bench, f"plain-{i}")
    say_outcomes(bench, fleet, time.monotonic() - 12)


async def target_limit_falls(bench):
    """A limit falls to a quarter."""
    limits = Limits()
    fleet = await start_fleet(bench, 8, limits.script())
    limits.set("plain-1", 8)
    load = asyncio.ensure_future(fleet.send_repeatedly(12, INTERVAL_S, read))
    await asyncio.sleep(6)
    limits.set("plain-1", 2)
    await load
    limits.say(bench, "plain-1")
    say_outcomes(bench, fleet)


async def target_limit_all(bench):
    """All targets name a limit, in sum a third of the requests: these are
    served, and the rest is refused at once, to come back later."""
    limits = Limits()
    fleet = await start_fleet(bench, 8, limits.script())
    for i in range(1, 5):
        limits.set(f"plain-{i}", 5)
    begun = time.monotonic()
    slow, retry_after = [], []

    async def send(gateway, number):
        at = time.monotonic()
        method, path, body, _ = read(number)
        status, headers = await fleet.send(gateway, method, path, body)
        if status == 503 and at > begun + CONTACT_S:
            slow.append(time.monotonic() - at)
            retry_after.append(float(headers["retry-after"]))

    tasks = []
    for number in range(int(11 / INTERVAL_S)):
        tasks.append(asyncio.ensure_future(
            send(fleet.dice.choice(fleet.gateways), number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    for i in range(1, 5):
        limits.say(bench, f"plain-{i}")
    say_outcomes(bench, fleet)
    slow.sort()
    bench.say("nine in ten refusals within 0.1 s: "
              f"{slow[len(slow) * 9 // 10] < 0.1}")
    bench.say("Retry-After is below a third of the caller's time: "
              f"{max(retry_after) <= 5 / 3}")


async def target_limit_ends(bench):
    """A target names a limit for a time, and then none: it gets as much as
    before."""
    limits = Limits()
    fleet = await start_fleet(bench, 8, limits.script())
    load = asyncio.ensure_future(fleet.send_repeatedly(18, INTERVAL_S, read))
    await asyncio.sleep(4)
    before = len(limits.arrivals["plain-1"])
    limits.set("plain-1", 2)
    await asyncio.sleep(8)
    limits.say(bench, "plain-1")
    limits.set("plain-1", None)
    await asyncio.sleep(2)
    since = time.monotonic()
    await load
    count = sum(t >= since for t in limits.arrivals["plain-1"])
    bench.say(f"over half of the requests of before: {count > before / 2}")
    say_outcomes(bench, fleet)


async def target_limit_gateways(bench):
    """Gateways are killed, frozen and started while a target names a limit,
    among them whichever keeps the count of its requests."""
    limits = Limits()
    fleet = await start_fleet(bench, 6, limits.script())
    limits.set("plain-1", 4)
    load = asyncio.ensure_future(fleet.send_repeatedly(18, INTERVAL_S, read))
    await asyncio.sleep(4)
    for i, gateway in enumerate(fleet.gateways):
        if i % 2 == 0:
            gateway.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.5)
            gateway.process.send_signal(signal.SIGCONT)
        else:
            gateway.process.kill()
            await gateway.process.wait()
            await asyncio.sleep(1)
            await gateway.start_process()
            bench.observers.append(gateway.process)
            await asyncio.sleep(0.5)
    await load
    limits.say(bench, "plain-1")


async def target_limit_restart(bench):
    """A target that named a limit crashes and starts again at its address: the
    new process has named none."""
    limits = Limits()
    fleet = await start_fleet(bench, 4, limits.script())
    load = asyncio.ensure_future(fleet.send_repeatedly(13, INTERVAL_S, read))
    await asyncio.sleep(4)
    before = len(limits.arrivals["plain-1"])
    limits.set("plain-1", 1)
    await asyncio.sleep(2.5)
    fleet.targets[0].crash()
    limits.set("plain-1", None)
    await asyncio.sleep(2.5)
    since = time.monotonic()
    await load
    count = sum(t >= since for t in limits.arrivals["plain-1"])
    bench.say(f"over half of the requests of before: {count > before / 2}")


async def target_limit_values(bench):
    """Malformed limits count for nothing and are logged once; a limit of zero
    admits a trial from time to time; one that is never reached is kept."""
    limits = Limits()
    fleet = await start_fleet(bench, 2, limits.script())
    for text in ("-3", "many", "nan", "0x10"):
        limits.set("plain-1", None, text)
        await fleet.send_repeatedly(0.5, INTERVAL_S, read)
    lines = fleet.logged("GATEWAY_LIMIT_INVALID")
    bench.say(f"malformed, logged once by each: {len(lines) == 2}")
    limits.set("plain-2", 1e300)
    limits.named["plain-1"].clear()
    limits.set("plain-1", 0)
    await fleet.send_repeatedly(12, INTERVAL_S, read)
    worst, _ = limits.worst("plain-1")
    bench.say(f"zero: bound kept: {worst <= 1}, "
              f"tried: {limits.arrivals['plain-1'][-1] > time.monotonic() - 6}")
    say_outcomes(bench, fleet)


async def target_limit_decimals(bench):
    """Limits that have no exact binary fraction are the same at all gateways:
    each learns of each limit once."""
    limits = Limits()
    fleet = await start_fleet(bench, 4, limits.script())
    for i, per_s in enumerate((4.1, 8.2, 2.01, 32.3), 1):
        limits.set(f"plain-{i}", per_s)
    await fleet.send_repeatedly(5, INTERVAL_S, read)
    for i in range(1, 5):
        lines = fleet.logged("GATEWAY_TARGET_LIMITED", target=f"plain-{i}")
        bench.say(f"plain-{i}: learned of by {len(lines)} gateways")


async def target_limit_engines(bench):
    """Engines name limits too."""
    limits = Limits()
    fleet = await start_fleet(bench, 6, limits.engine_script(), "model", 3)
    limits.set("model-1", 2)
    await fleet.send_repeatedly(11, 2 * INTERVAL_S, generation)
    limits.say(bench, "model-1")
    say_outcomes(bench, fleet)


async def target_limit_rejections(bench):
    """A target that names its limit rejects what it gets: what is sent
    elsewhere counts at the other target, which has a limit as well."""
    limits = Limits()

    async def script(target, request, writer):
        if target.base_name == "plain-1":
            limits.arrived("plain-1")
            writer.write(answer(503, b"", [("Attempt-Id",
                                            request.headers["attempt-id"]),
                                           ("Not-Executed", "1"),
                                           *limits.headers("plain-1")]))
            return True
        return await limits.script()(target, request, writer)

    fleet = await start_fleet(bench, 6, script, targets=2)
    limits.set("plain-1", 12)
    limits.set("plain-2", 2)
    await fleet.send_repeatedly(11, INTERVAL_S, read)
    limits.say(bench, "plain-1", used=False)
    limits.say(bench, "plain-2")
