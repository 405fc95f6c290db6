"""Endpoints stand still at random: what began comes whole, and no two endpoints
work on one stream for long."""

import unittest

import silent_soak


class Silent(silent_soak.Soak):

    def test_endpoints_silent_at_random_what_began_comes_whole(self):
        self.play()


if __name__ == "__main__":
    unittest.main()
