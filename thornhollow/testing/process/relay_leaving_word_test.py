"""Engines that say in their answers that they leave, which the store doesn't
know or tell: they get no new work from any instance."""

import itertools
import time
import unittest

import cut_off_site
import harness

# After an instance has passed on the word, and after another one has.
AT_ONCE_S = 0.25
ELSEWHERE_S = 1.0
KINDS = itertools.cycle(cut_off_site.KINDS.items())


class LeavingWord(cut_off_site.CutOffTest):

    def ask_any(self, daemon, prefix):
        path, stream = next(KINDS)
        request = f"{prefix}-{next(self.numbers)}"
        return self.ask(daemon, path, request, stream)[:2]

    def ask_until_told(self, daemon, leaver, prefix="told"):
        """Until an answer of the leaver has come; returns when."""
        def told():
            self.ask_any(daemon, prefix)
            return any(request.startswith(prefix)
                       for _, request in list(leaver.arrived))
        harness.wait_until(told, "the leaver answers")
        return time.monotonic()

    def ask_all(self, daemons, prefix, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for daemon in daemons:
                self.assertEqual(self.ask_any(daemon, prefix)[0], 200)

    def arrivals(self, engine, prefix):
        return [request for _, request in engine.arrived
                if request.startswith(prefix)]

    def leaver(self):
        leaver = self.engines[0]
        leaver.says_leaving = True
        return leaver

    def check_no_new_work(self, store_refuses):
        self.begin(3)
        self.store.refuse = store_refuses
        leaver = self.leaver()
        first, *others = self.fleet
        told_at = self.ask_until_told(first, leaver)
        time.sleep(max(0, told_at + AT_ONCE_S - time.monotonic()))
        self.ask_all([first], "same", 0.5)
        self.assertEqual(self.arrivals(leaver, "same"), [])
        time.sleep(max(0, told_at + ELSEWHERE_S - time.monotonic()))
        self.ask_all(others, "other", 1.0)
        self.assertEqual(self.arrivals(leaver, "other"), [])

    def test_store_still_lists_it_as_ready_no_new_work(self):
        self.check_no_new_work(store_refuses=False)

    def test_store_does_not_answer_no_new_work(self):
        self.check_no_new_work(store_refuses=True)

    def test_said_by_a_refusal_no_new_work(self):
        self.begin(1)
        leaver = self.leaver()
        leaver.mode = "decline"
        self.ask_until_told(self.fleet[0], leaver)
        self.ask_all(self.fleet, "same", 0.5)
        self.assertEqual(self.arrivals(leaver, "same"), [])

    def test_said_to_an_instance_that_forwards_no_new_work(self):
        self.begin(2)
        leaver = self.leaver()
        cut_off = self.fleet[0]
        self.cut([cut_off], "reset")
        self.ask_until_told(cut_off, leaver)
        self.heal([cut_off])
        # Requests go to the engines directly again.
        harness.wait_until(
            lambda: self.ask_any(cut_off, "heal") and
            any(line["request"].startswith("heal") and not line["via"]
                for line in cut_off.events("request_done")),
            "contact is back")
        self.ask_all([cut_off], "same", 0.5)
        self.assertEqual(self.arrivals(leaver, "same"), [])

    def test_all_leave_refused_at_once_and_not_run(self):
        self.begin(1)
        for engine in self.engines:
            engine.says_leaving = True

        def all_told():
            self.ask_any(self.fleet[0], "told")
            return all(engine.arrived for engine in self.engines)

        harness.wait_until(all_told, "each says that it leaves")
        began = time.monotonic()
        status, headers = self.ask_any(self.fleet[0], "last")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertLess(time.monotonic() - began, 0.2)
        for engine in self.engines:
            self.assertEqual(self.arrivals(engine, "last"), [])

    def test_started_again_at_the_same_address_gets_work(self):
        self.begin(1)
        leaver = self.leaver()
        self.ask_until_told(self.fleet[0], leaver)
        leaver.says_leaving = False
        leaver.born += 1
        self.store.put(f"servers/{leaver.name}", leaver.entry())
        self.ask_until_told(self.fleet[0], leaver, "again")


if __name__ == "__main__":
    unittest.main()
