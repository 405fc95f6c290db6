"""Answers that an endpoint leaves off within their head or their framing: none
may reach its caller as a complete answer with an empty or short body."""

import socket
import unittest

import cut_off_site
import relay_site
from relay_broken_off_test import Answer

STREAM = "/p/x"
RESUMABLE = "/s/x"
LOOK_UP = "/l/x"
ORDER = "/o/x"
PATHS = (STREAM, RESUMABLE, LOOK_UP, ORDER)
BODY = relay_site.stream_text(3)


def cuts(version, request):
    """What was sent before the end, by name."""
    status = f"HTTP/{version} 200 OK\r\n".encode()
    fields = (f"{relay_site.ID}: {request}\r\n{relay_site.SIGNATURE}: s\r\n"
              "Content-Type: text/event-stream\r\n").encode()
    length = b"Content-Length: %d\r\n" % len(BODY)
    made = {
        "nothing": b"",
        "status_cut": status[:7],
        "status_line": status,
        "field_cut": status + fields[:-6],
        "no_blank_line": status + fields,
        "half_blank_line": status + fields + b"\r",
        "length_cut": status + fields + length[:-3],
        "length_without_blank_line": status + fields + length,
        "body_none": status + fields + length + b"\r\n",
        "body_one_byte": status + fields + length + b"\r\n" + BODY[:1],
        "body_one_event": status + fields + length + b"\r\n" + BODY[:14],
        "body_all_but_one": status + fields + length + b"\r\n" + BODY[:-1],
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
        "interim_and_status": b"HTTP/1.1 100 Continue\r\n\r\n" + status,
        "interim_cut": b"HTTP/1.1 103 Early Hints\r\nLink: </a",
    }
    if version == "1.1":
        chunked = (status + fields + b"Transfer-Encoding: chunked\r\n\r\n")
        chunk = b"%x\r\n" % len(BODY) + BODY
        made.update({
            "chunk_none": chunked,
            "chunk_size_cut": chunked + chunk[:1],
            "chunk_size_line_cut": chunked + chunk[:3],
            "chunk_without_end": chunked + chunk,
            "chunk_last_missing": chunked + chunk + b"\r\n",
            "last_size_cut": chunked + chunk + b"\r\n0",
            "last_line": chunked + chunk + b"\r\n0\r\n",
            "trailer_cut": chunked + chunk + b"\r\n0\r\nX-Trailer: a",
            "trailer_without_end": chunked + chunk + b"\r\n0\r\nX-Trailer: a\r\n",
        })
    return made


class HeadCut(cut_off_site.CutOffTest):

    def site(self, version, end, every_attempt):
        self.begin(2)
        self.cut_name = ""
        self.seen = set()
        for engine in self.engines:
            engine.choose_end = self.choice(engine, version, end, every_attempt)

    def choice(self, engine, version, end, every_attempt):
        """Instead of an answer: the part of one that `cut_name` names."""
        def serve(call):
            request = call.headers[relay_site.ID]
            call.is_open_ended, call.broken_off = False, ""
            if self.cut_name and (every_attempt or request not in self.seen):
                self.seen.add(request)
                engine.ran.append(request)
                call.wfile.write(cuts(version, request)[self.cut_name])
                call.wfile.flush()
                call.close_connection = True
                if end == "reset":
                    engine.reset(call)
                else:
                    call.connection.shutdown(socket.SHUT_RDWR)
                raise ConnectionAbortedError
        return serve

    def assert_none_short(self, version, end, every_attempt):
        self.site(version, end, every_attempt)
        for daemon, way in self.ways():
            for name in cuts(version, ""):
                for path in PATHS:
                    for caller in ("1.1", "1.0"):
                        self.check(daemon, name, path, caller, way)

    def check(self, daemon, name, path, caller, way):
        self.cut_name = name
        case = f"{name} {path} {caller} {way}"
        request = case.replace(" ", "-").replace("/", "_")
        answer = Answer(daemon, path, self.headers(
            request, cut_off_site.KINDS[path]), caller)
        ran = self.runs(request)
        with self.subTest(case):
            self.assertGreater(ran, 0)
            if answer.complete and answer.status < 300:
                self.assertTrue(answer.body == BODY or
                                answer.body.startswith(b"body of i-"),
                                (answer.status, answer.body))
            if path in (STREAM, ORDER):
                self.assertLessEqual(ran, 1)
            if ran and answer.complete and answer.status >= 300:
                self.assertNotIn(answer.status, cut_off_site.NOT_RUN)

    def test_first_attempt_closed_none_short(self):
        self.assert_none_short("1.1", "close", False)

    def test_every_attempt_closed_none_short(self):
        self.assert_none_short("1.1", "close", True)

    def test_every_attempt_reset_none_short(self):
        self.assert_none_short("1.1", "reset", True)

    def test_http_1_0_endpoint_closed_none_short(self):
        self.assert_none_short("1.0", "close", True)

    def test_http_1_0_endpoint_reset_none_short(self):
        self.assert_none_short("1.0", "reset", True)


if __name__ == "__main__":
    unittest.main()
