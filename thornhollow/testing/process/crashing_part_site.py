"""Engines that end under a part of a prompt, which comes in requests no two of
which are alike, among sound requests that share the caller and other parts.

    class Case(crashing_part_site.CrashingPartTest):
        def test_something(self):
            self.begin()
            self.play([KIND, "dead", TEAM])
            self.check()
"""

import http.client
import itertools
import threading
import time

import harness
import relay_site

# Parts that all requests of the caller have.
KIND = "5c"
TEAM = "91"
MOST_ENDED = 5
# From this long after the fifth end no request with the part reaches endpoints,
CONTACT_S = 3.0
# but so many.
MOST_LATE = 3
# From this long after the fifth end sound requests are served as before.
RECOVERY_S = 0.5
SERVED_AFTER = 0.95
SERVED_MEANWHILE = 0.8


class CrashingPartTest(relay_site.RelayTest):

    def begin(self, engines=12, instances=3, deadly=("dead",)):
        self.numbers = itertools.count()
        self.deadly = set(deadly)
        self.engines = [self.engine(f"i-{number}") for number in range(engines)]
        for engine in self.engines:
            engine.end_on_parts = self.deadly
        self.fleet = self.daemons_that_know_each_other(instances)
        # Of requests: when they were sent, their parts, and whether they were
        # answered whole at the first attempt.
        self.asked = []
        self.gate = threading.Lock()

    def submit(self, daemon, parts, path="/s/x"):
        """A request like no other with these parts before its own."""
        number = next(self.numbers)
        request = f"r{number}"
        listed = ",".join(f"{part}:300" for part in parts)
        headers = {**self.headers(request, stream=True),
                   "X-Prompt-Prefix": f"{listed},{0xa00000 + number:x}:120"}
        sent_at = time.monotonic()
        try:
            status, _, body = harness.call(
                daemon.address, "POST", path, f"body {number}".encode(), headers)
        except (OSError, http.client.HTTPException):
            status, body = 0, b""
        with self.gate:
            self.asked.append((sent_at, request, tuple(parts),
                               status == 200 and b"id: 3\n" in body))
        return status

    def steady(self, parts, per_second, seconds, at=None, path="/s/x"):
        """Such requests at a steady rate, at the instances in turn. Returns the
        thread that waits for all of them."""
        def run():
            callers = []
            turns = itertools.cycle(at or self.fleet)
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                callers.append(harness.Background(
                    self.submit, next(turns), parts, path))
                time.sleep(1 / per_second)
            for each in callers:
                each.result()
        return harness.Background(run)

    def ends(self, deadly=None):
        """When engines ended under prompts with such a part."""
        wanted = {deadly} if deadly else self.deadly
        parts = {request: set(found) for _, request, found, _ in self.asked}
        return sorted(at for engine in self.engines
                      for at, request in engine.ended
                      if parts.get(request, set()) & wanted)

    def sent_late(self):
        """How many requests with such a part reached engines too late."""
        ends = self.ends()
        if len(ends) < MOST_ENDED:
            return 0
        known = ends[MOST_ENDED - 1] + CONTACT_S
        deadly = {request for _, request, parts, _ in self.asked
                  if self.deadly & set(parts)}
        return sum(request in deadly and at > known
                   for engine in self.engines for at, request in engine.arrived)

    def served(self, since, until=float("inf")):
        """Of the sound requests sent in that time, the fraction served."""
        found = [whole for at, _, parts, whole in self.asked
                 if since <= at < until and not self.deadly & set(parts)]
        self.assertGreaterEqual(len(found), 10)
        return sum(found) / len(found)

    def check(self, most=MOST_ENDED):
        ends = self.ends()
        self.assertGreater(len(ends), 0)
        last = ends[min(len(ends), MOST_ENDED) - 1]
        meanwhile = self.served(ends[0], last + RECOVERY_S)
        after = self.served(last + RECOVERY_S)
        print(f"{len(ends)} ended, {self.sent_late()} sent late; sound requests "
              f"served: {meanwhile:.3f} meanwhile, {after:.3f} after")
        self.assertLessEqual(len(ends), most)
        self.assertLessEqual(self.sent_late(), MOST_LATE)
        self.assertGreaterEqual(meanwhile, SERVED_MEANWHILE)
        self.assertGreaterEqual(after, SERVED_AFTER)

    def play(self, parts, per_second=4, seconds=10, at=None, **sound):
        """Requests with these parts among sound ones of the same caller."""
        running = [self.steady([KIND, TEAM], 20, seconds + 1, **sound)]
        time.sleep(1.0)
        running.append(self.steady(parts, per_second, seconds, at))
        for each in running:
            each.result()
