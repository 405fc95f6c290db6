"""Engines in trouble whose answers have a head that is none: a status that
doesn't exist, or a line that is no field. No caller may get one as an answer."""

import functools
import unittest

import cut_off_site
import raw_answers
import relay_site

STREAM = "/p/x"
RESUMABLE = "/s/x"
LOOK_UP = "/l/x"
ORDER = "/o/x"
PATHS = (STREAM, RESUMABLE, LOOK_UP, ORDER)


def identity(request, is_stream):
    kind = b"Content-Type: text/event-stream\r\n" if is_stream else b""
    return raw_answers.relayed_identity(request) + kind


class BrokenHead(cut_off_site.CutOffTest):

    def site(self, answers, every_attempt):
        """Engines that answer each request with one of `answers(identity)`, or
        only the first attempt of each."""
        self.begin(2)
        self.answers = answers
        self.broken = ""
        self.every_attempt = every_attempt
        self.seen = set()
        for engine in self.engines:
            engine.choose_end = functools.partial(self.choose, engine)

    def choose(self, engine, call):
        request = call.headers[relay_site.ID]
        call.is_open_ended, call.broken_off = False, ""
        if request in self.seen and not self.every_attempt:
            return
        self.seen.add(request)
        engine.ran.append(request)
        answers = self.answers(
            identity(request, "X-Token-Counts" in call.headers))
        raw_answers.send(call, raw_answers.RawAnswer(answers[self.broken]))

    def asked(self, *paths):
        """What callers got of each broken answer, and the case's name."""
        for daemon, way in self.ways():
            for name in self.answers(b""):
                self.broken = name
                for path in paths:
                    case = f"{name} {path} {way}"
                    request = case.replace(" ", "-").replace("/", "_")
                    got = raw_answers.Got(
                        daemon.address, path,
                        self.headers(request, cut_off_site.KINDS[path]))
                    yield got, request, case

    def assert_none_passed_on(self, answers):
        self.site(answers, every_attempt=True)
        for got, request, case in self.asked(*PATHS):
            with self.subTest(case):
                self.assertGreater(self.runs(request), 0)
                self.assertIn(got.status, range(500, 600), got.text)
                # It may have run: nothing may say otherwise.
                self.assertNotIn(got.status, cut_off_site.NOT_RUN)
                self.assertTrue(got.is_complete(), got.text)
                self.assertNotIn(raw_answers.MARK, got.text)
                self.assertNotIn(raw_answers.BODY, got.text)
                if "_o_" in request or "_p_" in request:
                    self.assertEqual(self.runs(request), 1)

    def assert_sound_ones_come(self, answers):
        self.site(answers, every_attempt=False)
        for got, request, case in self.asked(RESUMABLE, LOOK_UP):
            with self.subTest(case):
                self.assertEqual(got.status, 200, got.text)
                self.assertTrue(got.is_complete(), got.text)
                self.assertNotIn(raw_answers.MARK, got.text)
                self.assertNotIn(raw_answers.BODY, got.text)
                self.assertIn(b"id: 3\n" if "_s_" in request else b"body of i-",
                              got.body)

    # Guards against a status that doesn't exist, given as an answer.
    def test_status_that_does_not_exist_is_not_passed_on(self):
        self.assert_none_passed_on(raw_answers.broken_statuses)

    def test_status_that_does_not_exist_others_answer(self):
        self.assert_sound_ones_come(raw_answers.broken_statuses)

    # Guards against a line of a head that is no field, passed on within another
    # field, and against a body that is cut by the wrong framing.
    def test_line_that_is_no_field_is_not_passed_on(self):
        self.assert_none_passed_on(raw_answers.broken_fields)

    # Each case takes a retry: all lines in all places would use up the budget.
    def test_line_that_is_no_field_others_answer(self):
        self.assert_sound_ones_come(raw_answers.broken_later_fields)


if __name__ == "__main__":
    unittest.main()
