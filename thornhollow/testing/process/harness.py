"""Starts the project's programs for process tests and talks to them.

    class Case(harness.ProcessTest):
        def test_something(self):
            engine = self.start("fake-engine", "--slots=2")
            status, headers, body = harness.call(engine.address, "GET", "/v1/load")

Every wait ends on an event; LIMIT_SECONDS only keeps a hanging test from
hanging for ever, no verdict depends on it.
"""

import http.client
import json
import os
import pathlib
import socket
import subprocess
import tempfile
import threading
import time
import unittest

LIMIT_SECONDS = 60
BIN = pathlib.Path(os.environ.get("THORNHOLLOW_BIN", "build/bin"))


class Program:
    """A running program that printed its listening line."""

    def __init__(self, name, *arguments, ready=True):
        self.name = name
        self.errors = tempfile.TemporaryFile(mode="w+")
        self.process = subprocess.Popen(
            [str(BIN / name), *arguments], stdout=subprocess.PIPE,
            stderr=self.errors, text=True)
        self.addresses = {}
        if ready:
            self._read_ready_line()

    def _read_ready_line(self):
        guard = threading.Timer(LIMIT_SECONDS, self.process.kill)
        guard.start()
        line = self.process.stdout.readline()
        guard.cancel()
        if not line:
            self.process.wait()
            raise RuntimeError(
                f"{self.name} ended with {self.process.returncode} before it "
                f"was ready: {self.log()}")
        self.addresses = json.loads(line)

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
        return self.process.wait(LIMIT_SECONDS)

    def stop(self):
        """Ends the program if it still runs; never fails."""
        if self.running():
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.errors.close()

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


class Stream:
    """A streamed answer, read event by event."""

    def __init__(self, address, path, body, headers=None):
        self.connection = connect(address)
        self.connection.request("POST", path, json.dumps(body), headers or {})
        self.answer = self.connection.getresponse()
        self.status = self.answer.status
        self.headers = {n.lower(): v for n, v in self.answer.getheaders()}
        # "done" (end marker), "end" (orderly but without it), "broken".
        self.ended = None
        self.error = None

    def _lines(self):
        # http.client's own line reading hides a break inside a chunked body.
        rest = b""
        while piece := self.answer.read1(65536):
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

    def close(self):
        # The response holds its own reference to the socket.
        self.answer.close()
        self.connection.close()


def wait_until(condition, what):
    """Returns the first true value of `condition()`."""
    end = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError(f"did not happen: {what}")


def free_port():
    """A port that was free a moment ago, for programs that need to be told."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


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
