"""Engines that answer a long upload before they have read it. A part of such an
answer must not reach a caller as complete, and a whole one must reach it."""

import unittest

import cut_off_site
import raw_answers
import relay_site

STREAM = "/p/x"
RESUMABLE = "/s/x"
LOOK_UP = "/l/x"
ORDER = "/o/x"
PATHS = (STREAM, RESUMABLE, LOOK_UP, ORDER)
# More than systems hold for a connection whose other end doesn't read.
UPLOAD = b"u" * (12 << 20)
MAX_BODY_BYTES = 16 << 20
WHOLE_STREAM = relay_site.stream_text(3)
WHOLE = {True: WHOLE_STREAM, False: b"all of the answer"}


class EarlyEngine(relay_site.Engine):
    """Answers an upload by `choose(request, is_stream)`, if that gives
    anything, before it reads the body."""

    def __init__(self, name, choose):
        super().__init__(name)
        engine = self

        class Handler(self.handler):
            def do_POST(self):
                request = self.headers[relay_site.ID]
                answer = choose(request, "X-Token-Counts" in self.headers)
                if answer is None:
                    super().do_POST()
                else:
                    engine.ran.append(request)
                    raw_answers.send(self, answer)

        self.handler = Handler


class EarlyAnswer(cut_off_site.CutOffTest):

    def configuration(self):
        made = relay_site.document(1)
        made["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        return made

    def engine(self, name):
        engine = EarlyEngine(name, self.choose)
        engine.store = self.store
        self.addCleanup(engine.stop)
        self.store.put(f"servers/{name}", engine.entry())
        return engine

    def choose(self, request, is_stream):
        if request in self.seen and not self.every_attempt:
            return None
        self.seen.add(request)
        return self.answer(request, is_stream)

    def site(self, end, framing="", body=lambda whole: whole[:-3],
             every_attempt=True, status="200 OK"):
        """Engines whose answers have `framing` and are `body(whole)`."""
        self.seen = set()
        self.every_attempt = every_attempt

        def answer(request, is_stream):
            kind = "text/event-stream" if is_stream else "text/plain"
            head = f"Content-Type: {kind}\r\n{framing}\r\n".encode()
            return raw_answers.RawAnswer(
                f"HTTP/1.1 {status}\r\n".encode()
                + raw_answers.relayed_identity(request) + head
                + body(WHOLE[is_stream]), end)

        self.answer = answer
        self.begin(2)
        for daemon in self.fleet:
            for path in daemon.paths.values():
                raw_answers.hold_little(path.server)

    def asked(self, *paths):
        for daemon, way in self.ways():
            for path in paths:
                case = f"{path} {way}"
                request = case.replace(" ", "-").replace("/", "_")
                is_stream = cut_off_site.KINDS[path]
                yield raw_answers.Got(
                    daemon.address, path, self.headers(request, is_stream),
                    UPLOAD), request, is_stream

    def assert_none_complete(self, *paths):
        """No success, or one whose end doesn't look like one."""
        for got, request, is_stream in self.asked(*paths):
            with self.subTest(request):
                self.assertGreater(self.runs(request), 0)
                if got.status == 200:
                    self.assertTrue(is_stream, got.text)
                    self.assertFalse(got.is_complete(), got.text)
                else:
                    self.assertIn(got.status, range(500, 600), got.text)
                    self.assertNotIn(got.status, cut_off_site.NOT_RUN)
                if "_o_" in request or "_p_" in request:
                    self.assertEqual(self.runs(request), 1)

    # Guards against a part of an answer that reaches its caller as complete: the
    # reset shows where the request is written, and the answer seems to end in
    # order.
    def test_part_without_length_then_reset_is_not_complete(self):
        self.site("reset")
        self.assert_none_complete(*PATHS)

    def test_part_without_length_then_dropped_unread_is_not_complete(self):
        self.site("drop")
        self.assert_none_complete(*PATHS)

    # Between two events nothing but the reset tells that a part is missing.
    def test_whole_events_without_length_then_reset_are_not_complete(self):
        self.site("reset", body=lambda whole: relay_site.event_text(1))
        self.assert_none_complete(STREAM, RESUMABLE)

    def test_empty_body_without_length_then_reset_is_not_complete(self):
        self.site("reset", body=lambda whole: b"")
        self.assert_none_complete(*PATHS)

    def test_first_attempt_reset_others_answer(self):
        self.site("reset", every_attempt=False)
        for got, request, is_stream in self.asked(RESUMABLE, LOOK_UP):
            with self.subTest(request):
                self.assertEqual(got.status, 200, got.text)
                self.assertTrue(got.is_complete(), got.text)
                if is_stream:
                    self.assertEqual(got.body.count(b"id: "), 3)
                else:
                    self.assertIn(b"body of i-", got.body)

    def test_part_in_chunks_then_reset_is_not_complete(self):
        self.site("reset", "Transfer-Encoding: chunked\r\n", relay_site.chunk)
        self.assert_none_complete(*PATHS)

    def test_part_of_a_length_then_reset_is_not_complete(self):
        self.site("reset", "Content-Length: 1000\r\n")
        self.assert_none_complete(*PATHS)

    def assert_whole(self, *paths):
        for got, request, is_stream in self.asked(*paths):
            with self.subTest(request):
                self.assertEqual(got.status, 200, got.text)
                self.assertTrue(got.is_complete(), got.text)
                self.assertIn(WHOLE[is_stream][-12:], got.body)
                self.assertEqual(self.runs(request), 1)

    # Guards against sound early answers that are taken for broken ones.
    def test_whole_without_length_that_ends_in_order_comes_whole(self):
        self.site("half_close", body=lambda whole: whole)
        self.assert_whole(*PATHS)

    def test_whole_in_chunks_then_reset_comes_whole(self):
        self.site("reset", "Transfer-Encoding: chunked\r\n",
                  lambda whole: relay_site.chunk(whole) + b"0\r\n\r\n")
        self.assert_whole(*PATHS)

    def test_whole_length_then_reset_comes_whole(self):
        self.site("reset", f"Content-Length: {len(WHOLE[False])}\r\n",
                  lambda whole: whole)
        self.assert_whole(LOOK_UP, ORDER)

    def test_early_refusal_of_a_long_upload_comes_as_it_is(self):
        self.site("drop", f"Content-Length: {len(WHOLE[False])}\r\n",
                  lambda whole: whole, status="413 Content Too Large")
        for got, request, is_stream in self.asked(LOOK_UP, ORDER):
            with self.subTest(request):
                self.assertEqual((got.status, got.body),
                                 (413, WHOLE[is_stream]))
                self.assertEqual(self.runs(request), 1)


if __name__ == "__main__":
    unittest.main()
