"""A planned stop of an instance, in calm: what it takes on while it stops gets
its whole answer, and what it doesn't take on never runs."""

import http.client
import itertools
import signal
import threading
import time
import unittest

import cut_off_site
import harness
import raw_answers
import relay_site

# Of each request; every part of a grace that is tried leaves time for it.
WORK_S = 0.8
CALLERS = 24
# How long callers say that they wait: shorter and longer than what is left.
DEADLINES_MS = ("1200", "15000")


class PlannedStop(relay_site.RelayTest):

    def site(self, grace_s):
        self.engines = [self.engine(f"i-{number}") for number in range(3)]
        for engine in self.engines:
            engine.slow_on, engine.slow_s = b"body", WORK_S
        self.at = self.daemon(drain_grace_s=grace_s)
        self.numbers = itertools.count()
        self.answers = []

    def call(self, keeps_channel):
        """Requests one after another until nothing listens any more."""
        connection = harness.connect(self.at.address)
        for path in itertools.cycle(cut_off_site.KINDS):
            number = next(self.numbers)
            request = f"r{number}"
            headers = self.headers(request, cut_off_site.KINDS[path])
            headers["X-Deadline-Ms"] = DEADLINES_MS[number // 4 % 2]
            asked = time.monotonic()
            try:
                connection.request("POST", path, b"body", headers)
                answer = connection.getresponse()
                status, body = answer.status, answer.read()
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                status, body = None, b""
            self.answers.append((request, path, status, body, asked))
            if status is None or not keeps_channel:
                connection.close()
            time.sleep(0.02)

    def check(self, grace_s):
        self.site(grace_s)
        callers = [threading.Thread(target=self.call, args=(number % 2 == 0,))
                   for number in range(CALLERS)]
        for each in callers:
            each.start()
        harness.wait_until(lambda: len(self.answers) > 2 * CALLERS,
                           "traffic is steady")
        told = time.monotonic()
        self.at.signal(signal.SIGTERM)
        self.assertEqual(self.at.wait(), 0, self.at.log())
        for each in callers:
            each.join(harness.LIMIT_SECONDS)
        cut = []
        for request, path, status, body, asked in self.answers:
            case = f"{request} {path} {asked - told:.2f} s after the signal"
            if status in cut_off_site.NOT_RUN:
                self.assertEqual(self.runs(request), 0, case)
            elif status == 200:
                whole = b"id: 3\n" if cut_off_site.KINDS[path] else b"body"
                self.assertIn(whole, body, case)
            elif self.runs(request):
                cut.append((case, status))
        self.assertEqual(cut, [])
        stopped = [line["left_in_progress"]
                   for line in self.at.events("stopped")]
        self.assertEqual(stopped, [0])
        self.assertGreater(sum(1 for each in self.answers if each[4] > told), 0)

    # Guards against requests that are taken late in the grace, passed on, and
    # cut at its end.
    def test_grace_of_eight_seconds_nothing_is_cut(self):
        self.check(8)

    def test_grace_of_three_seconds_nothing_is_cut(self):
        self.check(3)

    def test_grace_of_two_seconds_nothing_is_cut(self):
        self.check(2)

    # Guards against requests that end with their process, without an answer.
    def test_work_longer_than_the_grace_is_answered_at_its_end(self):
        engine = self.engine("i-1")
        engine.mode = "hang"
        at = self.daemon(drain_grace_s=2)
        asked = {path: harness.Background(
            raw_answers.Got, at.address, path,
            self.headers(path.strip("/x"), is_stream))
            for path, is_stream in cut_off_site.KINDS.items()}
        harness.wait_until(lambda: len(engine.ran) == len(asked), "all run")
        at.signal(signal.SIGTERM)
        self.assertEqual(at.wait(), 0, at.log())
        for path, each in asked.items():
            got = each.result()
            with self.subTest(path):
                self.assertIn(got.status, range(500, 600), got.text)
                # It may have run: nothing may say otherwise.
                self.assertNotIn(got.status, cut_off_site.NOT_RUN)
                self.assertTrue(got.is_complete(), got.text)


if __name__ == "__main__":
    unittest.main()
