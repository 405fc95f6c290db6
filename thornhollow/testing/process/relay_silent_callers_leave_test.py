"""Callers leave while endpoints stand still and others are asked to go on: what
endpoints still work on for them ends at once."""

import time
import unittest
import zlib

import harness
import silent_site
from silent_site import LOOK_UP, ORDER, RESUMABLE, STREAM

ENDED_WITHIN_S = 0.5
# After the last byte: before another endpoint is asked, while it is asked or
# both have the request, and after it has taken over.
LEAVES_AFTER_S = (1.0, 1.32, 1.34, 1.38, 1.45, 1.55, 1.7, 1.9, 2.3)
KINDS = {STREAM: True, RESUMABLE: True, LOOK_UP: False, ORDER: False}


class Leaver:

    def __init__(self, test, daemon, path, after):
        self.name = f"{path[1]}{after}"
        self.after = after
        self.left = None
        stream = KINDS[path]
        self._connection = harness.connect(daemon.address)
        self._connection.request(
            "POST", path, b"body" if stream else silent_site.SLOW,
            {**test.headers(self.name, stream), **self.prompt(stream)})

    def prompt(self, stream):
        """One that begins like no other, so that streams spread."""
        part = zlib.crc32(self.name.encode())
        return {"X-Prompt-Prefix": f"{part:x}:800,e4:250"} if stream else {}

    def leave(self, silent_since):
        time.sleep(max(0, silent_since + self.after - time.monotonic()))
        self.left = time.monotonic()
        self._connection.close()


class CallersLeave(silent_site.SilentTest):

    def leave_while_silent(self, daemon, part):
        for engine in self.engines:
            # Streams that another endpoint goes on with last until the end.
            engine.events = 40
            engine.slow_s = 3.0
        leavers = [Leaver(self, daemon, path, after)
                   for path in KINDS for after in LEAVES_AFTER_S]
        time.sleep(silent_site.BEGUN_S)
        since = time.monotonic()
        for engine in self.busiest(part):
            engine.running.clear()
        waits = [harness.Background(each.leave, since) for each in leavers]
        for each in waits:
            each.result()
        time.sleep(ENDED_WITHIN_S + 0.1)
        self.check_left(leavers)

    def check_left(self, leavers):
        names = {each.name: each for each in leavers}
        runs = [run for engine in self.engines for run in list(engine.runs)]
        for run in runs:
            if leaver := names.get(run.request):
                with self.subTest(run.request):
                    self.assertLess(min(run.ended, time.monotonic()),
                                    leaver.left + ENDED_WITHIN_S)
        for each in leavers:
            with self.subTest(each.name):
                self.assertLessEqual(
                    sum(run.request == each.name for run in runs),
                    silent_site.MAX_ATTEMPTS)
        seen = {run.request for run in runs}
        self.assertEqual(seen & set(names), set(names))

    def test_one_silent_ends_all_attempts(self):
        self.begin_direct()
        self.leave_while_silent(self.at, 1)

    def test_all_silent_ends_all_attempts(self):
        self.begin_direct()
        self.leave_while_silent(self.at, 3)

    def test_one_silent_by_way_of_another_ends_all_attempts(self):
        self.begin_forwarded()
        self.leave_while_silent(self.at, 1)

    def test_all_silent_by_way_of_another_ends_all_attempts(self):
        self.begin_forwarded()
        self.leave_while_silent(self.at, 3)


if __name__ == "__main__":
    unittest.main()
