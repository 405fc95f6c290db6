"""Sound endpoints stand still for a time below, at or above the silence
timeout, once or twice: requests of each kind come whole, and no request takes
more endpoints than its route allows."""

import time
import unittest

import silent_site


class Durations(silent_site.SilentTest):

    def test_some_just_below_the_timeout_twice_comes_whole(self):
        self.silent(2, 1.1, 1.29, open_ended=True)

    def test_all_just_above_the_timeout_twice_comes_whole(self):
        self.silent(3, 1.31, 1.31)

    def test_one_just_above_the_timeout_twice_comes_whole(self):
        self.silent(1, 1.31, 1.6, open_ended=True)

    def test_some_above_the_timeout_twice_comes_whole(self):
        self.silent(2, 1.6, 1.6)

    def test_all_above_the_timeout_open_ended_comes_whole(self):
        self.silent(3, 1.6, open_ended=True)

    def test_one_far_above_the_timeout_comes_whole(self):
        self.silent(1, 2.5)

    def test_one_after_the_other_comes_whole(self):
        # What has moved to an endpoint is silent there as well.
        self.begin_direct()
        asked = self.ask_all(self.at)
        first, second, third = self.busiest(3)
        first.running.clear()
        for silent, since in ((second, first), (third, second)):
            time.sleep(1.5)
            silent.running.clear()
            time.sleep(0.3)
            since.running.set()
        time.sleep(1.5)
        third.running.set()
        self.check(asked)

    def test_others_slow_to_begin_overlap_is_short(self):
        self.begin_direct()
        self.go_on_at_slow_ones()


if __name__ == "__main__":
    unittest.main()
