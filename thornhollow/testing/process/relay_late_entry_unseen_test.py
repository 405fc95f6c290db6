"""An endpoint that starts again under its name as another software version,
while its entry still tells the old one, and instances that had no connection to
it: nothing of theirs broke."""

import time
import unittest

from two_versions_site import ByWayOfAnother, TwoVersions

# All streams of a test begin in less time.
SLOW_REPORT_S = 5.0


class Unseen(TwoVersions):

    def test_stream_taken_up_there_gets_no_events_of_the_new_process(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.restart_as(self.engines[1], "v2")
        self.take_up(callers, self.fleet[1])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))

    def test_stream_begun_there_goes_on_nowhere_else(self):
        self.begin()
        self.restart_as(self.engines[1], "v2")
        callers = self.begin_streams(self.fleet[0])
        self.engines[1].mode = "decline"
        self.engines[0].mode = ""
        self.take_up(callers, self.fleet[1])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))

    def test_stream_broken_off_goes_on_at_no_new_process(self):
        self.begin()
        self.restart_as(self.engines[1], "v2")
        callers = self.broken_off_streams(self.fleet[0])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))

    def test_streams_go_on_while_endpoints_answer_the_question(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.take_up(callers, self.fleet[1])
        self.assert_go_on(callers)
        self.assertGreater(sum(each.reports for each in self.engines), 0)

    def test_stream_waits_for_no_answer_to_its_first_event(self):
        self.begin()
        for engine in self.engines:
            engine.report_after_s = SLOW_REPORT_S
        began = time.monotonic()
        self.begin_streams(self.fleet[0], events=1)
        self.assertLess(time.monotonic() - began, SLOW_REPORT_S)


class UnseenByWayOfAnother(ByWayOfAnother):

    def begin(self):
        super().begin()
        self.engines[1].version = "v2"
        self.engines[1].process_born = self.engines[1].born + 1

    def test_stream_broken_off_there_goes_on_at_no_new_process(self):
        self.begin()
        callers = self.broken_off_streams(self.fleet[0])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))

    def test_stream_begun_and_taken_up_there_has_one_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.take_up(callers, self.fleet[0])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))


if __name__ == "__main__":
    unittest.main()
