"""The same order with one Idempotency-Key through several daemons runs at most
once.

A caller's connection breaks, it sends the order again, and the balancer gives
it to another daemon. The order desk's count by body is the witness: each order
has its own body, and no count may pass one.
"""

import itertools
import unittest

import harness


class IdempotencyKey(harness.SiteTest):

    # Long enough that no key expires within a test; new instances can vouch
    # only after it, so a test begins with waiting for that.
    KEY_LIFETIME_MS = 15000
    FIRST_BYTE_MS = 5000

    def setUp(self):
        super().setUp()
        self.desk = self.service("orders", "s1")
        self.publish()
        # Twice as many as a key has witnesses: half of the keys have none of
        # theirs in a given daemon, and only claims can protect these.
        for number in range(6):
            self.daemon(f"d{number}")
        self.publish_instances()
        self.numbers = itertools.count()

    def new_order(self):
        return {"order": next(self.numbers)}

    def submit(self, daemon, order):
        """The order's key is its number."""
        return harness.ask(daemon.address, "/orders", order,
                           headers={"Idempotency-Key": str(order["order"])})

    def runs_of(self, order):
        return self.desk.runs()["bodies"].get(harness.json.dumps(order), 0)

    def check(self, order, *answers):
        runs = self.runs_of(order)
        self.assertLessEqual(runs, 1, answers)
        done = [answer for answer in answers if answer.end == "done"]
        self.assertLessEqual(len(done), 1, answers)
        if done:
            self.assertEqual(runs, 1, answers)
        # "Not run" is about this submission: with all of them refused so, the
        # order must not have run at all.
        if answers and all(answer.ran == "no" for answer in answers):
            self.assertEqual(runs, 0, answers)

    def wait_until_vouched(self):
        """Until each daemon runs a new order."""
        for daemon in self.daemons:
            refusals = set()

            def runs():
                answer = self.submit(daemon, self.new_order())
                refusals.add(answer.kind)
                return answer.end == "done"

            harness.wait_until(runs, f"an order is run; refused: {refusals}")

    def test_again_later_and_at_once_through_other_daemons(self):
        first, second, third = self.daemons[:3]
        self.wait_until_vouched()

        order = self.new_order()
        answers = [self.submit(first, order), self.submit(second, order),
                   self.submit(first, order)]
        self.assertEqual([answer.kind for answer in answers],
                         [None, "key_already_used", "key_already_used"])
        self.check(order, *answers)

        changed = harness.ask(second.address, "/orders", {"order": "changed"},
                              headers={"Idempotency-Key": str(order["order"])})
        self.assertEqual((changed.kind, changed.ran),
                         ("key_of_other_request", "no"))
        self.assertEqual(self.runs_of({"order": "changed"}), 0)

        ran = 0
        for _ in range(20):
            order = self.new_order()
            calls = [harness.Background(self.submit, daemon, order)
                     for daemon in (first, second, third)]
            answers = [call.result() for call in calls]
            self.check(order, *answers)
            ran += self.runs_of(order)
        self.assertGreater(ran, 0)

    def test_holder_killed_while_the_orders_run(self):
        """The caller sees its connections break and turns to the next daemon,
        while the order desk still works on the orders."""
        holder, other = self.daemons[:2]
        self.wait_until_vouched()
        self.desk.mode(delay_ms=3000)
        orders = [self.new_order() for _ in range(12)]
        broken = [harness.Background(self.submit, holder, order)
                  for order in orders]
        harness.wait_until(
            lambda: all(self.runs_of(order) == 1 for order in orders),
            "the orders run")
        holder.signal(harness.signal.SIGKILL)
        holder.wait()
        self.assertEqual({call.result().end for call in broken}, {"cut"})
        again = [self.submit(other, order) for order in orders]
        self.assertEqual({answer.ran for answer in again}, {"no"}, again)
        self.assertIn("key_held_elsewhere", {answer.kind for answer in again})
        for order in orders:
            self.assertEqual(self.runs_of(order), 1)

    def test_holder_paused_with_the_orders_in_its_socket(self):
        """The paused daemon wakes late and finds orders that the caller has
        long given to another one."""
        holder, other = self.daemons[:2]
        self.wait_until_vouched()
        orders = [self.new_order() for _ in range(12)]
        holder.signal(harness.signal.SIGSTOP)
        late = [harness.Background(self.submit, holder, order)
                for order in orders]
        answers = [self.submit(other, order) for order in orders]
        self.assertIn("done", {answer.end for answer in answers}, answers)
        holder.signal(harness.signal.SIGCONT)
        for order, answer, call in zip(orders, answers, late):
            self.check(order, answer, call.result())

    def test_two_instances_replaced_without_memory(self):
        """Two of those who may remember the order are replaced; the new ones
        know nothing, and at least one of three witnesses stays."""
        first, second, third = self.daemons[:3]
        self.wait_until_vouched()
        order = self.new_order()
        answers = [self.submit(first, order)]
        self.assertEqual(answers[0].end, "done", answers[0])
        for daemon in (first, second):
            daemon.signal(harness.signal.SIGKILL)
            daemon.wait()
            self.daemons.remove(daemon)
            self.daemon(settings=daemon.settings)
        for daemon in self.daemons:
            again = self.submit(daemon, order)
            self.assertEqual((again.end, again.ran), ("error", "no"), again)
        self.assertEqual(self.runs_of(order), 1)


if __name__ == "__main__":
    unittest.main()
