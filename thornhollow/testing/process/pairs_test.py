"""Failures in pairs: what holds under one must hold under two at a time."""

import unittest

import harness

# Long enough that streams still run when the second failure strikes.
TOKENS = 2000


class Pairs(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.engines = [self.engine("e1"), self.engine("e2", proxied=True)]
        self.desk = self.service("orders", "s1")
        self.publish()

    def start_streams(self, daemon, count=12):
        calls = [harness.Background(harness.chat, daemon.address, "notes",
                                    tokens=TOKENS) for _ in range(count)]
        harness.wait_until(
            lambda: sum(r["tokens"] > 0 for engine in self.engines
                        for r in engine.runs()["requests"].values()) == count,
            "every stream is under way")
        return calls

    def check_whole(self, calls):
        for call in calls:
            answer = call.result()
            self.assert_sound(answer)
            self.assertEqual(answer.end, "done", answer)
            self.assertEqual(len(answer.indices), TOKENS)

    def assert_some_resumed(self):
        self.assertGreater(sum(engine.runs()["totals"]["resumed"]
                               for engine in self.engines), 0)

    def test_engine_falls_silent_while_the_daemon_stops(self):
        """Half of the streams stand still when the order to stop has come: the
        stop waits for them to go on elsewhere."""
        daemon = self.daemon("d1")
        calls = self.start_streams(daemon)
        daemon.signal(harness.signal.SIGTERM)
        harness.wait_until(lambda: daemon.status_page()["draining"],
                           "the daemon drains")
        self.engines[1].proxy.mode(fault="silence")
        self.check_whole(calls)
        self.assert_some_resumed()
        self.assertEqual(daemon.wait(), 0, daemon.log())

    def test_engine_lost_while_the_platform_is_down(self):
        daemon = self.daemon("d1")
        calls = self.start_streams(daemon)
        self.platform.mode(down=True)
        self.engines[1].proxy.mode(fault="reset")
        self.check_whole(calls)
        self.assert_some_resumed()
        # And for new ones, with the lost engine still declared.
        for _ in range(20):
            answer = harness.chat(daemon.address, "notes")
            self.assertEqual(answer.end, "done", answer)

    def test_all_replaced_while_the_platform_is_down(self):
        """Each new instance can learn the configuration from the ones that are
        still there, only."""
        daemons = [self.daemon(f"d{number}") for number in range(3)]
        self.publish_instances()
        version = daemons[0].version()
        # Until the platform is gone, each one must know the others.
        harness.wait_until(
            lambda: all(d.status_page().get("peers_alive") == 2
                        for d in daemons), "the instances know each other")
        self.platform.mode(down=True)
        for daemon in daemons:
            calls = self.start_streams_on_all(daemon)
            daemon.signal(harness.signal.SIGTERM)
            self.check_whole(calls)
            self.assertEqual(daemon.wait(), 0, daemon.log())
            self.daemons.remove(daemon)
            replacement = self.daemon(settings=daemon.settings)
            self.assertEqual(replacement.version(), version)

    def start_streams_on_all(self, daemon):
        calls = [harness.Background(harness.chat, daemon.address, "notes",
                                    tokens=TOKENS) for _ in range(4)]
        harness.wait_until(
            lambda: not any(call.done() for call in calls) and
            sum(engine.get("/v1/load")["running"]
                for engine in self.engines) == len(calls),
            "the streams are under way")
        return calls

    def test_order_desk_declines_while_an_engine_crosses_answers(self):
        """A declined order is repeated, a crossed answer is dropped: the one
        must not wear out what the other needs."""
        daemon = self.daemon("d1")
        self.engines[0].mode(wrong_id_events=True, times=2)
        self.desk.mode(decline=True, times=1)
        orders = [harness.Background(harness.ask, daemon.address, "/orders",
                                     {"order": n}) for n in range(10)]
        notes = [harness.Background(harness.chat, daemon.address)
                 for _ in range(10)]
        for call in orders + notes:
            answer = call.result()
            self.assert_sound(answer)
        for body, runs in self.desk.runs()["bodies"].items():
            self.assertEqual(runs, 1, body)


if __name__ == "__main__":
    unittest.main()
