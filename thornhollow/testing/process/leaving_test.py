"""A leaving endpoint receives no new work after a few seconds, and finishes
what it has.

It may be known by the list, by the endpoint's own word, or, with the list
frozen, by its word alone.
"""

import unittest

import harness


class Leaving(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.leaver = self.engine("e1")
        self.stayer = self.engine("e2")

    def accepted(self):
        totals = self.leaver.runs()["totals"]
        return totals["accepted"] + totals["declined"]

    def ask(self, daemon):
        answer = harness.chat(daemon.address, "notes", tokens=4)
        self.assert_sound(answer)
        self.assertEqual(answer.end, "done", answer)
        return answer

    def until_quiet(self, daemon, requests=20):
        """Sends until so many requests in a row passed the leaver by."""
        def quiet():
            before = self.accepted()
            for _ in range(requests):
                self.ask(daemon)
            return self.accepted() == before

        # Without this a router that prefers the other engine would pass.
        self.assertGreater(self.accepted(), 0)

        harness.wait_until(quiet, "the leaver gets no new work")

    def stays_quiet(self, daemon, requests=60):
        before = self.accepted()
        for _ in range(requests):
            self.ask(daemon)
        self.assertEqual(self.accepted(), before)

    def start_with_list(self):
        daemon = self.site()
        self.publish_instances()
        self.ask_until(lambda: self.accepted() > 0, "the leaver has work",
                       lambda: self.ask(daemon))
        return daemon

    def test_by_the_list_no_new_work(self):
        daemon = self.start_with_list()
        self.publish_instances(leaving=["e1"])
        self.until_quiet(daemon)
        self.stays_quiet(daemon)

    def test_by_its_own_word_no_new_work(self):
        daemon = self.start_with_list()
        self.leaver.mode(leaving=True)
        self.until_quiet(daemon)
        self.stays_quiet(daemon)

    def test_list_frozen_and_its_own_word_no_new_work(self):
        daemon = self.start_with_list()
        self.platform.mode(list_frozen=True)
        self.publish_instances(leaving=["e1"])
        self.leaver.mode(leaving=True)
        self.until_quiet(daemon)
        self.stays_quiet(daemon)

    def test_stream_in_progress_on_the_leaver_is_finished_there(self):
        daemon = self.site()
        self.publish_instances()

        def long_one():
            return harness.Background(harness.chat, daemon.address, "notes",
                                      tokens=1500)

        calls = self.ask_until(lambda: self.accepted() > 0,
                               "the leaver has a stream", long_one)
        self.publish_instances(leaving=["e1"])
        self.leaver.mode(leaving=True)
        for call in calls:
            answer = call.result()
            self.assert_sound(answer)
            self.assertEqual(answer.end, "done", answer)
        totals = self.leaver.runs()["totals"]
        self.assertEqual(totals["cancelled"], 0)
        self.assertEqual(totals["finished"], totals["runs"])

    def test_back_on_the_list_gets_work_again(self):
        daemon = self.start_with_list()
        self.publish_instances(leaving=["e1"])
        self.until_quiet(daemon)
        self.publish_instances()
        before = self.accepted()
        self.ask_until(lambda: self.accepted() > before,
                       "the returned engine has work",
                       lambda: self.ask(daemon))

    def test_daemon_paused_across_the_change_sends_nothing_on_old_beliefs(self):
        """The daemon stands still while the endpoint leaves, and wakes with a
        request in its socket and a list of yesterday."""
        daemon = self.start_with_list()
        daemon.signal(harness.signal.SIGSTOP)
        self.publish_instances(leaving=["e1"])
        calls = [harness.Background(self.ask, daemon) for _ in range(10)]
        daemon.signal(harness.signal.SIGCONT)
        for call in calls:
            call.result()
        self.until_quiet(daemon)
        self.stays_quiet(daemon)


if __name__ == "__main__":
    unittest.main()
