"""Own interface: an instance loses all endpoints while its callers and the other
instance reach them; its callers are served by way of the other one."""

import time
import unittest

import harness

# From this long after a cut began, callers are owed what others get.
CONTACT_S = 3.0
LEAST_SHARE = 0.95
REQUESTS = 20


class CutOff(harness.SiteTest):

    def begin(self):
        """Two instances; each reads the endpoints' addresses, its own paths to
        them, from a platform of its own. They are told of each other once they
        are ready, or one would take the other's addresses with its
        configuration."""
        self.own_paths = []
        self.fleet = []
        platforms = []
        engines = [self.engine(f"e{number}") for number in range(2)]
        for name in ("d1", "d2"):
            self.platform = self.start("fake-platform")
            paths = [self.start("fault-proxy", f"--target={engine.address}")
                     for engine in engines]
            for engine, path in zip(engines, paths):
                engine.entry["address"] = path.address
            self.publish()
            self.own_paths.append(paths)
            settings = self.settings_for(name, self.platform.address)
            settings["seeds"] = ""
            self.fleet.append(self.daemon(name, settings=settings))
            platforms.append(self.platform)
        for self.platform in platforms:
            self.publish_instances()

    def served(self, daemon):
        calls = [harness.Background(
            harness.chat, daemon.address, "notes", tokens=5)
            for _ in range(REQUESTS)]
        return sum(call.result().end == "done" for call in calls) / REQUESTS

    def check(self, fault):
        self.begin()
        for daemon in self.fleet:
            self.assertEqual(self.served(daemon), 1.0)
        for path in self.own_paths[0]:
            path.mode(fault=fault)
        time.sleep(CONTACT_S)
        others = self.served(self.fleet[1])
        there = self.served(self.fleet[0])
        print(f"{fault}: served {there:.2f} there, {others:.2f} at the other")
        self.assertEqual(others, 1.0)
        self.assertGreaterEqual(there, LEAST_SHARE * others)

    def test_connections_are_reset(self):
        self.check("reset")

    def test_connections_hang(self):
        self.check("freeze")


if __name__ == "__main__":
    unittest.main()
