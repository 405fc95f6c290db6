"""What another endpoint does that stands by for a silent attempt: it answers,
declines, fails, ends, or is silent as well."""

import time
import unittest

import harness
import relay_site

CALLERS = 12


class Handover(relay_site.RelayTest):

    def begin(self, engines=3, most=2, events=12, **options):
        routes = relay_site.document(1)["routes"]
        for route in routes:
            route["target_latency_ms"] = 150
            route["max_attempts"] = most
        self.store.put("op/config", relay_site.document(1, routes=routes))
        self.engines = [self.engine(f"i-{n}", events=events)
                        for n in range(engines)]
        for engine in self.engines:
            engine.event_gap_s = 0.1
        self.at = self.daemon(**options)

    def look_ups(self, body=b"body"):
        return [harness.Background(self.timed, f"l{n}", body)
                for n in range(CALLERS)]

    def timed(self, name, body):
        begun = time.monotonic()
        status = self.ask(self.at, "/l/x", name, body=body)[0]
        return status, round(time.monotonic() - begun, 1)

    def test_not_found(self):
        # Guards against a true answer that is dropped as it is no success.
        self.begin(most=3)
        for e in self.engines:
            def whole(call, status, body, o=e.whole, **k):
                return o(call, 404 if status == 200 else status, body, **k)
            e.whole = whole
        self.engines[0].running.clear()
        got = [each.result() for each in self.look_ups()]
        self.assertEqual({s for s, _ in got}, {404})
        self.assertLess(max(t for _, t in got), 6)

    def test_two_of_four_hung(self):
        self.begin(engines=4, most=4)
        for e in self.engines[:2]:
            e.running.clear()
        got = [each.result() for each in self.look_ups()]
        self.assertEqual({s for s, _ in got}, {200})
        self.assertLess(max(t for _, t in got), 8)

    def test_late_decline(self):
        # Guards against a late refusal that ends the attempt at work.
        self.begin(most=2)
        for e in self.engines[1:]:
            e.slow_on, e.slow_s = b"slow", 1.0
        self.engines[0].running.clear()
        asked = self.look_ups(b"slow")
        time.sleep(1.8)
        self.engines[0].mode = "decline"
        self.engines[0].running.set()
        got = [each.result() for each in asked]
        self.assertEqual({s for s, _ in got}, {200})

    def test_late_close_of_open_ended_stream(self):
        # Guards against a part of a stream that counts as whole.
        self.begin(most=2)
        for e in self.engines:
            e.ends_with_connection = True
        callers = [relay_site.StreamCaller(self, f"s{n}")
                   for n in range(CALLERS)]
        asked = [harness.Background(c.submit, self.at) for c in callers]
        time.sleep(0.5)
        for e in self.engines[1:]:
            e.slow_on, e.slow_s = b"body", 0.28
        self.engines[0].running.clear()
        time.sleep(1.46)
        self.engines[0].server.end()
        for each in asked:
            each.result()
        for c in callers:
            self.assertTrue(c.complete, c.numbers)

    def hold_one(self, body=b"body", most=4):
        """A look-up at the only engine, which stands still."""
        self.begin(engines=1, most=most)
        self.engines[0].running.clear()
        return harness.Background(self.timed, "held", body)

    def add(self, name):
        engine = self.engine(name)
        self.engines.append(engine)
        return engine

    def test_evidence_of_standby(self):
        # Guards against ends of endpoints that leave no evidence.
        asked = self.hold_one(b"poison", most=4)
        time.sleep(0.3)
        for n in range(1, 6):
            self.add(f"i-{n}").end_on = b"poison"
        time.sleep(5)
        suspected = self.at.events("request_suspected")
        for e in self.engines:
            e.running.set()
        try:
            asked.result()
        except OSError:
            pass
        self.assertEqual(len(suspected),
                         sum(len(e.ended) for e in self.engines))

    def test_second_one_hung_too(self):
        # Guards against a second silent one that keeps others from the request.
        asked = self.hold_one(most=4)
        time.sleep(0.3)
        self.add("i-1").running.clear()
        time.sleep(1.7)
        for n in range(2, 5):
            self.add(f"i-{n}")
        got = asked.result()
        self.assertEqual(got[0], 200)

    def test_second_one_declines(self):
        # Guards against a request that waits for its deadline.
        asked = self.hold_one(most=4)
        time.sleep(0.3)
        declining = self.add("i-1")
        declining.mode = "decline"
        harness.wait_until(lambda: declining.arrived, "asked")
        for n in range(2, 5):
            self.add(f"i-{n}")
        got = asked.result()
        self.assertEqual(got[0], 200)

    def close_while_standby_works(self, most, open_ended):
        self.begin(engines=1, most=most)
        first = self.engines[0]
        first.ends_with_connection = open_ended
        caller = relay_site.StreamCaller(self, "s")
        asked = harness.Background(caller.submit, self.at)
        time.sleep(0.5)
        second = self.add("i-1")
        second.event_gap_s = 0.1
        second.events = 12
        second.ends_with_connection = open_ended
        second.slow_on, second.slow_s = b"body", 0.27
        first.running.clear()
        harness.wait_until(lambda: second.ran, "standby was sent")
        first.server.end()
        asked.result()
        self.assertEqual(caller.numbers, list(range(1, 13)))
        self.assertEqual(len(second.ran), 1)

    def test_close_chunked(self):
        self.close_while_standby_works(2, False)

    def test_close_open_ended(self):
        self.close_while_standby_works(2, True)


if __name__ == "__main__":
    unittest.main()
