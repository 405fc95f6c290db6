"""Endpoints that stand still while they serve, requests of each kind at them,
and what must hold of both when all is over.

    class Case(silent_site.SilentTest):
        def test_something(self):
            self.begin()
            asked = self.ask_all(self.at)
            self.stand_still(self.busiest(1), 1.6)
            self.check(asked)
"""

import http.client
import select
import signal
import socket
import threading
import time

import cut_off_site
import harness
import relay_site

ENGINES = 3
EVENTS = 14
EVENT_GAP_S = 0.1
# Until all endpoints have begun.
BEGUN_S = 0.5
# Look-ups and orders are answered within the silence that follows.
SLOW = b"slow"
SLOW_S = 0.8
TARGET_MS = 150
MAX_ATTEMPTS = 2
# For which two endpoints may work on one stream.
MOST_OVERLAP_S = 0.4
NO_RETRIES = {"ratio": 0.0, "extra": 0}
# Of each kind of request.
CALLERS = 4
STREAM = "/p/x"
RESUMABLE = "/s/x"
LOOK_UP = "/l/x"
ORDER = "/o/x"


def document(version, **changes):
    """Look-ups there are silent after as long as streams are."""
    made = relay_site.document(version, **changes)
    for route in made["routes"]:
        route["target_latency_ms"] = TARGET_MS
    return made


class Run:
    """A request at an endpoint, from its arrival until it is answered or its
    connection is closed by whoever sent it."""

    def __init__(self, request, connection, path):
        self.request = request
        # From the instance that sent it; None where they have none.
        self.path = path
        self.begun = time.monotonic()
        self.closed = None
        self.over = None
        self._poll = select.poll()
        self._poll.register(connection, select.POLLIN | select.POLLRDHUP)
        self._connection = connection
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self):
        while self.over is None and self.closed is None:
            if self._poll.poll(20) and self._is_closed():
                self.closed = time.monotonic()

    def _is_closed(self):
        try:
            return self._connection.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True

    def end(self):
        self.over = time.monotonic()

    @property
    def ended(self):
        """Infinite while it goes on."""
        return min(self.closed or float("inf"), self.over or float("inf"))

    def overlap(self, other):
        return (min(self.ended, other.ended, time.monotonic())
                - max(self.begun, other.begun))


class Engine(relay_site.Engine):

    def __init__(self, name, **options):
        self.runs = []
        super().__init__(name, **options)

    def serve(self, call, body):
        if call.path == "/v1/report":
            return super().serve(call, body)
        run = Run(call.headers[relay_site.ID], call.connection,
                  getattr(call.server, "path", None))
        self.runs.append(run)
        try:
            return super().serve(call, body)
        finally:
            run.end()

    def whole(self, call, status, body, signed=True, not_run=False):
        # What it works on stands still as well.
        self.running.wait(harness.LIMIT_SECONDS)
        return super().whole(call, status, body, signed, not_run)


class Answer:
    """Of a look-up or an order."""

    def __init__(self, test, name, path):
        self.test, self.name, self.path = test, name, path
        self.status = None
        self.body = b""

    def submit(self, daemon):
        try:
            self.status, _, self.body = self.test.ask(
                daemon, self.path, self.name, body=SLOW)
        except (OSError, http.client.HTTPException):
            pass

    def is_whole(self):
        return self.status == 200 and self.body.startswith(b"body of i-")


class Asked:
    """Requests that are under way."""

    def __init__(self, test, daemon, paths, count):
        self.streams = [
            relay_site.StreamCaller(test, f"{path[1]}{number}", path)
            for path in paths if path in (STREAM, RESUMABLE)
            for number in range(count)]
        self.answers = [
            Answer(test, f"{path[1]}{number}", path)
            for path in paths if path in (LOOK_UP, ORDER)
            for number in range(count)]
        self._waits = [harness.Background(each.submit, daemon)
                       for each in self.streams + self.answers]

    def wait(self):
        for each in self._waits:
            each.result()


class SilentTest(cut_off_site.CutOffTest):

    def engine(self, name, **options):
        engine = Engine(name, **{"events": EVENTS, "shows_version": True,
                                 **options})
        engine.store = self.store
        engine.event_gap_s = EVENT_GAP_S
        engine.slow_on, engine.slow_s = SLOW, SLOW_S
        self.addCleanup(engine.stop)
        self.store.put(f"servers/{name}", engine.entry())
        return engine

    def begin_direct(self, versions=("v1",) * ENGINES, **options):
        """One instance before endpoints of these versions."""
        self.store.put("op/config", document(1))
        self.engines = [self.engine(f"i-{number}", version=version)
                        for number, version in enumerate(versions)]
        self.at = self.daemon(**options)

    def begin_forwarded(self, instances=3, open_ended=False):
        """The first instance serves by way of the others."""
        self.begin(instances)
        self.store.put("op/config", document(2))
        if open_ended:
            self.end_with_connections()
        self.at = self.fleet[0]
        self.cut([self.at], "reset")
        self.ask(self.at, LOOK_UP, "first")
        harness.wait_until(lambda: self.at.events("endpoint_contact"),
                           "contact is lost")
        harness.wait_until(
            lambda: all(each.events("configuration_in_force")[-1]["version"]
                        == 2 for each in self.fleet), "version 2 is in force")

    def end_with_connections(self):
        for engine in self.engines:
            engine.ends_with_connection = True

    def ask_all(self, daemon, *paths, count=CALLERS):
        """Requests on these paths, or of each kind, that have begun."""
        asked = Asked(self, daemon,
                      paths or (STREAM, RESUMABLE, LOOK_UP, ORDER), count)
        time.sleep(BEGUN_S)
        return asked

    def going_on(self, engine):
        return [run for run in list(engine.runs) if run.ended == float("inf")]

    def busiest(self, count):
        """The endpoints at which most resumable streams go on."""
        def streams(engine):
            return sum(run.request.startswith(RESUMABLE[1])
                       for run in self.going_on(engine))
        return sorted(self.engines, key=streams, reverse=True)[:count]

    def carrier(self):
        """The instance by way of which most requests go on."""
        paths = [run.path for engine in self.engines
                 for run in self.going_on(engine)]
        return max(self.fleet, key=lambda each: sum(
            paths.count(path) for path in each.paths.values()))

    def silent(self, part, *silences, open_ended=False, **options):
        """Endpoints stand still while they serve requests of each kind."""
        self.begin_direct(**options)
        if open_ended:
            self.end_with_connections()
        asked = self.ask_all(self.at)
        self.stand_still(self.busiest(part), *silences)
        self.check(asked)

    def stop(self, daemon):
        """It stands still until it is told to go on, or the test is over."""
        daemon.signal(signal.SIGSTOP)
        self.addCleanup(daemon.signal, signal.SIGCONT)

    def go_on_at_slow_ones(self):
        """Streams move to endpoints that respond, and take long until the first
        event, within which both may work on them."""
        asked = self.ask_all(self.at, RESUMABLE)
        silent = self.busiest(1)
        for engine in self.engines:
            engine.slow_on, engine.slow_s = b"body", 1.0
        self.stand_still(silent, 2.5)
        self.check(asked)
        self.assertTrue(any(len(self.runs_of(f"{each.name}-0")) > 1
                            for each in asked.streams))

    def check(self, asked):
        """All came whole, and the endpoints bore no more than they may."""
        asked.wait()
        for each in asked.streams:
            with self.subTest(each.name):
                self.assertTrue(each.complete, each.numbers)
                self.assertEqual(each.numbers, list(range(1, EVENTS + 1)))
        for each in asked.answers:
            with self.subTest(each.name):
                self.assertTrue(each.is_whole(), (each.status, each.body))
        self.check_bounds(asked)

    def check_visible(self, asked):
        """As `check`, but an answer may end early where its caller sees it."""
        asked.wait()
        for each in asked.streams:
            with self.subTest(each.name):
                self.assertEqual(each.numbers,
                                 list(range(1, len(each.numbers) + 1)))
                self.assertEqual(each.complete, len(each.numbers) == EVENTS)
        for each in asked.answers:
            if each.status in cut_off_site.NOT_RUN:
                with self.subTest(each.name):
                    self.assertEqual(self.runs_of(each.name), [])
        self.check_bounds(asked)

    def check_bounds(self, asked):
        for each in asked.streams:
            with self.subTest(each.name):
                self.assertTrue(each.is_sound(), each.versions)
                request = f"{each.name}-0"
                self.assert_runs(request, MAX_ATTEMPTS
                                 if each.path == RESUMABLE else 1)
                self.assertLess(self.overlap(request), MOST_OVERLAP_S)
        for each in asked.answers:
            with self.subTest(each.name):
                self.assert_runs(each.name, 1 if each.path == ORDER
                                 else MAX_ATTEMPTS)

    def runs_of(self, request):
        """The endpoints that ran it."""
        return [engine.name for engine in self.engines
                for each in engine.ran if each == request]

    def assert_runs(self, request, most):
        self.assertLessEqual(len(self.runs_of(request)), most,
                             (request, self.runs_of(request)))

    def overlap(self, request):
        """The longest time for which two endpoints worked on it."""
        runs = [run for engine in self.engines for run in list(engine.runs)
                if run.request == request]
        return max((one.overlap(other) for number, one in enumerate(runs)
                    for other in runs[:number]), default=0)
