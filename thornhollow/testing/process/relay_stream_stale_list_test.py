"""An instance that is out of step while endpoints of a new software version
join: a stream that began at one of them through another instance, and is taken
up at the one out of step, must not go on at the old version."""

import signal
import time
import unittest

import harness
import relay_site
from two_versions_site import EVENTS, TwoVersions

STREAMS = 8
# A stream may live for 20 s; the list must be known for 10 s more before
# anything is concluded from it.
KNOWN_S = 32


class StaleList(TwoVersions):

    def begin_release(self, cut_off=0):
        """Instances before endpoints of version 1 that are known for long."""
        self.engines = [self.versioned(f"i-{number}", "v1")
                        for number in range(2)]
        self.store.put("op/config", relay_site.document(1))
        self.fleet = self.daemons_that_know_each_other(2)
        self.view = relay_site.StoreView(self.store)
        self.addCleanup(self.view.server.stop)
        # They know each other only, and have a source that can be cut.
        self.apart = []
        for number in range(cut_off):
            self.apart.append(relay_site.RelayDaemon(
                self.view.server.address, name=f"a{number}",
                seeds=", ".join(each.peers for each in self.apart)))
            self.addCleanup(self.apart[-1].stop)
            self.apart[-1].wait_ready()
        time.sleep(KNOWN_S)
        self.assertTrue(relay_site.know_each_other(self.apart))

    def versioned(self, name, version):
        engine = self.engine(name, events=EVENTS, shows_version=True,
                             version=version)
        engine.event_gap_s = 0.01
        return engine

    def release(self):
        """Streams that began at version 2, through the first instance."""
        for engine in self.engines:
            engine.mode = "decline"
        self.engines += [self.versioned(f"j-{number}", "v2")
                         for number in range(2)]
        harness.wait_until(
            lambda: len(self.fleet[0].events("endpoint_joined")) == 4,
            "the new version is known")
        callers = self.callers(STREAMS)
        for caller in callers:
            caller.submit(self.fleet[0], leave_after=2)
        self.assertEqual({each.versions[0] for each in callers}, {"v2"})
        for engine in self.engines[:2]:
            engine.mode = ""
        return callers

    def take_up_named_and_not(self, callers, daemon):
        for number, caller in enumerate(callers):
            caller.submit(daemon, **({"Resumes": ""} if number % 2 else {}))
        self.assert_sound(callers)

    def test_paused_instance_joins_no_two_versions(self):
        self.begin_release()
        paused = self.fleet[1]
        paused.signal(signal.SIGSTOP)
        self.addCleanup(paused.signal, signal.SIGCONT)
        callers = self.release()
        taken = [harness.Background(caller.submit, paused)
                 for caller in callers]
        time.sleep(1)
        paused.signal(signal.SIGCONT)
        for each in taken:
            each.result()
        self.assert_sound(callers)
        self.take_up_named_and_not(
            [each for each in callers if not each.complete], paused)

    def cut_off_joins_no_two_versions(self, cut_off):
        self.begin_release(cut_off)
        self.view.server.end()
        callers = self.release()
        self.take_up_named_and_not(callers, self.apart[0])
        for caller in callers:
            self.assertEqual(caller.status, 503)

    def test_instance_cut_off_from_source_and_peers_joins_no_two_versions(self):
        self.cut_off_joins_no_two_versions(1)

    def test_instances_cut_off_together_join_no_two_versions(self):
        self.cut_off_joins_no_two_versions(2)


if __name__ == "__main__":
    unittest.main()
