"""All instances end and start again within a window of the retry budget: what
their predecessors spent counts."""

import unittest

import harness
import relay_site

INSTANCES = 3
REQUESTS = 120
RATIO = 0.2
EXTRA = 45
WINDOW_S = 10
PER_SECOND = 60


class RestartedBudget(relay_site.RelayTest):

    def start_fleet(self):
        self.engines = [self.engine(f"i-{number}") for number in range(3)]
        self.store.put("op/config", relay_site.document(1))
        self.fleet = []
        for number in range(INSTANCES):
            seeds = ", ".join(each.peers for each in self.fleet)
            self.fleet.append(self.daemon(name=f"n{number}", seeds=seeds,
                                          extra=EXTRA))
        self.wait_for_peers()

    def wait_for_peers(self):
        harness.wait_until(lambda: relay_site.know_each_other(self.fleet),
                           "instances hear each other")

    def decline_all(self):
        for engine in self.engines:
            engine.mode = "decline"

    def kill_and_start_all(self):
        for each in self.fleet:
            each.kill()
        for each in self.fleet:
            text = each.settings.read_text()
            each.settings.write_text(
                text.replace("spent_before: false", "spent_before: true"))
            each.start()
            each.wait_ready()
        self.wait_for_peers()

    def ask_all(self, mark):
        """Look-ups at all instances in turn, which every engine declines."""
        asked = [harness.Background(
            self.ask, self.fleet[number % INSTANCES], "/l/x",
            f"{mark}{number}") for number in range(REQUESTS)]
        for each in asked:
            each.result()

    def arrivals(self):
        """The times at which each request arrived at endpoints."""
        arrived = {}
        for engine in self.engines:
            for at, request in engine.arrived:
                arrived.setdefault(request, []).append(at)
        return [sorted(times) for times in arrived.values()]

    def assert_bound_in_every_window(self):
        first = [times[0] for times in self.arrivals()]
        repeats = [at for times in self.arrivals() for at in times[1:]]

        def count(times, begin):
            return sum(begin <= at < begin + WINDOW_S for at in times)

        for begin in repeats:
            requests = max(count(first, begin - back)
                           for back in (0, WINDOW_S / 2, WINDOW_S))
            self.assertLessEqual(count(repeats, begin),
                                 RATIO * requests + EXTRA)

    def test_all_killed_bound_holds_over_the_window(self):
        self.start_fleet()
        self.decline_all()
        self.ask_all("a")
        self.kill_and_start_all()
        self.ask_all("b")
        repeats = sum(len(times) - 1 for times in self.arrivals())
        self.assertGreater(repeats, EXTRA / 2)
        self.assertLessEqual(repeats, RATIO * 2 * REQUESTS + EXTRA)

    # Guards against retries that requests from before the window pay for, beside
    # those that the requests after the start pay for.
    def test_all_killed_after_sound_requests_bound_holds_in_every_window(self):
        self.start_fleet()
        self.arrive(PER_SECOND, WINDOW_S)
        self.decline_all()
        self.arrive(PER_SECOND, 4)
        self.kill_and_start_all()
        self.arrive(PER_SECOND, 4.5)
        self.assertGreater(sum(len(times) - 1 for times in self.arrivals()),
                           EXTRA)
        self.assert_bound_in_every_window()


if __name__ == "__main__":
    unittest.main()
