"""A cluster of stand-ins, entries and sides on a private loopback network."""

import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import loopback
from relay import Relay

OPERATOR_KEY = "operator-key"
ACCOUNT_KEY = "caller-key"
LIFETIME_S = 170  # stand-ins exit after this time
READY_TIMEOUT_S = 40
STOP_TIMEOUT_S = 40  # longer than the drain_s of the settings
POLL_INTERVAL_S = 0.05


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


def http_call(address, method, path, body=None, headers=None, timeout=10):
    """Return (status, headers, text); raise OSError or HTTPException."""
    conn = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        response = conn.getresponse()
        return (response.status, dict(response.getheaders()),
                response.read().decode())
    finally:
        conn.close()


def wait_for(text, condition, timeout=READY_TIMEOUT_S):
    """Poll CONDITION until it is true and return its value."""
    until = time.monotonic() + timeout
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > until:
            raise AssertionError(f"timeout: {text}")
        time.sleep(POLL_INTERVAL_S)


class Process:
    """A child process; its output is appended to the file LOG."""

    def __init__(self, name, command, log):
        self.name = name
        self.log = open(log, "ab")
        self.popen = subprocess.Popen(command, stdout=self.log,
                                      stderr=self.log)
        self.killed = False

    def signal(self, number):
        self.popen.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def unfreeze(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.killed = True
        self.popen.kill()
        self.popen.wait()

    def terminate(self):
        self.signal(signal.SIGTERM)

    def running(self):
        return self.popen.poll() is None

    def stop(self):
        """Stop the process; false if it had to be killed or failed."""
        if self.killed:
            return True
        if self.running():
            self.unfreeze()
            self.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_S) == 0
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return False


class Cluster:
    """ENTRIES entries, and ENGINES engines and SERVICES services with a side
    each.  If RELAYS is set, entry 0 connects to sides, and sides connect to
    targets, through relays."""

    def __init__(self, build, entries=2, engines=2, services=1, relays=False,
                 engine_flags=(), service_flags=(), side_settings=None,
                 entry_settings=None):
        self.build = build
        self.dir = tempfile.mkdtemp(prefix="cv-process-")
        self.net, self.net_lock = loopback.reserve()
        self.relays = relays
        self.engine_flags = list(engine_flags)
        self.service_flags = list(service_flags)
        self.side_settings = side_settings or {}
        self.entry_settings = entry_settings or {}
        self.store = self.address(0, 1, 9000)
        self.lists = [self.address(0, 2, 9000)]
        if relays:
            self.lists.append(self.address(0, 3, 9000))
        self.entries = [self.address(1, i + 1, 8080) for i in range(entries)]
        self.targets = {}
        for i in range(engines):
            self._add_target(f"e{i}", "engine", "llm", i + 1)
        for i in range(services):
            self._add_target(f"s{i}", "service", "shop", engines + i + 1)
        self.processes = {}
        self.link_relays = {}
        self.target_relays = {}
        self.killed_audits = []
        self.drained_at = {}  # time of the drain request in ms, by target
        self.boot = 100
        self.bad_stops = []
        self.lifetime = LIFETIME_S

    def address(self, group, host, port):
        return (f"127.{self.net}.{group}.{host}", port)

    def _add_target(self, name, kind, pool, host):
        self.targets[name] = {
            "kind": kind, "pool": pool, "host": host,
            "wire": self.address(2, host, 7000),
            "control": self.address(2, host, 7001),
            "url": self.address(3, host, 9100)}

    # ---- start ----

    def start(self, config=None):
        """Start all processes, install CONFIG (None: the one of config()) and
        wait until the entries are ready.  False: install none, do not wait."""
        self._start_standin("store", "store", self.store)
        for i, address in enumerate(self.lists):
            self._start_standin(f"list{i}", "instances", address)
        for name in self.targets:
            self.start_target(name)
        for name in self.targets:
            self.start_side(name)
        for name in self.targets:
            self.list_target(name)
        for i in range(len(self.entries)):
            self.start_entry(i)
        for i in range(len(self.entries)):
            self._put_instance(f"entry{i}", "", "entry", self.entries[i],
                               "live")
        if config is not False:
            self.install(config or self.config())
            for i in range(len(self.entries)):
                self.wait_ready(i)

    def _spawn(self, name, command):
        process = Process(name, command, os.path.join(self.dir, name + ".log"))
        self.processes[name] = process
        return process

    def _start_standin(self, name, kind, address, flags=()):
        self._spawn(name, [
            os.path.join(self.build, "tests/standins/standin-" + kind),
            "--bind", address[0], "--port", str(address[1]),
            "--lifetime-s", str(self.lifetime), *flags])
        wait_for(f"{name} responds",
                 lambda: http_call(address, "GET", "/healthz")[0] == 200)

    def start_target(self, name):
        target = self.targets[name]
        flags = self.service_flags
        if target["kind"] == "engine":
            self.boot += 1
            flags = ["--boot", str(self.boot), *self.engine_flags]
        self._start_standin("target-" + name, target["kind"], target["url"],
                            flags)

    def _settings(self, name, settings):
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out, indent=1)
        return path

    def start_side(self, name):
        target = self.targets[name]
        url = target["url"]
        if self.relays and name not in self.target_relays:
            self.target_relays[name] = Relay(
                self.address(5, target["host"], 9100), url)
        if self.relays:
            url = self.target_relays[name].address
        settings = {
            "role": "side", "target": name, "pool": target["pool"],
            "failure_domain": "fd-1", "kind": target["kind"],
            "wire": _endpoint(target["wire"]),
            "control": _endpoint(target["control"]),
            "target_url": {"url": _url(url), "timeout_ms": 5000},
            "resume_s": 10, "drain_s": 30, **self.side_settings}
        self._start_daemon("side-" + name, settings)

    def start_entry(self, i):
        settings = {
            "role": "entry", "instance": f"entry{i}", "failure_domain": "fd-1",
            "http": _endpoint(self.entries[i]),
            "store": {"url": _url(self.store), "timeout_ms": 1000},
            "instance_list": {"url": _url(self._list_of(i)),
                              "timeout_ms": 1000},
            "operator_key_hash": key_hash(OPERATOR_KEY),
            "keepalive_ms": 500, "instance_poll_ms": 200, "drain_s": 30,
            **self.entry_settings}
        self._start_daemon(f"entry{i}", settings)

    def _start_daemon(self, name, settings):
        self._spawn(name, [os.path.join(self.build, "catkinvaled/catkinvaled"),
                           self._settings(name, settings)])

    def _list_of(self, i):
        return self.lists[1 if self.relays and i == 0 else 0]

    def _put_instance(self, name, pool, role, address, state, lists=None):
        body = json.dumps({"id": name, "pool": pool, "role": role,
                           "failure_domain": "fd-1", "address": address[0],
                           "port": address[1], "state": state})
        for where in lists or self.lists:
            status, _, _ = http_call(where, "PUT", "/v1/instances/" + name,
                                     body)
            assert status == 200, f"{name} is listed"

    def list_target(self, name, state="live"):
        """Put a target into the instance lists; entry 0 sees its relay."""
        target = self.targets[name]
        self._put_instance(name, target["pool"], "target", target["wire"],
                           state, self.lists[:1])
        if not self.relays:
            return
        if name not in self.link_relays:
            self.link_relays[name] = Relay(
                self.address(4, target["host"], 7000), target["wire"])
        self._put_instance(name, target["pool"], "target",
                           self.link_relays[name].address, state,
                           self.lists[1:])

    def unlist(self, name):
        """Remove a target from the instance lists: entries see it draining and
        send new work to the others until it is listed again."""
        for where in self.lists:
            http_call(where, "DELETE", "/v1/instances/" + name)

    # ---- configuration and operators ----

    def config(self, **account):
        """Return a configuration; ACCOUNT has fields of the client account."""
        caller = {"key_hash": key_hash(ACCOUNT_KEY), "class": "live"}
        return {
            "pools": {"llm": {"kind": "engine", "max_batch": 16,
                              "kv_tokens": 65536},
                      "shop": {"kind": "service"}},
            "models": {"m": {"pool": "llm", "version": "1",
                             "max_tokens": 16384}},
            "classes": {
                "live": {"priority": 50, "first_token_ms": 20000,
                         "max_tokens": 8192},
                "report": {"priority": 40, "first_token_ms": 20000,
                           "max_tokens": 8192, "buffered": True}},
            "accounts": {"caller": {**caller, **account}}}

    def operator(self, entry, method, path, body=None, headers=None,
                 timeout=15):
        status, answered, text = http_call(
            self.entries[entry], method, "/v1/operator/" + path, body,
            {"Authorization": "Bearer " + OPERATOR_KEY, **(headers or {})},
            timeout)
        return status, answered, json.loads(text)

    def install(self, config):
        def put():
            status, _, _ = self.operator(0, "PUT", "document",
                                         json.dumps(config),
                                         {"X-Base-Version": "0"})
            # 409: a configuration is there already, as after a try whose
            # response was lost.
            return status in (200, 409)
        wait_for("the configuration is installed", put)

    def rows(self, entry, thing="targets"):
        return self.operator(entry, "POST", "query", f"show {thing}")[2]

    def target_row(self, entry, name):
        for row in self.rows(entry)["rows"]:
            if row["name"] == name:
                return row
        return {"state": "absent", "config": "0"}

    def config_version(self, entry):
        status, _, text = http_call(self.entries[entry], "GET", "/healthz")
        return json.loads(text)["config_version"] if status == 200 else 0

    def wait_state(self, entry, name, state, timeout=READY_TIMEOUT_S):
        wait_for(f"entry{entry} sees {name} {state}",
                 lambda: self.target_row(entry, name)["state"] == state,
                 timeout)

    def wait_ready(self, entry):
        """Wait until the entry serves and sees all targets live and
        configured."""
        def ready():
            rows = self.rows(entry)["rows"]
            return (self.config_version(entry) > 0
                    and len(rows) == len(self.targets)
                    and all(row["state"] == "live" and int(row["config"]) > 0
                            for row in rows))
        wait_for(f"entry{entry} is ready", ready)

    # ---- faults ----

    def __getitem__(self, name):
        return self.processes[name]

    def fault(self, address, **switches):
        http_call(address, "POST", "/fault", json.dumps(switches))

    def store_fault(self, **switches):
        self.fault(self.store, **switches)

    def store_audit(self):
        return json.loads(http_call(self.store, "GET", "/audit")[2])

    def drain(self, name):
        """Request draining of a target at its side's control address."""
        status, _, _ = http_call(self.targets[name]["control"], "POST",
                                 "/leave", "{}")
        assert status == 202, f"{name} accepts the drain request"
        self.note_drain(name)

    def note_drain(self, name):
        self.drained_at[name] = time.monotonic() * 1000

    def audit(self, name):
        target = self.targets[name]
        seen = json.loads(http_call(target["url"], "GET", "/audit")[2])
        return {"target": name, "kind": target["kind"], **seen}

    def kill_target(self, name):
        """Kill the target with SIGKILL; its audit is read just before."""
        self.killed_audits.append({**self.audit(name), "cut": True})
        self["target-" + name].kill()

    def audits(self):
        """The audits of all running targets and of killed ones."""
        found = list(self.killed_audits)
        for name in self.targets:
            if self["target-" + name].running():
                found.append(self.audit(name))
        return found

    # ---- stop ----

    def stop(self):
        """Stop all processes; return the names of those that failed."""
        failed = []
        daemons = [p for n, p in self.processes.items()
                   if n.startswith(("entry", "side-"))]
        for process in daemons:
            if process.running():
                process.unfreeze()
                process.terminate()
        for process in daemons:
            if not process.stop():
                failed.append(process.name)
        for process in self.processes.values():
            if process not in daemons and not process.stop():
                failed.append(process.name)
        for relay in [*self.link_relays.values(),
                      *self.target_relays.values()]:
            relay.close()
        self.net_lock.close()
        return failed

    def logs(self, lines=6):
        """The last lines of each process's log."""
        text = []
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".log"):
                with open(os.path.join(self.dir, name),
                          errors="replace", encoding="utf-8") as log:
                    text += [f"{name}: {line.rstrip()}"
                             for line in log.readlines()[-lines:]]
        return "\n".join(text)

    def remove_files(self):
        shutil.rmtree(self.dir, ignore_errors=True)


def _endpoint(address):
    return {"address": address[0], "port": address[1]}


def _url(address):
    return f"http://{address[0]}:{address[1]}"
