"""Brittle endpoints before callers that leave early, with a bound that changes
or ends, and with an instance that loses its links to them."""

import http.client
import itertools
import threading
import time
import unittest

import brittle_site
import cut_off_site
import harness
from brittle_site import CAPACITY, WORK_S

# After this long a request whose caller has left reaches no endpoint any more.
LEFT_FOR_S = 0.5
# Requests that may, by chance.
MOST_AFTER_LEAVING = 3


class Leaving(brittle_site.BrittleTest):

    def leave(self, daemon, request, patience_s, left):
        """Sends a look-up and leaves after so long."""
        connection = harness.connect(daemon.address)
        try:
            connection.request("POST", "/l/x", b"body", self.headers(request))
            time.sleep(patience_s)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
            left[request] = time.monotonic()

    def arrive_and_leave(self, per_second, seconds, patience_s):
        """Every second caller leaves early; how many of the others were served,
        and when each request was left."""
        left = {}
        served = []
        gate = threading.Lock()

        def stay(daemon, request):
            try:
                status = self.ask(daemon, "/l/x", request)[0]
            except OSError:
                status = 0
            with gate:
                served.append(status == 200)

        callers = []
        end = time.monotonic() + seconds
        for number, daemon in enumerate(itertools.cycle(self.fleet)):
            if time.monotonic() >= end:
                break
            request = f"r{time.monotonic_ns()}"
            callers.append(
                harness.Background(stay, daemon, request) if number % 2 else
                harness.Background(
                    self.leave, daemon, request, patience_s, left))
            time.sleep(1 / per_second)
        for each in callers:
            each.result()
        return sum(served), left

    def reached_after_leaving(self, left):
        return [request for engine in self.engines
                for at, request in engine.came
                if request in left and at > left[request] + LEFT_FOR_S]

    def test_callers_leave_while_engines_are_full_few_fall(self):
        self.begin()
        self.become_brittle()
        served, left = self.arrive_and_leave(CAPACITY * 4, 5.0, WORK_S / 2)
        # Engines work for callers that leave as well, half as long.
        self.check(served, 5.0 / 2)
        self.assertLessEqual(
            len(self.reached_after_leaving(left)), MOST_AFTER_LEAVING)

    def test_callers_leave_while_they_wait_for_room_their_place_is_free(self):
        self.begin()
        self.become_brittle()
        self.arrive_and_leave(CAPACITY * 4, 3.0, WORK_S / 4)
        # A place that isn't given back is lost for good.
        served, sent = self.arrive(CAPACITY * 0.5, 4.0)
        self.check(served, 4.0 * 0.5)
        self.assertGreaterEqual(served, sent * 0.9)


class Changing(brittle_site.BrittleTest):

    def test_bound_varies_while_callers_press_few_fall(self):
        self.begin()
        self.become_brittle()
        served = 0
        for most_refused in (20, 5, 12, 7):
            self.name_bound(most_refused)
            # A bound holds once it has been named for a while.
            for engine in self.engines:
                engine.is_brittle = False
            more, _ = self.arrive(CAPACITY * 3, 1.0)
            for engine in self.engines:
                engine.is_brittle = True
            rest, _ = self.arrive(CAPACITY * 3, 1.0)
            served += more + rest
        self.check(served, 8.0)

    def test_bound_ends_while_callers_press_all_room_is_used(self):
        self.begin()
        self.become_brittle()
        served, _ = self.arrive(CAPACITY * 4, 3.0)
        self.check(served, 3.0)
        self.name_bound(None)
        served, _ = self.arrive(CAPACITY * 2, 3.0)
        self.check(served, 3.0)


class CutOff(cut_off_site.CutOffTest, brittle_site.BrittleTest):

    LOAD = CAPACITY * cut_off_site.ENGINES / brittle_site.ENGINES

    def engine(self, name, **options):
        return self.brittle_engine(name)

    def cut_off(self, mode):
        self.begin(instances=3)
        self.become_brittle()
        self.cut(self.fleet[:1], mode)
        served, _ = self.arrive(self.LOAD * 4, 4.0)
        self.heal(self.fleet[:1])
        more, _ = self.arrive(self.LOAD * 4, 2.0)
        falls = sum(len(engine.ended) for engine in self.engines)
        print(f"{falls} falls; {served + more} served of {self.LOAD * 6:.0f}")
        self.assertLessEqual(falls, 2 + cut_off_site.ENGINES / 10)
        self.assertGreaterEqual(served + more, self.LOAD * 6 * 0.5)

    def test_instance_whose_links_are_reset_few_fall(self):
        self.cut_off("reset")

    def test_instance_whose_links_hang_few_fall(self):
        self.cut_off("hang")


if __name__ == "__main__":
    unittest.main()
