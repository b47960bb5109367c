"""Scenarios of runs that their engine stops for a migration and whose streams
it closes without their end.  A stream that ends with its connection looks the
same then as one that is complete."""

import asyncio
import json
import signal

from bench import read_head
from evacuation_scenarios import EVACUATE_MS, evacuate
from scenarios import GEN_HEADERS
from standins import (CHUNKS, CLOSE, Target, answer, event, framed,
                      start_stream)

EVENTS = 40
INTERVAL_S = 0.04
# The run at m1 waits before this event until it is ordered to stop.
HELD_AT = 20
# The same at m2, where that engine drains too.
HELD_AGAIN_AT = 30
# Between the end of a stream and an answer that does not come with it.
APART_S = 0.15
STALL_S = 1.5
# An engine stops within 400 ms what goes on elsewhere.
STOPPED_WITHIN_S = 0.5
TIMEOUT_MS = 14000
# Of an event, sent before the stream is closed; more than a chunk's length.
TORN_BYTES = 12
WHEN = ("before", "with", "after")


class Run:
    """A run of CASE at ENGINE, which sends its events from FIRST."""

    def __init__(self, case, engine, request, writer, first):
        self.case = case
        self.engine = engine
        self.request = request
        self.writer = writer
        self.next = first
        self.torn_bytes = 0  # of the next event, sent as the run stops
        self.is_hurrying = False
        self.is_over = False
        self.held_at = None  # the event before which it waits for the order
        if all(r.engine is not engine for r in case.runs):
            self.held_at = case.held_at.get(engine.role)
        self.ordered = asyncio.Event()
        self.stopping = asyncio.Event()
        self.has_stopped = asyncio.Event()  # or has made all events
        self.closing = asyncio.Event()

    async def play(self):
        """Send the events; false as the connection ends with the stream."""
        framing = self.case.framing
        await start_stream(self.request, self.writer, framing=framing)
        while self.next < self.case.events and not self.stopping.is_set():
            if self.request.reader.at_eof():
                return False
            self.writer.write(framed(event(self.next), framing))
            self.next += 1
            await self.pause()
        if self.next < self.case.events:
            self.writer.write(framed(event(self.next),
                                     framing)[:self.torn_bytes])
        elif not self.is_hurrying:
            self.end()
        self.has_stopped.set()
        await self.closing.wait()
        return False

    async def pause(self):
        if self.is_hurrying:
            return
        if self.next == self.held_at:
            await self.ordered.wait()
        try:
            await asyncio.wait_for(self.stopping.wait(), INTERVAL_S)
        except asyncio.TimeoutError:
            pass

    async def stop(self, torn_bytes=0):
        """Make no further event; the source keeps the memory."""
        self.torn_bytes = torn_bytes
        self.stopping.set()
        await self.has_stopped.wait()
        if self.case.copies:
            self.case.copies.add(self.engine)

    async def hurry(self):
        """Make all further events at once."""
        self.is_hurrying = True
        await self.has_stopped.wait()

    def end(self):
        """End the stream in order."""
        self.writer.write(framed(b"", self.case.framing))
        self.close()

    def close(self):
        """Close the stream as it is."""
        self.writer.close()
        self.closing.set()


class Case:
    """A run at m1, which drains, and its further runs, at engines of a service
    of their own.  ON_STOP, a coroutine function (run, writer), carries out an
    order to stop a run and answers it; it returns False to close the
    connection."""

    def __init__(self, name, on_stop, framing, events=EVENTS, held_at=HELD_AT,
                 drains_again=False):
        self.name = name
        self.on_stop = on_stop
        self.framing = framing
        self.events = events
        self.held_at = {"m1": held_at}
        if drains_again:
            self.held_at["m2"] = HELD_AGAIN_AT
        self.is_busy = False  # with an order
        self.is_single = True  # never two runs at a time
        self.engines = {}  # by role: m1, m2, m3
        self.runs = []
        self.handle = None  # of the copies
        self.copies = set()  # engines that have one
        self.notes = []

    async def add_engine(self, role):
        engine = await Target(f"{role}-{self.number}", f"model-{self.number}",
                              self.script).start()
        engine.role = role
        # The gateway's own domain is that of the source.
        zone = "zone-a" if role == "m1" else "zone-b"
        engine.record = lambda phase="ready": {
            **Target.record(engine, phase), "Zone": zone}
        self.engines[role] = engine
        self.bench.targets[engine.name] = engine
        await self.bench.store.put("servers", engine.name, engine.record())
        await self.bench.until_logged("GATEWAY_TARGET_ADDED",
                                      target=engine.name)

    async def drain(self, role):
        engine = self.engines[role]
        await self.bench.store.put("servers", engine.name,
                                   engine.record("draining"))

    async def drain_again(self):
        """If the run goes on at m2, drain that engine."""
        if "m2" in self.held_at:
            await self.until_run("m2")
            await self.add_engine("m3")
            await self.drain("m2")

    async def until_run(self, role):
        async def is_begun():
            return any(r.engine.role == role for r in self.runs)
        await self.bench.until(is_begun)

    async def script(self, engine, request, writer):
        if request.path == "/kv-move":
            return await self.copy(engine, json.loads(request.body), writer)
        if request.method == "GET":
            writer.write(answer(200, b"", [("Instance-Id", engine.name)]))
            return True
        if request.method == "DELETE":
            self.free(engine)
            writer.write(answer(200))
            return True
        first = int(request.headers.get("last-event-id", "-1")) + 1
        if "kv-from" in request.headers and not self.take_copy(
                engine, request.headers["kv-from"]):
            self.notes.append(f"(refused by {engine.role})")
            writer.write(answer(503, b"", [
                ("Attempt-Id", request.headers["attempt-id"]),
                ("Not-Executed", "1")]))
            return True
        run = Run(self, engine, request, writer, first)
        for earlier in self.runs:
            asyncio.get_running_loop().call_later(
                STOPPED_WITHIN_S, self.check_stopped, earlier)
        self.runs.append(run)
        try:
            return await run.play()
        finally:
            run.is_over = True

    def check_stopped(self, run):
        if not (run.is_over or run.has_stopped.is_set()
                or run.request.reader.at_eof()):
            self.is_single = False
            self.notes.append("(two at a time)")

    async def copy(self, engine, order, writer):
        """Carry out an order to copy a run."""
        runs = [r for r in self.runs if r.engine is engine]
        to = next(e for e in self.engines.values()
                  if order["To"].endswith(f":{e.port}"))
        if not runs or runs[-1].is_over or runs[-1].has_stopped.is_set():
            writer.write(answer(404))
        elif self.is_busy:
            writer.write(answer(409))
        elif len(runs) > 1:
            writer.write(answer(503))  # no room
        elif order["Final"]:
            runs[-1].ordered.set()
            return await self.on_stop(runs[-1], writer)
        else:
            self.source = engine
            self.handle = f"h{len(self.runs)}"
            self.copies.add(to)
            writer.write(copied(runs[-1]))
        return True

    def take_copy(self, engine, text):
        """Use the copy at ENGINE, which TEXT names; false if there is none."""
        address, handle = text.split("/")
        if (engine not in self.copies or handle != self.handle
                or not address.endswith(f":{self.source.port}")):
            return False
        self.copies.clear()
        return True

    def free(self, engine):
        """Free the copy, at both ends if ENGINE made it."""
        if engine is self.source:
            self.copies.clear()
        self.copies.discard(engine)

    async def play(self, bench, number):
        self.bench = bench
        self.number = number
        await self.add_engine("m1")
        reader, writer = await bench.connect()
        writer.write(bench.head("POST", f"/long-{number}/x", b"x", **{
            **GEN_HEADERS, "Prefix-Hash": f"{number + 1}:400",
            "Deadline-Ms": str(TIMEOUT_MS)}))
        caller = asyncio.ensure_future(read_stream(reader))
        await self.until_run("m1")
        await self.add_engine("m2")
        await self.drain("m1")
        again = asyncio.ensure_future(self.drain_again())
        self.status, self.numbers, self.is_complete = await asyncio.wait_for(
            caller, TIMEOUT_MS / 1000 + 2)
        again.cancel()
        writer.close()

    @property
    def is_whole(self):
        return self.numbers == list(range(self.events))

    @property
    def is_in_order(self):
        return self.numbers == list(range(len(self.numbers)))

    def outcome(self):
        runs = " ".join([r.engine.role for r in self.runs] + self.notes)
        return (f"{self.name}: {self.status}, complete {self.is_complete}, "
                f"whole {self.is_whole}, runs {runs}")


async def read_stream(reader):
    """Status and event ids of a response, and whether it came to its end."""
    status, headers = await read_head(reader)
    body = b""
    is_complete = False
    try:
        while size := int(await reader.readuntil(b"\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return status, [int(line[4:]) for line in body.decode().split("\n")
                    if line.startswith("id: ")], is_complete


async def play(bench, cases, say=Case.outcome):
    """Play CASES beside each other, and SAY the outcome of each."""
    route = next(r for r in bench.config["Routes"] if r["Name"] == "r-long")
    service = next(b for b in bench.config["Backends"] if b["Name"] == "model")
    for i in range(len(cases)):
        bench.config["Backends"].append({**service, "Name": f"model-{i}"})
        bench.config["Routes"].append({
            **route, "Name": f"r-long-{i}", "PathPrefix": f"/long-{i}/",
            "Backend": f"model-{i}", "TimeoutMs": TIMEOUT_MS})
    await bench.start(evacuate_ms=EVACUATE_MS)
    await bench.until_logged("GATEWAY_READER", kind="domains")
    await asyncio.gather(*(c.play(bench, i) for i, c in enumerate(cases)))
    for case in cases:
        print(f"{case.outcome()}, events {len(case.numbers)}")
        bench.say(say(case))


def say_complete(case, text, value):
    return (f"{case.name}: {case.status}, {text} {value}, in order "
            f"{case.is_in_order}, one run at a time {case.is_single}")


def complete_only_if_whole(case):
    """The stream may be cut, also at its end."""
    return say_complete(case, "complete only if whole",
                        case.is_whole or not case.is_complete)


def complete_and_whole(case):
    """An order on a kept connection that has just ended is in doubt, and the
    stream may be completed elsewhere."""
    return say_complete(case, "complete and whole",
                        case.is_complete and case.is_whole)


# ---- orders to stop a run ----

def copied(run, status=200):
    """The answer to an order that copied RUN, or with 503 failed to copy the
    rest of it."""
    return answer(status, json.dumps(
        {"Session": run.case.handle, "Created": run.next}).encode())


async def answer_in_turn(when, close, reply):
    """CLOSE a stream and REPLY to the order."""
    if when != "after":
        close()
    if when == "before":
        await asyncio.sleep(APART_S)
    reply()
    if when == "after":
        await asyncio.sleep(APART_S)
        close()


def stops(when, reply, torn_bytes=0, until=None):
    """The run is stopped, and REPLY, a function (run, writer), answers.  UNTIL,
    a coroutine function without arguments, is waited for before."""
    async def on_stop(run, writer):
        if until:
            await until()
        await run.stop(torn_bytes)
        await answer_in_turn(when, run.close, lambda: reply(run, writer))
        return True
    return on_stop


def ends(when, reply, until=None):
    """The run ends by itself, and REPLY answers."""
    async def on_stop(run, writer):
        if until:
            await until()
        await run.hurry()
        await answer_in_turn(when, run.end, lambda: reply(run, writer))
        return True
    return on_stop


def lost_then_moved():
    """The first order is lost, and the second one is carried out."""
    replies = [reset]

    async def on_stop(run, writer):
        if replies:
            replies.pop()(run, writer)
        else:
            await run.stop()
            run.close()
            moved(run, writer)
        return True
    return on_stop


def lost_with_its_engine():
    """The order is lost as the engine ends, which starts again under its name,
    and the run's stream ends after that is known."""
    async def on_stop(run, writer):
        name = run.engine.name
        await run.stop()
        await run.case.bench.store.put("servers", name, {
            **run.engine.record(), "born": 2})
        reset(run, writer)
        await run.case.bench.until_logged("GATEWAY_TARGET_LEAVING", target=name,
                                          reason="instance restarted")
        run.close()
        return False
    return on_stop


def lost_then_refused():
    """The first order is lost, and later ones are refused: the run goes on."""
    replies = [reset]

    async def on_stop(run, writer):
        (replies.pop() if replies else refused)(run, writer)
        return True
    return on_stop


def lost_and_late(after_s, reply):
    """The answer to the first order is lost, and the engine carries it out
    AFTER_S later; REPLY answers the others before."""
    async def carry_out(case):
        await asyncio.sleep(after_s)
        await case.runs[-1].stop()
        case.runs[-1].close()

    async def on_stop(run, writer):
        if not hasattr(run.case, "late"):
            run.case.late = asyncio.ensure_future(carry_out(run.case))
            reset(run, writer)
        else:
            reply(run, writer)
        return True
    return on_stop


def returns_to_source(after_s):
    """The answer to the first order is lost, and the engine carries it out
    AFTER_S later, at a run that has gone on there: the second order stopped
    the run, its answer is lost too, and the destination has lost its copy."""
    first = lost_and_late(after_s, no_answer)

    async def on_stop(run, writer):
        if not hasattr(run.case, "late"):
            return await first(run, writer)
        await run.stop()
        run.case.copies = {run.engine}
        run.close()
        reset(run, writer)
        return False
    return on_stop


def moved(run, writer):
    writer.write(copied(run))


def not_copied(run, writer):
    writer.write(copied(run, 503))


def unreadable(run, writer):
    writer.write(answer(200, b'{"Session":'))


def unreadable_503(run, writer):
    writer.write(answer(503, b'{"Session":'))


def cut_503(run, writer):
    """A 503 that ends with its connection, cut within its handle."""
    writer.write(b"HTTP/1.1 503 X\r\n\r\n" + b'{"Session":"h')
    writer.close()


def refused(run, writer):
    writer.write(answer(503))


def not_executed(run, writer):
    """The engine is full: it has not looked at the order."""
    writer.write(answer(503, b"", [("Not-Executed", "1")]))


def no_such_run(run, writer):
    writer.write(answer(404))


def reset(run, writer):
    writer.transport.abort()


def no_answer(run, writer):
    pass


def in_turn(framing, how, replies, when=WHEN, **options):
    """Cases of the order HOW, stops or ends, with each of REPLIES, functions by
    name."""
    return [Case(f"{name}, close {w} the answer", how(w, reply, **options),
                 framing)
            for name, reply in replies.items() for w in when]


# ---- scenarios ----

def stopped_cases(framing):
    return in_turn(framing, stops, {
        "moved": moved, "503 with a handle": not_copied,
        "200 without a handle": unreadable})


async def stopped_run_is_not_complete(bench):
    """A stream that ends with its connection ends as its run is stopped: it
    goes on at the engine that has the copy, or the memory."""
    await play(bench, stopped_cases(CLOSE))


async def stopped_run_in_chunks(bench):
    """The same of streams in chunks."""
    await play(bench, stopped_cases(CHUNKS))


def ended_cases(framing):
    async def refuse(run, writer):
        refused(run, writer)
        return True

    return [Case("503, goes on", refuse, framing),
            *in_turn(framing, ends, {"503, ended": refused,
                                     "404, ended": no_such_run})]


async def ended_run_is_complete(bench):
    """A run ends by itself as it is ordered to stop: its stream is complete,
    and nothing runs again."""
    await play(bench, ended_cases(CLOSE))


async def ended_run_in_chunks(bench):
    """The same of streams in chunks."""
    await play(bench, ended_cases(CHUNKS))


def unanswered_cases(framing):
    return [*in_turn(framing, stops, {"reset": reset}),
            Case("never answered", stops("before", no_answer), framing)]


async def play_unanswered(bench, framing):
    """Play the cases and say how long callers waited."""
    await play(bench, unanswered_cases(framing))
    streams = []
    while len(streams) < len(unanswered_cases(framing)):
        await asyncio.sleep(0.05)
        streams = bench.logged("GATEWAY_ANSWERED")
    longest_us = max(s["gap_max_us"] for s in streams)
    bench.say(f"longest gap below 2 s: {longest_us < 2000000}")


async def stopped_run_without_answer(bench):
    """The answer to the order that stopped a run is lost: the stream goes on
    from the copy that was made while it ran."""
    await play_unanswered(bench, CLOSE)


async def stopped_run_without_answer_in_chunks(bench):
    """The same of streams in chunks."""
    await play_unanswered(bench, CHUNKS)


def within_event_cases(framing):
    return in_turn(framing, stops, {
        "moved": moved, "503 with a handle": not_copied, "reset": reset},
        torn_bytes=TORN_BYTES)


async def stopped_run_within_event(bench):
    """The streams of stopped runs are closed in the middle of an event."""
    await play(bench, within_event_cases(CLOSE))


async def stopped_run_within_event_in_chunks(bench):
    """The same of streams in chunks."""
    await play(bench, within_event_cases(CHUNKS))


LATE_EVENTS = 130


def late(after_s, reply, is_busy=False):
    """The order is carried out AFTER_S after it came, or with None never.  With
    IS_BUSY further orders are refused until then."""
    async def carry_out(run):
        await asyncio.sleep(after_s)
        await run.stop()
        run.close()

    async def on_stop(run, writer):
        run.case.is_busy = is_busy
        if after_s is not None:
            asyncio.ensure_future(carry_out(run))
        reply(run, writer)
        if reply is no_answer:
            await asyncio.sleep(TIMEOUT_MS / 1000)
        return False
    return on_stop


def late_cases(framing):
    return [Case(f"{name}, carried out after {after_s} s{busy}",
                 late(after_s, reply, bool(busy)), framing, LATE_EVENTS)
            for name, reply in (("never answered", no_answer),
                                ("reset", reset))
            for after_s in (1, 2, 3.5)
            for busy in ("", ", 409 until then")]


async def run_stopped_late(bench):
    """An order without an answer is carried out some time after it came."""
    await play(bench, late_cases(CLOSE))


async def run_stopped_late_in_chunks(bench):
    """The same of streams in chunks."""
    await play(bench, late_cases(CHUNKS))


def never_cases(framing):
    return [*(Case(f"{name}{busy}", late(None, reply, bool(busy)), framing,
                   events)
              for name, reply, events in (
                  ("never answered", no_answer, EVENTS),
                  ("never answered, long run", no_answer, LATE_EVENTS),
                  ("reset", reset, EVENTS))
              for busy in ("", ", 409 from then on")),
            *in_turn(framing, ends, {"reset, ended": reset}),
            Case("never answered, ended", ends("before", no_answer), framing)]


async def run_never_stopped(bench):
    """An order without an answer is never carried out, and the run ends by
    itself."""
    await play(bench, never_cases(CLOSE), complete_only_if_whole)


async def migration_source_restarts(bench):
    """The source of a migration starts again under its name, and no answer to
    the order comes: the run goes on from the first copy."""
    await play(bench, [Case("restarted", lost_with_its_engine(), framing)
                       for framing in (CLOSE, CHUNKS)])


async def lost_order_is_sent_again(bench):
    """An order is lost and the run goes on: the next order moves it."""
    await play(bench, [Case("reset, then moved", lost_then_moved(), framing)
                       for framing in (CLOSE, CHUNKS)])


async def run_stop_refused_after_a_lost_order(bench):
    """After a refusal an earlier order may still be carried out: without length
    or chunks the end of a run that ends by itself is in doubt, and its stream is
    complete as the destination has nothing left to send."""
    await play(bench, [Case("reset, then 503", lost_then_refused(), framing)
                       for framing in (CLOSE, CHUNKS)])


async def stopped_run_unreadable_refusal(bench):
    """A 503 with a body that cannot be read does not say that the run goes
    on: the engine may have stopped it."""
    await play(bench, in_turn(CLOSE, stops, {
        "503 that cannot be read": unreadable_503, "503 that is cut": cut_503}),
        complete_only_if_whole)


def late_after(reply):
    return [Case(f"503, carried out after {after_s} s",
                 lost_and_late(after_s, reply), CLOSE, LATE_EVENTS)
            for after_s in (1, 2)]


async def run_stopped_late_after_a_full_engine(bench):
    """An order without an answer is carried out after the engine, which was
    full then, has turned a later one away: it says nothing of the first."""
    await play(bench, late_after(not_executed), complete_only_if_whole)


async def run_stopped_late_after_a_refusal(bench):
    """An order without an answer is carried out after a later one was refused
    by an engine that had not begun with the first."""
    await play(bench, late_after(refused), complete_only_if_whole)


async def run_stopped_late_at_the_source(bench):
    """An order without an answer is carried out after the run has gone on at
    the source, as the destination has lost its copy."""
    await play(bench, [Case(f"carried out after {after_s} s",
                            returns_to_source(after_s), CLOSE, LATE_EVENTS)
                       for after_s in (1, 1.5)], complete_only_if_whole)


def in_progress():
    """An order of another caller is carried out: this one is told so, and then
    that there is no such run."""
    async def carry_out(run):
        await asyncio.sleep(2 * APART_S)
        await run.stop()
        run.close()

    async def on_stop(run, writer):
        if not hasattr(run.case, "late"):
            run.case.late = asyncio.ensure_future(carry_out(run))
        writer.write(answer(409))
        return True
    return on_stop


async def run_stopped_by_another_order(bench):
    """A source says that an order is in progress, ends the stream, and then has
    no such run: an order that is not known here has stopped it."""
    await play(bench, [Case("409, then 404", in_progress(), CLOSE)],
               complete_only_if_whole)


def starts_again():
    """The run is stopped, and its engine starts again with another version:
    neither end has the copy."""
    async def on_stop(run, writer):
        case = run.case
        for role in ("m3", "m4", "m5"):
            await case.add_engine(role)
        await run.stop()
        case.copies.clear()
        run.engine.version = "another"
        await case.drain("m1")
        await asyncio.sleep(1)
        run.close()
        moved(run, writer)
        return True
    return on_stop


async def stopped_run_copy_lost_with_its_source(bench):
    """The copy of a stopped run is lost, and its source has started again with
    another version: no other engine is asked for the copy."""
    case = Case("moved", starts_again(), CHUNKS)
    await play(bench, [case], complete_only_if_whole)
    asked = {e.role: sum("kv-from" in r.headers for r in e.requests)
             for e in case.engines.values()}
    print(asked)
    bench.say(f"asked for the copy: m2 once {asked['m2'] == 1}, others never "
              f"{not any(asked[e] for e in ('m3', 'm4', 'm5'))}")


class ClosingCase(Case):
    """The source takes no connection after the first copy."""

    async def copy(self, engine, order, writer):
        await super().copy(engine, order, writer)
        engine.server.close()
        return False


async def run_whose_order_was_not_sent(bench):
    """No order to stop the run can be sent, as the source refuses connections:
    the run ends by itself, and is complete."""
    await play(bench, [ClosingCase("not connected", None, framing, held_at=None)
                       for framing in (CLOSE, CHUNKS)], complete_and_whole)


async def run_never_stopped_in_chunks(bench):
    """The same of streams in chunks, whose end leaves no doubt."""
    await play(bench, never_cases(CHUNKS))


def twice_cases(framing):
    return [Case(f"{name}, close {when} the answer", stops(when, reply),
                 framing, drains_again=True)
            for name, reply in (("moved", moved), ("reset", reset))
            for when in WHEN]


async def run_stopped_twice(bench):
    """The engine at which a run goes on drains too."""
    await play(bench, twice_cases(CLOSE))


async def run_stopped_twice_in_chunks(bench):
    """The same of streams in chunks."""
    await play(bench, twice_cases(CHUNKS))


def used_copy_cases(framing):
    def used(run, writer):
        run.case.copies.clear()
        moved(run, writer)

    return in_turn(framing, stops, {"moved": used})


async def stopped_run_copy_used(bench):
    """The handle of a stopped run was used before: the stream cannot go on."""
    await play(bench, used_copy_cases(CLOSE), complete_only_if_whole)


async def stopped_run_copy_used_in_chunks(bench):
    """The same of streams in chunks."""
    await play(bench, used_copy_cases(CHUNKS), complete_only_if_whole)


class Gate:
    """Holds the orders of COUNT cases until all have come, and ACT, a coroutine
    function without arguments, has been called."""

    def __init__(self, count, act):
        self.count = count
        self.act = act
        self.opened = asyncio.Event()

    async def until_open(self):
        self.count -= 1
        if self.count == 0:
            await self.act()
            self.opened.set()
        await self.opened.wait()


def held_cases(framing, act):
    """Cases whose runs stop or end once ACT has been called."""
    stopped = {"moved": moved, "503 with a handle": not_copied, "reset": reset}
    ended = {"503, ended": refused, "404, ended": no_such_run}
    gate = Gate((len(stopped) + len(ended)) * len(WHEN), act)
    return (in_turn(framing, stops, stopped, until=gate.until_open)
            + in_turn(framing, ends, ended, until=gate.until_open))


async def stall(bench, framing):
    async def stand_still():
        bench.process.send_signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            STALL_S, bench.process.send_signal, signal.SIGCONT)

    await play(bench, held_cases(framing, stand_still), complete_only_if_whole)


async def stopped_run_stalled(bench):
    """A gateway stands still after its order: the end of the stream and the
    answer wait in its sockets."""
    await stall(bench, CLOSE)


async def stopped_run_stalled_in_chunks(bench):
    """The same of streams in chunks."""
    await stall(bench, CHUNKS)


async def evacuate_source(bench, framing):
    async def evacuate_it():
        await evacuate(bench, "zone-a")
        await bench.until_logged("GATEWAY_EVACUATION_BEGUN")

    await play(bench, held_cases(framing, evacuate_it), complete_only_if_whole)


async def stopped_run_evacuated(bench):
    """The domain of the source is evacuated while a run is stopped."""
    await evacuate_source(bench, CLOSE)


async def stopped_run_evacuated_in_chunks(bench):
    """The same of streams in chunks."""
    await evacuate_source(bench, CHUNKS)


async def orders_in_progress_of_one_run(bench):
    """An engine that drains has two runs, and answers each order to stop the
    first one that an earlier one is in progress: the second one is migrated
    all the same."""
    orders = []
    second_moves = asyncio.Event()

    async def script(target, request, writer):
        if request.path == "/kv-move":
            order = json.loads(request.body)
            orders.append((order["InstanceId"], order["Final"]))
            if orders[-1][0] != orders[0][0]:
                second_moves.set()
            writer.write(answer(409) if order["Final"] else answer(
                200, b'{"Session":"h1","Created":4}'))
            return True
        if request.method == "DELETE":
            writer.write(answer(200))
            return True
        await start_stream(request, writer)
        for i in range(LATE_EVENTS):
            writer.write(framed(event(i), CHUNKS))
            await asyncio.sleep(INTERVAL_S)
        writer.write(framed(b"", CHUNKS))
        return True

    await bench.start()
    old = await bench.add_target("m1", "model", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m1")
    callers = []
    writers = []
    for _ in range(2):
        reader, writer = await bench.connect()
        writers.append(writer)
        writer.write(bench.head("POST", "/long/1", b"x", **{
            **GEN_HEADERS, "Deadline-Ms": "8000"}))
        callers.append(asyncio.ensure_future(read_stream(reader)))
    await asyncio.sleep(0.5)
    await bench.add_target("m2", "model", script)
    await bench.until_logged("GATEWAY_TARGET_ADDED", target="m2")
    await bench.store.put("servers", "m1", old.record("draining"))
    try:
        await asyncio.wait_for(second_moves.wait(), 3)
    except asyncio.TimeoutError:
        pass
    bench.say(f"second run is migrated {second_moves.is_set()}")
    ends = [await c for c in callers]
    print(len(orders), "orders", [(e[0], len(e[1]), e[2]) for e in ends])
