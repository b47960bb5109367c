"""Callers that write down what they got."""

import http.client
import json
import threading
import time

from cluster import ACCOUNT_KEY, http_call

HEADERS = {"Authorization": "Bearer " + ACCOUNT_KEY,
           "Content-Type": "application/json"}
LONG_S = 60  # longest wait of a caller


class Generation(threading.Thread):
    """Asks for one generation and records its tokens, in RECORD.

    A streamed one whose connection breaks is resumed at the next of
    ADDRESSES, after the last event that came."""

    def __init__(self, mark, addresses, tokens=20, whole=False, extra="",
                 class_name=None, silence_s=LONG_S, resumes=3, resume_cut=False,
                 limit=None):
        super().__init__(daemon=True)
        self.addresses = addresses
        self.silence_s = silence_s
        self.resumes = resumes
        self.resume_cut = resume_cut  # also after "interrupted"
        self.body = {"model": "m", "prompt": f"{mark} {extra} len={tokens}",
                     "max_tokens": limit or tokens + 100, "stream": not whole}
        if class_name:
            self.body["class"] = class_name
        self.record = {"kind": "generation", "mark": mark, "whole": whole,
                       "tokens": [], "outcome": None, "total": None,
                       "error": None, "status": None, "connections": 0,
                       "streams": []}
        self.last_id = None
        self.changed = threading.Condition()
        self.ended_at = None

    def run(self):
        try:
            for k in range(1 + self.resumes):
                address = self.addresses[k % len(self.addresses)]
                if k > 0 and self.last_id is None and not self._refused:
                    break
                if self._connect(address):
                    break
        finally:
            with self.changed:
                self.ended_at = time.monotonic()
                if self.record["outcome"] is None:
                    self.record["outcome"] = "cut"
                self.changed.notify_all()

    _refused = False

    def _connect(self, address):
        """One connection; true when the answer has its end."""
        conn = http.client.HTTPConnection(*address, timeout=self.silence_s)
        self._refused = False
        self.record["connections"] += 1
        try:
            if self.last_id is None:
                conn.request("POST", "/v1/completions", json.dumps(self.body),
                             HEADERS)
            else:
                conn.request("GET", "/v1/streams/resume", None,
                             {**HEADERS, "Last-Event-ID": self.last_id})
            return self._read(conn.getresponse())
        except ConnectionRefusedError:
            self._refused = True
            time.sleep(0.1)
            return False
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def _read(self, answer):
        self.record["status"] = answer.status
        if answer.getheader("Content-Type", "") != "text/event-stream":
            return self._take_whole(answer)
        name = event_id = None
        while line := answer.readline():
            line = line.decode().rstrip("\r\n")
            if line.startswith("event: "):
                name = line[7:]
            elif line.startswith("id: "):
                event_id = line[4:]
            elif line.startswith("data: "):
                self._take_event(name, event_id, line[6:])
                if line == "data: [DONE]":
                    return True
                if name == "error":
                    return not self.resume_cut
                name = event_id = None
        return False

    def _take_whole(self, answer):
        body = json.loads(answer.read().decode())
        with self.changed:
            if "error" in body:
                self._fail(body["error"])
                return True
            stream = body["id"].removeprefix("cmpl-")
            words = body["choices"][0]["text"].split(" ")[:-1]
            self.record["tokens"] = [[stream, i, word + " "]
                                     for i, word in enumerate(words)]
            self.record["total"] = body["usage"]["completion_tokens"]
            self.record["outcome"] = body["outcome"]
            self.changed.notify_all()
        return True

    def _take_event(self, name, event_id, data):
        if data == "[DONE]":
            return
        event = json.loads(data)
        with self.changed:
            if name == "error":
                self._fail(event["error"])
            elif event_id is not None:
                _, _, stream, offset = event_id.rsplit("~", 3)
                self.last_id = event_id
                self.record["tokens"].append(
                    [stream, int(offset), event["choices"][0]["text"]])
            else:
                self.record["outcome"] = event["outcome"]
                self.record["total"] = event["usage"]["completion_tokens"]
            self.changed.notify_all()

    def _fail(self, error):
        self.record["error"] = error
        self.record["outcome"] = error["outcome"]

    # ---- for scenarios ----

    @property
    def count(self):
        return len(self.record["tokens"])

    @property
    def outcome(self):
        return self.record["outcome"]

    def wait_tokens(self, n, timeout=LONG_S):
        with self.changed:
            ok = self.changed.wait_for(
                lambda: self.count >= n or self.ended_at, timeout)
        assert ok and self.count >= n, \
            f"{self.record['mark']}: {self.count} of {n} tokens, " \
            f"{self.outcome} {self.record['error']}"
        return self

    def wait_end(self, timeout=LONG_S):
        with self.changed:
            ok = self.changed.wait_for(lambda: self.ended_at, timeout)
        assert ok, f"{self.record['mark']}: no end, {self.count} tokens"
        return self


def book(address, path, key=None, method="POST", deadline_ms=None,
         timeout=LONG_S):
    """Calls the service and returns the record of the answer."""
    headers = dict(HEADERS)
    if key:
        headers["Idempotency-Key"] = key
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    record = {"kind": "call", "path": path, "method": method, "key": key,
              "outcome": "cut", "status": None, "replayed": False,
              "error": None}
    started = time.monotonic()
    try:
        status, got, text = http_call(address, method, "/svc/shop" + path,
                                      "{}", headers, timeout)
    except (OSError, http.client.HTTPException):
        return record
    finally:
        record["took_s"] = time.monotonic() - started
    got = {name.lower(): value for name, value in got.items()}
    record["status"] = status
    record["replayed"] = got.get("x-replayed") == "true"
    record["body"] = text
    record["outcome"] = got.get("x-outcome")
    if record["outcome"] is None:
        record["error"] = json.loads(text)["error"]
        record["outcome"] = record["error"]["outcome"]
    return record


class Booking(threading.Thread):
    """The same in a thread of its own; the answer is in RECORD."""

    def __init__(self, *args, **keywords):
        super().__init__(daemon=True)
        self.args = args
        self.keywords = keywords
        self.record = None

    def run(self):
        self.record = book(*self.args, **self.keywords)

    def wait_end(self, timeout=LONG_S):
        self.join(timeout)
        assert self.record, f"{self.args[1]}: no answer"
        return self.record


def ticket(address):
    """A ticket of the pool, or None."""
    status, _, text = http_call(address, "POST", "/v1/tickets",
                                '{"pool":"shop"}', HEADERS)
    return json.loads(text)["ticket"] if status == 200 else None
