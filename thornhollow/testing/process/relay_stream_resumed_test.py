"""A stream that its endpoint breaks off goes on, within the same answer, only at
the software version that began it."""

import unittest

import harness
from two_versions_site import ByWayOfAnother, TwoVersions


class WithinOneAnswer(TwoVersions):

    def test_stream_broken_off_by_its_endpoint_goes_on_at_its_version(self):
        self.begin()
        callers = self.broken_off_streams(*self.fleet)
        self.assert_go_on(callers)

    def test_last_endpoint_of_a_version_ends_streams_visibly(self):
        self.begin(1)
        for engine in self.engines[1:2] + self.engines[3:]:
            self.store.delete(f"servers/{engine.name}")
        harness.wait_until(
            lambda: len(self.fleet[0].events("endpoint_gone")) == 2, "two left")
        callers = self.broken_off_streams(self.fleet[0])
        self.assert_sound(callers)
        self.assertFalse(any(each.complete for each in callers))


class WithinOneAnswerByWayOfAnother(ByWayOfAnother):

    def test_broken_off_goes_on_at_its_version(self):
        self.begin()
        callers = self.broken_off_streams(self.fleet[0])
        self.assert_go_on(callers)


if __name__ == "__main__":
    unittest.main()
