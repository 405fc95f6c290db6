"""Endpoints stand still at random, by turns and together, while requests of
each kind come directly and by way of another instance. SOAK_SEED plays another
seed, SOAK_SECONDS a longer time.

    class Case(silent_soak.Soak):
        def test_something(self):
            self.play()
"""

import os
import random
import signal
import threading
import time

import harness
import relay_site
import silent_site
from silent_site import LOOK_UP, ORDER, RESUMABLE, STREAM

SEED = int(os.environ.get("SOAK_SEED", "1"))
SECONDS = float(os.environ.get("SOAK_SECONDS", "10"))
SILENCES_S = (0.9, 1.1, 1.29, 1.31, 1.6, 1.9)
# Of instances, shorter than what makes the others doubt them for good.
STOPS_S = (0.5, 0.9, 1.2, 1.5)
CALLERS_EACH = 5


class Soak(silent_site.SilentTest):

    def stand_still_at_random(self, draw, until):
        while time.monotonic() < until:
            part = draw.sample(self.engines, draw.choice((1, 1, 2, 3)))
            for engine in part:
                engine.running.clear()
            time.sleep(draw.choice(SILENCES_S))
            for engine in part:
                engine.running.set()
            time.sleep(draw.uniform(0.2, 1.0))

    def call(self, daemon, number, until):
        draw = random.Random(f"{SEED} {number}")
        turn = 0
        while time.monotonic() < until:
            path = draw.choice((STREAM, RESUMABLE, RESUMABLE, LOOK_UP, ORDER))
            name = f"{path[1]}{number}-{turn}"
            turn += 1
            streams = path in (STREAM, RESUMABLE)
            caller = (relay_site.StreamCaller(self, name, path) if streams
                      else silent_site.Answer(self, name, path))
            caller.submit(daemon)
            with self.gate:
                (self.streams if streams else self.answers).append(caller)
            time.sleep(draw.uniform(0.0, 0.3))

    def stop_carriers_at_random(self, draw, until):
        while time.monotonic() < until:
            daemon = draw.choice(self.fleet[1:])
            daemon.signal(signal.SIGSTOP)
            time.sleep(draw.choice(STOPS_S))
            daemon.signal(signal.SIGCONT)
            time.sleep(draw.uniform(0.5, 1.5))

    def play(self, disturb=None):
        """Fails if what began doesn't come whole."""
        self.begin_forwarded()
        self.gate = threading.Lock()
        self.streams, self.answers = [], []
        until = time.monotonic() + SECONDS
        waits = [harness.Background(self.call, daemon, f"{at}-{number}", until)
                 for at, daemon in enumerate(self.fleet)
                 for number in range(CALLERS_EACH)]
        if disturb:
            waits.append(harness.Background(
                disturb, random.Random(f"{SEED} stops"), until))
        self.stand_still_at_random(random.Random(SEED), until)
        for each in waits:
            each.result()
        for each in self.streams:
            with self.subTest(each.name):
                self.assertTrue(each.complete or not each.numbers,
                                (each.status, each.numbers))
                self.assertEqual(each.numbers,
                                 list(range(1, len(each.numbers) + 1)))
        self.check_visible(self)

    def wait(self):
        """`check_visible` waits for nothing more."""
