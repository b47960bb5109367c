"""Callers on plain sockets, which tell apart a complete response, a part of
one and none."""

import json
import socket
import threading
import time

from caller import HEADERS

TIMEOUT_S = 60
RESET_TIMEOUT_S = 5
RESET_POLL_S = 0.05
TCP_CLOSE_WAIT = 8  # the peer has closed and sent no reset


class RawCaller(threading.Thread):
    """Sends one request on a connection of its own and reads until the
    response is complete or the connection ends."""

    def __init__(self, address, method, path, body="", headers=None,
                 name=None):
        super().__init__(daemon=True)
        self.label = name or f"{method} {path}"
        self.sock = socket.create_connection(address, timeout=TIMEOUT_S)
        self.request = encode(method, path, body, headers)
        self.data = bytearray()
        self.error = None
        self.unanswered = False

    def run(self):
        try:
            self.exchange()
        finally:
            self.sock.close()

    def exchange(self):
        """Send the request and read the response; true if it is complete."""
        self.data = bytearray()
        try:
            self.sock.sendall(self.request)
            while not is_complete(self.data):
                block = self.sock.recv(65536)
                if not block:
                    self.unanswered = bool(self.data) or was_read(self.sock)
                    return False
                self.data += block
            return True
        except OSError as error:
            self.error = error
            self.unanswered = bool(self.data)
            return False

    def wait_end(self, timeout=TIMEOUT_S):
        self.join(timeout)
        assert not self.is_alive(), f"{self.label}: no end"
        return self

    @property
    def complete(self):
        return is_complete(self.data)

    @property
    def status(self):
        return int(self.data[9:12]) if self.data else None

    @property
    def outcome(self):
        """The outcome in the last error of the response, or None."""
        text = body_of(self.data)
        start = text.rfind('{"error":')
        if start < 0:
            return None
        return json.JSONDecoder().raw_decode(text[start:])[0]["error"][
            "outcome"]

    def seen(self):
        return (self.label, self.complete, self.status, self.outcome,
                self.error, bytes(self.data[-80:]))


def encode(method, path, body="", headers=None):
    head = "".join(f"{name}: {value}\r\n"
                   for name, value in {**HEADERS, **(headers or {})}.items())
    return (f"{method} {path} HTTP/1.1\r\nHost: e\r\n{head}"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


def generation(mark, tokens, stream):
    return json.dumps({"model": "m", "prompt": f"{mark} len={tokens}",
                       "max_tokens": tokens + 100, "stream": stream})


def was_read(sock):
    """Whether the peer, which has shut down its sending direction, had read all
    that was sent to it.  Otherwise its kernel sends a reset when the peer closes
    the socket, which may be later."""
    until = time.monotonic() + RESET_TIMEOUT_S
    while sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO,
                          1)[0] == TCP_CLOSE_WAIT:
        if time.monotonic() > until:
            return True
        time.sleep(RESET_POLL_S)
    return False


def is_complete(data):
    head_end = data.find(b"\r\n\r\n")
    if head_end < 0:
        return False
    for line in data[:head_end].lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(data) >= head_end + 4 + int(line[15:])
        if line.startswith(b"transfer-encoding:"):
            return data.endswith(b"\r\n0\r\n\r\n")
    return False


def body_of(data):
    """The text of the body; the sizes of chunks stay in it."""
    return data.partition(b"\r\n\r\n")[2].decode(errors="replace")


def wait_until(at):
    time.sleep(max(0, at - time.monotonic()))
