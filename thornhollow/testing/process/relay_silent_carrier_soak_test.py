"""Endpoints stand still at random, and so do the instances by way of which they
serve: what began comes whole, and no request takes more endpoints than its route
allows."""

import unittest

import silent_soak


class SilentCarriers(silent_soak.Soak):

    def test_carriers_stopped_as_well_what_began_comes_whole(self):
        # Nobody can end what an instance that stands still has at an endpoint.
        self.overlap = lambda request: 0
        self.play(self.stop_carriers_at_random)


if __name__ == "__main__":
    unittest.main()
