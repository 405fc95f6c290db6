"""Starts the project's programs for process tests and talks to them.

    class Case(harness.ProcessTest):
        def test_something(self):
            engine = self.start("fake-engine", "--slots=2")
            status, headers, body = harness.call(engine.address, "GET", "/v1/load")

Every wait ends on an event; LIMIT_SECONDS only keeps a hanging test from
hanging for ever, no verdict depends on it.
"""

import atexit
import hashlib
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

LIMIT_SECONDS = 60
# Exit code of a daemon whose address is taken.
CANNOT_LISTEN = 3
BIN = pathlib.Path(os.environ.get("THORNHOLLOW_BIN", "build/bin"))


class PortTaken(RuntimeError):
    """A program could not have the address that it was given."""


class Program:
    """A running program that printed its listening line."""

    def __init__(self, name, *arguments, ready=True, prepare=None):
        """`prepare` is run in the process before the program is."""
        self.name = name
        self.end_expected = False
        self.errors = tempfile.TemporaryFile(mode="w+")
        self.process = subprocess.Popen(
            [str(BIN / name), *arguments], stdout=subprocess.PIPE,
            stderr=self.errors, text=True, preexec_fn=prepare)
        self.addresses = {}
        if ready:
            self._read_ready_line()

    def _read_ready_line(self):
        guard = threading.Timer(LIMIT_SECONDS, self.process.kill)
        guard.start()
        line = self.process.stdout.readline()
        guard.cancel()
        # A daemon that logs to its output says there why it can't start.
        self.addresses = json.loads(line or "{}")
        if "event" in self.addresses or not line:
            self.process.wait()
            self.process.stdout.close()
            error = (PortTaken if self.process.returncode == CANNOT_LISTEN
                     else RuntimeError)
            raise error(
                f"{self.name} ended with {self.process.returncode} before it "
                f"was ready: {line}{self.log()}")

    @property
    def address(self):
        return self.addresses["listening"]

    @property
    def control(self):
        return self.addresses["control"]

    def log(self):
        self.errors.seek(0)
        return self.errors.read()

    def running(self):
        return self.process.poll() is None

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self):
        """Waits for the end that the test brought about."""
        self.end_expected = True
        return self.process.wait(LIMIT_SECONDS)

    def stop(self):
        """Ends the program; fails if it had ended by itself, as after a crash
        that a test would else see as one more broken connection."""
        alone = not self.running() and not self.end_expected
        if self.running():
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        log = self.log()
        self.errors.close()
        if alone:
            raise AssertionError(
                f"{self.name} ended by itself with "
                f"{self.process.returncode}: {log[-3000:]}")

    def mode(self, **fields):
        """Switches faults on; without fields switches all off."""
        status, _, body = call(self.control, "POST", "/test/mode", fields)
        if status != 200:
            raise AssertionError(f"mode {fields} refused: {body!r}")

    def get(self, path):
        """The JSON at a control path."""
        status, _, body = call(self.control, "GET", path)
        if status != 200:
            raise AssertionError(f"{path} answered {status}")
        return json.loads(body)

    def runs(self):
        return self.get("/test/runs")


def connect(address):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=LIMIT_SECONDS)


def call(address, method, path, body=None, headers=None):
    """One request; returns status, headers (lower case) and body."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    connection = connect(address)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, found, answer.read()
    finally:
        connection.close()


class Events:
    """The server-sent events of an answer, as they come."""

    def __init__(self, response):
        self.response = response
        # "done" (end marker), "end" (orderly but without it), "broken".
        self.ended = None
        self.error = None

    def _lines(self):
        # http.client's own line reading hides a break inside a chunked body.
        rest = b""
        while piece := self.response.read1(65536):
            *lines, rest = (rest + piece).split(b"\n")
            yield from lines

    def __iter__(self):
        event = "message"
        try:
            for line in self._lines():
                text = line.decode().rstrip("\r")
                if text.startswith("event: "):
                    event = text[len("event: "):]
                elif text == "data: [DONE]":
                    self.ended = "done"
                    return
                elif text.startswith("data: "):
                    data = json.loads(text[len("data: "):])
                    if event == "error":
                        self.error = data["error"]
                    else:
                        yield data
                elif not text:
                    event = "message"
            self.ended = "end"
        except (OSError, http.client.HTTPException):
            self.ended = "broken"


class Stream(Events):
    """A streamed answer straight from an engine."""

    def __init__(self, address, path, body, headers=None):
        self.connection = connect(address)
        self.connection.request("POST", path, json.dumps(body), headers or {})
        super().__init__(self.connection.getresponse())
        self.status = self.response.status
        self.headers = {n.lower(): v for n, v in self.response.getheaders()}

    def close(self):
        # The response holds its own reference to the socket.
        self.response.close()
        self.connection.close()


def wait_until(condition, what, every=0.01):
    """Returns the first true value of `condition()`, asked every so many
    seconds."""
    end = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(every)
    raise AssertionError(f"did not happen: {what}")


# Below the ports that the system gives to outgoing connections.
PORTS = range(10_000, 32_000)
# Names of this process' ports, held until it ends.
_claims = []
atexit.register(lambda: [claim.close() for claim in _claims])


def free_port():
    """A port for a program that needs to be told one, this process' own.

    One that is merely free can be had meanwhile by an outgoing connection or a
    test beside this one: the program, or one that is started again there, then
    ends with "address in use". These can't, as outgoing connections have ports
    of their own and each of these is held by one test process.
    """
    for _ in range(len(PORTS)):
        port = random.choice(PORTS)
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            # An abstract name: the system lets one process hold it, and frees
            # it however the process ends.
            claim.bind(f"\0thornhollow-test-port-{port}")
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return port
    raise RuntimeError("no port for a test could be had")


class ProcessTest(unittest.TestCase):
    """Stops what a test started, whatever became of the test."""

    def start(self, name, *arguments, **options):
        program = Program(name, *arguments, **options)
        self.addCleanup(program.stop)
        return program

    def connect(self, address):
        connection = connect(address)
        self.addCleanup(connection.close)
        return connection

    def stream(self, address, path, body, headers=None):
        opened = Stream(address, path, body, headers)
        self.addCleanup(opened.close)
        return opened


LEVELS = """
levels:
  - {name: fast, tier: 1, first_token_ms: 1000, between_tokens_ms: 100, deadline_ms: 30000}
  - {name: slow, tier: 3, first_token_ms: 5000, between_tokens_ms: 200, deadline_ms: 60000}
classes:
  - {name: notes, level: fast, idempotent: true, models: [m]}
  - {name: plans, level: slow, idempotent: true, models: [m]}
  - {name: once, level: fast, idempotent: false, models: [m]}
models: [{name: m}]
services:
  - {name: orders, path: /orders, methods: [POST], class: once, idempotent: false}
  - {name: lookups, path: /lookups, methods: [POST], class: notes, idempotent: true}
teams:
  - name: team
    token_digests: [DIGEST]
    classes: [notes, plans, once]
    weight: 1
    max_in_flight: 512
"""

SETTINGS = """
name: {name}
domain: hall
caller_address: {caller}
operator_address: {operators}
peer_address: {peers}
platform_address: {platform}
peer_key: {key}
peer_seeds: [{seeds}]
timeouts:
  connect_ms: 300
  first_byte_ms: {first_byte_ms}
  between_tokens_ms: 500
  idle_connection_ms: {idle_ms}
idempotency_keys:
  lifetime_ms: {key_lifetime_ms}
  view_lag_ms: 1000
log_level: info
{more}
"""

TOKEN = "secret"


def address_on_loopback():
    return f"127.0.0.1:{free_port()}"


class Daemon(Program):

    @property
    def operators(self):
        return self.addresses["operators"]

    def status_page(self):
        return json.loads(call(self.operators, "GET", "/status")[2])

    def version(self):
        """The platform's version of the manifest in force, or None."""
        page = self.status_page()
        return page.get("version_in_force", page.get("revision"))

    def ready(self):
        return call(self.operators, "GET", "/ready")[0] == 200


class Answer:
    """What a caller got: tokens or a body, or an explicit error, or a cut."""

    def __init__(self):
        self.status = None
        self.id = None
        self.tokens = []
        # In the order of arrival; whole and in order is 0, 1, 2, ...
        self.indices = []
        self.ids = set()
        self.body = None
        self.error = None
        # "done", "error", "cut".
        self.end = "cut"

    @property
    def kind(self):
        return self.error and self.error["kind"]

    @property
    def ran(self):
        return self.error and self.error["ran"]

    def __repr__(self):
        return (f"Answer(status={self.status}, end={self.end}, "
                f"error={self.error}, tokens={len(self.tokens)})")


def _read_answer(connection, answer):
    response = connection.getresponse()
    answer.status = response.status
    answer.id = response.getheader("X-Request-Id")
    kind = response.getheader("Content-Type", "")
    if response.status >= 400 or "event-stream" not in kind:
        answer.body = response.read()
        if response.status >= 400:
            answer.error = json.loads(answer.body)["error"]
        answer.end = "error" if answer.error else "done"
        return
    events = Events(response)
    for event in events:
        if "token_index" in event:
            answer.indices.append(event["token_index"])
            answer.tokens.append(event["choices"][0]["delta"]["content"])
        answer.ids.add(event["id"])
    answer.error = events.error
    if events.error:
        answer.end = "error"
    elif events.ended == "done":
        answer.end = "done"


def ask(address, path, body, request_class=None, headers=None):
    """A caller's request; never fails, whatever becomes of it."""
    sent = {"Authorization": f"Bearer {TOKEN}",
            "Content-Type": "application/json", **(headers or {})}
    if request_class:
        sent["X-Request-Class"] = request_class
    answer = Answer()
    connection = connect(address)
    try:
        connection.request("POST", path, json.dumps(body), sent)
        _read_answer(connection, answer)
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return answer


_prompts = itertools.count()


def chat_body(tokens, stream=True):
    # Each prompt begins differently, so that no engine is preferred for having
    # the prefix in its cache.
    return {"model": "m", "max_tokens": tokens, "stream": stream,
            "messages": [{"role": "user",
                          "content": f"{next(_prompts)} a b c"}]}


def chat(address, request_class="notes", tokens=8, stream=True):
    return ask(address, "/v1/chat/completions", chat_body(tokens, stream),
               request_class)


class Background:
    """A call in a thread of its own; `result()` waits for it."""

    def __init__(self, function, *arguments, **named):
        self._value = None
        self._thread = threading.Thread(
            target=self._run, args=(function, arguments, named), daemon=True)
        self._thread.start()

    def _run(self, function, arguments, named):
        self._value = function(*arguments, **named)

    def done(self):
        return not self._thread.is_alive()

    def result(self):
        self._thread.join(LIMIT_SECONDS)
        if self._thread.is_alive():
            raise AssertionError("a call did not end")
        return self._value


class SiteTest(ProcessTest):
    """A platform, endpoints and daemons that know of each other."""

    FIRST_BYTE_MS = 1000
    KEY_LIFETIME_MS = 600000
    # Further lines of every daemon's settings, such as "limits: {...}".
    MORE_SETTINGS = ""
    IDLE_MS = 60000

    def setUp(self):
        self.endpoints = []
        self.daemons = []
        self.platform = self.start("fake-platform")

    def engine(self, name, *arguments, proxied=False):
        return self._endpoint("fake-engine", "m", name, proxied,
                              "--step_ms=2", "--mean_tokens=0",
                              "--slots=64", *arguments)

    def service(self, pool, name, proxied=False):
        return self._endpoint("fake-service", pool, name, proxied,
                              "--work_ms=1")

    def _endpoint(self, program, pool, name, proxied, *arguments):
        started = self.start(program, *arguments)
        started.proxy = None
        address = started.address
        if proxied:
            started.proxy = self.start("fault-proxy", f"--target={address}")
            address = started.proxy.address
        started.entry = {"name": name, "address": address, "pool": pool}
        self.endpoints.append(started)
        return started

    def declarations(self):
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        lines = [LEVELS.replace("DIGEST", digest), "endpoints:"]
        lines += [
            "  - {name: %(name)s, domain: hall, address: \"%(address)s\", "
            "pools: [%(pool)s], slots: 64}" % each.entry
            for each in self.endpoints]
        return "\n".join(lines) + "\n"

    def publish(self, declarations=None):
        """Publishes declarations as a bundle of one part, the part first;
        returns the manifest's version."""
        part = declarations or self.declarations()
        digest = hashlib.sha256(part.encode()).hexdigest()
        self.put(f"thornhollow/parts/{digest}", part)
        return self.put("thornhollow/manifest",
                        f'format: 1\nparts:\n- "{digest}"\n')

    def put(self, key, value):
        _, headers, _ = call(
            self.platform.control, "PUT", f"/test/values/{key}", value)
        return int(headers["x-version"])

    def publish_instances(self, leaving=()):
        routers = [{"name": daemon.settings["name"], "role": "router",
                    "domain": "hall", "address": daemon.address,
                    "peer_address": daemon.settings["peers"],
                    "state": "live"} for daemon in self.daemons]
        endpoints = [{"name": each.entry["name"], "role": "endpoint",
                      "domain": "hall", "address": each.entry["address"],
                      "state": "leaving" if each.entry["name"] in leaving
                      else "live"} for each in self.endpoints]
        call(self.platform.control, "PUT", "/test/instances",
             {"instances": routers + endpoints})

    def settings_for(self, name, platform):
        return {"name": name, "caller": address_on_loopback(),
                "operators": address_on_loopback(),
                "peers": address_on_loopback(),
                "platform": platform or self.platform.address,
                "key": "ab" * 32, "first_byte_ms": self.FIRST_BYTE_MS,
                "key_lifetime_ms": self.KEY_LIFETIME_MS,
                "more": self.MORE_SETTINGS, "idle_ms": self.IDLE_MS,
                "seeds": ", ".join(d.settings["peers"] for d in self.daemons)}

    def daemon(self, name="d1", platform=None, settings=None, ready=True,
               prepare=None):
        """Starts a daemon and waits until it is ready."""
        for _ in range(5):
            chosen = settings or self.settings_for(name, platform)
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            path = pathlib.Path(folder.name, "settings.yaml")
            path.write_text(SETTINGS.format(**chosen))
            try:
                started = Daemon("thornhollowd", f"--settings={path}",
                                 prepare=prepare)
            except PortTaken:
                continue
            self.addCleanup(started.stop)
            started.settings = chosen
            self.daemons.append(started)
            if ready:
                wait_until(started.ready, f"{name} is ready: {started.log()}")
            return started
        raise AssertionError("no free addresses for a daemon")

    def site(self, **options):
        """Publishes what was started so far and starts one daemon."""
        self.publish()
        return self.daemon(**options)

    def ask_until(self, condition, what, request):
        """Sends `request()` again and again until `condition()`; returns all
        answers."""
        answers = []

        def step():
            answers.append(request())
            return condition()

        wait_until(step, what)
        return answers

    def assert_sound(self, answer):
        """Whole and own, or an explicit error; never a silent cut."""
        self.assertIn(answer.end, ("done", "error"), answer)
        self.assertEqual(answer.indices, list(range(len(answer.indices))),
                         answer)
        self.assertLessEqual(answer.ids, {answer.id}, answer)

    def assert_truthful(self, answer, runs):
        """What the answer says about running against the endpoints' count."""
        if answer.ran == "no":
            self.assertEqual(runs, 0, answer)
        if answer.ran == "yes" or answer.end == "done":
            self.assertGreaterEqual(runs, 1, answer)


def chat_runs(*engines, fresh=False):
    """Runs over all requests and engines; `fresh` leaves resumptions out."""
    totals = [engine.runs()["totals"] for engine in engines]
    runs = sum(each["runs"] for each in totals)
    return runs - sum(each["resumed"] for each in totals) if fresh else runs
