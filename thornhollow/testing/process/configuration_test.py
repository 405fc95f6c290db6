"""An accepted configuration is in force on every daemon within seconds and
never reverts; a refused one changes nothing."""

import time
import unittest

import harness


class ConfigurationTest(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.engine("e1")

    def changed(self, limit):
        return self.declarations().replace("max_in_flight: 512",
                                           f"max_in_flight: {limit}")

    def start_three(self):
        self.publish()
        for number in range(3):
            self.daemon(f"d{number}")

    def versions(self):
        return [daemon.version() for daemon in self.daemons]

    def wait_for(self, version):
        harness.wait_until(lambda: set(self.versions()) == {version},
                           f"version {version} in force, not {self.versions()}")

    def platform_asked_again(self, times=10):
        """Until the daemons asked so many times more: what they could have
        learnt they have learnt."""
        before = self.platform.get("/test/calls")["calls"]
        harness.wait_until(
            lambda: self.platform.get("/test/calls")["calls"] >= before + times,
            "the platform is asked again")


class Configuration(ConfigurationTest):

    def test_published_in_force_on_all(self):
        self.start_three()
        for limit in (100, 101, 102):
            published = time.monotonic()
            self.wait_for(self.publish(self.changed(limit)))
            # A figure for the record; the verdict is that it comes to force.
            print(f"in force on three daemons after "
                  f"{1000 * (time.monotonic() - published):.0f} ms")

    def test_refused_old_one_stays_in_force_and_fault_is_shown(self):
        self.start_three()
        good = self.publish(self.changed(100))
        self.wait_for(good)
        self.publish(self.changed("none-of-it"))
        harness.wait_until(
            lambda: all("none-of-it" in harness.json.dumps(d.status_page())
                        for d in self.daemons), "the fault is shown")
        self.assertEqual(set(self.versions()), {good})
        for daemon in self.daemons:
            self.assertEqual(harness.chat(daemon.address).end, "done")
        self.wait_for(self.publish(self.changed(101)))

    def test_older_version_answered_never_reverts(self):
        """A replica of the platform that lags answers yesterday's version."""
        self.start_three()
        newest = self.publish(self.changed(100))
        self.wait_for(newest)
        self.platform.mode(stale_version=1)
        self.platform_asked_again()
        self.assertEqual(set(self.versions()), {newest})
        self.platform.mode()
        self.wait_for(self.publish(self.changed(101)))

    def test_platform_down_daemons_serve_on_and_catch_up(self):
        self.start_three()
        before = set(self.versions())
        self.platform.mode(down=True)
        newest = self.publish(self.changed(100))
        for daemon in self.daemons:
            self.assertEqual(harness.chat(daemon.address).end, "done")
        self.assertEqual(set(self.versions()), before)
        self.platform.mode()
        self.wait_for(newest)

    def test_platform_slow_comes_to_force(self):
        self.start_three()
        self.platform.mode(slow_ms=300)
        self.wait_for(self.publish(self.changed(100)))

    def test_platform_frozen_daemons_serve_on_and_catch_up(self):
        self.start_three()
        self.platform.mode(freeze=True)
        newest = self.publish(self.changed(100))
        for daemon in self.daemons:
            self.assertEqual(harness.chat(daemon.address).end, "done")
        self.platform.mode()
        self.wait_for(newest)

    def test_started_while_platform_is_down_refuses_truthfully_then_serves(self):
        self.publish()
        self.platform.mode(down=True)
        daemon = self.daemon("d1", ready=False)
        self.assertFalse(daemon.ready())
        answer = harness.chat(daemon.address)
        self.assertEqual((answer.kind, answer.ran), ("not_ready", "no"))
        self.platform.mode()
        harness.wait_until(daemon.ready, "ready once the platform is back")
        self.assertEqual(harness.chat(daemon.address).end, "done")

    def test_cut_off_from_the_platform_takes_it_from_peers_and_heals(self):
        """One instance's watch goes silent and its new connections fail, as
        when its domain is cut off from the platform but not from its peers."""
        self.publish()
        proxy = self.start("fault-proxy", f"--target={self.platform.address}")
        cut_off = self.daemon("d0", platform=proxy.address)
        for number in (1, 2):
            self.daemon(f"d{number}")
        self.publish_instances()
        harness.wait_until(
            lambda: all(d.status_page().get("peers_alive") == 2
                        for d in self.daemons), "the instances know each other")
        proxy.mode(fault="silence")
        proxy.mode(fault="refuse")
        published = time.monotonic()
        self.wait_for(self.publish(self.changed(100)))
        print(f"in force on the instance cut off after "
              f"{1000 * (time.monotonic() - published):.0f} ms")
        proxy.mode()
        self.wait_for(self.publish(self.changed(101)))
        self.assertEqual(harness.chat(cut_off.address).end, "done")

    def test_two_operators_at_once_one_whole_configuration_everywhere(self):
        """Each operator's set has a class that the other's lacks; a mixture
        would have both or neither."""
        self.start_three()
        sets = [self.declarations().replace("name: plans", f"name: {name}")
                .replace("notes, plans, once", f"notes, {name}, once")
                for name in ("plans-a", "plans-b")]
        calls = [harness.Background(self.publish, sets[turn % 2])
                 for turn in range(10)]
        newest = max(call.result() for call in calls)
        self.wait_for(newest)
        for daemon in self.daemons:
            kinds = [harness.chat(daemon.address, name).kind
                     for name in ("plans-a", "plans-b")]
            self.assertEqual(sorted(map(str, kinds)),
                             ["None", "unknown_class"], kinds)


if __name__ == "__main__":
    unittest.main()
