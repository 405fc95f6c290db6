"""Crowds at the own interface that would take a daemon over its memory, its
descriptors or its connections."""

import time
import unittest

import crowd
import harness
from crowd import DESCRIPTORS, MAX_CONNECTIONS, MORE_THAN_A_DOOR_TAKES, TRIES

# What a daemon may use unless its settings say otherwise.
MEMORY_MB = 1024
MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 1_048_576
BODIES = 400
HEADERS = 1_100
CALLERS = 400
WAVES = 5


class OwnCrowdTest(crowd.CrowdChecks, harness.SiteTest):

    memory_mb = MEMORY_MB

    def begin(self, descriptors=None):
        self.engine("e1")
        prepare = descriptors and crowd.limit_descriptors(descriptors)
        daemon = self.site(prepare=prepare)
        self.publish_instances()
        self.measure(daemon, [daemon.address, daemon.operators,
                              daemon.settings["peers"]])
        return daemon

    def completion(self, body, length=None):
        return crowd.request(
            "/v1/chat/completions",
            {"Host": "a", "Authorization": f"Bearer {harness.TOKEN}",
             "X-Request-Class": "notes", "Content-Type": "application/json"},
            body, length)

    def chat(self, tokens=8):
        text = '{"model":"m","max_tokens":%d,"stream":true,"messages":' \
               '[{"role":"user","content":"%s"}]}'
        return self.completion((text % (tokens, "a b " * 1000)).encode())

    def assert_serves_beside(self, daemon):
        for _ in range(TRIES):
            if harness.chat(daemon.address).end == "done":
                return
        self.fail("an ordinary request isn't answered")

    def assert_holds(self, daemon):
        self.assert_within_memory(daemon)
        harness.wait_until(
            lambda: harness.chat(daemon.address).end == "done",
            "an ordinary request is answered")


class OwnCrowd(OwnCrowdTest):

    # Guards against bodies that are bounded one by one and not in their sum.
    def test_bodies_without_end(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address, BODIES)
        body = b"{" + b" " * (MAX_BODY_BYTES - 2)
        clients.send_all(self.completion(body, MAX_BODY_BYTES))
        time.sleep(0.5)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against an exception in one connection that ends the process:
    # requests that are sent ahead of the answers, more than are read ahead.
    def test_requests_in_one_write(self):
        daemon = self.begin()
        one = self.completion(b'{"model":"m","max_tokens":1,"messages":'
                              b'[{"role":"user","content":"a"}]}')
        clients = self.crowd(daemon.address, 3)
        clients.send_all(one * crowd.PIPELINED)
        clients.read_heads()
        time.sleep(0.5)
        clients.leave()
        self.assert_holds(daemon)

    # Guards against callers who leave early, and what is left of them.
    def test_callers_that_leave_early(self):
        daemon = self.begin()
        before = crowd.descriptors(daemon.process.pid)
        for _ in range(WAVES):
            clients = self.crowd(daemon.address, CALLERS)
            clients.send_all(self.chat(tokens=2000))
            clients.leave(0.5)
            time.sleep(0.05)
            clients.leave(reset=False)
        self.assert_holds(daemon)
        self.assert_gives_back(daemon, before + 8)

    # Guards against descriptors that idle connections take from endpoints and
    # the platform.
    def test_idle_crowds_at_all_listeners_descriptors_are_left(self):
        daemon = self.begin(descriptors=DESCRIPTORS)
        crowds = [self.crowd(address, CALLERS) for address in (
            daemon.operators, daemon.settings["peers"], daemon.address)]
        time.sleep(0.5)
        self.assert_serves_beside(daemon)
        self.assert_answers(daemon.operators, "/metrics")
        for each in crowds:
            each.leave()
        self.assert_holds(daemon)
        self.assert_descriptors_left()


class OwnCrowdHeaders(OwnCrowdTest):

    MORE_SETTINGS = f"limits: {{max_header_bytes: {MAX_HEADER_BYTES}}}"

    # Guards against headers that are bounded one by one and not in their sum.
    def test_headers_without_end(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address, HEADERS)
        text = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-A: "
        clients.send_all(text + b"a" * (MAX_HEADER_BYTES - len(text) - 10))
        time.sleep(0.5)
        clients.leave()
        self.assert_holds(daemon)


class OwnCrowdConnections(OwnCrowdTest):

    MORE_SETTINGS = f"limits: {{max_connections: {MAX_CONNECTIONS}}}"

    # Guards against connections that keep others out for as long as they may
    # be idle.
    def test_idle_crowd_takes_all_connections_others_are_served(self):
        daemon = self.begin()
        clients = self.crowd(daemon.address, MORE_THAN_A_DOOR_TAKES)
        self.assert_serves_beside(daemon)
        clients.leave()
        self.assert_holds(daemon)


if __name__ == "__main__":
    unittest.main()
