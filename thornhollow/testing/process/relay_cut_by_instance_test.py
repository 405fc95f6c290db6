"""Streams without a last chunk at their caller, either open-ended or asked for
in HTTP/1.0, which their own instance ends early. The end of the connection is
the end of the answer there: unless it is a reset, the part passes for the
whole."""

import signal
import socket
import threading
import unittest

import cut_off_site
import harness

STREAM = "/p/x"
RESUMABLE = "/s/x"


class Caller:
    """Asks on a socket of its own, and reads when it is told to."""

    def __init__(self, daemon, path, headers, version, small=False):
        self.socket = socket.socket()
        if small:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self.socket.settimeout(harness.LIMIT_SECONDS)
        host, port = daemon.address.rsplit(":", 1)
        self.socket.connect((host, int(port)))
        lines = "".join(f"{name}: {value}\r\n"
                        for name, value in headers.items())
        self.socket.sendall(f"POST {path} HTTP/{version}\r\n{lines}"
                            "Content-Length: 4\r\n\r\nbody".encode())
        self.received = b""
        self.was_reset = False

    def read_until(self, text):
        while text not in self.received:
            part = self.socket.recv(65536)
            if not part:
                raise AssertionError(f"ended after {self.received!r}")
            self.received += part

    def read_to_the_end(self):
        try:
            while part := self.socket.recv(65536):
                self.received += part
        except ConnectionResetError:
            self.was_reset = True
        finally:
            self.socket.close()


class CutByInstance(cut_off_site.CutOffTest):

    drain_grace_s = 3

    def site(self, event_gap_s=0.0, instances=2, open_ended=True):
        self.begin(instances)
        for engine in self.engines:
            engine.ends_with_connection = open_ended
            engine.event_gap_s = event_gap_s

    def callers(self, daemon, version="1.1", small=False):
        made = [Caller(daemon, path, self.headers(f"k{number}", True), version,
                       small)
                for number, path in enumerate((STREAM, RESUMABLE))]
        for each in made:
            each.read_until(b"id: 1\n")
        return made

    def check_reset(self, callers):
        for each in callers:
            each.read_to_the_end()
            self.assertTrue(each.was_reset, each.received[-200:])

    def check_drained(self, daemon, version):
        callers = self.callers(daemon, version)
        daemon.signal(signal.SIGTERM)
        self.check_reset(callers)
        self.assertNotIn(b"id: 3\n", callers[0].received)

    def test_open_ended_streams_longer_than_the_drain_are_reset(self):
        self.site(event_gap_s=4.0)
        self.check_drained(self.fleet[0], "1.1")

    def test_streams_of_http_1_0_longer_than_the_drain_are_reset(self):
        self.site(event_gap_s=4.0, open_ended=False)
        self.check_drained(self.fleet[0], "1.0")

    def test_streams_whose_carrier_is_stopped_are_whole_or_reset(self):
        self.site(event_gap_s=4.0)
        self.cut(self.fleet[:1], "reset")
        callers = self.callers(self.fleet[0])
        self.fleet[1].signal(signal.SIGTERM)
        for each in callers:
            each.read_to_the_end()
            self.assertTrue(each.was_reset or b"id: 3\n" in each.received,
                            each.received[-200:])

    def large_events(self, count):
        for engine in self.engines:
            engine.events = count
            engine.event = lambda number: (
                f"id: {number}\ndata: {'x' * 60000}\n\n".encode())

    def check_unread(self, events, version):
        """Callers that read nothing after the first bytes, until their requests
        have ended."""
        self.large_events(events)
        callers = self.callers(self.fleet[0], version, small=True)
        harness.wait_until(
            lambda: len(self.fleet[0].events("request_done")) == len(callers),
            "the requests have ended")
        # Longer than a write may wait.
        threading.Event().wait(11)
        self.check_reset(callers)
        last = f"id: {events}\n".encode()
        for each in callers:
            self.assertNotIn(last, each.received)

    def test_open_ended_streams_that_nobody_reads_are_reset(self):
        # 12 MB: within what may wait for a caller, beyond what its system takes.
        self.site()
        self.check_unread(200, "1.1")

    def test_streams_of_http_1_0_that_nobody_reads_are_reset(self):
        self.site(open_ended=False)
        self.check_unread(200, "1.0")

    def test_open_ended_streams_beyond_what_may_wait_are_reset(self):
        self.site()
        self.check_unread(500, "1.1")


if __name__ == "__main__":
    unittest.main()
