"""Instances before endpoints of two software versions, whose events show the
version that wrote them, and callers that take streams up.

    class Case(two_versions_site.TwoVersions):
        def test_something(self):
            self.begin(instances=3)
            callers = self.begin_streams(self.fleet[0])
            self.take_up(callers, self.fleet[1])
            self.assert_go_on(callers)
"""

import time

import cut_off_site
import harness
import relay_site

EVENTS = 6
STREAMS = 24
# Of the streams that are taken up while their version serves.
GO_ON = 0.95
REFUSED = 503
SETTLED_S = 1.3


class TwoVersions(relay_site.RelayTest):

    def begin(self, instances=3, document=None):
        self.engines = [
            self.engine(f"i-{number}", events=EVENTS, shows_version=True,
                        version=f"v{1 + number // 2}")
            for number in range(4)]
        for engine in self.engines:
            engine.event_gap_s = 0.01
        self.store.put("op/config", document or relay_site.document(1))
        self.fleet = self.daemons_that_know_each_other(instances)
        # An instance to which others are new asks its caller to come back.
        time.sleep(SETTLED_S)

    def callers(self, count=STREAMS):
        return [relay_site.StreamCaller(self, f"s{number}")
                for number in range(count)]

    def begin_streams(self, daemon, events=2):
        """Streams of which the first events have come, and their connections
        are gone."""
        made = self.callers()
        for caller in made:
            caller.submit(daemon, leave_after=events)
            self.assertGreaterEqual(len(caller.numbers), events)
        self.assertEqual({each.versions[0] for each in made}, {"v1", "v2"})
        # One endpoint of each version is full, so that streams have to move.
        for engine in self.engines[::2]:
            engine.mode = "decline"
        return made

    def broken_off_streams(self, *daemons):
        """Streams at the daemons in turn, each broken off by its endpoint."""
        for engine in self.engines:
            engine.mode = "cut"
        made = self.callers()
        for number, caller in enumerate(made):
            caller.submit(daemons[number % len(daemons)])
        return made

    def take_up(self, callers, daemon):
        for caller in callers:
            caller.submit(daemon)

    def assert_sound(self, callers):
        mixed = [each.versions for each in callers if not each.is_sound()]
        self.assertEqual(mixed, [], f"{len(mixed)} of {len(callers)} streams")

    def assert_go_on(self, callers):
        self.assert_sound(callers)
        whole = [each for each in callers if each.complete]
        self.assertGreaterEqual(len(whole), GO_ON * len(callers),
                                [each.refusal or each.status
                                 for each in callers if not each.complete])

    def assert_told_to_start_anew(self, caller, kind):
        self.assertEqual(caller.status, REFUSED)
        self.assertIn(f'"kind":"{kind}"'.encode(),
                      caller.refusal.replace(b" ", b""))
        self.assertIn(b'"ran":"no"', caller.refusal.replace(b" ", b""))
        self.assertNotIn("retry-after", caller.headers)

    def restart_as(self, engine, version):
        """Ends it, and starts it again under its name and at its address as
        another version; its entry stays the old one."""
        engine.server.end()
        engine.version = version
        engine.process_born = engine.born + 1
        engine.server = relay_site.Server(engine.handler,
                                          engine.server.server_port)

    def change_entry(self, engine, state="ready"):
        self.store.put(f"servers/{engine.name}", engine.entry(state))


class ByWayOfAnother(cut_off_site.CutOffTest, TwoVersions):

    def begin(self, instances=3):
        super().begin(instances)
        for number, engine in enumerate(self.engines):
            engine.events = EVENTS
            engine.shows_version = True
            engine.event_gap_s = 0.01
            engine.version = "v1" if number < 2 else "v2"
        more = self.engine("i-3", events=EVENTS, shows_version=True,
                           version="v2")
        more.event_gap_s = 0.01
        self.engines.append(more)
        for daemon in self.fleet:
            path = relay_site.Path(more.handler)
            self.addCleanup(path.stop)
            daemon.paths[more.name] = path
        for engine in self.engines:
            engine.born += 1
            self.change_entry(engine)
        harness.wait_until(
            lambda: all(len(each.events("endpoint_joined")) >= 7
                        for each in self.fleet), "two versions are known")
        time.sleep(SETTLED_S)
        self.cut(self.fleet[:1], "reset")
