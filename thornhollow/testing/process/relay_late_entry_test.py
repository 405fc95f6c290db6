"""An endpoint that starts again under its name as another software version,
while its entry in the source still tells the old one."""

import unittest

import harness
import relay_site
from two_versions_site import TwoVersions


class LateEntry(TwoVersions):

    def keep_connections(self):
        """The instance has just used all endpoints that take streams."""
        for number in range(8):
            caller = relay_site.StreamCaller(self, f"w{number}")
            caller.submit(self.fleet[0])

    def test_endpoint_started_again_continues_no_stream_of_its_entry(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.keep_connections()
        self.restart_as(self.engines[1], "v2")
        for caller in callers:
            caller.submit(self.fleet[0])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))

    def test_stream_begun_at_an_endpoint_started_again_goes_on_nowhere(self):
        self.begin()
        self.store.refuse = True
        self.keep_connections()
        restarted = self.engines[1]
        self.restart_as(restarted, "v2")
        ran = len(restarted.ran)
        callers = self.callers()
        for caller in callers:
            caller.submit(self.fleet[0], leave_after=2)
        self.assertGreater(len(restarted.ran), ran)
        restarted.mode = "decline"
        for caller in callers:
            caller.submit(self.fleet[1])
        self.assert_sound(callers)
        self.assertTrue(any(each.complete for each in callers))

    def test_stream_begun_before_the_entry_came_goes_on_nowhere_else(self):
        self.begin(1)
        for engine in self.engines[1:2] + self.engines[2:]:
            self.store.delete(f"servers/{engine.name}")
        harness.wait_until(
            lambda: len(self.fleet[0].events("endpoint_gone")) == 3, "one left")
        engine = self.engines[0]
        self.restart_as(engine, "v2")
        callers = self.callers(4)
        for caller in callers:
            caller.submit(self.fleet[0], leave_after=2)
            self.assertEqual(caller.versions[0], "v2")
        engine.born += 1
        self.change_entry(engine)
        self.change_entry(self.engines[1])
        harness.wait_until(
            lambda: len(self.fleet[0].events("endpoint_joined")) == 6,
            "the new entries are known")
        for caller in callers:
            caller.submit(self.fleet[0])
        self.assert_sound(callers)


if __name__ == "__main__":
    unittest.main()
