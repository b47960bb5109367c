"""All processes of the system are killed at the same moment and start again.
Callers take up the streams that broke off.  One software version has served all
the time, and still the streams are refused."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common import EDGE, Engine, has_trouble, main  # noqa: E402
from bench import Bench, read_body, read_head  # noqa: E402

GATEWAYS = 2
ENGINES = 4
EVENTS = 200  # of a stream, 8 s
STREAMS = 24
ENDS_AT_S = 3.0
BACK_AFTER_S = 0.5
CONTACT_S = 3.0  # ContactMs
DEADLINE_S = 39.0
# "Clients retry a few times within their deadline".
TRIES = 4
FIRST_RETRY_S = 2.0
# LOST: "Of 12 or more streams", "under half".
STREAMS_MIN = 12
SHARE_MIN = 0.5


class Caller:
    """Reads a stream, and takes it up when it breaks off."""

    def __init__(self, gateways, number, record):
        self.gateways = gateways
        self.number = number
        self.record = record
        self.events = 0
        self.writer = None
        self.tries = []  # (time, status) of the tries after the first
        self.is_complete = False
        self.deadline = time.monotonic() + DEADLINE_S

    async def attempt(self, number):
        """One try; returns the status, 0 if there is none, and Retry-After."""
        gateway = self.gateways[(self.number + number) % len(self.gateways)]
        left = int((self.deadline - time.monotonic()) * 1000)
        fields = {"Attempt-Id": f"s{self.number}-{number}", "Model": "m",
                  "Deadline-Ms": str(left),
                  "Token-Usage": f"300,{4 * EVENTS}",
                  "Prefix-Hash": f"a1:79,{self.number + 256:x}:221"}
        if number > 0 and self.events > 0:
            fields.update({"Last-Event-Id": str(self.events),
                           "Resumes": f"s{self.number}-0"})
        status = 0
        try:
            reader, self.writer = await gateway.connect()
            self.writer.write(gateway.head("POST", f"/tag/{EVENTS}", b"x",
                                           **fields))
            status, headers = await read_head(reader)
            if status != 200:
                await read_body(reader, headers)
                return status, float(headers.get("retry-after", 0))
            while size := int(await reader.readuntil(b"\n"), 16):
                data = await reader.readexactly(size + 2)
                self.events += data.count(b"data:")
            self.is_complete = self.events == EVENTS
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if self.writer:
                self.writer.close()
        return status, 0

    async def run(self):
        status, _ = await self.attempt(0)
        self.record(f"caller {self.number}: status {status}, {self.events} "
                    "events")
        wait = FIRST_RETRY_S
        for number in range(1, TRIES + 1):
            if self.is_complete:
                break
            await asyncio.sleep(wait)
            at = time.monotonic()
            before = self.events
            status, retry_after = await self.attempt(number)
            self.tries.append((at, status))
            self.record(f"caller {self.number}: try {number} from event "
                        f"{before + 1}: status {status}, {self.events} events,"
                        f" Retry-After {retry_after}")
            wait = max(retry_after, 1.0)


async def case(bench, record):
    for route in bench.config["Routes"]:
        if route["Name"] == "r-tag":
            route["TimeoutMs"] = 39000
    await bench.store.start()
    await bench.store.put("config", "main", bench.config)
    engines = []
    for i in range(1, ENGINES + 1):
        engine = await Engine(f"engine-{i}", "model", {}, record).start()
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
    callers = [Caller(gateways, i, record) for i in range(STREAMS)]
    tasks = [asyncio.ensure_future(c.run()) for c in callers]
    await asyncio.sleep(ENDS_AT_S)
    in_touch_at = time.monotonic()
    try:
        if has_trouble():
            record("all gateways and observers are killed")
            processes = [g.process for g in gateways] + bench.observers
            for process in processes:
                process.send_signal(signal.SIGKILL)
            for process in processes:
                await process.wait()
            await asyncio.sleep(BACK_AFTER_S)
            for gateway in gateways:
                await gateway.start_process()
            bench.observers = [await bench.spawn_observer(e) for e in engines]
            in_touch_at = time.monotonic() + CONTACT_S
            record("they are started again")
        else:
            record("the callers' connections are closed")
            for caller in callers:
                caller.writer.transport.abort()
        # New streams.
        await asyncio.sleep(CONTACT_S + 0.5)
        new = [Caller(gateways, 100 + i, record) for i in range(STREAMS)]
        await asyncio.gather(*tasks, *(c.run() for c in new))
    finally:
        for gateway in gateways[1:]:
            await gateway.stop()
    return judge(callers, new, in_touch_at, record)


def judge(callers, new, in_touch_at, record):
    """LOST: of the streams that are taken up at machines in touch, the share
    that goes on, against that of new streams that begin."""
    taken_up = [c for c in callers
                if any(at >= in_touch_at for at, _ in c.tries)]
    go_on = sum(c.is_complete for c in taken_up)
    begin = sum(c.is_complete for c in new) / len(new)
    record(f"{len(taken_up)} streams are taken up at machines in touch, "
           f"{go_on} of them go on; {begin:.2f} of the new streams begin")
    if len(taken_up) < STREAMS_MIN:
        raise RuntimeError("too few streams are taken up")
    return go_on / len(taken_up) >= SHARE_MIN * begin


main(case, HERE)
