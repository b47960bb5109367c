"""The object API does not respond while an entry stops.  A call with a key and
changes of the configuration, which wait for it, get a complete response that
is true, and later changes are refused."""

import threading
import time

from cluster import OPERATOR_KEY
from rawcaller import RawCaller

DRAIN_S = 4
OPERATOR = {"Authorization": "Bearer " + OPERATOR_KEY}


def run(s):
    c = s.start(entries=1, engines=0, services=1,
                entry_settings={"drain_s": DRAIN_S})
    address = c.entries[0]
    version = c.config_version(0)
    c.store_fault(stall=True)
    callers = [
        RawCaller(address, "POST", "/svc/shop/key", "{}",
                  {"Idempotency-Key": "key"}, name="key"),
        RawCaller(address, "POST", "/v1/operator/change",
                  "set account caller weight 3", OPERATOR, name="change"),
        RawCaller(address, "POST", "/v1/operator/change",
                  "set account caller weight 4", OPERATOR, name="change 2")]
    late = RawCaller(address, "POST", "/v1/operator/change",
                     "set account caller weight 5", OPERATOR, name="late")
    for caller in callers:
        caller.start()
        time.sleep(0.1)
    entry = c["entry0"]
    started = time.monotonic()
    entry.terminate()
    threading.Timer(DRAIN_S / 2, late.start).start()
    code = entry.popen.wait(30)
    took = time.monotonic() - started
    for caller in callers:
        caller.wait_end()
        s.judge(caller.complete and caller.outcome in ("unknown", "not_run"),
                f"{caller.label}: a complete response, unknown or not run",
                caller.seen())
    late.wait_end()
    s.judge(late.complete and late.outcome in ("refused", "not_run"),
            "a change during the stop: refused", late.seen())
    s.judge(code == 0 and took < DRAIN_S + 1.5,
            "the entry exits with code 0 at the end of the drain time",
            (code, took))
    c.store_fault(stall=False)
    c.start_entry(0)
    c.wait_ready(0)
    s.judge(s.effects("/key") == 0, "the call with the key did not run")
    not_run = [x.label for x in callers[1:] if x.outcome == "not_run"]
    written = c.config_version(0) - version
    s.judge(written <= len(callers) - 1 - len(not_run),
            "no change that was reported as not run is in force",
            (written, not_run))
