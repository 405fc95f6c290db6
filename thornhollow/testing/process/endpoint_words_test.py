"""What endpoints say of themselves in answers holds on the own interface too:
one that leaves, or wants rest, gets no new work."""

import time
import unittest

import harness

REST_S = 2.0


class EndpointWords(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.speaker = self.service("lookups", "s1")
        self.other = self.service("lookups", "s2")
        self.daemon = self.site()

    def ask(self):
        answer = harness.ask(self.daemon.address, "/lookups", {"item": "cots"})
        self.assertEqual(answer.status, 200, answer)

    def arrived(self):
        totals = self.speaker.runs()["totals"]
        return totals["runs"] + totals["declined"]

    def ask_until_arrived(self):
        before = self.arrived()
        self.ask_until(lambda: self.arrived() > before, "it is asked", self.ask)

    def arrivals_while_asking(self, seconds):
        before = self.arrived()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.ask()
        return self.arrived() - before

    def test_says_in_an_answer_that_it_leaves_no_new_work(self):
        self.speaker.mode(says_leaving=True)
        self.ask_until_arrived()
        self.assertEqual(self.arrivals_while_asking(1.0), 0)

    def test_asks_for_rest_gets_nothing_until_it_is_over(self):
        self.speaker.mode(decline=True, rest_ms=int(REST_S * 1000))
        self.ask_until_arrived()
        self.assertEqual(self.arrivals_while_asking(REST_S - 0.5), 0)
        self.speaker.mode()
        self.ask_until_arrived()


if __name__ == "__main__":
    unittest.main()
