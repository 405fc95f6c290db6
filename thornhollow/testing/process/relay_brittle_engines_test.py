"""Brittle endpoints: one that has to turn away more than so many requests within
a second falls over, and its load goes to the others, which fall in turn."""

import signal
import unittest

import brittle_site
from brittle_site import CAPACITY


class Brittle(brittle_site.BrittleTest):

    def test_burst_beyond_their_room_makes_few_fall(self):
        self.begin()
        self.become_brittle()
        served, _ = self.arrive(CAPACITY * 4, 5.0)
        self.check(served, 5.0)

    def test_all_callers_at_one_instance_few_fall_and_all_room_is_used(self):
        self.begin()
        self.become_brittle()
        served, _ = self.arrive(CAPACITY * 2, 5.0, at=self.fleet[:1])
        self.check(served, 5.0)

    def test_instance_killed_and_restarted_few_fall(self):
        self.begin()
        self.become_brittle()
        self.fleet[1].kill()
        served, _ = self.arrive(
            CAPACITY * 4, 3.0, at=[self.fleet[0], self.fleet[2]])
        self.fleet[1].start()
        self.fleet[1].wait_ready()
        more, _ = self.arrive(CAPACITY * 4, 4.0)
        self.check(served + more, 7.0)

    def test_instance_paused_and_woken_few_fall(self):
        self.begin()
        self.become_brittle()
        self.fleet[1].process.send_signal(signal.SIGSTOP)
        served, _ = self.arrive(
            CAPACITY * 4, 3.0, at=[self.fleet[0], self.fleet[2]])
        self.fleet[1].process.send_signal(signal.SIGCONT)
        more, _ = self.arrive(CAPACITY * 4, 4.0)
        self.check(served + more, 7.0)

    def test_engine_crashes_and_is_back_few_fall(self):
        self.begin()
        self.become_brittle()
        self.engines[0].end("a crash of its own")
        served, _ = self.arrive(CAPACITY * 4, 5.0)
        self.engines[0].ended.pop(0)
        self.check(served, 5.0)


if __name__ == "__main__":
    unittest.main()
