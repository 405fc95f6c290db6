"""A non-idempotent request is sent again only after a proven "not run".

Two order desks stand behind one service. One of them fails in a chosen way. An
order that reached it must not be booked by the other one as well, unless the
first one said, or the failure proves, that nothing was run.
"""

import itertools
import unittest

import harness


class Resend(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.faulty = self.service("orders", "s1", proxied=True)
        self.other = self.service("orders", "s2")
        self.numbers = itertools.count()
        self.sent = []

    def order(self, daemon):
        body = {"order": next(self.numbers)}
        answer = harness.ask(daemon.address, "/orders", body)
        self.assert_sound(answer)
        self.sent.append((harness.json.dumps(body), answer))
        return answer

    def order_until(self, daemon, condition, what):
        return self.ask_until(condition, what, lambda: self.order(daemon))

    def runs_of(self, body):
        return sum(service.runs()["bodies"].get(body, 0)
                   for service in (self.faulty, self.other))

    def check_each_at_most_once(self):
        for body, answer in self.sent:
            runs = self.runs_of(body)
            self.assertLessEqual(runs, 1, (body, answer))
            self.assert_truthful(answer, runs)

    def hit(self):
        return self.faulty.proxy.get("/test/connections")["accepted"] > 0

    def test_declined_sent_again_and_run_once(self):
        daemon = self.site()
        self.faulty.mode(decline=True)
        self.order_until(
            daemon, lambda: self.faulty.runs()["totals"]["declined"] > 0,
            "the faulty desk declined an order")
        self.check_each_at_most_once()
        self.assertEqual({answer.status for _, answer in self.sent}, {200})

    def test_refused_connection_sent_again_and_run_once(self):
        daemon = self.site()
        self.faulty.proxy.mode(fault="refuse")
        for _ in range(10):
            self.order(daemon)
        self.check_each_at_most_once()
        self.assertEqual({answer.status for _, answer in self.sent}, {200})

    def check_not_sent_again(self, fault, runs):
        """The order that struck the fault ends as "maybe" and is left alone."""
        daemon = self.site()
        fault()
        self.order_until(daemon, self.hit, "an order reached the faulty desk")
        self.check_each_at_most_once()
        body, answer = self.sent[-1]
        self.assertEqual(answer.ran, "maybe", answer)
        self.assertEqual(self.runs_of(body), runs, answer)

    def test_crashed_after_the_run_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.mode(crash_after_run=True), runs=1)

    def test_crashed_before_the_run_unproven_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.mode(crash_before_run=True), runs=0)

    def test_frozen_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.mode(freeze=True), runs=0)

    def test_status_500_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.mode(error_status=500), runs=0)

    def test_cut_in_the_answer_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.mode(cut_after_tokens=10), runs=1)

    def test_wrong_identifier_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.mode(wrong_id_header=True), runs=1)

    def test_half_the_request_not_sent_again(self):
        self.check_not_sent_again(
            lambda: self.faulty.proxy.mode(
                fault="reset", direction="up", after_bytes=50), runs=0)


class ResendIdempotent(harness.SiteTest):

    def test_crash_idempotent_call_is_answered_by_the_other(self):
        faulty = self.service("lookups", "s1")
        self.service("lookups", "s2")
        daemon = self.site()
        faulty.mode(crash_after_run=True)

        answers = self.ask_until(
            lambda: faulty.runs()["totals"]["runs"] > 0,
            "a call reached the faulty service",
            lambda: harness.ask(daemon.address, "/lookups", {"item": "cots"}))
        for answer in answers:
            self.assert_sound(answer)
            self.assertEqual(answer.status, 200, answer)


if __name__ == "__main__":
    unittest.main()
