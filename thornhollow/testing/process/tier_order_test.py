"""A request of a higher tier is not refused for one of a lower tier."""

import unittest

import harness


class TierOrder(harness.SiteTest):

    def test_team_full_of_a_lower_tier_its_higher_tier_is_served(self):
        """A warehouse asks for a burst of pallet plans (a low tier) and fills
        its team's places. Its next short note, of the highest tier, is refused
        as over the team's limit, although an engine has room."""
        engine = self.engine("e1")
        self.publish(self.declarations().replace("max_in_flight: 512",
                                                 "max_in_flight: 4"))
        daemon = self.daemon()
        plans = [harness.Background(harness.chat, daemon.address, "plans",
                                    tokens=3000) for _ in range(4)]
        harness.wait_until(lambda: harness.chat_runs(engine) == 4,
                           "the team's places are taken")
        note = harness.chat(daemon.address, "notes")
        self.assertEqual(note.end, "done", note)
        for call in plans:
            self.assert_sound(call.result())


if __name__ == "__main__":
    unittest.main()
