"""Sound endpoints stand still while they serve by way of another instance:
requests of each kind come whole, and no request takes more endpoints than its
route allows."""

import unittest

import silent_site


class Forwarded(silent_site.SilentTest):

    def silent(self, part, *silences, **options):
        self.begin_forwarded(**options)
        asked = self.ask_all(self.at, count=3)
        self.stand_still(self.busiest(part), *silences)
        self.check(asked)

    def test_one_just_below_the_timeout_twice_comes_whole(self):
        self.silent(1, 1.29, 1.29)

    def test_one_above_the_timeout_comes_whole(self):
        self.silent(1, 1.6, open_ended=True)

    def test_some_above_the_timeout_twice_comes_whole(self):
        self.silent(2, 1.31, 1.6)

    def test_all_far_above_the_timeout_one_carrier_comes_whole(self):
        self.silent(3, 2.5, open_ended=True, instances=2)

    def test_others_slow_to_begin_overlap_is_short(self):
        self.begin_forwarded()
        self.go_on_at_slow_ones()


if __name__ == "__main__":
    unittest.main()
