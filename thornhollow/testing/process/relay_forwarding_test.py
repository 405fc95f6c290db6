"""Promises to a caller whose request another instance serves, since the one
that took it reaches no endpoint."""

import http.client
import time
import unittest

import cut_off_site
import harness
import relay_site

# What a caller's leaving may take until the endpoint's connection is closed.
CANCELLED_WITHIN_S = 0.5


class Forwarded(cut_off_site.CutOffTest):

    def begin_with_cut(self, instances=3):
        self.begin(instances)
        self.traffic(0.5)
        self.cut_off = self.fleet[0]
        self.cut([self.cut_off], "reset")
        self.ask(self.cut_off, "/l/x", "first")
        harness.wait_until(
            lambda: self.cut_off.events("endpoint_contact"), "contact is lost")

    def hold(self, mode="hang"):
        for engine in self.engines:
            engine.mode = mode

    def running(self, request):
        return harness.wait_until(
            lambda: next((engine for engine in self.engines
                          if request in engine.ran), None),
            f"{request} runs")

    def carrier(self, request):
        """The instance that served the request for the other."""
        line = harness.wait_until(
            lambda: next((line for line in self.cut_off.events("request_done")
                          if line["request"] == request), None),
            f"{request} is done")
        return line["via"]

    def headers_at_engine(self, request):
        return next(headers for engine in self.engines
                    for headers in engine.headers
                    if headers[relay_site.ID] == request)

    def test_answer_and_signature_come_as_the_endpoint_gave_them(self):
        self.begin_with_cut()
        status, headers, body = self.ask(self.cut_off, "/o/x", "a1")
        self.assertEqual(status, 200)
        name = headers[relay_site.SIGNATURE.lower()]
        self.assertEqual(body, f"body of {name}".encode())
        self.assertEqual(headers[relay_site.ID.lower()], "a1")
        self.assertNotIn("thornhollow-error", headers)
        sent = self.headers_at_engine("a1")
        self.assertEqual(sent["X-Tenant"], "office")
        self.assertNotIn("Authorization", sent)
        self.assertNotIn("Thornhollow-Forwarded", sent)
        self.assertLessEqual(int(sent["X-Deadline-Ms"]), 15000)
        self.assertTrue(self.carrier("a1"))

    def test_unknown_token_is_refused_though_forwarded(self):
        self.begin_with_cut()
        status, _, _ = self.ask(self.cut_off, "/o/x", "u1", key="other")
        self.assertEqual(status, 401)
        self.assertEqual(self.runs("u1"), 0)

    def test_port_for_forwarded_requests_grants_nothing(self):
        self.begin_with_cut()
        self.ask(self.cut_off, "/o/x", "p0")
        port = self.carrier("p0")
        for token in ("other", ""):
            headers = self.headers("p1", key=token)
            headers["Thornhollow-Forwarded"] = "0,1"
            status, _, _ = harness.call(port, "POST", "/o/x", b"body", headers)
            self.assertEqual(status, 401)
        # Without the mark nothing is served there.
        status, _, _ = harness.call(port, "POST", "/o/x", b"body",
                                    self.headers("p2"))
        self.assertEqual(status, 503)
        self.assertEqual(self.runs("p1") + self.runs("p2"), 0)

    def test_instance_with_an_older_configuration_does_not_decide(self):
        self.begin_with_cut()
        self.ask(self.cut_off, "/o/x", "v0")
        headers = self.headers("v1")
        headers["Thornhollow-Forwarded"] = "0,2"
        status, told, _ = harness.call(self.carrier("v0"), "POST", "/o/x",
                                       b"body", headers)
        self.assertEqual((status, told["thornhollow-error"]),
                         (503, "not_ready"))
        self.assertEqual(self.runs("v1"), 0)

    def test_callers_leaving_ends_the_run(self):
        self.begin_with_cut()
        self.hold()
        connection = harness.connect(self.cut_off.address)
        connection.request("POST", "/l/x", b"body", self.headers("c1"))
        self.running("c1")
        connection.close()
        left = time.monotonic()
        done = harness.wait_until(
            lambda: [line for daemon in self.fleet[1:]
                     for line in daemon.events("request_done")
                     if line["request"] == "c1"], "the run is cancelled")
        self.assertLess(time.monotonic() - left, CANCELLED_WITHIN_S)
        self.assertEqual(done[0]["outcome"], "caller_left")

    def test_carrier_that_dies_leaves_an_order_unrepeated(self):
        self.begin_with_cut()
        self.hold()
        order = harness.Background(self.ask, self.cut_off, "/o/x", "d1")
        self.running("d1")
        self.kill_carrier()
        self.assertEqual(order.result()[0], 502)
        self.assertEqual(self.runs("d1"), 1)

    def kill_carrier(self):
        """Ends the instance that serves the one request in progress."""
        for daemon in self.fleet[1:]:
            page = harness.call(daemon.operators, "GET", "/status")[2]
            if b'"in_progress":1' in page.replace(b" ", b""):
                daemon.kill()
                # The next one may serve the request by now.
                return
        self.fail("no instance serves the request")

    def test_look_up_is_repeated_by_another_when_the_carrier_dies(self):
        self.begin_with_cut(4)
        self.hold()
        look_up = harness.Background(self.ask, self.cut_off, "/l/x", "e1")
        self.running("e1")
        for engine in self.engines:
            engine.mode = ""
        self.kill_carrier()
        self.assertEqual(look_up.result()[0], 200)
        self.assertEqual(self.runs("e1"), 2)

    def test_stream_whose_carrier_dies_does_not_look_complete(self):
        self.begin_with_cut()
        for engine in self.engines:
            engine.event_gap_s = 0.3
        connection = harness.connect(self.cut_off.address)
        self.addCleanup(connection.close)
        connection.request("POST", "/p/x", b"body",
                           self.headers("s1", stream=True))
        answer = connection.getresponse()
        self.assertIn(b"id: 1", answer.read1())
        self.kill_carrier()
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            while answer.read1():
                pass
        self.assertEqual(self.runs("s1"), 1)

    def test_stopping_carrier_finishes_what_it_serves(self):
        self.begin_with_cut()
        for engine in self.engines:
            engine.slow_on = b"body"
            engine.slow_s = 1.0
        asked = [harness.Background(self.ask, self.cut_off, "/o/x", f"t{number}")
                 for number in range(6)]
        self.running("t0")
        for daemon in self.fleet[1:]:
            daemon.signal(15)
        for each in asked:
            self.assertEqual(each.result()[0], 200)
        for daemon in self.fleet[1:]:
            self.assertEqual(daemon.wait(), 0)

    def test_nobody_reaches_the_endpoints_refused_at_once_and_not_run(self):
        self.begin(2)
        self.traffic(0.5)
        self.cut(self.fleet, "hang")
        for number, daemon in enumerate(self.fleet * 3):
            self.ask(daemon, "/l/x", f"n{number}", body=b"n")
        time.sleep(1.0)
        began = time.monotonic()
        status, headers, _ = self.ask(self.fleet[0], "/o/x", "last")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertLess(time.monotonic() - began, 0.2)
        self.assertEqual(self.runs("last"), 0)


if __name__ == "__main__":
    unittest.main()
