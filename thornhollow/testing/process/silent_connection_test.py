"""Connections that go silent for good while new ones work.

Something between the two ends lost track of the connection: bytes vanish both
ways, neither end sees a close. The caller sees a stream that stands still; the
operator sees a daemon that misses a new configuration.
"""

import unittest

import harness

TOKENS = 400


class SilentEndpoint(harness.SiteTest):

    def start_streams(self, daemon, engine, count):
        calls = [harness.Background(
            harness.chat, daemon.address, "notes", tokens=TOKENS)
            for _ in range(count)]
        harness.wait_until(
            lambda: len([r for r in engine.runs()["requests"].values()
                         if r["tokens"] >= 10]) == count,
            "every stream is under way")
        return calls

    def test_streams_go_silent_each_resumed_on_a_new_connection(self):
        engine = self.engine("e1", proxied=True)
        daemon = self.site()
        calls = self.start_streams(daemon, engine, 8)
        engine.proxy.mode(fault="silence")
        for call in calls:
            answer = call.result()
            self.assert_sound(answer)
            self.assertEqual(answer.end, "done", answer)
            self.assertEqual(len(answer.indices), TOKENS)
        self.assertEqual(engine.runs()["totals"]["resumed"], 8)

    def test_only_answers_vanish_streams_resumed(self):
        """One direction only: the engine hears everything and computes on."""
        engine = self.engine("e1", proxied=True)
        daemon = self.site()
        calls = self.start_streams(daemon, engine, 4)
        engine.proxy.mode(fault="silence", direction="down")
        for call in calls:
            answer = call.result()
            self.assert_sound(answer)
            self.assertEqual(answer.end, "done", answer)

    def test_order_goes_silent_answered_maybe_and_not_sent_again(self):
        service = self.service("orders", "s1", proxied=True)
        daemon = self.site()
        service.mode(delay_ms=30000)
        call = harness.Background(
            harness.ask, daemon.address, "/orders", {"order": 1})
        harness.wait_until(lambda: service.runs()["totals"]["runs"] == 1,
                           "the order runs")
        service.proxy.mode(fault="silence")
        answer = call.result()
        self.assertEqual(answer.ran, "maybe", answer)
        self.assertEqual(service.runs()["totals"]["runs"], 1)

    def test_new_requests_after_the_silence_are_served(self):
        service = self.service("orders", "s1", proxied=True)
        daemon = self.site()
        for number in range(3):
            answer = harness.ask(daemon.address, "/orders", {"order": number})
            self.assertEqual(answer.status, 200, answer)
            service.proxy.mode(fault="silence")


class SilentPlatform(harness.SiteTest):

    def test_watch_goes_silent_next_configuration_is_found(self):
        self.engine("e1")
        self.publish()
        proxy = self.start("fault-proxy", f"--target={self.platform.address}")
        daemon = self.daemon(platform=proxy.address)
        harness.wait_until(
            lambda: self.platform.get("/test/calls")["waiting"] >= 1,
            "the watch waits")
        proxy.mode(fault="silence")
        version = self.publish(self.declarations().replace(
            "max_in_flight: 512", "max_in_flight: 511"))
        harness.wait_until(lambda: daemon.version() == version,
                           "the new configuration is in force")


class SilentCaller(harness.SiteTest):

    def test_caller_goes_silent_engine_is_not_kept_busy_for_ever(self):
        """The caller's connection takes no more bytes and shows no close. The
        stream is so long that it would fill what lies between."""
        engine = self.engine("e1", "--step_ms=0.2")
        daemon = self.site()
        proxy = self.start("fault-proxy", f"--target={daemon.address}")
        proxy.mode(fault="freeze", direction="down")
        call = harness.Background(harness.chat, proxy.address, "notes",
                                  tokens=10000000)
        harness.wait_until(lambda: engine.runs()["totals"]["cancelled"] == 1,
                           "the run of the silent caller is cancelled")
        proxy.mode(fault="cut")
        call.result()


if __name__ == "__main__":
    unittest.main()
