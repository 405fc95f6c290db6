"""Answers with neither a length nor chunks, which end with their connection:
one that was broken off must not reach its caller framed as complete, and a
whole one must reach it."""

import threading
import unittest

import cut_off_site
import harness
import open_ended_site
from open_ended_site import (Answer, LOOK_UP, ORDER, PartCount, RESUMABLE,
                             STREAM, WHOLE_STREAM)


class BrokenOff(open_ended_site.OpenEndedTest):

    def test_stream_broken_off_inside_an_event_not_complete(self):
        self.site("inside")
        for answer, case in self.answers(STREAM):
            with self.subTest(case):
                self.assertFalse(answer.complete, answer.body)

    def test_stream_reset_between_events_not_complete(self):
        self.site("reset")
        for answer, case in self.answers(STREAM):
            with self.subTest(case):
                self.assertFalse(answer.complete, answer.body)

    def test_stream_without_an_event_not_complete(self):
        self.site("head")
        for answer, case in self.answers(STREAM):
            with self.subTest(case):
                self.assertTrue(not answer.complete or answer.status >= 500)

    def resumable_comes_whole(self, broken_off):
        self.site(broken_off)
        for answer, case in self.answers(RESUMABLE):
            with self.subTest(case):
                self.assertTrue(answer.complete)
                self.assertEqual(answer.body, WHOLE_STREAM)

    def test_resumable_stream_without_an_event_comes_whole(self):
        self.resumable_comes_whole("head")

    def test_resumable_stream_broken_off_inside_an_event_comes_whole(self):
        self.resumable_comes_whole("inside")

    def test_resumable_stream_reset_comes_whole(self):
        self.resumable_comes_whole("reset")

    def test_chunked_stream_resumed_until_a_connection_ends_not_complete(self):
        # The first endpoint's chunks promise a last one, which nobody gave.
        self.begin(2)
        for engine in self.engines:
            engine.mode = "cut"
            engine.resumed_end_with_connection = True
        for answer, case in self.answers(RESUMABLE):
            with self.subTest(case):
                self.assertFalse(answer.complete, answer.body)

    def test_resumable_stream_by_way_of_another_keeps_to_its_attempts(self):
        # The route allows two endpoints; each breaks each stream off.
        self.site("inside", instances=3)
        for engine in self.engines:
            engine.broken_requests = set()
        self.cut(self.fleet[:1], "reset")
        answer = Answer(self.fleet[0], RESUMABLE, self.headers("k1", True),
                        "1.1")
        self.assertFalse(answer.complete)
        self.assertLessEqual(
            sum(engine.ran.count("k1") for engine in self.engines), 2)

    def asked_by_way_of_a_carrier(self, begun=None):
        self.cut(self.fleet[:1], "reset")
        return harness.Background(Answer, self.fleet[0], STREAM,
                                  self.headers("d1", True), "1.1", begun)

    def test_open_ended_stream_whose_carrier_dies_not_complete(self):
        self.site()
        for engine in self.engines:
            engine.event_gap_s = 0.3
        begun = threading.Event()
        asked = self.asked_by_way_of_a_carrier(begun)
        self.assertTrue(begun.wait(harness.LIMIT_SECONDS))
        self.fleet[1].kill()
        answer = asked.result()
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.complete, answer.body)

    def cut_by_the_instance(self, end, **options):
        """Streams of each kind whose instance ends by `end` after their first
        event: none may be complete."""
        self.site()
        for engine in self.engines:
            engine.ends_with_connection = options.get("open_ended", True)
            engine.event_gap_s = 1.0
        begun = threading.Event()
        asked = [harness.Background(Answer, self.fleet[1], path,
                                    self.headers(f"k{number}", True),
                                    options.get("version", "1.1"), begun)
                 for number, path in enumerate((STREAM, RESUMABLE))]
        self.assertTrue(begun.wait(harness.LIMIT_SECONDS))
        end(self.fleet[1])
        for each in asked:
            answer = each.result()
            self.assertFalse(answer.complete, answer.body)

    def test_open_ended_stream_whose_instance_is_killed_not_complete(self):
        self.cut_by_the_instance(lambda daemon: daemon.kill())

    def test_stream_of_http_1_0_whose_instance_is_killed_not_complete(self):
        self.cut_by_the_instance(lambda daemon: daemon.kill(),
                                 open_ended=False, version="1.0")

    def test_stream_whose_carrier_dies_before_its_head_fails(self):
        self.site()
        for engine in self.engines:
            engine.slow_on = b"body"
        asked = self.asked_by_way_of_a_carrier()
        harness.wait_until(lambda: any(engine.ran for engine in self.engines),
                           "it runs")
        self.fleet[1].kill()
        answer = asked.result()
        self.assertGreaterEqual(answer.status, 500)
        self.assertTrue(answer.complete, answer.body)

    def ended_between_events(self, path, name, instances=2):
        """A stream whose engine's process ends after an event: its connections
        are closed in order, and its address refuses new ones. Returns its
        answer and the instance that asked the engine."""
        self.site(instances=instances)
        for engine in self.engines:
            engine.event_gap_s = 0.4
        parts = PartCount()
        asked = harness.Background(Answer, self.fleet[0], path,
                                   self.headers(name, True), "1.1", parts)
        # Right after the first event the stream's version isn't confirmed yet,
        # and it couldn't be continued.
        harness.wait_until(lambda: parts.count >= 2, "two events have come")
        [runs] = [engine for engine in self.engines if name in engine.ran]
        for daemon in self.fleet:
            daemon.paths[runs.name].server.end()
        return asked.result()

    def test_open_ended_stream_whose_engine_ends_not_complete(self):
        answer = self.ended_between_events(STREAM, "e1")
        self.assertFalse(answer.complete, answer.body)
        self.assertEqual(self.ends(self.fleet[0]), ("reset", "refused"))

    def test_open_ended_resumable_stream_whose_engine_ends_comes_whole(self):
        answer = self.ended_between_events(RESUMABLE, "e2")
        self.assertTrue(answer.complete,
                        self.fleet[0].events("attempt_failed"))
        self.assertEqual(answer.body, WHOLE_STREAM)

    def test_whole_open_ended_stream_is_taken_as_its_process_answers(self):
        # The question costs a connection for each such end.
        self.site()
        answer = Answer(self.fleet[0], STREAM, self.headers("e3", True), "1.1")
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, WHOLE_STREAM)
        self.assertEqual(self.ends(self.fleet[0]),
                         ("in_order", "process_answered"))

    def test_whole_open_ended_stream_of_a_silent_engine_is_taken(self):
        # It stands still for a while after its answer, and then tells that it
        # runs: nothing else vouches for the end.
        self.site()
        for engine in self.engines:
            engine.report_after_s = 1.0
        answer = Answer(self.fleet[0], STREAM, self.headers("e4", True), "1.1")
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, WHOLE_STREAM)
        self.assertEqual(self.ends(self.fleet[0]),
                         ("in_order", "process_answered"))

    def test_whole_answer_of_each_kind_comes_whole(self):
        self.site()
        for answer, case in self.answers(STREAM, RESUMABLE, LOOK_UP, ORDER):
            with self.subTest(case):
                self.assertTrue(answer.complete)
                self.assertTrue(answer.body == WHOLE_STREAM
                                or answer.body.startswith(b"body of i-"))

    def test_order_whose_answer_is_reset_not_delivered_and_not_repeated(self):
        self.site("reset")
        for answer, case in self.answers(ORDER):
            with self.subTest(case):
                self.assertGreaterEqual(answer.status, 500)
                self.assertNotIn(answer.status, cut_off_site.NOT_RUN)
        ran = [request for engine in self.engines for request in engine.ran]
        self.assertEqual(len(ran), len(set(ran)))

    def test_look_up_whose_answer_is_reset_comes_whole(self):
        self.site("reset")
        for answer, case in self.answers(LOOK_UP):
            with self.subTest(case):
                self.assertTrue(answer.complete)
                self.assertRegex(answer.body, b"^body of i-[0-9]$")

    def test_framing_of_the_endpoint_is_not_added_to(self):
        # Whoever framed a body that ended with its connection would vouch for
        # it.
        self.site("between")
        for answer, case in self.answers(STREAM, RESUMABLE, LOOK_UP, ORDER):
            with self.subTest(case):
                self.assertFalse(answer.has_framing)


if __name__ == "__main__":
    unittest.main()
