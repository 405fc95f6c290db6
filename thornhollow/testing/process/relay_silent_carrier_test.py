"""Sound endpoints stand still while they serve by way of another instance that
is killed or stands still meanwhile: answers come whole or end visibly, and no
request takes more endpoints than its route allows."""

import signal
import time
import unittest

import silent_site

# After the endpoints stand still.
MEANWHILE_S = 0.7
# How long the instance stands still, at least.
STOPPED_S = 3.0


class Carrier(silent_site.SilentTest):

    def with_carrier(self, part, act, **options):
        """`act` befalls one of two carriers while endpoints stand still."""
        self.begin_forwarded(**options)
        asked = self.ask_all(self.at, count=4)
        silent = self.busiest(part)
        for engine in silent:
            engine.running.clear()
        time.sleep(MEANWHILE_S)
        self.carried_by = self.carrier()
        act(self.carried_by)
        time.sleep(1.6 - MEANWHILE_S)
        for engine in silent:
            engine.running.set()
        return asked

    def kill_carrier(self, part, **options):
        asked = self.with_carrier(part, lambda daemon: daemon.kill(), **options)
        self.check_visible(asked)

    def test_one_silent_and_carrier_killed_ends_visibly(self):
        self.kill_carrier(1, open_ended=True)

    def test_all_silent_and_carrier_killed_ends_visibly(self):
        self.kill_carrier(3)

    def stop_carrier(self, part, **options):
        """It stands still until long after all that it serves is over."""
        asked = self.with_carrier(part, self.stop, **options)
        time.sleep(STOPPED_S)
        self.carried_by.signal(signal.SIGCONT)
        asked.wait()
        return asked

    def test_one_silent_and_carrier_stopped_ends_visibly(self):
        self.check_stopped(self.stop_carrier(1))

    def test_all_silent_and_carrier_stopped_ends_visibly(self):
        self.check_stopped(self.stop_carrier(3, open_ended=True))

    def check_stopped(self, asked):
        # Nobody can end what an instance that stands still has at an endpoint.
        self.overlap = lambda request: 0
        self.check_visible(asked)
        for each in asked.streams + asked.answers:
            with self.subTest(each.name):
                self.assertIsNotNone(each.status)

    def test_carrier_stopped_and_the_other_finds_no_endpoint_comes_whole(self):
        # If the silent attempt is closed as soon as another instance has the
        # request, streams end when that one finds no endpoint.
        self.begin_forwarded()
        asked = self.ask_all(self.at, silent_site.RESUMABLE)
        for engine in self.engines:
            engine.running.clear()
        time.sleep(0.1)
        stopped = self.carrier()
        self.stop(stopped)
        time.sleep(2.6)
        for engine in self.engines:
            engine.running.set()
        stopped.signal(signal.SIGCONT)
        self.overlap = lambda request: 0
        self.check(asked)


if __name__ == "__main__":
    unittest.main()
