"""Engines whose answers have neither a length nor chunks and end with their
connection, and callers who see whether what they read looks complete.

    class Case(open_ended_site.OpenEndedTest):
        def test_something(self):
            self.site()
            answer = Answer(self.fleet[0], STREAM, self.headers("k", True),
                            "1.1")
"""

import http.client

import cut_off_site
import harness
import relay_site

EVENTS = 3
WHOLE_STREAM = relay_site.stream_text(EVENTS)
STREAM = "/p/x"
RESUMABLE = "/s/x"
LOOK_UP = "/l/x"
ORDER = "/o/x"


class Answer:
    """What a caller read, and whether its framing says that it is complete."""

    def __init__(self, daemon, path, headers, version, begun=None):
        """Sets the event `begun` with each part of the body."""
        connection = harness.connect(daemon.address)
        if version == "1.0":
            connection._http_vsn = 10
            connection._http_vsn_str = "HTTP/1.0"
        self.body = b""
        try:
            connection.request("POST", path, b"body", headers)
            answer = connection.getresponse()
            self.status = answer.status
            self.has_framing = (answer.chunked
                                or answer.length is not None)
            while part := answer.read1():
                self.body += part
                if begun:
                    begun.set()
            # A length that isn't reached ends without an error here.
            self.complete = not answer.length
        except (OSError, http.client.HTTPException):
            self.complete = False
        finally:
            connection.close()


class PartCount:
    """Counts the parts of a body that have come; an event for `Answer`."""

    def __init__(self):
        self.count = 0

    def set(self):
        self.count += 1


class OpenEndedTest(cut_off_site.CutOffTest):

    def site(self, broken_off="", instances=2):
        self.begin(instances)
        for engine in self.engines:
            engine.ends_with_connection = True
            engine.broken_off = broken_off
            engine.broken_requests = self.engines[0].broken_requests

    def answers(self, *paths):
        """Each path's answer by each way and version, and the case's name."""
        for daemon, way in self.ways():
            for path in paths:
                for version in ("1.1", "1.0"):
                    case = f"{path} {version} {way}"
                    headers = self.headers(case.replace(" ", "-"),
                                           cut_off_site.KINDS[path])
                    yield Answer(daemon, path, headers, version), case

    def ends(self, daemon):
        """How the last request ended for its caller, and on which ground."""
        line = harness.wait_until(lambda: daemon.events("request_done"),
                                  "its end is logged")[-1]
        return line["ended_by"], line["open_end"]
