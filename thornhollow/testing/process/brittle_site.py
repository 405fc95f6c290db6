"""Brittle endpoints: one that has to turn away more than so many requests within
a second falls over, and its load goes to the others, which fall in turn.

    class Case(brittle_site.BrittleTest):
        def test_something(self):
            self.begin()
            self.become_brittle()
            served, _ = self.arrive(brittle_site.CAPACITY * 4, 5.0)
            self.check(served, 5.0)
"""

import select
import socket
import threading
import time

import relay_site

ENGINES = 6
SLOTS = 2
# Requests that an endpoint may turn away within a second.
MOST_REFUSED = 10
# From this long after the endpoints began to say so, they are brittle.
CONTACT_S = 3.0
WORK_S = 0.3
# Requests a second that all endpoints can do.
CAPACITY = ENGINES * SLOTS / WORK_S
# Endpoints may fall this often: 2 and a tenth of their number.
MOST_FALLS = 2 + ENGINES / 10
INSTANCES = 3
# How often an engine at work looks whether its caller has left.
LOOK_S = 0.02


def has_left(connection):
    """Whether the readable connection has ended."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


class BrittleEngine(relay_site.Engine):
    """Has so many slots and no queue. Says in all its answers how many requests
    it may turn away within a second, and ends when there are more."""

    def __init__(self, name, **options):
        super().__init__(name, **options)
        self.busy = 0
        self.turned_away = []
        self.lock = threading.Lock()
        self.is_brittle = False
        # What its answers name; nothing: no bound.
        self.most_refused = MOST_REFUSED
        # Requests at which it still worked when their callers had left.
        self.dropped = []
        # When each request came, also those that it turned away: (time, id).
        self.came = []

    def head(self, call, status, signed, more):
        named = {} if self.most_refused is None else {
            "Server-Brittle": str(self.most_refused)}
        super().head(call, status, signed, {**more, **named})

    def serve(self, call, body):
        with self.lock:
            now = time.monotonic()
            self.came.append((now, call.headers[relay_site.ID]))
            has_room = self.busy < SLOTS
            self.busy += has_room
            if not has_room:
                self.turned_away = [
                    at for at in self.turned_away if at > now - 1.0] + [now]
            falls = (self.is_brittle and not self.is_down
                     and self.most_refused is not None
                     and len(self.turned_away) > self.most_refused)
            if falls:
                self.turned_away = []
        if falls:
            return self.end(call.headers[relay_site.ID])
        if not has_room:
            # Without it a refusal fails on a new connection, and shows as one
            # that breaks.
            self.choose_end(call)
            return self.whole(call, 503, b"", signed=False, not_run=True)
        try:
            if not self.work(call):
                return None
            return super().serve(call, body)
        finally:
            with self.lock:
                self.busy -= 1

    def work(self, call):
        """Whether the caller is still there at the end; the engine stops where
        it has left."""
        end = time.monotonic() + WORK_S
        while (left := end - time.monotonic()) > 0:
            readable, _, _ = select.select(
                [call.connection], [], [], min(left, LOOK_S))
            if readable and has_left(call.connection):
                self.dropped.append(call.headers[relay_site.ID])
                call.close_connection = True
                return False
        return True


class BrittleTest(relay_site.RelayTest):

    def brittle_engine(self, name):
        engine = BrittleEngine(name)
        engine.store = self.store
        self.addCleanup(engine.stop)
        self.store.put(f"servers/{name}", engine.entry())
        return engine

    def begin(self):
        self.engines = [self.brittle_engine(f"i-{number}")
                        for number in range(ENGINES)]
        self.fleet = self.daemons_that_know_each_other(INSTANCES)

    def become_brittle(self):
        """All know by then that the endpoints are brittle."""
        self.arrive(CAPACITY * 0.3, CONTACT_S)
        for engine in self.engines:
            engine.is_brittle = True

    def name_bound(self, most_refused):
        for engine in self.engines:
            engine.most_refused = most_refused

    def check(self, served, seconds):
        falls = sum(len(engine.ended) for engine in self.engines)
        print(f"{falls} falls; {served} served of {CAPACITY * seconds:.0f}")
        self.assertLessEqual(falls, MOST_FALLS)
        # Refusing all would make none fall as well.
        self.assertGreaterEqual(served, CAPACITY * seconds * 0.5)
