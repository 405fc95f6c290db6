"""Crowds that would take a relaying daemon over its memory."""

import time
import unittest

import crowd
import crowd_site
from crowd_site import CROWD, ENGINES, MAX_BODY_BYTES, MAX_HEADER_BYTES

HELD_SECONDS = 1
WAVES = 5
READ_AHEAD_BYTES = 1_048_576


class CrowdMemory(crowd_site.CrowdTest):

    def release(self):
        for each in self.engines:
            each.release.set()

    def hang(self):
        for each in self.engines:
            each.mode = "hang"

    # Guards against headers that are bounded one by one and not in their sum.
    def test_headers_without_end(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address)
        text = b"POST /o/x HTTP/1.1\r\nHost: a.example\r\nX-A: "
        clients.send_all(text + b"a" * (MAX_HEADER_BYTES - len(text) - 10))
        time.sleep(HELD_SECONDS)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against fields of a header, each of which costs more than its bytes.
    def test_headers_of_many_fields(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address)
        text = b"POST /o/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n"
        fields = b"A:1\r\n" * ((MAX_HEADER_BYTES - len(text) - 10) // 5)
        clients.send_all(text + fields + b"\r\n")
        time.sleep(HELD_SECONDS)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against an exception in one connection that ends the process:
    # requests that are sent ahead of the answers, more than are read ahead.
    def test_requests_in_one_write(self):
        daemon = self.begin()
        one = self.order(1, b"body")
        for count in (1, 3):
            clients = self.crowd(daemon.address, count)
            clients.send_all(one * crowd.PIPELINED)
            clients.read_heads()
            time.sleep(HELD_SECONDS)
            clients.leave()
        self.assert_holds(daemon)

    # Guards against buffers that idle connections keep after a large request.
    def test_idle_connections_after_bodies(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address)
        clients.send_all(*[self.order(number, b"b" * 131_072)
                           for number in range(CROWD)])
        clients.read_heads()
        time.sleep(HELD_SECONDS)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against bytes that are sent ahead, read or unread, while requests
    # are in progress.
    def test_bytes_sent_ahead(self):
        daemon = self.begin()
        self.hang()
        clients = self.crowd(daemon.address)
        clients.send_all(*[self.order(number, b"body") +
                           b"G" * READ_AHEAD_BYTES for number in range(CROWD)])
        time.sleep(HELD_SECONDS)
        clients.leave()
        self.release()
        self.assert_holds(daemon)

    # Guards against bodies that lie in sockets while they wait for room.
    def test_waiting_bodies(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address)
        body = b"b" * MAX_BODY_BYTES
        clients.send_all(self.order(0, body[:-1], len(body)))
        time.sleep(HELD_SECONDS)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against answers that lie in sockets since nobody reads them.
    def test_unread_answers(self):
        for each in self.engines:
            each.answer_bytes = 1_048_576
        daemon = self.begin()
        clients = self.crowd(daemon.address, receive_bytes=4096)
        clients.send_all(*[self.order(number, b"body")
                           for number in range(CROWD)])
        time.sleep(3 * HELD_SECONDS)
        clients.leave()
        self.assert_holds(daemon)

    # The same, of answers that come while no other one is read.
    def test_unread_answers_in_turn(self):
        for each in self.engines:
            each.answer_bytes = 1_048_576
        daemon = self.begin()
        clients = self.crowd(daemon.address, 0, receive_bytes=4096)
        for number in range(CROWD // 4):
            one = clients.join()
            if one is not None:
                one.send(self.order(number, b"body"))
            time.sleep(0.01)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against what many requests in progress cost, each of them small.
    def test_requests_in_progress(self):
        daemon = self.begin()
        self.hang()
        clients = self.crowd(daemon.address)
        clients.send_all(*[self.order(number, b"b" * 4096)
                           for number in range(CROWD)])
        time.sleep(2 * HELD_SECONDS)
        clients.leave()
        self.release()
        self.assert_holds(daemon)

    # Guards against what is left of requests whose callers leave early.
    def test_callers_that_leave_early(self):
        daemon = self.begin()
        before = crowd.descriptors(daemon.process.pid)
        for each in self.engines:
            each.slow_on, each.slow_s = b"b", 0.3
        for wave in range(WAVES):
            clients = self.crowd(daemon.address)
            clients.send_all(*[self.order(f"{wave}-{number}", b"b" * 16_384)
                               for number in range(CROWD)])
            clients.leave(0.5)
            time.sleep(0.05)
            clients.leave(reset=False)
        self.assert_holds(daemon)
        # Kept connections to engines, at most so many for each, may be more.
        self.assert_gives_back(daemon, before + 12 * ENGINES)


if __name__ == "__main__":
    unittest.main()
