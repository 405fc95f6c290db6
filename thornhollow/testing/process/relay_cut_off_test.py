"""Some instances lose all endpoints while callers, the store and the other
instances reach them: their callers are served nearly like the others'."""

import unittest

import cut_off_site

# From this long after a cut began, callers are owed what others get.
CONTACT_S = 3.0
# Served at cut-off instances for each one served at the others, at least.
LEAST_SHARE = 0.95
# The same before that.
LEAST_SHARE_AT_FIRST = 0.5
# From the end of a cut until requests go to the endpoints directly again.
DIRECT_AFTER_S = 2.0


class CutOff(cut_off_site.CutOffTest):

    def check(self, instances, cut, mode, callers_before=cut_off_site.CALLERS_EACH):
        self.begin(instances)
        cut_off, others = self.fleet[:cut], self.fleet[cut:]
        before = self.traffic(1.0, callers_before)
        self.assertEqual(self.share(before, self.fleet), 1.0)
        self.cut(cut_off, mode)
        for load, seconds, least in (
                (self.arrivals, CONTACT_S, LEAST_SHARE_AT_FIRST),
                (self.traffic, 3.0, LEAST_SHARE)):
            counts = load(seconds)
            shares = self.share(counts, cut_off), self.share(counts, others)
            print(f"{cut} of {instances} cut off, {mode}: served "
                  f"{shares[0]:.2f} there, {shares[1]:.2f} at the others")
            self.assertGreaterEqual(shares[0], least * shares[1])
        self.heal(cut_off)
        self.traffic(DIRECT_AFTER_S)
        marks = {daemon: len(daemon.lines) for daemon in cut_off}
        self.assertEqual(self.share(self.traffic(1.0), self.fleet), 1.0)
        for daemon, mark in marks.items():
            done = [line for line in daemon.lines[mark:]
                    if line.get("event") == "request_done"]
            self.assertTrue(done)
            self.assertFalse([line for line in done if line["via"]])
        for daemon in self.fleet:
            # Behind a cut each endpoint looks as if it had ended.
            self.assertEqual(daemon.events("request_suspected"), [])

    def test_one_with_its_connections_reset(self):
        self.check(4, 1, "reset")

    def test_one_whose_connections_hang(self):
        self.check(4, 1, "hang")

    def test_one_whose_open_connections_live_on_but_are_too_few(self):
        self.slow = True
        self.check(4, 1, "alone", callers_before=1)

    def test_most_with_their_connections_reset(self):
        self.check(4, 3, "reset")

    def test_most_whose_connections_hang(self):
        self.check(4, 3, "hang")


if __name__ == "__main__":
    unittest.main()
