"""An endpoint in trouble that sends bytes without end that are no answer, in a
head or a body, until its caller closes.

    engine = endless_engine.EndlessEngine("e1", *endless_engine.HEADS["field"])
"""

import os
import socket
import threading
import time

import harness

TIME_LIMIT_S = 3.0
# What the caller or the connection may take beyond the request's time.
SLACK_S = 1.5
CALLERS = 2
# An answer may be held up to 8 MiB before its caller gets any of it, in a string
# that doubles its room as it grows; the rest is room for the allocator.
MAX_GROWTH_MIB = CALLERS * 2 * 8 + 16
BLOCK = 64 * 1024

CHUNKED = (b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
           b"Transfer-Encoding: chunked\r\n")
STREAM = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
WHOLE = CHUNKED + b"\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# What is sent first, and what is sent again and again after it.
HEADS = {
    "status_line": (b"HTTP/1.1 200 ", b"a" * BLOCK),
    "field": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * BLOCK),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 4096),
    "interim_answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "no_http": (b"", b"\x00\xff" * (BLOCK // 2)),
}
BODIES = {
    "chunk_size": (WHOLE, b"0" * BLOCK),
    "chunk_extension": (WHOLE + b"5;", b"x" * BLOCK),
    "trailer_field": (WHOLE + chunk(b"abc") + b"0\r\nX-T: ", b"t" * BLOCK),
    "trailer_fields": (WHOLE + chunk(b"abc") + b"0\r\n", b"X-T: t\r\n" * 4096),
    "chunks": (WHOLE, chunk(b"y" * BLOCK)),
    "until_closed": (b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n",
                     b"z" * BLOCK),
}
STREAMS = {
    "event_without_delimiter": (STREAM + chunk(b"data: "), chunk(b"e" * BLOCK)),
    "chunk_extension_of_a_stream": (STREAM + chunk(b"id: 1\ndata: x\n\n") +
                                    b"5;", b"x" * BLOCK),
}


class EndlessEngine:
    """Answers each request with bytes without end."""

    def __init__(self, name, first, again):
        self.name = name
        self.first = first
        self.again = again
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        # Connections that got a request, and when they were closed.
        self.begun = []
        self.closed = []
        self.sent = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        try:
            head = connection.recv(4096)
            if not head or b"/v1/report" in head or b"/v1/load" in head:
                # What the endpoint is asked of itself.
                connection.close()
                return
            self.begun.append(time.monotonic())
            connection.sendall(self.beginning(head))
            while True:
                connection.sendall(self.again)
                self.sent += len(self.again)
        except OSError:
            self.closed.append(time.monotonic())
        finally:
            connection.close()

    def beginning(self, _request_head):
        """What is sent first to a request with this head."""
        return self.first

    def stop(self):
        self.listener.close()


# A sanitizer's build keeps freed memory for a while, which is no growth.
os.environ["ASAN_OPTIONS"] = ":".join(
    each for each in (os.environ.get("ASAN_OPTIONS"), "quarantine_size_mb=1",
                      "thread_local_quarantine_size_kb=64") if each)


def resident_mib(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        line = next(row for row in status if row.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


class EndlessTest:
    """For tests whose `self.endless` is such an endpoint."""

    def play(self, daemon, call):
        """What several callers at once got from `call()`, each in time; the
        endpoint's connections are closed and memory stays bounded."""
        def timed():
            began = time.monotonic()
            return call(), time.monotonic() - began

        before = resident_mib(daemon.process.pid)
        calls = [harness.Background(timed) for _ in range(CALLERS)]
        ended = [each.result() for each in calls]
        self.assertTrue(self.endless.begun)
        for _, took in ended:
            self.assertLess(took, TIME_LIMIT_S + SLACK_S)
        self.assert_closed()
        self.assertLess(max(self.endless.closed) - min(self.endless.begun),
                        TIME_LIMIT_S + 2 * SLACK_S)
        growth = resident_mib(daemon.process.pid) - before
        print(f"{growth:.1f} MiB more, {self.endless.sent >> 20} MiB sent, "
              f"{[answer for answer, _ in ended]}")
        self.assertLess(growth, MAX_GROWTH_MIB)
        return [answer for answer, _ in ended]

    def assert_closed(self):
        harness.wait_until(
            lambda: len(self.endless.closed) == len(self.endless.begun),
            "its connections are closed")
