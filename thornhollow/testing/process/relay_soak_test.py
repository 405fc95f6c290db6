"""Three relaying daemons under load while everything round them fails.

Faults are drawn by seed: the store turns all away, engines decline, fail, cut
their streams, drain, leave and come back, say so or ask for rest in their answers,
end these with their connection, whole or broken off, answer with heads that are none,
daemons are stopped in turn or frozen, configurations and keys change. What must hold
at any timing is checked for each answer; at the end all faults end and everything is served again.

Longer, by hand:  SOAK_SEEDS=1-50 SOAK_SECONDS=20 python3 relay_soak_test.py
"""

import http.client
import os
import random
import re
import signal
import threading
import time
import unittest

import harness
import raw_answers
import relay_site
from relay_site import document

SECONDS = float(os.environ.get("SOAK_SECONDS", "5"))
FIRST, _, LAST = os.environ.get("SOAK_SEEDS", "1-2").partition("-")
CALLERS = 6
# A promise that the request never ran.
NOT_RUN = {408, 421, 429, 503}
# One of so many requests has a content that ends the engine that runs it.
MARKED_OF = 40
# Headers that tell where an answer's body ends.
FRAMING = {"content-length", "transfer-encoding"}
EVENTS = 6
STREAM = relay_site.stream_text(EVENTS)
PATHS = {"/o/x": False, "/l/x": False, "/p/x": True, "/s/x": True}


class Soak(relay_site.RelayTest):

    def begin(self, seed):
        self.random = random.Random(seed)
        self.words = random.Random(f"words {seed}")
        self.engines = [self.engine(f"i-{number}", events=EVENTS)
                        for number in range(4)]
        self.odds = random.Random(f"odds {seed}")
        for engine in self.engines:
            engine.end_on = b"marked"
            # So that engines end under answers of each kind.
            engine.event_gap_s = 0.01
            engine.body_gap_s = 0.03
            self.may_answer_oddly(engine)
        self.version = 1
        seeds = ""
        self.fleet = []
        for number in range(3):
            daemon = self.daemon(name=f"n{number}", seeds=seeds)
            seeds = seeds or daemon.peers
            self.fleet.append(daemon)
        self.started = list(self.fleet)
        self.seeds = seeds
        self.results = []
        self.over = threading.Event()

    # Load.

    def call_until_over(self, caller):
        draw = random.Random(caller)
        for number in range(10 ** 6):
            if self.over.is_set():
                return
            path = draw.choice(sorted(PATHS))
            daemon = draw.choice(self.fleet)
            request = f"c{caller}-{number}"
            marked = draw.randrange(MARKED_OF) == 0
            try:
                status, headers, body = self.ask(
                    daemon, path, request, stream=PATHS[path],
                    body=b"marked" if marked else request.encode())
            except (OSError, http.client.HTTPException) as error:
                self.results.append((request, path, type(error).__name__, {},
                                     getattr(error, "partial", b""), marked))
                continue
            self.results.append(
                (request, path, status, headers, body, marked))
            time.sleep(0.005)

    # Faults; each is given back by `calm`.

    def fault(self):
        draw = self.random
        engine = draw.choice(self.engines)
        kind = draw.choice(["store"] + 5 * ["mode"] + ["drain", "leave",
                            "stop", "freeze", "configuration", "key"])
        if kind == "store":
            self.store.refuse = not self.store.refuse
        elif kind == "mode":
            engine.mode = draw.choice(["", "decline", "error", "cut"])
        elif kind == "drain":
            self.store.put(f"servers/{engine.name}", engine.entry("draining"))
        elif kind == "leave":
            self.store.delete(f"servers/{engine.name}")
        elif kind == "stop":
            self.replace(draw.randrange(len(self.fleet)))
        elif kind == "freeze":
            daemon = draw.choice(self.fleet)
            daemon.signal(signal.SIGSTOP)
            time.sleep(draw.uniform(0.1, 1.2))
            daemon.signal(signal.SIGCONT)
        else:
            self.version += 1
            keys = ["k1"] if kind == "configuration" else ["k1", "k2"]
            self.store.put("op/config", document(self.version, tenants=[
                {"name": "office", "api_keys": keys, "priority": 0}]))

    def word(self):
        """What an engine's answers say of themselves, and how they end."""
        draw = self.words
        engine = draw.choice(self.engines)
        kind = draw.choice(["framing", "break", "rest", "leaves", "again", ""])
        if kind == "framing":
            engine.ends_with_connection = draw.random() < 0.5
        elif kind == "break":
            engine.broken_off = draw.choice(["", "inside", "reset", "head"])
        elif kind == "rest":
            engine.rest_s = draw.choice([None, 0, 0.15, 0.4])
        elif kind == "leaves":
            engine.says_leaving = True
        elif kind == "again":
            self.start_again(engine)

    @staticmethod
    def may_answer_oddly(engine):
        """While `is_odd`, the engine's answers have heads that are none."""
        engine.is_odd = False
        choose_end = engine.choose_end

        def choose(call):
            choose_end(call)
            if engine.is_odd:
                request = call.headers[relay_site.ID]
                engine.ran.append(request)
                fields = raw_answers.relayed_identity(request)
                answers = {**raw_answers.broken_statuses(fields),
                           **raw_answers.broken_fields(fields)}
                kind = random.Random(request).choice(sorted(answers))
                raw_answers.send(call, raw_answers.RawAnswer(answers[kind]))

        engine.choose_end = choose

    def odd(self):
        """An engine in trouble answers with heads that are none, or no more."""
        engine = self.odds.choice(self.engines)
        engine.is_odd = self.odds.random() < 0.3

    def start_again(self, engine):
        engine.says_leaving = False
        engine.born += 1
        self.store.put(f"servers/{engine.name}", engine.entry())

    def replace(self, number):
        """Stops a daemon as an operator would, and starts another."""
        old = self.fleet[number]
        old.signal(signal.SIGTERM)
        self.assertEqual(old.wait(), 0, "a stopped daemon's exit code")
        new = relay_site.RelayDaemon(
            self.store.server.address, name=f"n{number}", seeds=self.seeds)
        self.addCleanup(new.stop)
        self.fleet[number] = new
        self.started.append(new)

    def calm(self):
        self.store.refuse = False
        harness.wait_until(
            lambda: not any(engine.is_down for engine in self.engines),
            "the engines are back")
        for engine in self.engines:
            engine.mode = ""
            engine.is_odd = False
            engine.broken_off = ""
            engine.rest_s = None
            self.start_again(engine)

    # What must hold.

    def check_all(self):
        ran = {}
        for engine in self.engines:
            for request in list(engine.ran):
                ran.setdefault(request, []).append(engine.name)
        self.assertGreater(len(self.results), 100)
        for result in list(self.results):
            try:
                self.check_one(result, ran.get(result[0], []))
            except AssertionError as failure:
                story = "\n".join(self.story(result[0]))
                raise AssertionError(f"{failure}\n{story}") from None

    def story(self, request):
        """What the daemons logged of the request, and what reached engines."""
        for daemon in self.started:
            for line in list(daemon.lines):
                if line.get("request") == request:
                    yield f"{daemon.settings.parent.name}: {line}"
        for engine in self.engines:
            for headers in list(engine.headers):
                if headers[relay_site.ID] == request:
                    yield f"{engine.name}: {headers}"

    def check_one(self, result, ran):
        request, path, status, headers, body, marked = result
        if path in ("/o/x", "/p/x"):
            self.assertLessEqual(len(ran), 1, (result, "ran twice"))
        self.assertLessEqual(len(ran), 2, (result, "more than its attempts"))
        # Stops are planned: a connection that was taken gets an answer.
        self.assertNotEqual(status, "RemoteDisconnected", (result, ran))
        self.assertNotEqual(status, "BadStatusLine", result)
        if isinstance(status, int):
            self.assertIn(status, range(200, 600), result)
        self.assertNotIn(raw_answers.BODY, body, result)
        self.assertNotIn(raw_answers.MARK.decode(), str(headers), result)
        if status in NOT_RUN and "x-response-signature" not in headers:
            self.assertEqual(ran, [], (result, "said not run, and ran"))
        if not marked:
            self.assertNotIn(b"request_ends_endpoints", body, result)
        if status == 200:
            self.assertEqual(headers.get("x-attempt-id"), request)
            self.check_body(result, ran)

    def check_body(self, result, ran):
        _, path, _, headers, body, _ = result
        if not FRAMING & set(headers):
            # Engines that end close their connections in order, and none that
            # lives on ends its answers early and in order.
            whole = (STREAM if PATHS[path] else
                     f"body of {headers['x-response-signature']}".encode())
            self.assertEqual(body, whole, (result, "looks whole"))
            return
        if not PATHS[path]:
            signed = headers["x-response-signature"]
            self.assertEqual(body, f"body of {signed}".encode(), result)
            # A new lifetime of an engine has a + more in its name.
            self.assertIn(signed.rstrip("+"),
                          [name.rstrip("+") for name in ran])
            return
        ids = [int(each) for each in re.findall(rb"id: (\d+)\n", body)]
        self.assertEqual(ids, list(range(1, 7)), (result, "looks whole"))

    def soak(self, seed):
        self.begin(seed)
        callers = [harness.Background(self.call_until_over, f"{seed}{number}")
                   for number in range(CALLERS)]
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            self.fault()
            self.word()
            self.odd()
            time.sleep(self.random.uniform(0.02, 0.2))
        self.calm()
        self.over.set()
        for each in callers:
            each.result()
        harness.wait_until(lambda: all(d.ready() for d in self.fleet),
                           "all are ready again")
        for daemon in self.fleet:
            harness.wait_until(
                lambda d=daemon: self.ask(
                    d, "/l/x", f"after-{time.monotonic_ns()}")[0] == 200,
                "served again")
        self.check_all()


for number in range(int(FIRST), int(LAST or FIRST) + 1):
    setattr(Soak, f"test_seed_{number}",
            lambda self, seed=number: self.soak(seed))


if __name__ == "__main__":
    unittest.main()
