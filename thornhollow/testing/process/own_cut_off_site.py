"""Own interface: instances with paths of their own to the same endpoints, so
that one can lose them while the others and all callers' links stay.

    class Case(own_cut_off_site.OwnCutOff):
        def test_something(self):
            self.begin()
            self.cut(0, "reset")
            self.assertEqual(self.served(self.fleet[0]), 1.0)
"""

import harness

# From this long after a cut began, callers are owed what others get.
CONTACT_S = 3.0
REQUESTS = 20


class OwnCutOff(harness.SiteTest):

    def begin(self, names=("d1", "d2"), engine_options=()):
        """Each instance reads the endpoints' addresses, its own paths to them,
        from a platform of its own. They are told of each other once they are
        ready, or one would take the other's addresses with its
        configuration."""
        self.own_paths = []
        self.fleet = []
        platforms = []
        self.engines = [self.engine(f"e{number}", *engine_options)
                        for number in range(2)]
        services = [self.service("lookups", f"s{number}")
                    for number in range(2)]
        endpoints = self.engines + services
        for name in names:
            self.platform = self.start("fake-platform")
            paths = [self.start("fault-proxy", f"--target={each.address}")
                     for each in endpoints]
            for each, path in zip(endpoints, paths):
                each.entry["address"] = path.address
            self.publish()
            self.own_paths.append(paths)
            settings = self.settings_for(name, self.platform.address)
            settings["seeds"] = ""
            self.fleet.append(self.daemon(name, settings=settings))
            platforms.append(self.platform)
        for self.platform in platforms:
            self.publish_instances()

    def cut(self, number, fault):
        for path in self.own_paths[number]:
            path.mode(fault=fault)

    def heal(self, number):
        for path in self.own_paths[number]:
            path.mode()

    def served(self, daemon):
        calls = [harness.Background(
            harness.chat, daemon.address, "notes", tokens=5)
            for _ in range(REQUESTS)]
        return sum(call.result().end == "done" for call in calls) / REQUESTS

    def metric(self, daemon, name):
        """The value of the metric's first line, or 0."""
        page = harness.call(daemon.operators, "GET", "/metrics")[2].decode()
        for line in page.splitlines():
            if line.startswith(name):
                return float(line.rsplit(" ", 1)[1])
        return 0.0

    def wait_for_contact(self, daemon, lost):
        harness.wait_until(
            lambda: self.metric(
                daemon, "thornhollow_pools_out_of_contact") == lost,
            f"{lost} pools out of contact")
