"""Sound endpoints stand still 0.6 s after the configuration changed what
applies to the requests that they serve: these come whole under it."""

import time
import unittest

import silent_site
from silent_site import RESUMABLE, STREAM

BEFORE_S = 0.6
# Look-ups and orders are answered within the silence.
SLOW_S = 1.5


class Configuration(silent_site.SilentTest):

    def silent(self, part, *silences, open_ended=False, paths=(),
               route=None, limits=None, **options):
        """While endpoints stand still, `route` and `limits` have changed."""
        self.begin_direct(**options)
        if open_ended:
            self.end_with_connections()
        for engine in self.engines:
            engine.slow_s = SLOW_S
        asked = self.ask_all(self.at, *paths)
        self.change(route or {}, limits or {})
        time.sleep(BEFORE_S)
        self.stand_still(self.busiest(part), *silences)
        self.check(asked)

    def change(self, route, limits):
        made = silent_site.document(2)
        for each in made["routes"]:
            each.update(route)
        made["limits"].update(limits)
        made["services"].append({"name": "others", "engine": {"slots": 8}})
        self.store.put("op/config", made)

    def test_shorter_idle_timeout_all_silent_comes_whole(self):
        self.silent(3, 1.6, limits={"idle_timeout_ms": 500})

    def test_shorter_idle_timeout_one_far_above_comes_whole(self):
        self.silent(1, 2.5, open_ended=True, limits={"idle_timeout_ms": 500})

    def test_shorter_route_timeout_all_silent_comes_whole(self):
        # Above the silence, below what the requests take in all.
        self.silent(3, 1.31, open_ended=True, route={"timeout_ms": 2500})

    def test_shorter_route_timeout_one_silent_comes_whole(self):
        self.silent(1, 1.6, route={"timeout_ms": 2500})

    def test_resumption_dropped_all_silent_comes_whole(self):
        self.silent(3, 1.6, route={"stream_resumption": False},
                    paths=(STREAM, RESUMABLE))

    def test_resumption_dropped_one_silent_comes_whole(self):
        self.silent(1, 1.6, route={"stream_resumption": False},
                    paths=(STREAM, RESUMABLE), open_ended=True)

    def test_moved_to_a_pool_without_endpoints_one_silent_comes_whole(self):
        self.silent(1, 1.6, route={"service": "others"})

    def test_moved_to_a_pool_without_endpoints_all_silent_comes_whole(self):
        self.silent(3, 1.6, route={"service": "others"})

    def test_fewer_attempts_some_silent_twice_comes_whole(self):
        self.silent(2, 1.31, 1.6, route={"max_attempts": 1})


if __name__ == "__main__":
    unittest.main()
