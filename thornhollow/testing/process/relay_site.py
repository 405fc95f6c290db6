"""Stand-ins of a platform's store and engines in the protocol of
docs/PLATFORM.md, and a relaying daemon before them.

    class Case(relay_site.RelayTest):
        def test_something(self):
            engine = self.engine("i-1")
            daemon = self.daemon()
            status, headers, body = self.ask(daemon, "/p/x")
"""

import base64
import http.server
import itertools
import json
import os
import pathlib
import socket
import struct
import tempfile
import threading
import time
import unittest
import urllib.parse
import zlib

import harness

ID = "X-Attempt-Id"
SIGNATURE = "X-Response-Signature"
NOT_RUN = "X-Not-Executed"
LEAVING = "Server-Leaving"
FRAMING = ("Content-Length", "Transfer-Encoding")
STREAM_HEADERS = {"Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
# Instances that the platform names to each one.
MOST_SEEDS = 3


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    # After the end of an endpoint its address is used again.
    allow_reuse_address = True
    # With the default of 5 some of a dozen connections that come at once wait
    # for as long as their makers do.
    request_queue_size = 128

    def __init__(self, handler, port=0):
        super().__init__(("127.0.0.1", port), handler)
        self.address = f"127.0.0.1:{self.server_port}"
        self.connections = set()
        threading.Thread(target=self.serve_forever, args=(0.02,),
                         daemon=True).start()

    def get_request(self):
        connection, address = super().get_request()
        self.connections.add(connection)
        return connection, address

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """A caller that leaves is no error of the stand-in."""

    def stop(self):
        self.shutdown()
        self.server_close()

    def refuse(self):
        """Accepts nothing more; open connections live on."""
        # Closing alone would leave it listening until the server's thread, which
        # waits for it, has returned.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.shutdown()

    def end(self):
        """Stops as a crash does: connections are closed at once."""
        self.refuse()
        for each in list(self.connections):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Path:
    """The network between one instance and one engine, with an address of its
    own. While it is cut, `mode` says how that shows:

    reset   connections are reset, new ones refused
    hang    nothing passes, and new connections are never made
    alone   open connections live on, new ones are refused
    """

    def __init__(self, handler):
        self.handler = handler
        self.passing = threading.Event()
        self.passing.set()
        self.blocked = []
        self._listen(harness.free_port())

    def _listen(self, port):
        self.server = Server(self.handler, port)
        self.server.path = self
        self.address = self.server.address

    def cut(self, mode):
        if mode == "hang":
            self.passing.clear()
            self.server.refuse()
            self._block()
        elif mode == "alone":
            self.server.refuse()
        else:
            self.server.end()

    def _block(self):
        """Listens and never accepts: the system drops the packets that would
        open further connections."""
        host, port = self.address.rsplit(":", 1)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self.blocked = [listener]
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.blocked.append(filler)

    def heal(self):
        for each in self.blocked:
            each.close()
        self.blocked = []
        self._listen(int(self.address.rsplit(":", 1)[1]))
        self.passing.set()

    def stop(self):
        for each in self.blocked:
            each.close()
        self.passing.set()
        if self.server.socket.fileno() >= 0:
            self.server.stop()


class StoreView:
    """The store as one instance sees it: each engine at the address of the path
    between the two."""

    def __init__(self, store):
        self.store = store
        self.paths = {}
        view = self

        class Handler(store.handler):
            def answer(self, path, asked):
                status, body = store.answer(path, asked)
                for part in ("entries", "events"):
                    if part in body:
                        body[part] = [view.seen(item) for item in body[part]]
                return status, body

        self.server = Server(Handler)

    def seen(self, item):
        path = self.paths.get(item["key"].removeprefix("servers/"))
        if path is None or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        text = json.dumps({**entry, "address": path.address}).encode()
        return {**item, "value": base64.b64encode(text).decode()}


class Store:
    """Items with revisions, listed and watched."""

    # A short wait, so that a refusal that begins meanwhile shows.
    longest_wait_s = 0.3

    def __init__(self):
        self.items = {}
        self.at = 1
        self.changed = threading.Condition()
        self.refuse = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, path, asked):
                return store.answer(path, asked)

            def do_GET(self):
                path, _, query = self.path.partition("?")
                asked = dict(urllib.parse.parse_qsl(query))
                status, body = self.answer(path, asked)
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

        self.handler = Handler
        self.server = Server(Handler)

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.at += 1
            self.items[key] = {
                "key": key, "value": base64.b64encode(text).decode(),
                "revision": self.at, "created": self.at, "lease": 0}
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.at += 1
            self.items[key] = {
                "key": key, "revision": self.at, "is_deleted": True}
            self.changed.notify_all()

    def answer(self, path, asked):
        if self.refuse:
            return 503, {}
        prefix = asked["path_prefix"]
        if path == "/v1/kv-range":
            with self.changed:
                found = [item for key, item in sorted(self.items.items())
                         if key.startswith(prefix) and "value" in item]
                return 200, {"entries": found, "has_more": False,
                             "at": self.at}
        after = int(asked["after"])

        def news():
            return self.refuse or [
                item for key, item in self.items.items()
                if key.startswith(prefix) and item["revision"] > after]

        with self.changed:
            self.changed.wait_for(news, timeout=self.longest_wait_s)
            if self.refuse:
                return 503, {}
            return 200, {"events": news(), "at": self.at}


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def event_text(number, version=""):
    shown = f" {version}" if version else ""
    return f"id: {number}\ndata: e{number}{shown}\n\n".encode()


def stream_text(events):
    """A whole stream of so many events."""
    return b"".join(event_text(number) for number in range(1, events + 1))


class StreamCaller:
    """A caller that takes its stream up, at any instance, after its connection
    ended."""

    def __init__(self, test, name, path="/s/x"):
        self.test = test
        self.name = name
        self.path = path
        # A prompt that begins like no other, so that streams spread over the
        # engines.
        self.prompt = f"{zlib.crc32(name.encode()):x}:800,e4:250"
        self.submissions = 0
        # Of the events that came: their numbers and versions.
        self.numbers = []
        self.versions = []
        # The submission that brought the first event.
        self.begun_as = None
        self.complete = False
        # Of the last submission: its status (None without an answer), header
        # and, where it was refused, body.
        self.status = None
        self.headers = {}
        self.refusal = b""

    def submit(self, daemon, leave_after=None, **headers):
        """Reads until the stream ends or `leave_after` events have come.
        Returns how many came."""
        request = f"{self.name}-{self.submissions}"
        self.submissions += 1
        before = len(self.numbers)
        sent = {**self.test.headers(request, stream=True),
                "X-Prompt-Prefix": self.prompt, **headers}
        if self.begun_as:
            sent.setdefault("Resumes", self.begun_as)
            sent.setdefault("Last-Event-Id", str(self.numbers[-1]))
        self.status, self.headers, self.refusal = None, {}, b""
        connection = harness.connect(daemon.address)
        try:
            connection.request("POST", self.path, b"body", sent)
            answer = connection.getresponse()
            self.status = answer.status
            self.headers = {name.lower(): value
                            for name, value in answer.getheaders()}
            if self.status == 200:
                self._read(answer, request, before, leave_after)
            else:
                self.refusal = answer.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return len(self.numbers) - before

    def _read(self, answer, request, before, leave_after):
        text = b""
        while piece := answer.read1(65536):
            *whole, text = (text + piece).split(b"\n\n")
            for each in whole:
                self._take(each.decode(), request)
            if leave_after and len(self.numbers) - before >= leave_after:
                answer.close()
                return
        self.complete = True

    def _take(self, event, request):
        self.begun_as = self.begun_as or request
        number, data = event.split("\n")
        self.numbers.append(int(number.removeprefix("id: ")))
        self.versions.append(data.split(" ")[-1])

    def is_sound(self):
        """Each event came once, in order, and all from one version."""
        return (self.numbers == list(range(1, len(self.numbers) + 1))
                and len(set(self.versions)) <= 1)


class Engine:
    """Streams events, or answers whole; counts what it ran."""

    def __init__(self, name, events=3, version="v1", shows_version=False):
        self.name = name
        # Of its software, as its entry says, and whether its events show it.
        self.version = version
        self.shows_version = shows_version
        # Another value tells another process under the same name: of its entry,
        # and of the process that runs, if the entry is late.
        self.born = 1
        self.process_born = None
        self.events = events
        # "", "decline", "error", "cut" (what isn't continued), "hang".
        self.mode = ""
        self.ran = []
        self.reports = 0
        # How long it takes to tell its state.
        self.report_after_s = 0
        self.headers = []
        # When each request arrived, also those that it refused: (time, id).
        self.arrived = []
        # All answers say that it leaves.
        self.says_leaving = False
        # A refusal names this time, in seconds, in which it wants nothing.
        self.rest_s = None
        self.release = threading.Event()
        # Cleared while the process stands still: it takes connections, and
        # says nothing.
        self.running = threading.Event()
        self.running.set()
        # A body that contains this text is answered this much later.
        self.slow_on = None
        self.slow_s = 0.3
        # Between two events of a stream, and between two halves of another
        # answer's body.
        self.event_gap_s = 0
        self.body_gap_s = 0
        # Answers have neither a length nor chunks and end with their
        # connection; `broken_off` tells how the first one of each request ends
        # early: "" (not at all), "head" (after the head), "inside" and
        # "between" events, or "reset". All but the last close the connection
        # in order. Engines may share the requests that were broken off.
        self.ends_with_connection = False
        # The same of streams that are resumed only.
        self.resumed_end_with_connection = False
        self.broken_off = ""
        self.broken_requests = set()
        # A body that contains this text ends the engine that runs it. It is
        # back after `back_after_s` as a new lifetime: another name at the same
        # address, while its old entry expires only `expires_after_s` later.
        self.end_on = None
        # So does a prompt with one of these parts, unless it is the last one:
        # after the head of the answer and so many of its events.
        self.end_on_parts = set()
        self.events_before_end = 0
        self.back_after_s = 1.0
        self.expires_after_s = 0.5
        self.store = None
        self.ended = []
        self.is_down = False
        self.over = threading.Event()
        engine = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = self.rfile.read(
                    int(self.headers.get("Content-Length", 0)))
                engine.serve(self, body)

            do_GET = do_POST

        self.handler = Handler
        self.server = Server(Handler, harness.free_port())
        self.address = self.server.address

    def end(self, request):
        self.ended.append((time.monotonic(), request))
        self.is_down = True
        self.server.end()
        threading.Thread(target=self._come_back, args=(self.name,),
                         daemon=True).start()

    def _come_back(self, old):
        if not self.over.wait(self.expires_after_s):
            self.store.delete(f"servers/{old}")
        if self.over.wait(self.back_after_s - self.expires_after_s):
            return
        self.name = f"{old}+"
        self.server = Server(self.handler, self.server.server_port)
        self.store.put(f"servers/{self.name}", self.entry())
        self.is_down = False

    def stop(self):
        self.over.set()
        self.running.set()
        self.release.set()
        self.server.stop()

    def serve(self, call, body):
        path = getattr(call.server, "path", None)
        if path and not path.passing.is_set():
            # What a cut held up is lost when its sender resets the connection.
            path.passing.wait()
            call.close_connection = True
            return None
        self.running.wait(harness.LIMIT_SECONDS)
        if call.path == "/v1/report":
            return self.report(call)
        self.choose_end(call)
        self.headers.append(dict(call.headers))
        self.arrived.append((time.monotonic(), call.headers[ID]))
        expected = call.headers.get("X-Expected-Instance")
        if expected != self.name:
            return self.whole(call, 421, b"", signed=False)
        if self.mode == "decline":
            return self.whole(call, 503, b"", signed=False, not_run=True)
        self.ran.append(call.headers[ID])
        if self.end_on and self.end_on in body:
            # Others that run here end with it.
            time.sleep(0.05)
            return self.end(call.headers[ID])
        if self.end_on_parts.intersection(self.shared_parts(call)):
            self.head(call, 200, True, STREAM_HEADERS)
            call.wfile.flush()
            for event in range(1, self.events_before_end + 1):
                call.wfile.write(chunk(self.event(event)))
                call.wfile.flush()
                time.sleep(self.event_gap_s)
            time.sleep(0.05)
            return self.end(call.headers[ID])
        if self.slow_on and self.slow_on in body:
            time.sleep(self.slow_s)
        if self.mode == "hang":
            self.release.wait(harness.LIMIT_SECONDS)
        if self.mode == "error":
            return self.whole(call, 500, b"broken")
        if "X-Token-Counts" not in call.headers:
            return self.whole(call, 200, f"body of {self.name}".encode())
        return self.stream(call)

    @staticmethod
    def shared_parts(call):
        """Of the prompt, all but the last."""
        entries = call.headers.get("X-Prompt-Prefix", "").split(",")
        return {entry.split(":")[0] for entry in entries[:-1]}

    def head(self, call, status, signed, more):
        call.send_response(status)
        call.send_header(ID, call.headers[ID])
        if signed:
            call.send_header(SIGNATURE, self.name)
        if self.says_leaving:
            call.send_header(LEAVING, "1")
        for name, value in more.items():
            if not (call.is_open_ended and name in FRAMING):
                call.send_header(name, value)
        if call.is_open_ended:
            call.close_connection = True
        call.end_headers()

    def choose_end(self, call):
        """How this answer ends, whatever is set for later ones meanwhile."""
        request = call.headers[ID]
        call.is_open_ended = self.ends_with_connection or (
            self.resumed_end_with_connection
            and "Last-Event-Id" in call.headers)
        first = request not in self.broken_requests
        call.broken_off = self.broken_off if first else ""
        if call.broken_off:
            self.broken_requests.add(request)

    @staticmethod
    def reset(call):
        """Ends the connection as the end of its process may: by a reset."""
        call.wfile.flush()
        call.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        os.close(call.connection.detach())

    def break_off(self, call, sent, rest):
        """Ends the answer after `sent`, or within the `rest` of it."""
        if call.broken_off == "inside":
            sent += rest[:len(rest) // 2]
        if call.broken_off == "head":
            sent = b""
        call.wfile.write(sent if call.is_open_ended else chunk(sent))
        call.wfile.flush()
        call.close_connection = True
        if call.broken_off == "reset":
            self.reset(call)

    def whole(self, call, status, body, signed=True, not_run=False):
        more = {"Content-Length": str(len(body))}
        if not_run:
            more[NOT_RUN] = "1"
        if not_run and self.rest_s is not None:
            more["Retry-After"] = str(self.rest_s)
        self.head(call, status, signed, more)
        # Nobody can tell that a body without framing lacks its end unless the
        # connection is reset.
        if call.broken_off == "reset":
            return self.break_off(call, b"", body)
        half = len(body) // 2 if self.body_gap_s else 0
        call.wfile.write(body[:half])
        call.wfile.flush()
        time.sleep(self.body_gap_s)
        call.wfile.write(body[half:])
        return None

    def event(self, number):
        return event_text(number, self.version if self.shows_version else "")

    def stream(self, call):
        first = int(call.headers.get("Last-Event-Id", 0)) + 1
        self.head(call, 200, True, STREAM_HEADERS)
        if call.broken_off:
            return self.break_off(call, self.event(first),
                                  self.event(first + 1))
        for event in range(first, self.events + 1):
            if path := getattr(call.server, "path", None):
                path.passing.wait()
            self.running.wait(harness.LIMIT_SECONDS)
            text = self.event(event)
            if self.mode == "cut" and first == 1 and event == 2:
                # In the middle of an event, without the stream's end.
                call.wfile.write(b"5\r\n" + text[:5] + b"\r\n")
                call.wfile.flush()
                call.close_connection = True
                call.connection.shutdown(2)
                return None
            call.wfile.write(text if call.is_open_ended else chunk(text))
            call.wfile.flush()
            time.sleep(self.event_gap_s)
        if not call.is_open_ended:
            call.wfile.write(b"0\r\n\r\n")
        return None

    def report(self, call):
        """What the process says of itself, without a slot."""
        if call.headers.get("X-Expected-Instance", self.name) != self.name:
            call.send_response(421)
            call.send_header("Content-Length", "0")
            call.end_headers()
            return
        self.reports += 1
        self.release.wait(self.report_after_s)
        text = json.dumps({
            "stage": "combined", "models": [], "busy": False,
            "sequence_number": 2, "queued_requests": 0, "active_requests": 0,
            "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0,
            "born": self.process_born or self.born}).encode()
        call.send_response(200)
        call.send_header("Content-Type", "application/json")
        call.send_header("Content-Length", str(len(text)))
        call.end_headers()
        call.wfile.write(text)

    def entry(self, state="ready", service="engines", zone="hall", cold_ms=0):
        made = {"service": service, "address": self.address, "zone": zone,
                "version": self.version, "slots": 8, "state": state,
                "cold_remaining_ms": cold_ms, "sequence_number": 1}
        # No start time is stated where it is 0.
        return {**made, "born": self.born} if self.born else made


def document(version, **changes):
    """A configuration: streams at /p/, resumable ones at /s/, orders at /o/,
    look-ups at /l/."""
    def route(prefix, kind, **more):
        return {"name": prefix.strip("/"), "host": "a.example",
                "path_prefix": prefix, "kind": kind, "timeout_ms": 20000,
                "target_latency_ms": 5000, "priority": 1,
                "service": "engines", "max_attempts": 2, **more}
    made = {
        "version": version,
        "routes": [route("/p/", "streaming"),
                   route("/s/", "streaming", stream_resumption=True),
                   route("/o/", "non_idempotent"),
                   route("/l/", "idempotent")],
        "services": [{"name": "engines", "engine": {"slots": 8}}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "office", "api_keys": ["k1"], "priority": 0}]}
    made.update(changes)
    return made


SETTINGS = """
name: {name}
domain: hall
caller_address: {caller}
readiness_address: {ready}
operator_address: {operators}
peer_address: {peers}
forward_address: {forward}
peer_seeds: [{seeds}]
source_address: {source}
drain_grace_s: {drain_grace}
retries: {{ratio: {ratio}, extra: {extra}, window_s: 10, spent_before: false}}
"""


class RelayDaemon(harness.Program):

    def __init__(self, source, name="n1", seeds="", caller=None, ratio=0.2,
                 extra=400, drain_grace_s=20, more="", prepare=None):
        self.prepare = prepare
        self.ready_address = harness.address_on_loopback()
        self.peers = harness.address_on_loopback()
        self.operators = harness.address_on_loopback()
        self.forward = harness.address_on_loopback()
        settings = SETTINGS.format(
            name=name, caller=caller or harness.address_on_loopback(),
            ready=self.ready_address, peers=self.peers, seeds=seeds,
            operators=self.operators, source=source, ratio=ratio, extra=extra,
            forward=self.forward, drain_grace=drain_grace_s)
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name, "settings.yaml")
        self.settings.write_text(settings + more)
        try:
            self.start()
        except RuntimeError:
            self.folder.cleanup()
            raise

    def start(self):
        """Again after `kill`: at the same addresses, knowing nothing."""
        self.lines = []
        super().__init__("thornhollowd", "--relay",
                         f"--settings={self.settings}", prepare=self.prepare)
        # Log lines come on standard output, after the listening line.
        self.reader = threading.Thread(target=self._read_log, daemon=True)
        self.reader.start()

    def _read_log(self):
        for line in self.process.stdout:
            # A process that is killed may leave a part of its last line.
            if line.endswith("\n"):
                self.lines.append(json.loads(line))

    def events(self, name):
        return [line for line in list(self.lines) if line.get("event") == name]

    def ready(self):
        try:
            return harness.call(
                self.ready_address, "GET", "/v1/readiness")[0] == 200
        except OSError:
            return False

    def wait_ready(self):
        """Fails with what the daemon says of itself where it stays unready."""
        try:
            harness.wait_until(self.ready, "the daemon is ready")
        except AssertionError as failure:
            raise AssertionError(f"{failure}: {self.story()}") from None

    def story(self):
        """Its exit code, status page and first log lines, for a failed wait."""
        code = self.process.poll()
        page = None
        if code is None:
            try:
                page = harness.call(self.operators, "GET", "/status")[2]
            except OSError as failure:
                page = repr(failure)
        return f"exit code {code}, status {page}, log {self.lines[:40]}"

    def kill(self):
        if self.running():
            self.process.kill()
        self.process.wait()
        self.reader.join()
        self.process.stdout.close()
        self.errors.close()

    def stop(self):
        if not self.errors.closed:
            self.kill()
        self.folder.cleanup()


def know_each_other(daemons):
    """Whether each has heard all others at one time since its start."""
    others = len(daemons) - 1
    return others == 0 or all(
        any(line["alive"] == others for line in each.events("peers_changed"))
        for each in daemons)


class RelayTest(unittest.TestCase):

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.server.stop)

    def engine(self, name, **options):
        engine = Engine(name, **options)
        engine.store = self.store
        self.addCleanup(engine.stop)
        self.store.put(f"servers/{name}", engine.entry())
        return engine

    def daemon(self, **options):
        """A daemon that is ready, with version 1 unless there is another."""
        if "op/config" not in self.store.items:
            self.store.put("op/config", document(1))
        daemon = RelayDaemon(self.store.server.address, **options)
        self.addCleanup(daemon.stop)
        daemon.wait_ready()
        return daemon

    def daemons_that_know_each_other(self, count):
        daemons = []
        for number in range(count):
            seeds = ", ".join(each.peers for each in daemons[:MOST_SEEDS])
            daemons.append(self.daemon(name=f"n{number}", seeds=seeds))
        harness.wait_until(lambda: know_each_other(daemons),
                           "instances hear each other")
        return daemons

    def headers(self, request, stream=False, key="k1"):
        made = {"Host": "a.example", ID: request, "X-Deadline-Ms": "15000",
                "Authorization": f"Token {key}"}
        if stream:
            made["X-Token-Counts"] = "1460,80"
            made["X-Prompt-Prefix"] = "5c:800,91:410,e4:250"
        return made

    def ask(self, daemon, path, request="r1", stream=False, key="k1",
            body=b"body"):
        return harness.call(daemon.address, "POST", path, body,
                            self.headers(request, stream, key))

    def runs(self, request):
        """At all of `self.engines`."""
        return sum(engine.ran.count(request) for engine in self.engines)

    @staticmethod
    def stand_still(engines, *silences, between_s=0.4):
        """The processes of these endpoints stand still for each of these times,
        in seconds."""
        for number, seconds in enumerate(silences):
            if number:
                time.sleep(between_s)
            for engine in engines:
                engine.running.clear()
            time.sleep(seconds)
            for engine in engines:
                engine.running.set()

    def arrive(self, per_second, seconds, at=None):
        """Look-ups at a steady rate, whatever becomes of them, at the instances
        of `self.fleet` or `at` in turn; how many were served and sent."""
        answers = []
        gate = threading.Lock()

        def call(daemon, request):
            try:
                status = self.ask(daemon, "/l/x", request)[0]
            except OSError:
                status = 0
            with gate:
                answers.append(status)

        callers = []
        end = time.monotonic() + seconds
        turns = itertools.cycle(at or self.fleet)
        while time.monotonic() < end:
            callers.append(harness.Background(
                call, next(turns), f"r{time.monotonic_ns()}"))
            time.sleep(1 / per_second)
        for each in callers:
            each.result()
        return answers.count(200), len(answers)
