"""The relaying daemon before stand-ins of a platform's store and engines."""

import http.client
import json
import pathlib
import signal
import subprocess
import tempfile
import unittest

import harness
import relay_site
from relay_site import document


class Relay(relay_site.RelayTest):

    def test_request_is_answered_by_an_engine(self):
        engine = self.engine("i-1")
        daemon = self.daemon()
        status, headers, body = self.ask(daemon, "/o/x")
        self.assertEqual((status, body), (200, b"body of i-1"))
        self.assertEqual(headers["x-response-signature"], "i-1")
        sent = engine.headers[0]
        self.assertEqual(sent["X-Tenant"], "office")
        self.assertEqual(sent["X-Expected-Instance"], "i-1")
        self.assertNotIn("Authorization", sent)
        self.assertLessEqual(int(sent["X-Deadline-Ms"]), 15000)

    def test_stream_comes_whole(self):
        self.engine("i-1")
        daemon = self.daemon()
        _, _, body = self.ask(daemon, "/p/x", stream=True)
        self.assertEqual(
            body, b"".join(b"id: %d\ndata: e%d\n\n" % (n, n)
                           for n in (1, 2, 3)))

    def test_unknown_key_and_route_are_refused(self):
        self.engine("i-1")
        daemon = self.daemon()
        self.assertEqual(self.ask(daemon, "/o/x", key="k2")[0], 401)
        self.assertEqual(self.ask(daemon, "/none/x")[0], 404)

    def test_before_any_configuration_is_not_run(self):
        # A fresh instance tells a caller for good that its path does not
        # exist: it had no configuration yet.
        daemon = relay_site.RelayDaemon(self.store.server.address)
        self.addCleanup(daemon.stop)
        status, headers, _ = self.ask(daemon, "/o/x")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.assertFalse(daemon.ready())

    def test_declined_order_goes_to_another_engine_once(self):
        busy = self.engine("i-1")
        free = self.engine("i-2")
        busy.mode = "decline"
        daemon = self.daemon()
        for number in range(6):
            self.assertEqual(self.ask(daemon, "/o/x", f"r{number}")[0], 200)
        self.assertEqual(len(free.ran), 6)
        self.assertEqual(busy.ran, [])

    def test_several_engines_crashed_another_one_answers(self):
        # Refused after three of them, while others were sound.
        engines = [self.engine(f"i-{number}") for number in range(6)]
        daemon = self.daemon()
        for each in engines[:-1]:
            each.server.stop()
        for number in range(3):
            status, _, body = self.ask(daemon, "/o/x", f"r{number}")
            self.assertEqual((status, body), (200, b"body of i-5"))

    def test_all_decline_says_not_run(self):
        for name in ("i-1", "i-2"):
            self.engine(name).mode = "decline"
        daemon = self.daemon()
        status, headers, _ = self.ask(daemon, "/o/x")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)

    def test_failed_lookup_is_asked_elsewhere_and_a_failed_order_is_not(self):
        failing = self.engine("i-1")
        sound = self.engine("i-2")
        failing.mode = "error"
        daemon = self.daemon()
        statuses = [self.ask(daemon, "/l/x", f"l{n}")[0] for n in range(6)]
        self.assertEqual(statuses, [200] * 6)
        for number in range(6):
            self.ask(daemon, "/o/x", f"o{number}")
        ran = failing.ran + sound.ran
        for number in range(6):
            self.assertEqual(ran.count(f"o{number}"), 1)

    def test_cut_stream_is_continued_without_a_gap_or_a_torn_event(self):
        # A driver's note has a word twice: the engine broke off in the middle
        # of an event, and another engine continued the stream.
        first = self.engine("i-1", events=5)
        second = self.engine("i-2", events=5)
        daemon = self.daemon()
        first.mode = second.mode = "cut"
        for number in range(6):
            _, _, body = self.ask(daemon, "/s/x", f"s{number}", stream=True)
            self.assertEqual(
                body, b"".join(b"id: %d\ndata: e%d\n\n" % (n, n)
                               for n in range(1, 6)))
        self.assertEqual(len(first.ran), 6)
        self.assertEqual(len(second.ran), 6)

    def test_cut_stream_that_may_not_be_continued_never_looks_whole(self):
        # A plan without its last pages is taken for the whole plan.
        self.engine("i-1").mode = "cut"
        daemon = self.daemon()
        with self.assertRaises(http.client.HTTPException):
            self.ask(daemon, "/p/x", stream=True)

    def test_caller_leaves_and_the_engine_is_told(self):
        engine = self.engine("i-1")
        engine.mode = "hang"
        daemon = self.daemon()
        connection = self.connect_and_send(daemon, "/o/x")
        harness.wait_until(lambda: engine.ran, "the engine runs it")
        connection.close()
        harness.wait_until(
            lambda: any(line["outcome"] == "caller_left"
                        for line in daemon.events("request_done")),
            "the caller's leaving is noticed")

    def connect_and_send(self, daemon, path):
        connection = harness.connect(daemon.address)
        self.addCleanup(connection.close)
        connection.request("POST", path, b"body", self.headers("r1"))
        return connection

    def test_draining_and_removed_engines_get_no_new_work(self):
        leaver = self.engine("i-1")
        stayer = self.engine("i-2")
        daemon = self.daemon()
        self.store.put("servers/i-1", leaver.entry(state="draining"))
        harness.wait_until(lambda: daemon.events("endpoint_draining"),
                           "the leaving is known")
        before = len(leaver.ran)
        for number in range(10):
            self.assertEqual(self.ask(daemon, "/o/x", f"r{number}")[0], 200)
        self.assertEqual(len(leaver.ran), before)
        self.assertEqual(len(stayer.ran), 10)

    def test_entries_of_other_writers_harm_no_other(self):
        self.engine("i-1")
        self.store.put("servers/i-2", b"\xff\x00 not json")
        self.store.put("servers/i-3", {"service": "engines"})
        daemon = self.daemon()
        for number in range(6):
            self.assertEqual(self.ask(daemon, "/o/x", f"r{number}")[0], 200)
        self.assertEqual(len(daemon.events("endpoint_entry_refused")), 2)

    def test_new_configuration_and_revoked_key_are_in_force(self):
        self.engine("i-1")
        daemon = self.daemon()
        self.assertEqual(self.ask(daemon, "/o/x")[0], 200)
        self.store.put("op/config", document(5, tenants=[
            {"name": "office", "api_keys": ["k9"]}]))
        harness.wait_until(
            lambda: self.ask(daemon, "/o/x", key="k9")[0] == 200, "new key")
        self.assertEqual(self.ask(daemon, "/o/x", key="k1")[0], 401)

    def test_unreadable_configuration_leaves_the_present_one(self):
        self.engine("i-1")
        daemon = self.daemon()
        self.store.put("op/config", b"{}")
        harness.wait_until(lambda: daemon.events("configuration_refused"),
                           "the refusal is logged")
        self.assertEqual(self.ask(daemon, "/o/x")[0], 200)

    def test_turned_away_by_the_store_a_peer_tells(self):
        # A revoked key works on at one instance: the store turns that one away
        # and serves the others.
        self.engine("i-1")
        first = self.daemon()
        other = relay_site.Store()
        self.addCleanup(other.server.stop)
        other.refuse = True
        second = relay_site.RelayDaemon(other.server.address, name="n2",
                                        seeds=first.peers)
        self.addCleanup(second.stop)
        harness.wait_until(second.ready, "it has a peer's configuration")
        self.assertEqual(self.ask(second, "/o/x")[0], 200)
        self.store.put("op/config", document(9, tenants=[]))
        harness.wait_until(lambda: self.ask(second, "/o/x")[0] == 401,
                           "the revocation comes by the peer")

    def test_stop_answers_what_is_in_progress(self):
        engine = self.engine("i-1")
        engine.mode = "hang"
        daemon = self.daemon()
        connection = self.connect_and_send(daemon, "/o/x")
        harness.wait_until(lambda: engine.ran, "the engine runs it")
        daemon.signal(signal.SIGTERM)
        harness.wait_until(lambda: not daemon.ready(), "it is not ready")
        engine.release.set()
        answer = connection.getresponse()
        self.assertEqual((answer.status, answer.read()),
                         (200, b"body of i-1"))
        self.assertEqual(answer.getheader("Connection"), "close")
        self.assertEqual(daemon.wait(), 0)

    def test_log_leads_from_an_identifier_to_the_cause(self):
        # On-call engineers have the identifier of a failed request and the
        # logs: its line names the endpoint and what happened there.
        for name in ("i-1", "i-2"):
            self.engine(name).mode = "decline"
        daemon = self.daemon()
        self.assertEqual(self.ask(daemon, "/o/x", "lost-one")[0], 503)
        done = harness.wait_until(
            lambda: [line for line in daemon.events("request_done")
                     if line["request"] == "lost-one"], "its line")[0]
        for field in ("outcome", "status", "route", "team", "tier",
                      "endpoint", "attempts", "first_byte_ms", "total_ms",
                      "longest_pause_ms", "expected_ms", "configuration"):
            self.assertIn(field, done)
        self.assertEqual(done["outcome"], "endpoint_declined")
        failed = [line for line in daemon.events("attempt_failed")
                  if line["request"] == "lost-one"]
        self.assertEqual([line["why"] for line in failed],
                         ["declined", "declined"])
        for line in failed:
            for field in ("endpoint", "detail", "reused", "after_ms"):
                self.assertIn(field, line)

    def operators(self, *arguments):
        """Exit code, output and errors of the operators' command."""
        done = subprocess.run([str(harness.BIN / "thornhollow"), *arguments],
                              capture_output=True, text=True, timeout=20)
        return done.returncode, done.stdout, done.stderr

    def test_operators_command_reads_a_document_as_a_daemon_does(self):
        with tempfile.TemporaryDirectory() as folder:
            good = pathlib.Path(folder, "good.json")
            good.write_text(json.dumps(document(7)))
            bad = pathlib.Path(folder, "bad.json")
            bad.write_text(json.dumps(document(8, routes=[{"name": 3}])))
            code, out, _ = self.operators("check-document", str(good))
            self.assertEqual(code, 0)
            self.assertIn("accepted: version 7, 4 route(s)", out)
            code, _, errors = self.operators("check-document", str(bad))
            self.assertEqual(code, 1)
            self.assertIn("refused: ", errors)
            code, out, _ = self.operators(
                "explain-document", str(good), "--host", "a.example",
                "--path", "/s/x", "--token", "k1")
            self.assertEqual(code, 0, out)
            self.assertIn("stream, may be continued elsewhere", out)
            self.assertIn("office", out)

    def test_operators_command_tells_what_an_instance_believes(self):
        self.engine("i-1")
        daemon = self.daemon()
        code, out, errors = self.operators(
            "status", "--instances", daemon.operators)
        self.assertEqual(code, 0, errors)
        self.assertRegex(out, r"configuration: 1 items at revision \d+, "
                              r"source answered \d+\.\d s ago\n")
        self.assertRegex(out, r"endpoints: 1 items at revision \d+")
        self.store.refuse = True
        harness.wait_until(
            lambda: "failing now" in self.operators(
                "status", "--instances", daemon.operators)[1],
            "the outage shows")

    def test_smuggled_requests_are_refused(self):
        engine = self.engine("i-1")
        daemon = self.daemon()
        for extra in (b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                      b"Content-Length: 4\r\nContent-Length: 5\r\n",
                      b"X-A: b\r\n folded: c\r\n",
                      b"X-A: b\nX-B: c\r\n"):
            reply = self.raw(daemon, b"POST /o/x HTTP/1.1\r\nHost: a.example"
                             b"\r\nX-Attempt-Id: r1\r\n" + extra + b"\r\nbody")
            self.assertTrue(reply.startswith(b"HTTP/1.1 400"), reply)
        self.assertEqual(engine.ran, [])

    def raw(self, daemon, data):
        connection = harness.connect(daemon.address)
        self.addCleanup(connection.close)
        connection.connect()
        connection.sock.sendall(data)
        return connection.sock.recv(65536)


if __name__ == "__main__":
    unittest.main()
