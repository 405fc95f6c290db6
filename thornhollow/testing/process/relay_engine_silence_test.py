"""A sound engine falls silent for a second and goes on: what it runs isn't
repeated elsewhere, and it is used as before."""

import time
import unittest

import harness
import relay_site

SILENCE_S = 1.1
TARGET_MS = 150


class EngineSilence(relay_site.RelayTest):

    def begin(self):
        routes = relay_site.document(1)["routes"]
        for route in routes:
            route["target_latency_ms"] = TARGET_MS
        self.store.put("op/config", relay_site.document(1, routes=routes))
        self.engines = [self.engine(f"i-{number}") for number in range(3)]
        for engine in self.engines:
            engine.slow_on = b"slow"
            engine.slow_s = SILENCE_S

    def check(self, path, stream):
        self.begin()
        daemon = self.daemon()
        status, _, _ = self.ask(daemon, path, "slow-1", stream=stream,
                                body=b"slow")
        self.assertEqual(status, 200)
        # A repeat that began meanwhile would have been counted by now.
        time.sleep(0.2)
        self.assertEqual(self.runs("slow-1"), 1)

    def test_of_a_second_before_an_answer_repeats_nothing(self):
        self.check("/l/x", stream=False)

    def test_of_a_second_before_a_stream_repeats_nothing(self):
        self.check("/s/x", stream=True)

    def test_of_a_second_condemns_no_instance_or_engine(self):
        self.begin()
        daemon = self.daemon()
        open_ones = [harness.Background(self.ask, daemon, "/l/x", f"a{number}",
                                        False, "k1", b"slow")
                     for number in range(6)]
        time.sleep(SILENCE_S / 2)
        for number in range(6):
            self.assertEqual(
                self.ask(daemon, "/l/x", f"b{number}")[0], 200)
        for each in open_ones:
            self.assertEqual(each.result()[0], 200)
        self.assertEqual(daemon.events("endpoint_contact"), [])
        self.assertEqual(daemon.events("domain_doubted"), [])
        self.assertEqual(sum(len(engine.ran) for engine in self.engines), 12)


if __name__ == "__main__":
    unittest.main()
