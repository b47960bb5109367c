"""Scenarios of requests that crash the targets that run them, sent through
several gateways."""

import asyncio
import time

from fleet import CONTACT_S, Fleet, crash_on
from scenarios import GEN_HEADERS
from standins import chunk, event, signed, start_stream

BAD = "/read/bad"
# A bad request is sent this often, each time at another gateway.
BAD_INTERVAL_S = 0.33
SOUND_INTERVAL_S = 0.025


def bad_request(number):
    return "GET", BAD, b"", {}


def sound_request(number):
    """Unique requests and a popular one, at the service of the bad one."""
    if number % 4 == 0:
        return "GET", "/read/popular", b"", {}
    if number % 4 == 1:
        return "POST", f"/book/{number}", b"slot", {}
    return "GET", f"/read/{number}", b"", {}


async def crashing_request(bench):
    """A request that crashes each target that runs it comes again and again, at
    any gateway.  It must reach at most three targets in all, and sound requests
    are then served as before."""
    fleet = Fleet(bench, 5)
    await fleet.add_targets(9, "plain", crash_on(fleet, BAD))
    await fleet.start()
    begun = time.monotonic()
    await asyncio.gather(
        fleet.send_repeatedly(12, BAD_INTERVAL_S, bad_request),
        fleet.send_repeatedly(12, SOUND_INTERVAL_S, sound_request))
    bench.say(f"some crashed: {len(fleet.crashes()) > 0}")
    bench.say(f"at most three crashed: {len(fleet.crashes()) <= 3}")
    bench.say("late arrivals after the third crash: "
              f"{fleet.late_arrivals(BAD, 3)}")
    lost = [o for o in fleet.outcomes
            if o[1] != BAD and o[2] != 200 and o[0] > begun + 2 * CONTACT_S]
    bench.say(f"sound requests not served from 6 s on: {len(lost)}")
    bad = {status for _, path, status in fleet.outcomes if path == BAD}
    bench.say(f"the bad one gets: {sorted(bad)}")


async def quarantine(fleet, path=BAD):
    """Send the bad request until all gateways refuse it."""
    for _ in range(40):
        await fleet.send(fleet.dice.choice(fleet.gateways), "GET", path)
        outcomes = await asyncio.gather(
            *(g.send("GET", "/read/probe") for g in fleet.gateways))
        if len(fleet.crashes()) >= 2 and all(o[0] == 200 for o in outcomes):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("bad request not quarantined")


def arrivals(fleet, path=BAD):
    return sum(p == path for _, p in fleet.arrivals)


async def crashing_request_new_gateways(bench):
    """All gateways are replaced after a request was quarantined: the new ones
    know it before they take requests."""
    fleet = Fleet(bench, 3)
    await fleet.add_targets(4, "plain", crash_on(fleet, BAD))
    await fleet.start()
    await quarantine(fleet)
    await fleet.until_written()
    for gateway in fleet.gateways:
        gateway.process.kill()
        await gateway.process.wait()
    before = arrivals(fleet)
    for i, gateway in enumerate(fleet.gateways, 1):
        await gateway.start_gateway(instance=f"gateway-{i}")
        bench.observers.append(gateway.process)
        status, _ = await fleet.send(gateway, "GET", BAD)
        bench.say(f"new gateway {i}: {status}")
    bench.say(f"arrivals since: {arrivals(fleet) - before}")


async def crashing_request_store_away(bench):
    """The store does not respond while a request crashes its targets: gateways
    tell each other.  When the store is back, the quarantine is written."""
    fleet = Fleet(bench, 5)
    await fleet.add_targets(9, "plain", crash_on(fleet, BAD))
    await fleet.start()
    bench.store.silent = True
    await fleet.send_repeatedly(5, BAD_INTERVAL_S, bad_request)
    bench.say(f"at most three crashed: {len(fleet.crashes()) <= 3}")
    bench.store.silent = False
    bench.store.drop_connections()
    await fleet.until_written()
    bench.say("the quarantine is written")


async def crashing_request_store_restored(bench):
    """The store comes back from a copy that is older than the quarantine: the
    gateways write it again."""
    fleet = Fleet(bench, 2)
    await fleet.add_targets(4, "plain", crash_on(fleet, BAD))
    await fleet.start()
    await quarantine(fleet)
    await fleet.until_written()
    await bench.store.remove("suspect-content", "current")
    await fleet.until_written()
    bench.say("written again")


async def crashing_requests_two(bench):
    """Two bad requests of different accounts come at the same time, beside
    sound ones: both are quarantined, nothing else is."""
    other = "/read/worse"
    fleet = Fleet(bench, 5)

    async def script(target, request, writer):
        fleet.arrivals.append((time.monotonic(), request.path))
        if request.path in (BAD, other):
            await asyncio.sleep(0.1)
            target.crash()
            return False
        return await sound(target, request, writer)

    sound = crash_on(fleet, None)
    bench.config["Tenants"].append({"Name": "other", "ApiKeys": ["key-2"]})
    await fleet.add_targets(9, "plain", script)
    await fleet.start()
    begun = time.monotonic()
    await asyncio.gather(
        fleet.send_repeatedly(9, BAD_INTERVAL_S, bad_request),
        fleet.send_repeatedly(9, BAD_INTERVAL_S, lambda i: (
            "GET", other, b"", {"X-Api-Key": "key-2"})),
        fleet.send_repeatedly(9, SOUND_INTERVAL_S, sound_request))
    for path in (BAD, other):
        bench.say(f"{path}: at most three arrivals: "
                  f"{arrivals(fleet, path) <= 3}")
    lost = [o for o in fleet.outcomes if o[1] not in (BAD, other)
            and o[2] != 200 and o[0] > begun + 2 * CONTACT_S]
    bench.say(f"sound requests not served from 6 s on: {len(lost)}")


async def popular_request_beside_crashes(bench):
    """A popular request has been served; then no attempt completes for a second
    in which three targets end, one after the other, with the request at each.
    It must not be taken for the cause."""
    stuck = [False]
    fleet = Fleet(bench, 3)

    async def script(target, request, writer):
        while stuck[0]:
            await asyncio.sleep(0.02)
        return await crash_on(fleet, None)(target, request, writer)

    await fleet.add_targets(3, "plain", script)
    await fleet.start()
    load = asyncio.ensure_future(fleet.send_repeatedly(
        9, SOUND_INTERVAL_S, lambda i: ("GET", "/read/popular", b"", {})))
    await asyncio.sleep(2)
    stuck[0] = True
    for target in fleet.targets:
        await asyncio.sleep(0.3)
        target.crash()
    stuck[0] = False
    await load
    end = max(at for at, _, _ in fleet.outcomes)
    lost = [o for o in fleet.outcomes if o[2] != 200 and o[0] > end - 3]
    bench.say(f"crashes: {len(fleet.crashes())}")
    bench.say("quarantined: "
              f"{len(fleet.logged('GATEWAY_CONTENT_QUARANTINED'))}")
    bench.say(f"not served in the last 3 s: {len(lost)}")


async def crashing_request_answers(bench):
    """What the callers of a bad request get: 502 for one that ran, then 503 with
    a Retry-After of hours.  Logs, metrics and `explain` show why, and an
    operator lifts the quarantine in the store."""
    sound = [False]
    fleet = Fleet(bench, 1)

    async def script(target, request, writer):
        path = None if sound[0] else BAD
        return await crash_on(fleet, path)(target, request, writer)

    await fleet.add_targets(4, "plain", script)
    await fleet.start()
    status, headers = await fleet.send(bench, "GET", BAD)
    bench.say(f"ran: {status}, retry-after {headers.get('retry-after')}")
    status, headers = await fleet.send(bench, "GET", BAD)
    attempt = f"a{bench.request_count}"
    bench.say(f"did not run: {status}, retry-after of more than five hours "
              f"{float(headers['retry-after']) > 5 * 3600}")
    await bench.until_finished(attempt)
    refusal = bench.logged("GATEWAY_REFUSED", request=attempt)[0]
    bench.say(f"refusal: {refusal['reason']}, strikes {refusal['strikes']}, "
              f"age known {refusal['evidence_age_s'] >= 0}")
    for line in await bench.explain(attempt):
        bench.say(line)
    _, _, text = await bench.raw(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                                 "metrics")
    for line in text.decode().splitlines():
        if line.startswith(("catkinvale_gateway_crashes_total",
                            "catkinvale_gateway_quarantined_total")):
            bench.say(line)
    await bench.until_logged("GATEWAY_QUARANTINE_WRITTEN")
    content = refusal["content"]
    store = f"--store=http://127.0.0.1:{bench.store.port}"
    for line in await bench.control(store, "quarantine"):
        bench.say(" ".join(line.replace(content, "CONTENT").split()[:3]))
    sound[0] = True
    bench.say(f"lift: {await bench.control(store, 'quarantine', 'lift', content)}")
    for line in (await bench.control(store, "quarantine"))[1:]:
        bench.say(" ".join(line.replace(content, "CONTENT").split()))
    await asyncio.sleep(2.5)
    status, _ = await fleet.send(bench, "GET", BAD)
    bench.say(f"lifted: {status}")


async def lost_connections_are_no_crash(bench):
    """Connections that a running target resets, and the end of a target that was
    draining, are no crashes: nothing becomes suspect."""
    fleet = Fleet(bench, 1)

    async def reset_first(target, request, writer):
        fleet.arrivals.append((time.monotonic(), request.path))
        if arrivals(fleet, request.path) == 1:
            writer.transport.abort()
            return False
        return await crash_on(fleet, None)(target, request, writer)

    await fleet.add_targets(2, "plain", reset_first)
    await fleet.start()
    status, _ = await fleet.send(bench, "GET", "/read/reset")
    # Log lines are written a moment after the response.
    await bench.until_logged("GATEWAY_ATTEMPT_FAILED")
    await asyncio.sleep(0.1)
    bench.say(f"reset: {status}, checks "
              f"{len(bench.logged('GATEWAY_ATTEMPT_FAILED'))}, crashes "
              f"{len(bench.logged('GATEWAY_TARGET_CRASHED'))}")

    async def slow(target, request, writer):
        await asyncio.sleep(30)

    leaving = fleet.targets[0]
    for target in fleet.targets:
        target.script = slow
    request = asyncio.ensure_future(fleet.send(bench, "GET", "/read/slow"))
    await bench.until_logged("GATEWAY_SENT", attempt=1)
    await asyncio.sleep(0.1)
    for target in fleet.targets:
        await bench.store.put("servers", target.name,
                              target.record("draining"))
    await bench.until_logged("GATEWAY_TARGET_LEAVING", target=leaving.name)
    await asyncio.sleep(0.2)
    for target in fleet.targets:
        target.crash()
    await request
    await asyncio.sleep(0.1)
    bench.say(f"draining: crashes "
              f"{len(bench.logged('GATEWAY_TARGET_CRASHED'))}")


async def crashes_of_completed_content(bench):
    """Targets end for a reason of their own while they run a request that others
    have completed, at the same gateway or at another one.  It stays served."""
    fleet = Fleet(bench, 2)
    paths = ("/read/same", "/read/other")

    async def crash_twice(target, request, writer):
        fleet.arrivals.append((time.monotonic(), request.path))
        if arrivals(fleet, request.path) in (2, 3):
            target.crash()
            return False
        writer.write(signed(request, b"ok"))
        return True

    await fleet.add_targets(6, "plain", crash_twice)
    await fleet.start()
    for path, gateway in zip(paths, fleet.gateways):
        statuses = [(await fleet.send(bench, "GET", path))[0]]
        for _ in range(2):
            statuses.append((await fleet.send(gateway, "GET", path))[0])
            await asyncio.sleep(0.3)
        bench.say(f"{path}: {statuses}")
    bench.say(f"crashes {len(fleet.crashes())}")


async def crashing_generation(bench):
    """A generation crashes its engine after the first event.  Its stream is
    resumed once; then it is cut, and refused when it comes again."""
    await crash_generation(bench, start_stream, chunk)


async def crashing_generation_without_length(bench):
    """The same with streams that end with their connection: they end within an
    event."""
    async def start(request, writer):
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Attempt-Id: {request.headers['attempt-id']}\r\n"
                      "Server-Signature: s\r\n\r\n").encode())

    await crash_generation(bench, start, lambda data: data + b"id: ")


async def crash_generation(bench, start, encode):
    fleet = Fleet(bench, 2)

    async def script(target, request, writer):
        fleet.arrivals.append((time.monotonic(), request.path))
        await start(request, writer)
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(encode(event(first)))
        await asyncio.sleep(0.1)
        target.crash()
        return False

    await fleet.add_targets(5, "model", script)
    await fleet.start()
    for gateway in fleet.gateways * 2:
        status, _ = await fleet.send(gateway, "POST", "/tag/bad", b"prompt",
                                     **GEN_HEADERS)
        bench.say(f"answer: {status}")
    bench.say(f"arrivals: {len(fleet.arrivals)}")
    await bench.until_logged("GATEWAY_CUT")
    bench.say(f"cut: {[l['reason'] for l in fleet.logged('GATEWAY_CUT')]}")


async def crashing_request_copies(bench):
    """Ten copies of a bad request are at targets when the first one crashes.
    Their retries run one at a time, so that one more target is lost, not
    ten."""
    fleet = Fleet(bench, 1)
    await fleet.add_targets(30, "plain", crash_on(fleet, BAD))
    # All retries are within the budget.
    await fleet.start(retry_ratio=1)
    await asyncio.gather(*(fleet.send(bench, "GET", BAD) for _ in range(10)))
    for number in range(1, 11):
        await bench.until_finished(f"a{number}")
    bench.say(f"arrivals: {arrivals(fleet)}")
    # Retries that are sent to targets that have just crashed do not arrive.
    bench.say(f"retries at once: {most_retries_at_once(bench)}")


def most_retries_at_once(bench):
    """The most second and later attempts that were at targets at one time."""
    now, most = 0, 0
    for line in bench.logs:
        if line.get("attempt", 1) < 2:
            continue
        if line["name"] == "GATEWAY_SENT":
            now += 1
        elif line["name"] == "GATEWAY_ATTEMPT_FAILED":
            now -= 1
        most = max(most, now)
    return most


def part_request(number, parts, output=12):
    """A generation whose prompt has PARTS, and a last one of its own."""
    hashes = ",".join(f"{p}:100" for p in (*parts, f"{number:x}f"))
    return "POST", "/tag/1", f"prompt {number}".encode(), {
        "Model": "m", "Token-Usage": f"{100 * (len(parts) + 1)},{output}",
        "Prefix-Hash": hashes}


def crash_on_part(fleet, bad_parts, head_s=0.05):
    """Script of an engine that each request with one of BAD_PARTS crashes as it
    begins to write the answer."""
    async def script(target, request, writer):
        parts = [p.split(":")[0]
                 for p in request.headers["prefix-hash"].split(",")]
        bad = [p for p in parts[:-1] if p in bad_parts]
        fleet.arrivals.append((time.monotonic(), bad[0] if bad else ""))
        first = int(request.headers.get("last-event-id", "-1")) + 1
        await asyncio.sleep(head_s)
        await start_stream(request, writer)
        for i in range(first, 3):
            writer.write(chunk(event(i)))
            await asyncio.sleep(0.08)
            if bad:
                target.crash()
                return False
        writer.write(b"0\r\n\r\n")
        return True
    return script


def sound_parts(number):
    return ("a1" if number % 2 else f"a{number % 7}", f"b{number % 23:x}")


async def play_bad_part(bench, sound, bad):
    """Requests with the parts SOUND (number) and, among them, some with BAD
    (number), which have the part "bad" that crashes engines."""
    fleet = Fleet(bench, 5)
    await fleet.add_targets(9, "model", crash_on_part(fleet, {"bad"}))
    await fleet.start()
    begun = time.monotonic()
    # The outcomes of both have the same path; those of the bad ones are told
    # apart by their time.
    bad_fleet = Fleet(bench, 1)
    bad_fleet.gateways, bad_fleet.targets = fleet.gateways, fleet.targets
    await asyncio.gather(
        fleet.send_repeatedly(14, 0.05, lambda i: part_request(i, sound(i))),
        bad_fleet.send_repeatedly(
            14, BAD_INTERVAL_S, lambda i: part_request(1000 + i, bad(i))))
    bench.say(f"some crashed: {len(fleet.crashes()) > 0}")
    bench.say(f"at most five crashed: {len(fleet.crashes()) <= 5}")
    bench.say("late arrivals after the fifth crash: "
              f"{fleet.late_arrivals('bad', 5)}")
    lost = [o for o in fleet.outcomes
            if o[2] != 200 and o[0] > begun + 2 * CONTACT_S]
    bench.say(f"sound requests not served from 6 s on: {len(lost)}")
    late = {o[2] for o in bad_fleet.outcomes if o[0] > begun + 2 * CONTACT_S}
    bench.say(f"the bad ones get from then on: {sorted(late)}")


async def crashing_part(bench):
    """Each request whose prompt has one part crashes its engine, whatever else
    it holds; no two are alike.  They must reach a bounded number of engines, and
    requests that share their account and their other parts must be served."""
    await play_bad_part(bench, sound_parts, lambda i: ("a1", "bad"))


async def crashing_part_of_a_long_prompt(bench):
    """The same with the part behind 30 others that all requests share: parts
    behind the first few were not known to crash engines."""
    shared = tuple(f"c{i:x}" for i in range(30))
    await play_bad_part(bench, lambda i: (*shared, *sound_parts(i)),
                        lambda i: (*shared, "a1", "bad"))


async def crashing_part_among_new_parts(bench):
    """The same with the part behind 30 others that no other request has: a crash
    told nothing of any of so many."""
    await play_bad_part(
        bench, sound_parts,
        lambda i: (*(f"d{30 * i + k:x}" for k in range(30)), "bad"))


async def quarantine_part(bench, bad_parts):
    """Five gateways, and a part that has crashed engines and is quarantined."""
    fleet = Fleet(bench, 5)
    await fleet.add_targets(9, "model", crash_on_part(fleet, bad_parts))
    await fleet.start()
    await send_to_all(fleet, 100, 2)
    return fleet


async def send_to_all(fleet, number, times=1, gap_s=0):
    """Send requests with the part "bad" at each gateway, GAP_S apart; return
    their statuses."""
    tasks = []
    for i in range(times):
        for k, gateway in enumerate(fleet.gateways):
            method, path, body, headers = part_request(
                number + 10 * i + k, ("a1", "bad"))
            tasks.append(asyncio.ensure_future(
                fleet.send(gateway, method, path, body, **headers)))
            await asyncio.sleep(gap_s)
    return [status for status, _ in await asyncio.gather(*tasks)]


def bad_arrivals(fleet, since):
    return sum(part == "bad" and at > since for at, part in fleet.arrivals)


async def trial_of_several_gateways(bench):
    """The quarantine of a part ends, and a request with it comes to each gateway
    before its target can crash: each gateway tried it by itself."""
    fleet = await quarantine_part(bench, {"bad"})
    # The quarantine lasts 3 to 6 s.
    await asyncio.sleep(7)
    since = time.monotonic()
    statuses = await send_to_all(fleet, 200, gap_s=0.02)
    bench.say(f"one request reaches a target: "
              f"{bad_arrivals(fleet, since) == 1}, the others get 503: "
              f"{statuses.count(503) == 4}")
    # The next trial comes after 30 s at the earliest.
    await asyncio.sleep(7)
    since = time.monotonic()
    statuses = await send_to_all(fleet, 300)
    bench.say(f"then none: {bad_arrivals(fleet, since) == 0}, {set(statuses)}")


async def trial_that_completes(bench):
    """A part that crashes nothing any longer is tried once, and then served by
    all gateways."""
    bad_parts = {"bad"}
    fleet = await quarantine_part(bench, bad_parts)
    await asyncio.sleep(7)
    bad_parts.clear()
    statuses = await send_to_all(fleet, 200, gap_s=0.02)
    bench.say(f"one is served: {statuses.count(200) == 1}, the others get 503: "
              f"{statuses.count(503) == 4}")
    await asyncio.sleep(0.5)
    bench.say(f"then all: {await send_to_all(fleet, 300)}")


async def trial_without_the_store(bench):
    """No trial can be claimed while the store does not answer: requests are
    refused at once, and one is tried when it is back."""
    fleet = await quarantine_part(bench, {"bad"})
    await fleet.until_written()
    await asyncio.sleep(4)
    bench.store.silent = True
    bench.store.drop_connections()
    await asyncio.sleep(3)
    since = time.monotonic()
    statuses = await send_to_all(fleet, 200)
    bench.say(f"without the store: {bad_arrivals(fleet, since)} at a target, "
              f"{set(statuses)}, within 1 s {time.monotonic() - since < 1}")
    bench.store.silent = False
    bench.store.drop_connections()
    await asyncio.sleep(3)
    since = time.monotonic()
    await send_to_all(fleet, 300)
    bench.say(f"with it: {bad_arrivals(fleet, since)}")


async def crashed_targets_are_avoided(bench):
    """Five of six targets have just crashed, and the gateway knows it: requests
    go to the sixth at the first attempt.  The others start again 1.2 s later."""
    fleet = Fleet(bench, 1)

    async def script(target, request, writer):
        if request.method == "POST":
            target.crash()
            return False
        return await crash_on(fleet, None)(target, request, writer)

    await fleet.add_targets(6, "plain", script)
    await fleet.start()
    # Requests that are not repeated: each crashes one target.
    for number in range(20):
        if len(fleet.crashes()) == 5:
            break
        await fleet.send(bench, "POST", f"/book/{number}", b"slot")
    bench.say(f"crashes: {len(fleet.crashes())}")
    first = bench.request_count + 1
    statuses = [(await fleet.send(bench, "GET", f"/read/{number}"))[0]
                for number in range(10)]
    bench.say(f"answers: {statuses}")
    await bench.until_finished(f"a{bench.request_count}")
    failed = [line for line in bench.logged("GATEWAY_ATTEMPT_FAILED")
              if int(line["request"][1:]) >= first]
    bench.say(f"failed attempts: {len(failed)}")
