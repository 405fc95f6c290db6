"""Every caller gets the whole answer to its own request.

Two engines serve one model; one of them misbehaves. A third engine that no
daemon knows says what the answer to a request must be, since every engine
stand-in gives the same text for the same identifier.
"""

import unittest

import harness

TOKENS = 20


class WholeAnswer(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.faulty = self.engine("e1")
        self.good = self.engine("e2")
        self.oracle = self.start("fake-engine", "--step_ms=1",
                                 "--mean_tokens=1000000")

    def expected(self, request_id):
        stream = self.stream(
            self.oracle.address, "/v1/chat/completions",
            {"max_tokens": TOKENS}, {"X-Request-Id": request_id})
        return [event["token"] for event in stream]

    def check(self, answer):
        self.assert_sound(answer)
        expected = self.expected(answer.id)
        if answer.end == "done":
            self.assertEqual(answer.tokens, expected)
        else:
            self.assertEqual(answer.tokens, expected[:len(answer.tokens)])

    def faulty_ran(self):
        return self.faulty.runs()["totals"]["accepted"] > 0

    def ask(self, daemon):
        return harness.chat(daemon.address, "notes", tokens=TOKENS)

    def run_fault(self, **fault):
        daemon = self.site()
        self.faulty.mode(**fault)
        answers = self.ask_until(
            self.faulty_ran, "the faulty engine got a request",
            lambda: self.ask(daemon))
        for answer in answers:
            self.check(answer)
        return answers

    def all_done(self, answers):
        self.assertEqual({a.end for a in answers}, {"done"}, answers)

    def test_crash_mid_stream_resumed_at_the_exact_token(self):
        answers = self.run_fault(crash_after_tokens=3)
        self.all_done(answers)
        self.assertEqual(self.good.runs()["totals"]["resumed"], 1)
        record = self.good.runs()["requests"][answers[-1].id]
        self.assertEqual(record["first_index"], 3)

    def test_cut_without_end_marker_resumed(self):
        answers = self.run_fault(cut_after_tokens=5)
        self.all_done(answers)
        record = self.good.runs()["requests"][answers[-1].id]
        self.assertEqual(record["first_index"], 5)

    def test_cut_before_the_end_marker_only_completed_without_repetition(self):
        self.all_done(self.run_fault(cut_after_tokens=TOKENS))

    def test_frozen_mid_stream_resumed(self):
        self.all_done(self.run_fault(freeze_after_tokens=4))

    def test_another_identifier_in_the_head_never_reaches_the_caller(self):
        self.all_done(self.run_fault(wrong_id_header=True))

    def test_another_identifier_in_events_never_reaches_the_caller(self):
        self.all_done(self.run_fault(wrong_id_events=True))

    def test_resumed_wrongly_no_token_missing_unnoticed(self):
        """The engine that goes on with the stream skips a token. Passed on, the
        caller would read a plan with a hole in it."""
        daemon = self.site()
        self.faulty.mode(crash_after_tokens=3)
        self.good.mode(resume_offset=1)
        answers = self.ask_until(
            self.faulty_ran, "the faulty engine got a request",
            lambda: self.ask(daemon))
        for answer in answers:
            self.check(answer)

    def test_late_answer_of_a_given_up_attempt_reaches_nobody(self):
        """The faulty engine is so slow that its answer comes when the request
        was given to the other one long ago."""
        daemon = self.site()
        self.faulty.mode(slow_factor=1500)
        answers = self.ask_until(
            self.faulty_ran, "the faulty engine got a request",
            lambda: self.ask(daemon))
        self.all_done(answers)
        for answer in answers:
            self.check(answer)
        harness.wait_until(
            lambda: self.faulty.runs()["totals"]["cancelled"] > 0,
            "the given up attempt is cancelled")
        self.check(self.ask(daemon))

    def test_whole_completion_from_a_broken_stream_is_whole(self):
        daemon = self.site()
        self.faulty.mode(crash_after_tokens=3)
        answers = self.ask_until(
            self.faulty_ran, "the faulty engine got a request",
            lambda: harness.chat(daemon.address, tokens=TOKENS, stream=False))
        for answer in answers:
            self.assertEqual(answer.end, "done", answer)
            body = harness.json.loads(answer.body)
            self.assertEqual(body["choices"][0]["message"]["content"],
                             "".join(self.expected(answer.id)))
            self.assertEqual(body["usage"]["completion_tokens"], TOKENS)

    def test_many_at_once_while_an_engine_breaks_every_stream(self):
        daemon = self.site()
        self.faulty.mode(crash_after_tokens=2)
        calls = [harness.Background(self.ask, daemon) for _ in range(30)]
        for call in calls:
            self.check(call.result())

    def test_both_engines_break_every_stream_explicit_error(self):
        daemon = self.site()
        for engine in (self.faulty, self.good):
            engine.mode(crash_after_tokens=0)
        answer = self.ask(daemon)
        self.check(answer)
        self.assertEqual(answer.end, "error")
        self.assertNotEqual(answer.ran, "no")

    def test_caller_leaves_engine_stops_computing(self):
        """Work on an answer that nobody reads any more is wasted."""
        daemon = self.site()
        connection = self.connect(daemon.address)
        connection.request(
            "POST", "/v1/chat/completions",
            harness.json.dumps(harness.chat_body(100000)),
            {"Authorization": f"Bearer {harness.TOKEN}",
             "Content-Type": "application/json"})
        response = connection.getresponse()
        response.read1(1)
        response.close()
        connection.close()
        harness.wait_until(
            lambda: sum(engine.runs()["totals"]["cancelled"]
                        for engine in (self.faulty, self.good)) == 1,
            "the run is cancelled")


if __name__ == "__main__":
    unittest.main()
