"""A relaying daemon with engines, for tests of crowds (crowd.py).

The limits on one request are those that deployments have; memory and
connections are in the proportion of their machines: 260 MB, 2,048 connections.
"""

import http.client
import time

import crowd
import harness
import relay_site

MEMORY_MB = 100
CROWD = 800
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
ENGINES = 4


class Engine(relay_site.Engine):
    """Answers with a body of this size."""

    answer_bytes = 100

    def whole(self, call, status, body, signed=True, not_run=False):
        if status == 200:
            body = b"a" * self.answer_bytes
        return super().whole(call, status, body, signed, not_run)


def document(version, **changes):
    """Plain services, so that nothing but the daemon decides on who waits."""
    return relay_site.document(version, services=[{"name": "engines"}], limits={
        "max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, **changes)


class CrowdTest(crowd.CrowdChecks, relay_site.RelayTest):

    memory_mb = MEMORY_MB

    def setUp(self):
        super().setUp()
        self.engines = []
        for number in range(ENGINES):
            engine = Engine(f"i-{number}")
            self.addCleanup(engine.stop)
            self.store.put(f"servers/{engine.name}", engine.entry())
            self.engines.append(engine)
        self.store.put("op/config", document(1))

    def begin(self, more="", descriptors=None, **options):
        prepare = descriptors and crowd.limit_descriptors(descriptors)
        daemon = self.daemon(more=f"memory_mb: {self.memory_mb}\n{more}",
                             prepare=prepare, **options)
        self.measure(daemon, [daemon.address, daemon.forward,
                              daemon.ready_address, daemon.operators,
                              daemon.peers])
        return daemon

    def crowd(self, address, count=CROWD, **options):
        return super().crowd(address, count, **options)

    def order(self, number=0, body=b"", length=None):
        headers = {**self.headers(f"c{number}"), "X-Deadline-Ms": "20000"}
        return crowd.request("/o/x", headers, body, length)

    def try_once(self, daemon, path="/l/x", body=b"body"):
        """Status of one request; None for a connection that broke."""
        try:
            return self.ask(daemon, path, f"r{time.monotonic_ns()}",
                            body=body)[0]
        except (OSError, http.client.HTTPException):
            return None

    def assert_serves_beside(self, daemon):
        """While the crowd is there; a caller tries so often."""
        statuses = []
        while 200 not in statuses and len(statuses) < crowd.TRIES:
            statuses.append(self.try_once(daemon))
        self.assertIn(200, statuses)

    def assert_holds(self, daemon):
        """The crowd has gone: what the daemon held is within its memory, and it
        serves."""
        self.assert_within_memory(daemon, daemon.story)
        harness.wait_until(lambda: self.try_once(daemon) == 200,
                           "an ordinary request is answered")
