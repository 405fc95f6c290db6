"""Engines that turn requests away with 503 and ask for rest: the instance that
was asked sends them nothing until it is over."""

import itertools
import time
import unittest

import cut_off_site
import harness

REST_S = 2.0
# Aim: one, for requests that are on their way when the word comes.
MOST_WITHIN_REST = 1
CALLERS = 4


class Rest(cut_off_site.CutOffTest):

    def rest(self, engines, seconds=REST_S):
        for engine in engines:
            engine.mode = "decline"
            engine.rest_s = seconds

    def ask_kinds(self, daemon, prefix, seconds):
        """Callers of all kinds of requests at once; their statuses."""
        end = time.monotonic() + seconds
        statuses = []

        def call():
            for path, stream in itertools.cycle(cut_off_site.KINDS.items()):
                if time.monotonic() >= end:
                    return
                request = f"{prefix}-{next(self.numbers)}"
                statuses.append(self.ask(daemon, path, request, stream)[0])

        callers = [harness.Background(call) for _ in range(CALLERS)]
        for each in callers:
            each.result()
        return statuses

    def arrivals(self, engine, prefix):
        return [at for at, request in list(engine.arrived)
                if request.startswith(prefix)]

    def most_within_a_rest(self, engine, prefix, rest_s):
        """Arrivals between half a second after one that was turned away and the
        end of the rest that it was told, at the most."""
        arrived = self.arrivals(engine, prefix)
        return max((sum(told + 0.5 < at < told + rest_s for at in arrived)
                    for told in arrived), default=0)

    def check_rests(self, resting, instances=1, seconds=2 * REST_S):
        self.begin(instances)
        self.rest(self.engines[:resting])
        asked = [harness.Background(self.ask_kinds, daemon, f"n{number}",
                                    seconds)
                 for number, daemon in enumerate(self.fleet)]
        statuses = [status for each in asked for status in each.result()]
        for number, _ in enumerate(self.fleet):
            for engine in self.engines[:resting]:
                self.assertLessEqual(
                    self.most_within_a_rest(engine, f"n{number}", REST_S),
                    MOST_WITHIN_REST)
        return statuses

    def test_one_rests_gets_nothing_and_callers_are_served(self):
        self.assertEqual(set(self.check_rests(1)), {200})

    def test_asked_by_each_of_two_instances_gets_nothing_from_either(self):
        self.assertEqual(set(self.check_rests(1, instances=2)), {200})

    def test_all_rest_refused_at_once_with_the_time_that_is_left(self):
        self.begin(1)
        self.rest(self.engines)
        daemon = self.fleet[0]
        self.ask_kinds(daemon, "told", 0.3)
        for engine in self.engines:
            self.assertTrue(engine.arrived)
        began = time.monotonic()
        status, headers, _ = self.ask(daemon, "/o/x", "last")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - began, 0.2)
        # Neither long before the rests end nor long after.
        self.assertGreater(float(headers["retry-after"]), REST_S - 1.0)
        self.assertLess(float(headers["retry-after"]), REST_S + 1.0)
        for engine in self.engines:
            self.assertEqual(self.arrivals(engine, "last"), [])

    def test_rest_is_over_gets_work_again(self):
        self.begin(1)
        resting = self.engines[0]
        self.rest([resting], 0.75)
        self.ask_kinds(self.fleet[0], "told", 0.5)
        self.assertTrue(self.arrivals(resting, "told"))
        resting.mode = ""
        harness.wait_until(
            lambda: self.ask_kinds(self.fleet[0], "again", 0.3)
            and self.arrivals(resting, "again"), "it gets work")

    def test_refusal_without_a_time_is_no_rest(self):
        self.begin(1)
        self.rest(self.engines[:1], None)
        self.ask_kinds(self.fleet[0], "told", 1.0)
        self.assertGreater(len(self.arrivals(self.engines[0], "told")), 2)


if __name__ == "__main__":
    unittest.main()
