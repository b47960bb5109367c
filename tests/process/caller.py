"""Callers that record the responses they get."""

import http.client
import json
import threading
import time

from cluster import ACCOUNT_KEY, http_call

HEADERS = {"Authorization": "Bearer " + ACCOUNT_KEY,
           "Content-Type": "application/json"}
CALLER_TIMEOUT_S = 60


class Generation(threading.Thread):
    """Requests one generation and collects its tokens in self.record.

    MARK is the first word of the prompt, by which the audits of the engines
    ("prompt_head", up to 31 bytes) identify the request.  If the connection of
    a streamed one breaks, it is resumed at the next of ADDRESSES after the
    last event received."""

    def __init__(self, mark, addresses, tokens=20, non_streamed=False,
                 extra="", class_name=None, read_timeout_s=CALLER_TIMEOUT_S,
                 resumes=3, resume_interrupted=False, max_tokens=None):
        super().__init__(daemon=True)
        self.addresses = addresses
        self.read_timeout_s = read_timeout_s
        self.resumes = resumes
        # Resume after an "interrupted" error too.
        self.resume_interrupted = resume_interrupted
        self.body = {"model": "m", "prompt": f"{mark} {extra} len={tokens}",
                     "max_tokens": max_tokens or tokens + 100,
                     "stream": not non_streamed}
        if class_name:
            self.body["class"] = class_name
        self.record = {"kind": "generation", "mark": mark,
                       "non_streamed": non_streamed,
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
        """Use one connection; true if the response is complete."""
        conn = http.client.HTTPConnection(*address,
                                          timeout=self.read_timeout_s)
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

    def _read(self, response):
        self.record["status"] = response.status
        if response.getheader("Content-Type", "") != "text/event-stream":
            return self._read_non_streamed(response)
        name = event_id = None
        while line := response.readline():
            line = line.decode().rstrip("\r\n")
            if line.startswith("event: "):
                name = line[7:]
            elif line.startswith("id: "):
                event_id = line[4:]
            elif line.startswith("data: "):
                self._handle_event(name, event_id, line[6:])
                if line == "data: [DONE]":
                    return True
                if name == "error":
                    return not self.resume_interrupted
                name = event_id = None
        return False

    def _read_non_streamed(self, response):
        body = json.loads(response.read().decode())
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

    def _handle_event(self, name, event_id, data):
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

    def wait_tokens(self, n, timeout=CALLER_TIMEOUT_S):
        with self.changed:
            ok = self.changed.wait_for(
                lambda: self.count >= n or self.ended_at, timeout)
        assert ok and self.count >= n, \
            f"{self.record['mark']}: {self.count} of {n} tokens, " \
            f"{self.outcome} {self.record['error']}"
        return self

    def wait_end(self, timeout=CALLER_TIMEOUT_S):
        with self.changed:
            ok = self.changed.wait_for(lambda: self.ended_at, timeout)
        assert ok, f"{self.record['mark']}: no end, {self.count} tokens"
        return self


def book(address, path, key=None, method="POST", deadline_ms=None,
         timeout=CALLER_TIMEOUT_S):
    """Call the service and return the record of the response.  KEY is a key of
    the caller or a ticket: both are sent as Idempotency-Key."""
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
    """Runs book() in a thread; the result is in self.record."""

    def __init__(self, *args, **keywords):
        super().__init__(daemon=True)
        self.args = args
        self.keywords = keywords
        self.record = None

    def run(self):
        self.record = book(*self.args, **self.keywords)

    def wait_end(self, timeout=CALLER_TIMEOUT_S):
        self.join(timeout)
        assert self.record, f"{self.args[1]}: no response"
        return self.record


def ticket(address):
    """Return a ticket of the service pool, or None."""
    status, _, text = http_call(address, "POST", "/v1/tickets",
                                '{"pool":"shop"}', HEADERS)
    return json.loads(text)["ticket"] if status == 200 else None
