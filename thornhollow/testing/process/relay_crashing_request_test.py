"""A request that ends the endpoints that run it comes again and again, at all
instances: it ends three endpoints at most, and no other request is refused."""

import http.client
import itertools
import time
import unittest

import harness
import relay_site

# Within this time each instance knows what ended at others.
KNOWN_AFTER_S = 2.0
MOST_ENDED = 3
ROUNDS = 6
# Promises that a request never ran.
NOT_RUN = {408, 421, 429, 503}


class Relayed(relay_site.RelayTest):

    KINDS = {"/p/x": True, "/s/x": True, "/o/x": False, "/l/x": False}

    def begin(self, engines=12, instances=3):
        self.numbers = itertools.count()
        self.sent = {}
        self.engines = [self.engine(f"i-{number}") for number in range(engines)]
        for engine in self.engines:
            engine.end_on = b"marked"
            engine.slow_on = b"slow"
        self.fleet = self.daemons_that_know_each_other(instances)

    def submit(self, daemon, path, body):
        """A new submission of this content; its status, or how it broke."""
        request = f"r{next(self.numbers)}"
        self.sent[request] = body
        try:
            status = self.ask(daemon, path, request, body=body,
                              stream=self.KINDS[path])[0]
        except (OSError, http.client.HTTPException) as failure:
            status = type(failure).__name__
        if status in NOT_RUN:
            self.assertFalse(
                any(request in engine.ran for engine in self.engines),
                f"{request} was answered {status} and ran")
        return status

    def ended_under(self, body):
        """How many engines requests of this content have ended."""
        return sum(self.sent.get(request) == body
                   for engine in self.engines for _, request in engine.ended)

    def repeat(self, contents, rounds=ROUNDS):
        """Each content at one instance after the other."""
        for number in range(rounds):
            for path, body in contents:
                self.submit(self.fleet[number % len(self.fleet)], path, body)
            time.sleep(KNOWN_AFTER_S)

    def test_repeats_at_all_instances_end_three_engines_at_most(self):
        self.begin()
        contents = [(path, f"marked {path}".encode()) for path in self.KINDS]
        self.repeat(contents)
        for path, body in contents:
            with self.subTest(path):
                ended = self.ended_under(body)
                self.assertGreater(ended, 0)
                self.assertLessEqual(ended, MOST_ENDED)

    def test_repeats_at_one_instance_without_a_pause_end_three_at_most(self):
        self.begin(instances=1)
        for _ in range(10):
            self.submit(self.fleet[0], "/l/x", b"marked")
        self.assertLessEqual(self.ended_under(b"marked"), MOST_ENDED)

    def test_instance_that_has_just_started_knows_it(self):
        self.begin()
        self.repeat([("/s/x", b"marked")], rounds=3)
        before = self.ended_under(b"marked")
        self.fleet[1].kill()
        self.fleet[1].start()
        self.fleet[1].wait_ready()
        time.sleep(KNOWN_AFTER_S)
        self.submit(self.fleet[1], "/s/x", b"marked")
        self.assertLessEqual(before, MOST_ENDED)
        self.assertEqual(self.ended_under(b"marked"), before)

    def test_requests_beside_it_are_answered_when_they_come_again(self):
        self.begin(engines=4)
        beside = [f"slow {number}".encode() for number in range(8)]
        for number in range(4):
            open_ones = [
                harness.Background(self.submit, daemon, "/l/x", body)
                for body, daemon in zip(beside, itertools.cycle(self.fleet))]
            time.sleep(0.1)
            self.submit(self.fleet[number % 3], "/s/x",
                        f"marked {number}".encode())
            for each in open_ones:
                each.result()
            time.sleep(KNOWN_AFTER_S)
        self.assertGreaterEqual(
            sum(len(engine.ended) for engine in self.engines), 4)
        for body, daemon in itertools.product(beside, self.fleet):
            self.assertEqual(self.submit(daemon, "/l/x", body), 200)

    def test_crashes_of_the_engines_themselves_make_no_request_suspect(self):
        self.begin(engines=4)
        beside = [f"slow {number}".encode() for number in range(8)]
        for number in range(6):
            open_ones = [
                harness.Background(self.submit, daemon, "/l/x", body)
                for body, daemon in zip(beside, itertools.cycle(self.fleet))]
            time.sleep(0.1)
            self.engines[number % 4].end("none")
            for each in open_ones:
                each.result()
            time.sleep(1.2)
        for body, daemon in itertools.product(beside, self.fleet):
            self.assertEqual(self.submit(daemon, "/l/x", body), 200)


if __name__ == "__main__":
    unittest.main()
