"""An instance that has handed a stream to another endpoint stands still, and its
caller's instance moves the stream once more: it takes no more endpoints than its
route allows."""

import signal
import time
import unittest

import silent_site


class CarrierAttempts(silent_site.SilentTest):

    def test_carrier_stopped_after_a_handover_keeps_to_the_attempts(self):
        self.begin_forwarded()
        for engine in self.engines:
            engine.events = 40
        asked = self.ask_all(self.at, silent_site.RESUMABLE)
        first = self.busiest(1)[0]
        moved = {run.request for run in self.going_on(first)}
        first.running.clear()
        time.sleep(1.6)
        for engine in self.engines:
            engine.running.clear()
        time.sleep(0.1)
        stopped = self.carrier()
        self.stop(stopped)
        # Only the endpoint that nobody has moved to goes on.
        time.sleep(1.2)
        for engine in self.engines:
            engine.running.set()
        time.sleep(1.5)
        stopped.signal(signal.SIGCONT)
        asked.wait()
        self.assertTrue(moved)
        for each in asked.streams:
            self.assert_runs(f"{each.name}-0", silent_site.MAX_ATTEMPTS)


if __name__ == "__main__":
    unittest.main()
