"""Bodies and answers whose sum would take a daemon over its memory."""

import http.client
import socket
import threading
import time
import unittest

import harness
import relay_site
from endless_engine import BODIES, EndlessEngine, resident_mib

MEMORY_MB = 100
MAX_RESIDENT_MIB = 0.85 * MEMORY_MB
BODY = b"b" * 4_194_304
CALLERS = 64
IS_SANITIZED = b"__asan_init" in (harness.BIN / "thornhollowd").read_bytes()
# Bodies of the largest size that leave no room for another one.
FILLING = 9


class Memory(relay_site.RelayTest):

    def begin(self):
        self.store.put("op/config", relay_site.document(1, limits={
            "max_header_bytes": 8192, "max_body_bytes": len(BODY),
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}))
        return self.daemon(more=f"memory_mb: {MEMORY_MB}\n")

    def call(self, daemon, number, body):
        """Status and headers; None for a connection that broke."""
        try:
            return harness.call(daemon.address, "POST", "/o/x", body,
                                self.headers(f"r{number}"))[:2]
        except (OSError, http.client.HTTPException):
            return None

    def play(self, daemon, count, body):
        """The answers of all callers, and the most that was resident; a
        sanitizer's own memory doesn't count."""
        own = resident_mib(daemon.process.pid) if IS_SANITIZED else 0
        answers = []
        callers = [threading.Thread(
            target=lambda number=number: answers.append(
                self.call(daemon, number, body))) for number in range(count)]
        for each in callers:
            each.start()
        peak = 0
        while any(each.is_alive() for each in callers):
            peak = max(peak, resident_mib(daemon.process.pid))
            time.sleep(0.01)
        return answers, peak - own

    # Guards against bodies that are bounded one by one and not in their sum.
    def test_bodies_of_the_largest_size_all_are_told(self):
        for each in range(4):
            self.engine(f"i-{each}")
        daemon = self.begin()
        answers, peak = self.play(daemon, CALLERS, BODY)
        self.assertLess(peak, MAX_RESIDENT_MIB)
        self.assertEqual(len(answers), CALLERS)
        for answer in answers:
            self.assertIsNotNone(answer)
            self.assertIn(answer[0], (200, 503))
            if answer[0] == 503:
                self.assertIn("retry-after",
                              [name.lower() for name in dict(answer[1])])
        self.assertTrue([each for each in answers if each[0] == 200])

    # Guards against answers without end that are bounded one by one and not in
    # their sum.
    def test_endless_answers_daemon_stays_within_its_memory(self):
        endless = EndlessEngine("i-endless", *BODIES["chunks"])
        self.addCleanup(endless.stop)
        self.store.put("servers/i-endless", {
            "service": "engines", "address": endless.address, "zone": "hall",
            "version": "v1", "slots": 64, "state": "ready",
            "cold_remaining_ms": 0, "sequence_number": 1, "born": 1})
        daemon = self.begin()
        answers, peak = self.play(daemon, 32, b"body")
        self.assertLess(peak, MAX_RESIDENT_MIB)
        self.assertNotIn(200, [each[0] for each in answers if each])

    # Guards against room that callers keep which stop within a body.
    def test_callers_that_stop_room_is_given_back(self):
        self.engine("i-0")
        daemon = self.begin()
        host, port = daemon.address.rsplit(":", 1)
        stopped = []
        for number in range(FILLING):
            caller = socket.create_connection((host, int(port)))
            lines = "".join(f"{name}: {value}\r\n" for name, value in
                            self.headers(f"s{number}").items())
            caller.sendall((f"POST /o/x HTTP/1.1\r\n{lines}"
                            f"Content-Length: {len(BODY)}\r\n\r\nabc").encode())
            stopped.append(caller)
        time.sleep(0.3)
        for each in stopped:
            each.close()
        self.assertEqual(self.call(daemon, 1, BODY)[0], 200)


if __name__ == "__main__":
    unittest.main()
