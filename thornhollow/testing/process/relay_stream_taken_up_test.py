"""A stream that its caller takes up, at any instance, goes on only at the
software version that began it, and does go on while that version serves."""

import signal
import unittest

import harness
import relay_site
from two_versions_site import ByWayOfAnother, TwoVersions


class TakenUp(TwoVersions):

    def test_at_the_same_instance_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.take_up(callers, self.fleet[0])
        self.assert_go_on(callers)

    def test_at_another_instance_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.take_up(callers, self.fleet[1])
        self.assert_go_on(callers)

    def test_again_and_again_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        for caller in callers:
            caller.submit(self.fleet[1], leave_after=1)
            caller.submit(self.fleet[2])
        self.assert_go_on(callers)

    def test_after_the_beginner_was_killed_goes_on_at_its_version(self):
        self.begin(4)
        callers = self.begin_streams(self.fleet[0])
        self.fleet[0].kill()
        for number, caller in enumerate(callers):
            caller.submit(self.fleet[1 + number % 3])
        self.assert_go_on(callers)

    def test_at_the_beginner_that_started_again_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.fleet[0].kill()
        self.fleet[0].start()
        self.fleet[0].wait_ready()
        harness.wait_until(
            lambda: any(line["alive"] == 2
                        for line in self.fleet[0].events("peers_changed")),
            "it hears the others")
        self.take_up(callers, self.fleet[0])
        self.assert_go_on(callers)

    def test_while_the_beginner_stops_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.fleet[0].signal(signal.SIGTERM)
        self.take_up(callers, self.fleet[1])
        self.assert_go_on(callers)

    def test_while_the_beginner_hears_nobody_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.fleet[0].signal(signal.SIGSTOP)
        self.addCleanup(self.fleet[0].signal, signal.SIGCONT)
        self.take_up(callers, self.fleet[1])
        self.assert_go_on(callers)

    def test_version_that_is_leaving_told_to_start_anew(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        for engine in self.engines[:2]:
            self.change_entry(engine, "draining")
        harness.wait_until(
            lambda: all(len(each.events("endpoint_draining")) == 2
                        for each in self.fleet), "v1 leaves")
        self.take_up(callers, self.fleet[1])
        self.assert_sound(callers)
        for caller in callers:
            if caller.versions[0] == "v1":
                self.assert_told_to_start_anew(caller, "stream_version_gone")
            else:
                self.assertTrue(caller.complete)

    def test_unknown_beginning_told_to_start_anew(self):
        self.begin()
        caller = relay_site.StreamCaller(self, "u")
        for named in ("never", "", "n" * 500, "\u00e9\u00ff"):
            caller.submit(self.fleet[0],
                          **{"Resumes": named, "Last-Event-Id": "2"})
            self.assert_told_to_start_anew(caller, "stream_origin_unknown")
        self.assertEqual(sum(len(each.ran) for each in self.engines), 0)

    def test_another_teams_stream_told_to_start_anew(self):
        self.begin(document=relay_site.document(1, tenants=[
            {"name": "office", "api_keys": ["k1"], "priority": 0},
            {"name": "other", "api_keys": ["k2"], "priority": 0}]))
        caller = self.begin_streams(self.fleet[0])[0]
        caller.submit(self.fleet[1], Authorization="Token k2")
        self.assert_told_to_start_anew(caller, "stream_origin_unknown")

    def test_unnamed_after_all_were_killed_joins_no_two_versions(self):
        """Guards against streams joined from two versions where no instance
        has seen the old version's endpoints, which left before it started."""
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        for engine in self.engines:
            engine.mode = ""
        for daemon in self.fleet:
            daemon.kill()
        for engine in self.engines[:2]:
            self.store.delete(f"servers/{engine.name}")
        for daemon in self.fleet:
            daemon.start()
        for daemon in self.fleet:
            daemon.wait_ready()
        for number, caller in enumerate(callers):
            caller.submit(self.fleet[number % len(self.fleet)],
                          **{"Resumes": ""})
        self.assert_sound(callers)


class TakenUpByWayOfAnother(ByWayOfAnother):

    def test_begun_there_and_taken_up_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[0])
        self.take_up(callers, self.fleet[1])
        self.assert_go_on(callers)

    def test_taken_up_there_goes_on_at_its_version(self):
        self.begin()
        callers = self.begin_streams(self.fleet[1])
        self.take_up(callers, self.fleet[0])
        self.assert_go_on(callers)

    def test_whose_carrier_was_killed_goes_on_at_its_version(self):
        self.begin(4)
        callers = self.begin_streams(self.fleet[0])
        self.fleet[1].kill()
        self.take_up(callers, self.fleet[0])
        self.assert_go_on(callers)


if __name__ == "__main__":
    unittest.main()
