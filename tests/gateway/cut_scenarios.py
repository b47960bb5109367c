"""Scenarios of targets that stop within an answer."""

import asyncio
import socket
import struct

from scenarios import GEN_HEADERS
from standins import chunk, event

HEAD = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nAttempt-Id: {}\r\n"
BODY = b"the whole body"
EVENTS = b"".join(event(i) for i in range(3))
# By name: method, path, the answer and the body that is whole.
ANSWERS = (
    ("length", "POST", "/book/1",
     HEAD + f"Content-Length: {len(BODY)}\r\n\r\n", BODY, BODY),
    ("chunks", "POST", "/book/1",
     HEAD + "Transfer-Encoding: chunked\r\n\r\n",
     chunk(BODY) + b"0\r\n\r\n", BODY),
    ("neither", "POST", "/book/1", HEAD + "\r\n", b"", None),
    ("informational", "POST", "/book/1",
     "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
     "HTTP/1.1 100 Continue\r\n\r\n" + HEAD
     + f"Content-Length: {len(BODY)}\r\n\r\n", BODY, BODY),
    ("no content", "POST", "/book/1",
     HEAD.replace("200 OK", "204 No Content") + "\r\n", b"", b""),
    ("head", "HEAD", "/read/1",
     HEAD + f"Content-Length: {len(BODY)}\r\n\r\n", b"", b""),
    ("stream", "POST", "/long/1",
     HEAD + "Content-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     chunk(EVENTS) + b"0\r\n\r\n", EVENTS),
)


def reset_connection(writer):
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def send_head_request(bench, headers):
    """Status of the answer to a HEAD request, which has no body."""
    reader, writer = await bench.connect()
    try:
        writer.write(bench.head("HEAD", "/read/1", **headers))
        line = await asyncio.wait_for(reader.readline(), 8)
        return int(line.split()[1]) if line else 0
    finally:
        writer.close()


def cut_places(size):
    """Numbers of bytes after which an answer of SIZE bytes is cut."""
    return sorted({*range(0, size, 7), *range(max(0, size - 6), size)})


async def cut_answers(bench):
    """A target stops within an answer, and closes or resets the connection: its
    caller never gets a success with a body that is not whole, framed as if it
    was."""
    cut = {"at": 0, "is_reset": False, "answer": None}

    async def script(target, request, writer):
        _, _, _, head, body, _ = cut["answer"]
        data = head.format(request.headers["attempt-id"]).encode() + body
        writer.write(data[:cut["at"]])
        await writer.drain()
        if cut["is_reset"]:
            # What was written arrives before the reset.
            await asyncio.sleep(0.002)
            reset_connection(writer)
        return False

    # Many, as those that failed are avoided.
    for i in range(40):
        await bench.add_target(f"t{i}", "plain", script)
        await bench.add_target(f"m{i}", "model", script)
    await bench.start(retry_slack=100000)
    for answer in ANSWERS:
        name, method, path, head, sent, whole = answer
        cut["answer"] = answer
        size = len(head.format("cut-0000")) + len(sent)
        reached, total, wrong = 0, 0, []
        for cut["is_reset"] in (False, True):
            for cut["at"] in cut_places(size):
                headers = {**(GEN_HEADERS if name == "stream" else {}),
                           "Attempt-Id": f"cut-{bench.request_count:04}",
                           "Deadline-Ms": "500"}
                if method == "HEAD":
                    status = await send_head_request(bench, headers)
                    body = b""
                else:
                    status, _, body = await bench.send(method, path, b"x",
                                                       **headers)
                total += 1
                reached += status != 503
                if 200 <= status < 300 and body != whole:
                    wrong.append((cut["at"], cut["is_reset"], status, body))
        bench.say(f"{name}: most reach a target {reached > total / 2}, not "
                  f"whole {wrong[:3]}")
