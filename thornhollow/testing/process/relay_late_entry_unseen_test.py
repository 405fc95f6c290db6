"""An endpoint that starts again under its name as another software version,
while its entry still tells the old one, and instances that had no connection to
it: nothing of theirs broke."""

import unittest

from two_versions_site import TwoVersions


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


if __name__ == "__main__":
    unittest.main()
