"""Sound endpoints stand still longer than the silence timeout while no other
one may go on with what they serve: each answer waits for its endpoint and comes
whole."""

import unittest

import silent_site


class NoReplacement(silent_site.SilentTest):

    def test_all_far_above_the_timeout_and_no_retries_left_comes_whole(self):
        self.silent(3, 2.5, open_ended=True, **silent_site.NO_RETRIES)

    def test_one_above_the_timeout_and_no_retries_left_comes_whole(self):
        self.silent(1, 1.6, **silent_site.NO_RETRIES)

    def test_no_other_of_the_version_comes_whole(self):
        self.silent(1, 1.6, versions=("v1", "v2", "v2"))

    def test_others_full_comes_whole(self):
        self.begin_direct()
        asked = self.ask_all(self.at)
        silent = self.busiest(2)
        for engine in self.engines:
            if engine not in silent:
                engine.mode = "decline"
        self.stand_still(silent, 1.6, 1.6)
        self.check(asked)

    def test_others_leave_comes_whole(self):
        self.begin_direct()
        asked = self.ask_all(self.at)
        silent = self.busiest(1)
        for engine in self.engines:
            if engine not in silent:
                self.store.put(f"servers/{engine.name}",
                               engine.entry("draining"))
        self.stand_still(silent, 1.6, 1.6)
        self.check(asked)


if __name__ == "__main__":
    unittest.main()
