"""Own interface: an instance loses all endpoints while its callers and the other
instance reach them; its callers are served by way of the other one."""

import time
import unittest

from own_cut_off_site import CONTACT_S, OwnCutOff

LEAST_SHARE = 0.95


class CutOff(OwnCutOff):

    def check(self, fault):
        self.begin()
        for daemon in self.fleet:
            self.assertEqual(self.served(daemon), 1.0)
        self.cut(0, fault)
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
