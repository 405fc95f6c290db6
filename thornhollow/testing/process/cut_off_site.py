"""Instances that each have paths of their own to the engines, some of which
lose them.

    class Case(cut_off_site.CutOffTest):
        def test_something(self):
            self.begin(instances=4)
            self.cut(self.fleet[:1], "hang")
            counts = self.traffic(3.0)
"""

import http.client
import itertools
import threading
import time

import harness
import relay_site

# Promises that a request never ran.
NOT_RUN = {408, 421, 429, 503}
# Paths of each kind of request, and whether it is a stream.
KINDS = {"/p/x": True, "/s/x": True, "/o/x": False, "/l/x": False}
ENGINES = 3
CALLERS_EACH = 3


class CutOffTest(relay_site.RelayTest):

    # Requests take 0.3 s, so that several connections are needed at a time.
    slow = False
    # How long an instance that is told to stop goes on with its requests.
    drain_grace_s = 20

    def configuration(self):
        """The one that is in force from the beginning."""
        return relay_site.document(1)

    def begin(self, instances):
        self.numbers = itertools.count()
        self.engines = [self.engine(f"i-{number}") for number in range(ENGINES)]
        for engine in self.engines:
            engine.slow_on = b"body" if self.slow else None
        self.store.put("op/config", self.configuration())
        self.fleet = [self.instance(number) for number in range(instances)]
        self.introduce()

    def instance(self, number):
        """An instance with paths of its own to the engines. It knows no peers
        yet, from which it would take copies with their addresses."""
        view = relay_site.StoreView(self.store)
        self.addCleanup(view.server.stop)
        paths = {engine.name: relay_site.Path(engine.handler)
                 for engine in self.engines}
        for path in paths.values():
            self.addCleanup(path.stop)
        view.paths = paths
        daemon = relay_site.RelayDaemon(view.server.address, name=f"n{number}",
                                        drain_grace_s=self.drain_grace_s)
        self.addCleanup(daemon.stop)
        daemon.wait_ready()
        daemon.paths = paths
        daemon.view = view
        return daemon

    def introduce(self):
        """One more instance tells all of each other, and ends."""
        seeds = ", ".join(each.peers for each in self.fleet)
        guest = relay_site.RelayDaemon(
            self.store.server.address, name="guest", seeds=seeds)
        self.addCleanup(guest.stop)
        known = len(self.fleet)
        harness.wait_until(
            lambda: all(any(line["alive"] >= known
                            for line in daemon.events("peers_changed"))
                        for daemon in self.fleet), "all know each other")
        guest.kill()
        harness.wait_until(
            lambda: all(daemon.events("peers_changed")[-1]["alive"] == known - 1
                        for daemon in self.fleet), "the guest is forgotten")

    def cut(self, daemons, mode):
        for daemon in daemons:
            for path in daemon.paths.values():
                path.cut(mode)

    def ways(self):
        """An instance that reaches the engines, and then one that asks by way
        of the other."""
        yield self.fleet[1], "direct"
        self.cut(self.fleet[:1], "reset")
        yield self.fleet[0], "by way of another"

    def heal(self, daemons):
        for daemon in daemons:
            for path in daemon.paths.values():
                path.heal()

    def submit(self, daemon, path):
        """Whether a first try was served."""
        request = f"r{next(self.numbers)}"
        try:
            status, _, body = self.ask(daemon, path, request,
                                       stream=KINDS[path])
        except (OSError, http.client.HTTPException):
            status, body = 0, b""
        if status in NOT_RUN:
            self.assertFalse(
                any(request in engine.ran for engine in self.engines),
                f"{request} was answered {status} and ran")
        runs = self.runs(request)
        if path in ("/o/x", "/p/x"):
            self.assertLessEqual(runs, 1, f"{request} ran more than once")
        whole = b"id: 3\n" in body if KINDS[path] else body.startswith(b"body")
        return status == 200 and whole

    def traffic(self, seconds, callers_each=CALLERS_EACH):
        """First tries at all instances for so long, from callers that wait for
        one answer before the next; served and sent of each."""
        counts = {daemon: [0, 0] for daemon in self.fleet}
        end = time.monotonic() + seconds
        lock = threading.Lock()

        def call(daemon):
            for path in itertools.cycle(KINDS):
                if time.monotonic() >= end:
                    return
                self.count(counts, lock, daemon, path)
                time.sleep(0.02)

        callers = [harness.Background(call, daemon)
                   for daemon in self.fleet for _ in range(callers_each)]
        for each in callers:
            each.result()
        return counts

    def arrivals(self, seconds):
        """The same from new callers at a steady rate."""
        counts = {daemon: [0, 0] for daemon in self.fleet}
        end = time.monotonic() + seconds
        lock = threading.Lock()
        callers = []
        for path in itertools.cycle(KINDS):
            if time.monotonic() >= end:
                break
            callers += [
                harness.Background(self.count, counts, lock, daemon, path)
                for daemon in self.fleet]
            time.sleep(0.05)
        for each in callers:
            each.result()
        return counts

    def count(self, counts, lock, daemon, path):
        served = self.submit(daemon, path)
        with lock:
            counts[daemon][0] += served
            counts[daemon][1] += 1

    def share(self, counts, daemons):
        served = sum(counts[daemon][0] for daemon in daemons)
        sent = sum(counts[daemon][1] for daemon in daemons)
        self.assertGreater(sent, 0)
        return served / sent
