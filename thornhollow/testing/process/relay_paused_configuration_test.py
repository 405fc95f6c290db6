"""Guards against proper requests that are refused for good (401, 404) by an
instance that was paused while a configuration with their token and path was put
in force."""

import signal
import time
import unittest

import harness
import relay_site

PAUSE_S = 3.0
REQUESTS = 12
REFUSED_FOR_GOOD = (400, 401, 403, 404)
# What the configuration in force lacks is refused for good again from then on.
CAUGHT_UP_S = 3.0


class Paused(relay_site.RelayTest):

    def setUp(self):
        super().setUp()
        self.engine("i-0")
        self.fleet = self.daemons_that_know_each_other(2)

    def newer_document(self):
        made = relay_site.document(2)
        made["tenants"].append(
            {"name": "other", "api_keys": ["k2"], "priority": 0})
        made["routes"].append({**made["routes"][-1], "name": "n",
                               "path_prefix": "/n/"})
        return made

    def statuses_after_a_pause(self, path, key):
        """Of requests that are sent while the instance is paused."""
        paused = self.fleet[0]
        paused.signal(signal.SIGSTOP)
        self.addCleanup(paused.signal, signal.SIGCONT)
        self.store.put("op/config", self.newer_document())
        time.sleep(PAUSE_S)
        connections = []
        for number in range(REQUESTS):
            connection = harness.connect(paused.address)
            self.addCleanup(connection.close)
            connection.request("POST", path, b"body",
                               self.headers(f"r{number}", key=key))
            connections.append(connection)
        paused.signal(signal.SIGCONT)
        return [each.getresponse().status for each in connections]

    def assert_none_refused_for_good(self, statuses):
        refused = [each for each in statuses if each in REFUSED_FOR_GOOD]
        self.assertEqual(refused, [], statuses)

    def test_new_token_none_is_refused_for_good(self):
        self.assert_none_refused_for_good(
            self.statuses_after_a_pause("/l/x", "k2"))

    def test_new_path_none_is_refused_for_good(self):
        self.assert_none_refused_for_good(
            self.statuses_after_a_pause("/n/x", "k1"))

    def test_caught_up_wrong_ones_are_refused_for_good(self):
        self.statuses_after_a_pause("/l/x", "k2")
        time.sleep(CAUGHT_UP_S)
        asked = (("/l/x", "k2", 200), ("/n/x", "k1", 200),
                 ("/l/x", "none", 401), ("/none/x", "k1", 404))
        for number, (path, key, status) in enumerate(asked):
            connection = harness.connect(self.fleet[0].address)
            self.addCleanup(connection.close)
            connection.request("POST", path, b"body",
                               self.headers(f"c{number}", key=key))
            self.assertEqual(connection.getresponse().status, status, path)


if __name__ == "__main__":
    unittest.main()
