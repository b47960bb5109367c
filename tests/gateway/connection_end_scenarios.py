"""Scenarios in which the end of a connection is not the end of a message."""

import asyncio
import json
import os
import signal
import socket
import sys

from cut_scenarios import reset_connection
from scenarios import GEN_HEADERS
from standins import (EngineStatus, answer, chunk, echo, event, signed,
                      start_stream)

HERE = os.path.dirname(os.path.abspath(__file__))
# Above the size up to which a gateway buffers a response.
LARGE_BYTES = 300 << 10
HEAD = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nAttempt-Id: {}\r\n"


async def read_to_end(reader):
    """What arrives until the connection ends, and how it ends."""
    data = b""
    try:
        while part := await asyncio.wait_for(reader.read(1 << 16), 15):
            data += part
        return data, "end"
    except ConnectionResetError:
        return data, "reset"


async def call_http_1_0(bench, path, buffer_bytes=None):
    """Send a request as an HTTP/1.0 caller, whose response has no length."""
    s = socket.socket()
    if buffer_bytes:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    s.connect(("127.0.0.1", bench.ports["listen"]))
    s.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=s, limit=8192)
    head = bench.head("GET" if path.startswith("/read/") else "POST", path,
                      b"" if path.startswith("/read/") else b"x",
                      **(GEN_HEADERS if path.startswith("/long/") else {}))
    writer.write(head.replace(b"HTTP/1.1", b"HTTP/1.0"))
    return reader, writer


async def begin_stream(target, request, writer):
    """Send one event of a stream, and wait."""
    await start_stream(request, writer)
    writer.write(chunk(event(0)))
    await request.reader.read(1)
    return False


async def begin_large(target, request, writer):
    """Send the first part of a large response, and wait."""
    writer.write((HEAD.format(request.headers["attempt-id"])
                  + f"Content-Length: {2 * LARGE_BYTES}\r\n\r\n").encode()
                 + b"x" * LARGE_BYTES)
    await request.reader.read(1)
    return False


async def send_large(target, request, writer):
    size = int(request.path.rpartition("/")[2])
    writer.write(signed(request, b"x" * size))
    await writer.drain()
    return True


async def begin_response(bench, path):
    """Call as an HTTP/1.0 caller, and read the first part of the response."""
    reader, writer = await call_http_1_0(bench, path)
    if path.startswith("/long/"):
        await reader.readuntil(b"piece 0\n\n")
    else:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(LARGE_BYTES)
    return reader, writer


async def killed_gateway_http_1_0(bench):
    """A gateway ends at once, by a signal that it cannot handle, while it
    forwards a response to an HTTP/1.0 caller: the caller takes the part for
    the whole, as its kernel ends the connection in order."""
    bench.config["Routes"][0]["TimeoutMs"] = 5000
    await bench.add_target("m1", "model", begin_stream)
    await bench.add_target("t1", "plain", begin_large)
    await bench.start()
    for number in (signal.SIGKILL, signal.SIGABRT):
        for path in ("/long/1", "/read/1"):
            reader, writer = await begin_response(bench, path)
            bench.process.send_signal(number)
            await bench.process.wait()
            _, how = await read_to_end(reader)
            bench.say(f"{number.name}, {path}: {how}")
            writer.close()
            await bench.start_gateway()


async def stopped_gateway_http_1_0(bench):
    """The stop of a gateway ends before a response to an HTTP/1.0 caller does,
    or before the caller has read it."""
    bench.config["Routes"][0]["TimeoutMs"] = 5000
    bench.config["Routes"][1]["TimeoutMs"] = 5000
    await bench.add_target("m1", "model", begin_stream)
    await bench.add_target("t1", "plain", begin_large)
    bench.config["Routes"][1]["Backend"] = "large"
    bench.config["Backends"].append(
        {**bench.config["Backends"][0], "Name": "large"})
    await bench.add_target("l1", "large", send_large)
    await bench.start(grace_s=2)
    callers = {path: await begin_response(bench, path)
               for path in ("/long/1", "/read/1")}
    # Far more than the kernel's buffers hold.
    path = f"/book/{24 << 20}"
    callers[path] = await call_http_1_0(bench, path)
    await bench.until_logged("GATEWAY_ANSWERED")
    bench.terminate()
    await bench.process.wait()
    for path, (reader, writer) in callers.items():
        _, how = await read_to_end(reader)
        bench.say(f"{path}: {how}")
        writer.close()


async def unread_response_http_1_0(bench):
    """An HTTP/1.0 caller reads nothing of a large response until it is timed
    out: what it then finds is a part."""
    await bench.add_target("t1", "plain", send_large)
    await bench.start()
    reader, writer = await call_http_1_0(bench, f"/read/{24 << 20}")
    await asyncio.sleep(12.5)
    _, how = await read_to_end(reader)
    bench.say(f"timed out: {how}")
    writer.close()


async def whole_response_http_1_0(bench):
    """Whole responses to HTTP/1.0 callers end in order, and nothing of them is
    lost when the gateway ends before they are read."""
    events = [event(i) for i in range(40)]

    async def whole_stream(target, request, writer):
        await start_stream(request, writer)
        for e in events:
            writer.write(chunk(e))
            await asyncio.sleep(0.002)
        writer.write(b"0\r\n\r\n")
        return True

    await bench.add_target("m1", "model", whole_stream)
    await bench.add_target("t1", "plain", send_large)
    await bench.start(grace_s=2)

    def is_whole(path, data):
        body = data.partition(b"\r\n\r\n")[2]
        return body == (b"".join(events) if path.startswith("/long/")
                        else b"x" * LARGE_BYTES)

    async def kill():
        bench.process.kill()

    async def stop():
        bench.terminate()

    async def go_on():
        pass

    paths = ("/long/1", f"/read/{LARGE_BYTES}")
    for end in (go_on, stop, kill):
        callers = []
        for path in paths:
            callers.append((path, await call_http_1_0(bench, path, 1 << 20)))
            await bench.until_finished(f"a{bench.request_count}")
        await asyncio.sleep(0.3)
        await end()
        if end is not go_on:
            await bench.process.wait()
        for path, (reader, writer) in callers:
            data, how = await read_to_end(reader)
            bench.say(f"{end.__name__}, {path}: whole {is_whole(path, data)}, "
                      f"{how}")
            writer.close()
        if end is stop:
            await bench.start_gateway(grace_s=2)


def without_length(answer):
    """ANSWER as one that ends with its connection."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n")
             if not line.startswith(b"Content-Length:")]
    return b"\r\n".join(lines) + b"\r\n\r\n", body


async def cut_list_of_store(bench):
    """The store's answers have no length, and one to a call for the list of
    targets ends early: the gateway takes the first page for the whole list."""
    handle = bench.store.handle
    cut = {"after": None}

    class Pages:
        """Writes answers without a length, a page's revision first."""
        def __init__(self, writer, is_list):
            self.writer = writer
            self.is_list = is_list

        def write(self, data):
            head, body = without_length(data)
            if self.is_list:
                page = json.loads(body)
                body = json.dumps({"At": page["At"], "Entries": page["Entries"],
                                   "HasMore": page["HasMore"]}).encode()
                if page["HasMore"] and cut["after"] is not None:
                    body = body[:body.index(cut["after"]) + len(cut["after"])]
                    cut["after"] = None
            self.writer.write(head + body)

    async def handle_without_length(request, writer):
        is_list = (request.method == "GET" and "servers" in request.path
                   and "Watch" not in request.path)
        await handle(request, Pages(writer, is_list))
        await writer.drain()
        return False

    bench.store.handle = handle_without_length
    bench.store.page_size = 2
    for name in ("t1", "t2", "t3", "t4"):
        await bench.add_target(name, "plain", echo)
    for place in (b"", b"{", b'"At": ', b'"Entries": [{', b"}}]", b"}}], ",
                  b'"HasMore"', b'"HasMore": tr', b'"HasMore": true'):
        cut["after"] = place
        bench.logs.clear()
        if bench.process is None:
            await bench.start()
        else:
            await bench.start_gateway()
        await asyncio.sleep(1)
        bench.say(f"cut after '{place.decode()}': "
                  f"{len(bench.logged('GATEWAY_TARGET_ADDED'))} targets")
        bench.process.kill()
        await bench.process.wait()


async def cut_load_report(bench):
    """An engine's reports to its observer have no length, and end early: none
    is taken for a whole one."""
    cut = {"after": None}

    class Engine(EngineStatus):
        async def handle(self, request, writer):
            if request.path == "/report" and cut["after"] is not None:
                head, body = without_length(answer(200, json.dumps(
                    {"Active": 9, "Queued": 7, "KvUsed": 1, "KvTotal": 2,
                     "born": 2, "Phase": "draining", "Runs": []}).encode()))
                writer.write(head + body[:cut["after"]])
                await writer.drain()
                return False
            return await super().handle(request, writer)

    await bench.add_target("m1", "model", begin_stream)
    await bench.start()
    engine = Engine("m1")
    await bench.observe(engine)
    before = len(bench.logs)
    for cut["after"] in range(0, 97, 6):
        count = len(engine.requests)

        async def asked():
            return len(engine.requests) > count + 1
        await bench.until(asked)
    names = {l["name"] for l in bench.logs[before:]
             if l["name"].startswith(("OBSERVER_ENGINE", "GATEWAY_TARGET"))}
    bench.say(f"seen of the engine meanwhile: {sorted(names)}")


async def reset_answers_without_length(bench):
    """A target resets the connection of an answer that has no length, after its
    first bytes or its last one, buffered or forwarded as it arrives, on a new
    connection or a kept one: it is not whole."""
    now = {}
    seen = {}

    async def script(target, request, writer):
        seen[writer] = seen.get(writer, 0) + 1
        if now["is_kept"] and not now["given"] and seen[writer] == 1:
            writer.write(signed(request, b"first"))
            return True
        now["sent"] += 1
        body = b"x" * now["size"]
        writer.write((HEAD.format(request.headers["attempt-id"])
                      + "\r\n").encode())
        if now["given"]:
            writer.write(body)
            await writer.drain()
            return False
        now["given"] += 1
        writer.write(body[:now["cut"]])
        await writer.drain()
        # What was written arrives before the reset.
        await asyncio.sleep(0.1)
        reset_connection(writer)
        return False

    async def call(path, version):
        """Status and body of the response; 0 if it does not end as a whole
        one."""
        head = bench.head("GET" if path.startswith("/r") else "POST", path,
                          b"" if path.startswith("/r") else b"x")
        status, _, body = await bench.raw(head.replace(b"HTTP/1.1", version, 1))
        return status, body

    # Targets that fail are avoided.
    cases = [(kind, size, cut, is_kept, version)
             for kind in ("read", "book") for size in (4, LARGE_BYTES)
             for cut in (2, size) for is_kept in (False, True)
             for version in (b"HTTP/1.1", b"HTTP/1.0")]
    for i, (kind, _, _, _, _) in enumerate(cases):
        for name in ("a", "b"):
            await bench.add_target(f"{name}{i}", f"s{i}", script)
        bench.config["Routes"].append(
            {**bench.config["Routes"][kind == "book"], "Name": f"r{i}",
             "PathPrefix": f"/{kind[0]}{i}/", "Backend": f"s{i}"})
        bench.config["Backends"].append(
            {**bench.config["Backends"][0], "Name": f"s{i}"})
    await bench.start(retry_ratio=1, retry_slack=1000)
    for i, (kind, size, cut, is_kept, version) in enumerate(cases):
        now.update(given=0, sent=0, size=size, cut=cut, is_kept=is_kept)
        for _ in range(9):
            status, body = await call(f"/{kind[0]}{i}/1", version)
            if now["given"]:
                break
        if status == 200:
            got = "whole" if body == b"x" * size else "a part as the whole"
        else:
            got = "no success" if status else "cut"
        bench.say(f"{kind}, {'large' if size > 4 else 'small'}, reset after "
                  f"{'all' if cut == size else 'the first'} bytes, "
                  f"{'kept' if is_kept else 'new'}, "
                  f"{version.decode()}: {status} {got}, sent "
                  f"{now['sent']} times")


async def ending_targets_without_length(bench):
    """The process of a target ends within an answer that has no length, killed
    or by SIGTERM, and its kernel closes the connection in order, as after the
    whole answer."""
    async def start(name, how):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(HERE, "ending_target.py"), name,
            how, stdout=asyncio.subprocess.PIPE)
        port = int(await process.stdout.readline())
        await bench.store.put("servers", name, {
            "Backend": "plain" if name[0] == "t" else "model",
            "Zone": "zone-a", "Capacity": 6, "Address": f"127.0.0.1:{port}",
            "Version": "v1", "Phase": "ready", "WarmupLeftMs": 0, "born": 1})
        return process

    bench.config["Routes"][0]["TimeoutMs"] = 5000
    await bench.start(retry_ratio=1)
    for number in (signal.SIGKILL, signal.SIGTERM):
        for path in ("/tag/1", "/long/1", "/read/1"):
            kind = "t" if path == "/read/1" else "m"
            name = f"{kind}{len(bench.logs)}"
            first = await start(name, "part")
            second = None
            try:
                await bench.until_logged("GATEWAY_TARGET_ADDED", target=name)
                caller = asyncio.ensure_future(bench.send(
                    "GET" if kind == "t" else "POST", path,
                    b"" if kind == "t" else b"x",
                    **({} if kind == "t" else GEN_HEADERS)))
                await first.stdout.readline()
                second = await start(name + "b", "all")
                await bench.until_logged("GATEWAY_TARGET_ADDED",
                                         target=name + "b")
                first.send_signal(number)
                status, _, body = await caller
            finally:
                for process in (first, second):
                    if process and process.returncode is None:
                        process.kill()
                        await process.wait()
            got = (f"{body.count(b'data:')} of 20 events" if kind == "m"
                   else f"{len(body)} of 480000 bytes")
            bench.say(f"{number.name}, {path}: {status}, {got}")
            for gone in (name, name + "b"):
                await bench.store.remove("servers", gone)
                await bench.until_logged("GATEWAY_TARGET_LEAVING", target=gone)
