"""Answers whose bytes a test chooses, broken ones among them, and a caller that
shows what it got byte by byte.

    engine.choose_end = lambda call: send(call, RawAnswer(b"HTTP/1.1 000 \\r\\n"))
    got = Got(daemon.address, "/o/x", headers)
"""

import dataclasses
import http.server
import os
import re
import socket
import time

import harness
import relay_site

# Of what a broken answer carries; none of it may reach a caller.
BODY = b"not the answer"
MARK = b"X-Odd"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
OK = b"HTTP/1.1 200 OK\r\n"
# Until what was sent has been read.
SETTLE_S = 0.2

STATUSES = {
    "000": b"HTTP/1.1 000 \r\n",
    "000_ok": b"HTTP/1.1 000 OK\r\n",
    "000_http_1_0": b"HTTP/1.0 000 OK\r\n",
    "001": b"HTTP/1.1 001 OK\r\n",
    "020": b"HTTP/1.1 020 OK\r\n",
    "099": b"HTTP/1.1 099 OK\r\n",
    "101": b"HTTP/1.1 101 Switching Protocols\r\n",
    "600": b"HTTP/1.1 600 Odd\r\n",
    "999": b"HTTP/1.1 999 Odd\r\n",
    "two_digits": b"HTTP/1.1 20 OK\r\n",
    "four_digits": b"HTTP/1.1 2000 OK\r\n",
    "sign": b"HTTP/1.1 -20 OK\r\n",
}
FIELD_LINES = {
    "blank_inside": b"X-Odd A: b\r\n",
    "blank_before_colon": b"X-Odd : b\r\n",
    "tab_before_colon": b"X-Odd\t: b\r\n",
    "blank_first": b" X-Odd: b\r\n",
    "tab_first": b"\tX-Odd: b\r\n",
    "blanks_only": b"  : X-Odd\r\n",
    "nul_first": b"\0X-Odd: b\r\n",
    "nul_inside": b"X-Odd\0A: b\r\n",
    "control_inside": b"X-Odd\x01A: b\r\n",
    "vertical_tab_inside": b"X-Odd\x0bA: b\r\n",
    "delete_inside": b"X-Odd\x7fA: b\r\n",
    "line_feed_inside": b"X-Odd\nA: b\r\n",
    "return_inside": b"X-Odd\rA: b\r\n",
    "no_name": b": X-Odd\r\n",
    "no_colon": b"X-Odd\r\n",
}
# In place of the field that frames the body, and the body.
FRAMINGS = {
    "length_blank_first": (b" " + LENGTH, BODY),
    "length_tab_first": (b"\t" + LENGTH, BODY),
    "length_blank_before_colon": (b"Content-Length : 3\r\n", BODY),
    "length_blank_inside": (b"Content Length: 3\r\n", BODY),
    "length_nul_inside": (b"Content\0-Length: 3\r\n", BODY),
    "chunked_blank_first": (b" " + CHUNKED, CHUNKS),
    "chunked_control_first": (b"\x01" + CHUNKED, CHUNKS),
    "chunked_blank_before_colon": (b"Transfer-Encoding : chunked\r\n", CHUNKS),
}


def relayed_identity(request):
    """Fields that name a request to a relaying instance, and vouch for the
    answer."""
    return (f"{relay_site.ID}: {request}\r\n"
            f"{relay_site.SIGNATURE}: s\r\n").encode()


def broken_statuses(identity):
    """Answers by name; `identity` are fields that name the request."""
    return {f"status_{name}": line + identity + LENGTH + b"\r\n" + BODY
            for name, line in STATUSES.items()}


def broken_later_fields(identity):
    """The same, with one line in the head that is no field, but not the first
    one."""
    made = {f"field_{name}_later":
            OK + identity + line + LENGTH + b"\r\n" + BODY
            for name, line in FIELD_LINES.items()}
    made.update({f"field_{name}": OK + identity + line + b"\r\n" + body
                 for name, (line, body) in FRAMINGS.items()})
    return made


def broken_fields(identity):
    """The same, with that line in each place."""
    made = {f"field_{name}_at_first":
            OK + line + identity + LENGTH + b"\r\n" + BODY
            for name, line in FIELD_LINES.items()}
    return {**made, **broken_later_fields(identity)}


@dataclasses.dataclass
class RawAnswer:
    text: bytes
    # How its connection ends: "close" and "half_close" in order, the latter
    # with the rest of the request read; "reset"; "drop" as its process may let
    # go of it, which resets it if some of the request is unread.
    end: str = "close"


def send(call, answer):
    """Answers the `call` of an HTTP handler. Raises, so that nothing more is
    done with it."""
    call.wfile.write(answer.text)
    call.wfile.flush()
    call.close_connection = True
    if answer.end == "reset":
        time.sleep(SETTLE_S)
        relay_site.Engine.reset(call)
    elif answer.end == "drop":
        os.close(call.connection.detach())
    elif answer.end == "half_close":
        call.connection.shutdown(socket.SHUT_WR)
        while call.connection.recv(65536):
            pass
    else:
        call.connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionAbortedError


class RawEndpoint:
    """Answers each request with what `choose(identifier)` returns; an endpoint
    of the project's own interface."""

    def __init__(self, pool, choose, reads_body=True):
        self.ran = []
        self.choose = choose
        endpoint = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                if reads_body:
                    self.rfile.read(int(self.headers.get("Content-Length", 0)))
                request = self.headers["X-Request-Id"]
                endpoint.ran.append(request)
                send(self, endpoint.choose(request))

            def do_GET(self):
                """What the endpoint is asked of itself it doesn't tell."""
                self.close_connection = True

        self.server = relay_site.Server(Handler)
        hold_little(self.server)
        self.entry = {"name": "raw", "pool": pool,
                      "address": self.server.address}


def hold_little(server):
    """Lets the system hold little of what a server's callers send and it has
    not read yet."""
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)


class Got:
    """What a caller got, until its connection ended."""

    def __init__(self, address, path, headers, body=b"body"):
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close"]
        host, port = address.rsplit(":", 1)
        self.text = b""
        self.was_reset = False
        with socket.create_connection((host, int(port)),
                                      harness.LIMIT_SECONDS) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            try:
                while part := connection.recv(65536):
                    self.text += part
            except ConnectionResetError:
                self.was_reset = True
        self.head, _, self.body = self.text.partition(b"\r\n\r\n")

    @property
    def status(self):
        """As its three digits stand there; None without an answer."""
        line = re.match(rb"HTTP/1\.[01] (\d{3}) ", self.head)
        return line and int(line.group(1))

    def is_complete(self):
        """Whether its framing says that nothing is missing."""
        if self.status is None or self.was_reset:
            return False
        if re.search(rb"\r\ntransfer-encoding: *chunked", self.head, re.I):
            return self.body.endswith(b"0\r\n\r\n")
        length = re.search(rb"\r\ncontent-length: *(\d+)", self.head, re.I)
        return length is None or len(self.body) == int(length.group(1))
