"""Tests of the checker: it reports each injected violation, and only those."""

import copy
import unittest

from checker import check


def generation(mark, stream, n=3, **changes):
    tokens = [[stream, i, f"101-{stream[:8]}-{i} "] for i in range(n)]
    return {"kind": "generation", "mark": mark, "tokens": tokens,
            "outcome": "done", "total": n, **changes}


def call(path, outcome, method="POST"):
    return {"kind": "call", "path": path, "outcome": outcome,
            "method": method}


def stream(stream_id, mark, at_ms=1000):
    return {"id": stream_id, "prompt_head": mark, "at_ms": at_ms}


def engine(*streams):
    return {"target": "e0", "kind": "engine", "boot": 101,
            "streams": list(streams)}


def service(*paths, at_ms=1000):
    return {"target": "s0", "kind": "service",
            "calls": [{"path": p, "key": "k", "at_ms": at_ms} for p in paths]}


A = "aaaaaaaabbbb"
B = "bbbbbbbbcccc"
RECORDS = [generation("p1", A), generation("p2", B), call("/a", "done"),
           call("/b", "unknown"), call("/c", "not_run"),
           call("/d", "refused"), call("/e", "done", "GET")]
AUDITS = [engine(stream(A, "p1"), stream(B, "p2")),
          service("/a", "/b", "/e", "/e")]


class CheckerTest(unittest.TestCase):
    """Each test injects one violation, or a case that is none."""

    def setUp(self):
        self.records = copy.deepcopy(RECORDS)
        self.audits = copy.deepcopy(AUDITS)

    def expect(self, *starts, **keywords):
        found = check(self.records, self.audits, **keywords)
        self.assertEqual([f[:len(s)] for f, s in zip(found, starts)],
                         list(starts))
        self.assertEqual(len(found), len(starts), found)

    def test_clean(self):
        self.expect(drained_at={"e0": 900, "s0": 900})

    def test_token_twice(self):
        tokens = self.records[0]["tokens"]
        tokens.insert(1, tokens[1])
        self.records[0]["total"] = 4
        self.expect("P1 p1: offsets", "P1 p1: tokens are not once")

    def test_token_missing(self):
        del self.records[0]["tokens"][1]
        self.expect("P1 p1: offsets", "P1 p1: tokens are not once",
                    "P1 p1: done with 2 of 3")

    def test_order(self):
        self.records[0]["tokens"].reverse()
        self.expect("P1 p1: offsets", "P1 p1: tokens are not once")

    def test_text_under_another_offset(self):
        tokens = self.records[0]["tokens"]
        tokens[1][2], tokens[2][2] = tokens[2][2], tokens[1][2]
        self.expect("P1 p1: tokens are not once")

    def test_two_generations(self):
        self.records[0]["tokens"][2][2] = "102-aaaaaaaa-2 "
        self.expect("P1 p1: tokens of several", "P2 p1: no engine ran")

    def test_two_streams(self):
        self.records[0]["tokens"][2][0] = "another"
        self.expect("P1 p1: positions")

    def test_torn_token(self):
        self.records[0]["tokens"][2][2] = "101-aaaa"
        self.expect("P1 p1: a token is not whole")

    def test_short_but_done(self):
        self.records[0]["total"] = 4
        self.expect("P1 p1: done with 3 of 4")

    def test_cut_is_not_complete(self):
        self.records[0].update(outcome="interrupted", total=None)
        self.expect()

    def test_crossed_answers(self):
        first, second = self.records[:2]
        first["tokens"], second["tokens"] = second["tokens"], first["tokens"]
        self.expect("P2 p1: tokens of another", "P2 p2: tokens of another")

    def test_generation_of_two_callers(self):
        self.records[1]["tokens"] = copy.deepcopy(self.records[0]["tokens"])
        self.expect("P2 p2: tokens of another", "P2 p2: tokens of a gen")

    def test_invented(self):
        del self.audits[0]["streams"][0]
        self.expect("P2 p1: no engine ran")

    def test_audit_cut_short(self):
        del self.audits[0]["streams"][0]
        self.audits[0]["cut"] = True
        self.expect()

    def test_refused_generation_ran(self):
        self.records[0].update(tokens=[], outcome="refused", total=None)
        self.expect("P3 p1: refused, but it ran")

    def test_not_run_ran(self):
        self.audits[1]["calls"] += service("/c")["calls"]
        self.expect("P3 /c: not_run")

    def test_refused_ran(self):
        self.audits[1]["calls"] += service("/d")["calls"]
        self.expect("P3 /d: refused")

    def test_twice(self):
        self.audits[1]["calls"] += service("/a")["calls"]
        self.expect("P4 /a: 2 effects")

    def test_unknown_twice(self):
        self.audits.append(service("/b"))
        self.expect("P4 /b: 2 effects")

    def test_done_without_effect(self):
        del self.audits[1]["calls"][0]
        self.expect("P4 /a: done without")

    def test_late_stream(self):
        self.audits[0]["streams"][0]["at_ms"] = 4001
        self.expect("P5 e0: 1 pieces", drained_at={"e0": 1000})

    def test_late_call(self):
        self.audits[1]["calls"][0]["at_ms"] = 4001
        self.expect("P5 s0: 1 pieces", drained_at={"s0": 1000})

    def test_planned_stop_cuts(self):
        self.records[0].update(outcome="interrupted", total=None)
        self.expect("P5 p1: interrupted", "P5 /b: unknown", "P5 /c: not_run",
                    planned_stops=True)


if __name__ == "__main__":
    unittest.main()
