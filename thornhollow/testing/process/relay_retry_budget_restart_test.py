"""All instances end and start again within a window of the retry budget: what
their predecessors spent counts."""

import unittest

import harness
import relay_site

INSTANCES = 3
REQUESTS = 120
RATIO = 0.2
EXTRA = 45


class RestartedBudget(relay_site.RelayTest):

    def ask_all(self, mark):
        """Look-ups at all instances in turn, which every engine declines."""
        asked = [harness.Background(
            self.ask, self.fleet[number % INSTANCES], "/l/x",
            f"{mark}{number}") for number in range(REQUESTS)]
        for each in asked:
            each.result()

    def test_all_killed_bound_holds_over_the_window(self):
        self.engines = [self.engine(f"i-{number}") for number in range(3)]
        for engine in self.engines:
            engine.mode = "decline"
        self.store.put("op/config", relay_site.document(1))
        self.fleet = []
        for number in range(INSTANCES):
            seeds = ", ".join(each.peers for each in self.fleet)
            self.fleet.append(self.daemon(name=f"n{number}", seeds=seeds,
                                          extra=EXTRA))
        harness.wait_until(lambda: relay_site.know_each_other(self.fleet),
                           "instances hear each other")
        self.ask_all("a")
        for each in self.fleet:
            each.kill()
        for each in self.fleet:
            text = each.settings.read_text()
            each.settings.write_text(
                text.replace("spent_before: false", "spent_before: true"))
            each.start()
            each.wait_ready()
        harness.wait_until(lambda: relay_site.know_each_other(self.fleet),
                           "instances hear each other")
        self.ask_all("b")
        arrived = [request for engine in self.engines
                   for _, request in engine.arrived]
        repeats = len(arrived) - len(set(arrived))
        self.assertGreater(repeats, EXTRA / 2)
        self.assertLessEqual(repeats, RATIO * 2 * REQUESTS + EXTRA)


if __name__ == "__main__":
    unittest.main()
