"""The store answers nothing for a moment, and what was asked then is never
answered, also not afterwards.

Callers with a new key were refused for seconds after it had been published, at
every instance. A change that all had heard of had ended their watches and begun
them together; the store fell silent and came back; the next change was
published; each instance still waited for its old watch. Evidence: with watches
that nobody doubts, the change is in force when the first one is given up.
"""

import threading
import time
import unittest

import harness
import relay_site

INSTANCES = 3
# A change is in force everywhere within this.
IN_FORCE_S = 3.0


class SilentStore(relay_site.Store):
    """Watches wait for as long as they ask to. A call that is there in a
    silence is not answered."""

    # `answer` has waited before.
    longest_wait_s = 0

    def __init__(self):
        super().__init__()
        self.silences = 0
        self.silent = False
        self.ended = threading.Event()

    def fall_silent(self):
        with self.changed:
            self.silences += 1
            self.silent = True
            self.changed.notify_all()

    def answer_again(self):
        with self.changed:
            self.silent = False

    def answer(self, path, asked):
        with self.changed:
            before = self.silences

            def lost():
                return self.silent or self.silences != before

            def ready():
                return lost() or path == "/v1/kv-range" or any(
                    item["revision"] > int(asked["after"])
                    for key, item in self.items.items()
                    if key.startswith(asked["path_prefix"]))

            self.changed.wait_for(
                ready, timeout=int(asked.get("wait_ms", 0)) / 1000)
            hang = lost()
        if hang:
            self.ended.wait()
            return 503, {}
        return super().answer(path, asked)


class Silence(relay_site.RelayTest):

    def setUp(self):
        self.store = SilentStore()
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.store.ended.set)
        self.engine("i-1")
        self.daemons = self.daemons_that_know_each_other(INSTANCES)

    def publish(self, version):
        self.store.put("op/config", relay_site.document(version, tenants=[
            {"name": "office", "api_keys": [f"key-{version}"]}]))

    def in_force(self, version):
        return all(
            self.ask(each, "/o/x", f"{number}-{version}-{time.monotonic()}",
                     key=f"key-{version}")[0] == 200
            for number, each in enumerate(self.daemons))

    def change_after_a_silence_of(self, seconds):
        self.publish(5)
        harness.wait_until(lambda: self.in_force(5), "all heard of the first")
        self.store.fall_silent()
        time.sleep(seconds)
        self.store.answer_again()
        self.publish(9)
        published = time.monotonic()
        harness.wait_until(lambda: self.in_force(9), "the second is in force")
        took = time.monotonic() - published
        print(f"silence of {seconds} s: in force after {took:.2f} s")
        self.assertLess(took, IN_FORCE_S)

    def test_of_a_third_of_a_second(self):
        self.change_after_a_silence_of(0.3)

    def test_of_one_second(self):
        self.change_after_a_silence_of(1.0)

    def test_of_five_seconds(self):
        self.change_after_a_silence_of(5.0)


if __name__ == "__main__":
    unittest.main()
