"""The stand-ins themselves: what they answer and what they count.

Tests of the daemon judge by these counts, so the counts are tested first.
"""

import json
import threading
import unittest

import harness

CHAT = "/v1/chat/completions"


class FakeEngine(harness.ProcessTest):

    def start_engine(self, *arguments):
        return self.start("fake-engine", "--step_ms=1",
                          "--mean_tokens=1000000", *arguments)

    def request(self, engine, name, tokens=5, **fields):
        body = {"messages": [{"role": "user", "content": "a b c"}],
                "max_tokens": tokens, "stream": True, **fields}
        return self.stream(engine.address, CHAT, body,
                           {"X-Request-Id": name})

    def test_request_whole_each_token_once_and_end_marker(self):
        engine = self.start_engine()
        stream = self.request(engine, "r1")
        events = list(stream)
        self.assertEqual(stream.headers["x-request-id"], "r1")
        self.assertEqual([e["index"] for e in events], [0, 1, 2, 3, 4])
        self.assertEqual({e["id"] for e in events}, {"r1"})
        self.assertEqual(events[-1]["finish_reason"], "length")
        self.assertEqual(stream.ended, "done")
        self.assertEqual(engine.runs()["requests"]["r1"]["runs"], 1)

    def test_crash_mid_stream_another_engine_resumes_same_text(self):
        first, second = self.start_engine(), self.start_engine()
        whole = [e["token"] for e in self.request(second, "r1")]
        first.mode(crash_after_tokens=2)
        broken = self.request(first, "r1")
        tokens = [e["token"] for e in broken]
        self.assertEqual(broken.ended, "broken")
        self.assertEqual(len(tokens), 2)
        resumed = self.request(second, "r1", resume_from=2)
        tokens += [e["token"] for e in resumed]
        self.assertEqual(tokens, whole)
        self.assertEqual(first.runs()["requests"]["r1"]["tokens"], 2)

    def test_cut_without_end_marker_stream_ends_orderly(self):
        engine = self.start_engine()
        engine.mode(cut_after_tokens=2, times=1)
        stream = self.request(engine, "r1")
        self.assertEqual(len(list(stream)), 2)
        self.assertEqual(stream.ended, "end")
        again = self.request(engine, "r1")
        self.assertEqual(len(list(again)), 5)

    def test_declined_says_not_run_and_counts_no_run(self):
        engine = self.start_engine()
        engine.mode(leaving=True)
        status, headers, _ = harness.call(
            engine.address, "POST", CHAT, {}, {"X-Request-Id": "r1"})
        self.assertEqual((status, headers["x-request-ran"],
                          headers["x-leaving"]), (503, "no", "yes"))
        self.assertNotIn("r1", engine.runs()["requests"])
        self.assertTrue(engine.get("/v1/load")["leaving"])

    def test_connection_closed_run_is_cancelled(self):
        engine = self.start_engine()
        stream = self.request(engine, "r1", tokens=1000000)
        next(iter(stream))
        stream.close()
        record = harness.wait_until(
            lambda: (r := engine.runs()["requests"]["r1"])["cancelled"] and r,
            "cancel after close")
        self.assertEqual(record["finished"], 0)
        self.assertEqual(engine.get("/v1/load")["slots"], 8)

    def test_refuse_new_connections_fail_and_control_stays(self):
        engine = self.start_engine()
        engine.mode(refuse=True)
        with self.assertRaises(ConnectionRefusedError):
            harness.call(engine.address, "GET", "/v1/load")
        engine.mode()
        status, _, _ = harness.call(engine.address, "GET", "/v1/load")
        self.assertEqual(status, 200)

    def test_wrong_ids_in_header_and_events(self):
        engine = self.start_engine()
        engine.mode(wrong_id_header=True, wrong_id_events=True)
        stream = self.request(engine, "r1")
        self.assertNotEqual(stream.headers["x-request-id"], "r1")
        self.assertNotIn("r1", {e["id"] for e in stream})

    def test_marked_request_ends_the_engine_and_others_with_it(self):
        engine = self.start("fake-engine", "--mean_tokens=0")
        engine.mode(end_on="marked", back_after_ms=300)
        other = self.stream(engine.address, "/v1/chat/completions",
                            {"model": "m", "max_tokens": 4000,
                             "messages": [{"role": "user", "content": "a"}]},
                            {"X-Request-Id": "other"})
        with self.assertRaises((OSError, harness.http.client.HTTPException)):
            self.stream(engine.address, "/v1/chat/completions",
                        {"model": "m", "max_tokens": 4,
                         "messages": [{"role": "user", "content": "marked"}]},
                        {"X-Request-Id": "r1"})
        list(other)
        self.assertEqual(other.ended, "broken")
        self.assertEqual(engine.runs()["totals"]["ended"], 1)
        harness.wait_until(lambda: self.answers(engine), "it is back")

    @staticmethod
    def answers(engine):
        try:
            return harness.call(engine.address, "GET", "/v1/load")[0] == 200
        except OSError:
            return False

    def test_unknown_mode_is_refused(self):
        engine = self.start_engine()
        with self.assertRaises(AssertionError):
            engine.mode(no_such_fault=True)


class FakeService(harness.ProcessTest):

    def call_service(self, service, name, body="order 7"):
        return harness.call(service.address, "POST", "/orders", body,
                            {"X-Request-Id": name})

    def test_two_requests_one_body_both_counted(self):
        service = self.start("fake-service", "--work_ms=0")
        for name in ("r1", "r2"):
            status, headers, body = self.call_service(service, name)
            self.assertEqual((status, headers["x-request-id"]), (200, name))
            self.assertEqual(json.loads(body)["body"], "order 7")
        runs = service.runs()
        self.assertEqual(runs["requests"], {"r1": 1, "r2": 1})
        self.assertEqual(runs["bodies"], {"order 7": 2})

    def test_crash_after_run_counts_it_and_before_run_does_not(self):
        service = self.start("fake-service", "--work_ms=0")
        for fault, expected in (("crash_before_run", 0), ("crash_after_run", 1)):
            service.mode(**{fault: True})
            with self.assertRaises((OSError, harness.http.client.HTTPException)):
                self.call_service(service, fault)
            self.assertEqual(service.runs()["requests"].get(fault, 0), expected)


    def test_marked_call_ends_the_service_which_is_back_later(self):
        service = self.start("fake-service", "--work_ms=5000")
        service.mode(end_on="marked", back_after_ms=300)
        beside = harness.Background(
            self.failure, lambda: self.call_service(service, "beside"))
        harness.wait_until(lambda: service.runs()["totals"]["runs"] == 1,
                           "the other call runs")
        self.assertTrue(
            self.failure(lambda: self.call_service(service, "r1", "marked")))
        self.assertTrue(beside.result())
        with self.assertRaises(ConnectionRefusedError):
            self.call_service(service, "r2")
        self.assertEqual(service.runs()["totals"]["ended"], 1)
        harness.wait_until(
            lambda: not self.failure(lambda: harness.call(
                service.address, "GET", "/test/runs")), "it is back")

    @staticmethod
    def failure(call):
        try:
            call()
        except (OSError, harness.http.client.HTTPException) as failure:
            return failure
        return None


class FakePlatform(harness.ProcessTest):

    PATH = "/v1/values/thornhollow/manifest"

    def put(self, platform, text):
        return harness.call(platform.control, "PUT",
                            "/test/values/thornhollow/manifest", text)

    def read(self, platform, query=""):
        status, headers, body = harness.call(
            platform.address, "GET", self.PATH + query)
        return status, headers.get("x-version"), body

    def test_watch_wakes_on_the_next_version(self):
        platform = self.start("fake-platform")
        self.put(platform, "one")
        self.assertEqual(self.read(platform), (200, "1", b"one"))
        seen = []
        watcher = threading.Thread(target=lambda: seen.append(
            self.read(platform, "?after=1&wait_ms=60000")))
        watcher.start()
        harness.wait_until(
            lambda: platform.get("/test/calls")["waiting"] == 1, "watch waits")
        self.put(platform, "two")
        watcher.join()
        self.assertEqual(seen, [(200, "2", b"two")])
        self.assertEqual(platform.get("/test/calls")["calls"], 2)

    def test_nothing_newer_watch_ends_unchanged(self):
        platform = self.start("fake-platform")
        self.put(platform, "one")
        status, version, _ = self.read(platform, "?after=1&wait_ms=20")
        self.assertEqual((status, version), (304, "1"))

    def test_stale_older_version_is_answered(self):
        platform = self.start("fake-platform")
        self.put(platform, "one")
        self.put(platform, "two")
        platform.mode(stale_version=1)
        self.assertEqual(self.read(platform), (200, "1", b"one"))
        platform.mode()
        self.assertEqual(self.read(platform), (200, "2", b"two"))

    def test_down_watch_breaks_and_reads_are_refused(self):
        platform = self.start("fake-platform")
        self.put(platform, "one")
        failures = []

        def watch():
            try:
                self.read(platform, "?after=1&wait_ms=60000")
            except (OSError, harness.http.client.HTTPException) as error:
                failures.append(error)

        watcher = threading.Thread(target=watch)
        watcher.start()
        harness.wait_until(
            lambda: platform.get("/test/calls")["waiting"] == 1, "watch waits")
        platform.mode(down=True)
        watcher.join()
        self.assertEqual(len(failures), 1)
        with self.assertRaises(ConnectionRefusedError):
            self.read(platform)

    def test_list_frozen_later_list_is_not_seen(self):
        platform = self.start("fake-platform")

        def put_list(name):
            harness.call(platform.control, "PUT", "/test/instances",
                         {"instances": [{"name": name}]})

        def names():
            status, _, body = harness.call(
                platform.address, "GET", "/v1/instances")
            return status == 200 and [
                each["name"] for each in json.loads(body)["instances"]]

        put_list("a")
        harness.wait_until(lambda: names() == ["a"], "first list")
        platform.mode(list_frozen=True)
        put_list("b")
        self.assertEqual(names(), ["a"])
        platform.mode()
        harness.wait_until(lambda: names() == ["b"], "second list")


class FaultProxy(harness.ProcessTest):

    def setUp(self):
        self.service = self.start("fake-service", "--work_ms=0")
        self.proxy = self.start("fault-proxy",
                                f"--target={self.service.address}")

    def call_through(self, connection, name):
        connection.request("POST", "/orders", "x", {"X-Request-Id": name})
        answer = connection.getresponse()
        answer.read()
        return answer.status

    def test_pass_then_reset_after_half_the_request(self):
        """The target must see nothing that it could run."""
        self.assertEqual(
            self.call_through(self.connect(self.proxy.address), "r1"), 200)
        self.proxy.mode(fault="reset", direction="up", after_bytes=20)
        with self.assertRaises((OSError, harness.http.client.HTTPException)):
            self.call_through(self.connect(self.proxy.address), "r2")
        self.assertEqual(self.service.runs()["requests"], {"r1": 1})

    def test_silence_old_connection_hangs_and_new_one_works(self):
        old = self.connect(self.proxy.address)
        self.assertEqual(self.call_through(old, "r1"), 200)
        self.proxy.mode(fault="silence")
        old.request("POST", "/orders", "x", {"X-Request-Id": "r2"})
        self.assertEqual(
            self.call_through(self.connect(self.proxy.address), "r3"), 200)
        self.assertEqual(self.service.runs()["requests"], {"r1": 1, "r3": 1})
        # Neither an answer nor a close: the connection looks open.
        old.sock.setblocking(False)
        with self.assertRaises(BlockingIOError):
            old.sock.recv(1)

    def test_freeze_lifted_held_bytes_arrive(self):
        self.proxy.mode(fault="freeze")
        statuses = []
        caller = threading.Thread(target=lambda: statuses.append(
            self.call_through(self.connect(self.proxy.address), "r1")))
        caller.start()
        harness.wait_until(
            lambda: self.proxy.get("/test/connections")["open"] == 1, "open")
        self.assertEqual(self.service.runs()["requests"], {})
        self.proxy.mode()
        caller.join()
        self.assertEqual(statuses, [200])

    def test_cut_open_connections_close(self):
        old = self.connect(self.proxy.address)
        self.assertEqual(self.call_through(old, "r1"), 200)
        self.proxy.mode(fault="cut")
        with self.assertRaises((OSError, harness.http.client.HTTPException)):
            self.call_through(old, "r2")


if __name__ == "__main__":
    unittest.main()
