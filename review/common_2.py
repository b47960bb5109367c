"""Fixture of the cases 6 to 10: one gateway, started with the command of the
deploy file and the settings that its template gives on a machine of
qfa-arcade, beside the project's stand-ins of the store and of servers."""

import asyncio
import copy
import os
import sys
import time

sys.dont_write_bytecode = True
ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "gateway"))

from bench import Bench  # noqa: E402

# deploy/system.toml, roles.gateway.run
PROGRAM = os.path.join(ROOT, "target", "build", "catkinvaled", "catkinvaled")
# Longest time of a case, below the 120 s that it may take.
CASE_TIMEOUT_S = 110
# Exit codes.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# platform/gateway.template, filled in from the settings of an edge machine of
# qfa-arcade; the addresses and ports are those of the fixture.
SETTINGS = {
    "instance": "edge-lhr-a-1", "failure_domain": "lhr-a",
    "memory_mb": 110, "descriptors": 4100, "grace_s": 8, "retry_ratio": 0.2,
    "regions": {"lhr-a": "pk-central", "lhr-b": "pk-central",
                "lhr-c": "pk-central"},
    "features": {name: "on" for name in (
        "base", "drain", "config", "cost", "retry", "recover", "engine",
        "stream", "tenants", "platform")},
    "retry_slack": 54}

# Bounds of qfa-arcade.
CONTACT_S = 3.0
DRAIN_S = 2.0

# The engines and the limits are those of the example of the configuration that
# `fleetbench wire` prints for qfa-arcade.
ENGINE = {"Capacity": 24, "KvCapacity": 34286, "KvTokenBytes": 35136,
          "BandwidthMbps": 5100.0, "Migrations": True, "Backups": True,
          "Stride": 4, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
          "SessionTtlS": 5.0, "Models": [{"Name": "m"}]}
CONFIG = {
    "Version": 7,
    "Routes": [
        {"Name": "r-summary", "Hostname": "a.example",
         "PathPrefix": "/summary/", "RouteType": "streaming",
         "TimeoutMs": 39000, "TargetLatencyMs": 1800, "Priority": 1,
         "Backend": "narrator", "MaxAttempts": 1, "Public": False,
         "SessionAffinity": True, "StreamResume": False, "ItlTargetMs": 180},
        {"Name": "r-tag", "Hostname": "a.example", "PathPrefix": "/tag/",
         "RouteType": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 1500,
         "Priority": 0, "Backend": "narrator", "MaxAttempts": 2,
         "Public": False, "SessionAffinity": True, "StreamResume": True,
         "ItlTargetMs": 180},
        {"Name": "r-fetch", "Hostname": "a.example", "PathPrefix": "/fetch/",
         "RouteType": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 100,
         "Priority": 2, "Backend": "portal", "MaxAttempts": 2,
         "Public": False},
    ],
    "Backends": [
        {"Name": "narrator", "HealthPath": "/healthz", "MaxConnections": 272,
         "Protocol": "h1", "Tls": False, "Engine": ENGINE},
        {"Name": "portal", "HealthPath": "/healthz", "MaxConnections": 100,
         "Protocol": "h1", "Tls": False},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "acme", "ApiKeys": ["key-1"], "Priority": 1}],
}
READY = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"


def route(config, name):
    return next(r for r in config["Routes"] if r["Name"] == name)


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def say(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")
        self.out.flush()


class Case:
    """What a case uses: the fixture, the record, and whether the disruption
    takes place."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.say = self.record.say
        self.now = self.record.now
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.bench = Bench(PROGRAM)
        self.bench.stderr = asyncio.subprocess.DEVNULL
        self.bench.config = copy.deepcopy(CONFIG)

    def route(self, name):
        return route(self.bench.config, name)

    async def start(self):
        """Start the gateway, and the store if it was not started."""
        if self.bench.store.server is None:
            await self.bench.store.start()
        await self.bench.store.put("config", "main", self.bench.config)
        await self.bench.start_gateway(**SETTINGS)
        self.say("gateway is ready")

    async def is_ready(self):
        status, _, _ = await self.bench.raw(READY, "ready")
        return status == 200


async def run(play, folder):
    case = Case(folder)
    case.say(f"TROUBLE={1 if case.trouble else 0}")
    try:
        code = await asyncio.wait_for(play(case), CASE_TIMEOUT_S)
    except Exception as error:  # the case could not run
        case.say(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        for process in (case.bench.process, *case.bench.observers):
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        case.bench.directory.cleanup()
    case.say({HELD: "the rule held", BROKEN: "the rule was broken",
              NOT_RUN: "the case could not run"}[code])
    return code


def main(play, file):
    """Play a case, a coroutine function (Case) that returns an exit code, in
    the folder of FILE."""
    folder = os.path.dirname(os.path.abspath(file))
    if not os.access(PROGRAM, os.X_OK):
        print(f"{PROGRAM} is not built", file=sys.stderr)
        sys.exit(NOT_RUN)
    code = asyncio.run(run(play, folder))
    sys.stdout.flush()
    os._exit(code)
