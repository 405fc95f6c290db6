"""Sound endpoints stand still longer than the silence timeout and go on: no
answer ends sooner than its endpoint ends it, unless another one goes on."""

import time
import unittest

import harness
import relay_site

ENGINES = 3
EVENTS = 12
EVENT_GAP_S = 0.1
CALLERS = 12
TARGET_MS = 150
# Above the timeout of 1.3 s, below the two seconds after which callers leave.
SILENCE_S = 1.7
# Until all endpoints have begun.
BEGUN_S = 0.5
NO_RETRIES = {"ratio": 0.0, "extra": 0}


class SilentEndpoint(relay_site.RelayTest):

    def begin(self, **options):
        routes = relay_site.document(1)["routes"]
        for route in routes:
            route["target_latency_ms"] = TARGET_MS
        self.store.put("op/config", relay_site.document(1, routes=routes))
        self.engines = [self.engine(f"i-{number}", events=EVENTS)
                        for number in range(ENGINES)]
        for engine in self.engines:
            engine.event_gap_s = EVENT_GAP_S
        self.at = self.daemon(**options)

    def read_streams(self):
        """Streams that begin now; their callers when all have ended."""
        callers = [relay_site.StreamCaller(self, f"s{number}")
                   for number in range(CALLERS)]
        return callers, [harness.Background(each.submit, self.at)
                         for each in callers]

    def look_ups(self):
        return [harness.Background(self.ask, self.at, "/l/x", f"l{number}")
                for number in range(CALLERS)]

    def check_whole(self, callers, asked):
        for each in asked:
            each.result()
        for each in callers:
            with self.subTest(each.name):
                self.assertTrue(each.complete, each.numbers)
                self.assertEqual(each.numbers, list(range(1, EVENTS + 1)))

    def runs(self):
        return [request for engine in self.engines for request in engine.ran]

    def streams_while_silent(self, engines):
        callers, asked = self.read_streams()
        time.sleep(BEGUN_S)
        self.stand_still(engines, SILENCE_S)
        self.check_whole(callers, asked)

    def test_streams_all_silent_and_no_retries_left_come_whole(self):
        self.begin(**NO_RETRIES)
        self.streams_while_silent(self.engines)
        self.assertEqual(len(self.runs()), CALLERS)

    def test_streams_all_silent_stay_where_they_are(self):
        # No other endpoint is better than the one that has the stream.
        self.begin()
        self.streams_while_silent(self.engines)
        self.assertEqual(len(self.runs()), CALLERS)

    def test_streams_some_silent_and_no_retries_left_come_whole(self):
        self.begin(**NO_RETRIES)
        self.streams_while_silent(self.engines[:2])
        self.assertEqual(len(self.runs()), CALLERS)

    def test_streams_some_silent_go_on_elsewhere(self):
        self.begin()
        callers, asked = self.read_streams()
        time.sleep(BEGUN_S)
        silent = self.engines[0]
        silent.running.clear()
        self.check_whole(callers, asked)
        self.assertGreater(len(self.runs()), CALLERS)

    def streams_while_others(self, mode):
        """One endpoint stands still, and the others are in this mode."""
        self.begin()
        callers, asked = self.read_streams()
        time.sleep(BEGUN_S)
        for engine in self.engines[1:]:
            engine.mode = mode
        self.stand_still(self.engines[:1], SILENCE_S)
        self.check_whole(callers, asked)

    def test_streams_others_decline_come_whole(self):
        self.streams_while_others("decline")

    def test_streams_others_fail_come_whole(self):
        self.streams_while_others("error")

    def test_streams_broken_while_all_others_silent_come_whole(self):
        self.begin()
        callers, asked = self.read_streams()
        time.sleep(BEGUN_S)
        for engine in self.engines[1:]:
            engine.running.clear()
        self.store.delete(f"servers/{self.engines[0].name}")
        self.engines[0].server.end()
        self.stand_still(self.engines[1:], 1.1)
        self.check_whole(callers, asked)

    def test_look_ups_all_silent_and_no_retries_left_are_answered(self):
        self.begin(**NO_RETRIES)
        for engine in self.engines:
            engine.running.clear()
        asked = self.look_ups()
        self.stand_still(self.engines, SILENCE_S)
        for each in asked:
            self.assertEqual(each.result()[0], 200)

    def test_look_up_one_silent_is_answered_elsewhere(self):
        self.begin()
        self.engines[0].running.clear()
        begun = time.monotonic()
        asked = self.look_ups()
        for each in asked:
            self.assertEqual(each.result()[0], 200)
        self.assertLess(time.monotonic() - begun, 4)


if __name__ == "__main__":
    unittest.main()
