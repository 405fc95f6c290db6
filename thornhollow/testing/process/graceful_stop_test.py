"""A planned stop cuts no request in flight and loses none.

The load tool is the balancer: it takes the daemons in turn and the next one
when a connection is refused, and comes back when an answer tells it to.
"""

import pathlib
import tempfile
import unittest

import harness

WORKLOAD = """
seed: 5
duration_s: 12
classes:
  - name: notes
    token: secret
    class: notes
    model: m
    rate: 40
    max_tokens: 40
    tries: 5
  - name: plans
    token: secret
    class: plans
    model: m
    rate: 5
    max_tokens: 1000
    tries: 5
  - name: orders
    token: secret
    path: /orders
    rate: 20
    tries: 5
"""


class GracefulStop(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.engines = [self.engine("e1"), self.engine("e2")]
        self.orders = self.service("orders", "s1")
        self.publish()

    def start_load(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "workload.yaml")
        path.write_text(WORKLOAD)
        return self.start(
            "thornhollow-load", f"--workload={path}", "--strict",
            "--targets=" + ",".join(d.address for d in self.daemons),
            "--engines=" + ",".join(e.address for e in self.engines),
            ready=False)

    def under_way(self):
        harness.wait_until(
            lambda: harness.chat_runs(*self.engines) > 50, "load is under way")

    def check(self, load):
        output = load.process.stdout.read()
        self.assertEqual(load.wait(), 0, load.log())
        report = harness.json.loads(output)
        for each in report["classes"]:
            self.assertGreater(each["sent"], 0)
            self.assertEqual(each["completed"], each["sent"], load.log())
        self.assertEqual(report["tokens_wasted"], 0, load.log())
        orders = self.orders.runs()["bodies"]
        self.assertEqual(set(orders.values()), {1})

    def stop_gracefully(self, daemon):
        daemon.signal(harness.signal.SIGTERM)
        self.assertEqual(daemon.wait(), 0, daemon.log())

    def test_one_of_two_stops_under_load_nothing_cut_nothing_lost(self):
        first, _ = self.daemon("d1"), self.daemon("d2")
        load = self.start_load()
        self.under_way()
        self.stop_gracefully(first)
        self.check(load)

    def test_all_replaced_one_after_another_nothing_cut_nothing_lost(self):
        daemons = [self.daemon(f"d{number}") for number in range(3)]
        load = self.start_load()
        self.under_way()
        for daemon in daemons:
            self.stop_gracefully(daemon)
            self.daemon(settings=daemon.settings)
        self.check(load)

    def test_long_stream_outlives_the_order_to_stop(self):
        daemon = self.daemon("d1")
        call = harness.Background(harness.chat, daemon.address, "plans",
                                  tokens=3000)
        harness.wait_until(
            lambda: harness.chat_runs(*self.engines) == 1, "the stream runs")
        daemon.signal(harness.signal.SIGTERM)
        harness.wait_until(lambda: daemon.status_page()["draining"],
                           "the daemon drains")
        self.assertFalse(daemon.ready())
        refused = harness.chat(daemon.address)
        self.assertEqual((refused.kind, refused.ran), ("draining", "no"))
        answer = call.result()
        self.assertEqual(answer.end, "done", answer)
        self.assertEqual(len(answer.indices), 3000)
        self.assertEqual(daemon.wait(), 0)

    def test_idle_daemon_stops(self):
        self.stop_gracefully(self.daemon("d1"))


if __name__ == "__main__":
    unittest.main()
