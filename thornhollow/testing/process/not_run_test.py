"""Not run means not run: what an answer says about running, against the count
of the endpoint, for a failure at each moment of a request's life.

A dispatcher who is told "not run" sends the order again. If it was run after
all, two lorries leave. The failure strikes between daemon and endpoint, and the
only honest witness is the endpoint's own count.
"""

import unittest

import harness


class NotRun(harness.SiteTest):

    def one_engine(self):
        engine = self.engine("e1", proxied=True)
        return engine, self.site()

    def ask_once(self, daemon):
        answer = harness.chat(daemon.address, "once", tokens=20)
        self.assert_sound(answer)
        return answer

    def check(self, engine, answer, runs, ran):
        self.assertEqual(answer.end, "error", answer)
        self.assertEqual(answer.ran, ran, answer)
        self.assertEqual(harness.chat_runs(engine), runs, answer)
        self.assert_truthful(answer, runs)

    def test_refused_before_connect_says_no_and_count_is_zero(self):
        engine, daemon = self.one_engine()
        engine.proxy.mode(fault="refuse")
        self.check(engine, self.ask_once(daemon), runs=0, ran="no")

    def test_reset_after_connect_count_is_zero_and_never_yes(self):
        """The connection stands, then breaks before a byte passed on. The
        daemon can't know what was read of what it wrote."""
        engine, daemon = self.one_engine()
        engine.proxy.mode(fault="reset", direction="up", after_bytes=0)
        answer = self.ask_once(daemon)
        self.assertIn(answer.ran, ("no", "maybe"), answer)
        self.check(engine, answer, runs=0, ran=answer.ran)

    def test_reset_after_half_the_request_says_maybe(self):
        engine, daemon = self.one_engine()
        engine.proxy.mode(fault="reset", direction="up", after_bytes=100)
        self.check(engine, self.ask_once(daemon), runs=0, ran="maybe")

    def test_reset_after_the_whole_request_says_maybe(self):
        engine, daemon = self.one_engine()
        engine.mode(crash_after_run=True)
        self.check(engine, self.ask_once(daemon), runs=1, ran="maybe")

    def test_reset_after_the_first_token_says_yes(self):
        engine, daemon = self.one_engine()
        engine.mode(crash_after_tokens=1)
        self.check(engine, self.ask_once(daemon), runs=1, ran="yes")

    def test_frozen_before_connect_says_maybe_or_no(self):
        """Frozen, the endpoint's machine still takes connections: the daemon
        writes, and nothing comes back."""
        engine, daemon = self.one_engine()
        engine.proxy.mode(fault="freeze")
        answer = self.ask_once(daemon)
        self.assertIn(answer.ran, ("no", "maybe"), answer)
        self.check(engine, answer, runs=0, ran=answer.ran)

    def test_frozen_after_half_the_request_says_maybe(self):
        engine, daemon = self.one_engine()
        engine.proxy.mode(fault="freeze", direction="up", after_bytes=100)
        self.check(engine, self.ask_once(daemon), runs=0, ran="maybe")

    def test_frozen_after_the_whole_request_says_maybe(self):
        engine, daemon = self.one_engine()
        engine.mode(freeze=True)
        self.check(engine, self.ask_once(daemon), runs=0, ran="maybe")

    def test_frozen_after_the_first_token_says_yes(self):
        engine, daemon = self.one_engine()
        engine.mode(freeze_after_tokens=1)
        self.check(engine, self.ask_once(daemon), runs=1, ran="yes")

    def test_status_500_leaves_open_whether_it_ran(self):
        engine, daemon = self.one_engine()
        engine.mode(error_status=500)
        self.check(engine, self.ask_once(daemon), runs=0, ran="maybe")

    def test_declined_says_no(self):
        engine, daemon = self.one_engine()
        engine.mode(decline=True)
        self.check(engine, self.ask_once(daemon), runs=0, ran="no")

    def test_killed_under_streams_each_answer_agrees_with_the_count(self):
        """Many idempotent streams on one engine that breaks each of them at a
        different token, some before the first."""
        engine, daemon = self.one_engine()
        for tokens in range(4):
            engine.mode(crash_after_tokens=tokens)
            before = harness.chat_runs(engine)
            answer = harness.chat(daemon.address, "notes", tokens=20)
            self.assert_sound(answer)
            self.assert_truthful(answer, harness.chat_runs(engine) - before)


if __name__ == "__main__":
    unittest.main()
