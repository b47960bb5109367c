"""Misbehaving callers: malformed requests, slow writers and readers, and
callers that leave.  Each bad request gets its own error, streams without a
reader are cancelled, and other callers' streams are not affected."""

import http.client
import json
import socket
import time

from caller import HEADERS
from cluster import wait_for

RESUME_S = 2  # the side cancels a stream that has had no reader for this time
BODY_MAX = 1 << 20
TOKENS = 500


def run(s):
    c = s.start(engines=2, services=1, engine_flags=["--token-ms", "10"],
                side_settings={"resume_s": RESUME_S})
    good = [s.generate(f"good{k}", entries=(k % 2,), tokens=TOKENS)
            for k in range(4)]
    for caller in good:
        caller.wait_tokens(5)
    address = c.entries[0]
    open_sockets = [_slow_writer(address) for _ in range(8)]
    open_sockets += [_slow_reader(address, k) for k in range(4)]
    _check_bad_requests(s, address)
    _disconnect(s, c, address)
    for caller in good:
        caller.wait_end()
    s.judge(all(x.outcome == "done" and x.record["connections"] == 1
                for x in good),
            "the other callers' streams are complete and unaffected",
            [(x.outcome, x.record["error"]) for x in good])
    for sock in open_sockets:
        sock.close()
    wait_for("every stream of a caller that left has ended",
             lambda: not _running(c, "slow-reader"))
    s.say("slow readers that left: their streams have ended")
    after = s.generate("after", tokens=20).wait_end()
    s.judge(after.outcome == "done", "the entry still serves")


def _check_bad_requests(s, address):
    """Each kind of bad request gets its status and error code."""
    ask = json.dumps({"model": "m", "prompt": "p"})
    key = {**HEADERS, "Authorization": "Bearer wrong"}
    for text, headers, body, status, code in (
            ("wrong key", key, ask, 401, "unauthorized"),
            ("truncated JSON", HEADERS, ask[:-3], 400, "bad_request"),
            ("a number for the prompt", HEADERS,
             '{"model":"m","prompt":7}', 400, "bad_request"),
            ("unknown model", HEADERS, '{"model":"x","prompt":"p"}', 404,
             "model_not_found"),
            ("oversize body", HEADERS,
             json.dumps({"model": "m", "prompt": "p" * (2 * BODY_MAX)}), 413,
             "body_too_large")):
        got, answer = _send_refused(address, body, headers)
        seen = (got, json.loads(answer)["error"]["code"])
        s.judge(seen == (status, code), f"{text}: {status} {code}", seen)
    many_headers = {**HEADERS,
                    **{f"X-Flood-{k}": "f" * 1000 for k in range(100)}}
    got, _ = _send_refused(address, ask, many_headers)
    s.judge(got in (414, 431), "too many headers: refused", got)


def _send_refused(address, body, headers):
    """Return status and text of the refusal of a request.  The entry may refuse
    it and close while it is being sent; the refusal must be readable then."""
    conn = http.client.HTTPConnection(*address, timeout=10)
    try:
        try:
            conn.request("POST", "/v1/completions", body, headers)
        except (BrokenPipeError, ConnectionResetError):
            pass
        response = conn.getresponse()
        return response.status, response.read().decode()
    finally:
        conn.close()


def _connect(address):
    return socket.create_connection(address, timeout=10)


def _slow_writer(address):
    """Send half of a request and nothing more."""
    sock = _connect(address)
    sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Len")
    return sock


def _stream(address, mark, tokens):
    sock = _connect(address)
    body = json.dumps({"model": "m", "prompt": f"{mark} len={tokens}",
                       "max_tokens": tokens, "stream": True})
    head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    sock.sendall(f"POST /v1/completions HTTP/1.1\r\nHost: e\r\n{head}"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
    return sock


def _slow_reader(address, k):
    """Start a stream and do not read it."""
    return _stream(address, f"slow-reader{k}", TOKENS)


def _running(c, head):
    return [x for audit in c.audits() for x in audit.get("streams", [])
            if x["prompt_head"].startswith(head)
            and not x["cancelled"] and not x["ended"]]


def _disconnect(s, c, address):
    """A caller reads a few events, disconnects and does not resume."""
    sock = _stream(address, "gone", 4000)
    text = b""
    while text.count(b"data: ") < 5:
        text += sock.recv(4096)
    sock.close()
    left = time.monotonic()
    wait_for("the engine's stream is cancelled",
             lambda: not _running(c, "gone"))
    took = time.monotonic() - left
    cancelled = [x for audit in c.audits() for x in audit.get("streams", [])
                 if x["prompt_head"] == "gone" and x["cancelled"]]
    s.judge(len(cancelled) == 1 and took >= RESUME_S * 0.8,
            "a caller that left: its stream is cancelled after the resume "
            "period", (len(cancelled), took))
