"""An engine of the users' pages as a process of its own.

    engine.py --id i-1 --address 127.0.0.1:9001 --born 1700000000000 \
              --log runs.jsonl [--framing open] [--events 20] [--gap 0.3]

It serves one request at a time on a channel, refuses with 421 what names
another instance, and writes a line for each request that it begins, for each
body or event that it sends, and for each answer that it has sent whole.
SIGTERM ends the process, as the end of a planned shutdown does.
"""

import argparse
import json
import os
import signal
import socket
import threading
import time


class Log:
    def __init__(self, path):
        self.file = open(path, "a", buffering=1)
        self.lock = threading.Lock()

    def write(self, **fields):
        with self.lock:
            self.file.write(json.dumps({"at": time.time(), **fields}) + "\n")


class Channel:
    """One connection; reads requests, one after the other."""

    def __init__(self, engine, connection):
        self.engine = engine
        self.connection = connection
        self.pending = b""

    def more(self):
        data = self.connection.recv(65536)
        if not data:
            raise ConnectionError
        self.pending += data

    def read_head(self):
        while b"\r\n\r\n" not in self.pending:
            self.more()
        head, self.pending = self.pending.split(b"\r\n\r\n", 1)
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        return method, target, headers

    def read_body(self, headers):
        length = int(headers.get("content-length", "0"))
        while len(self.pending) < length:
            self.more()
        body, self.pending = self.pending[:length], self.pending[length:]
        return body

    def send(self, data):
        self.connection.sendall(data)

    def answer(self, status, body, headers=()):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def serve(self):
        try:
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self.engine.serve(self):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self.connection.close()


class Engine:
    def __init__(self, options):
        self.options = options
        self.log = Log(options.log)

    def listen(self):
        host, port = self.options.address.rsplit(":", 1)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(256)
        print("listening", flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=Channel(self, connection).serve,
                             daemon=True).start()

    def serve(self, channel):
        """Returns whether the channel stays open."""
        method, target, headers = channel.read_head()
        body = channel.read_body(headers)
        if target.startswith("/v1/report"):
            channel.answer(200, json.dumps(self.report()).encode(),
                           [("Content-Type", "application/json")])
            return True
        if target.startswith("/health"):
            channel.answer(200, b"", [("X-Instance-Id", self.options.id)])
            return True
        name = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.options.id) != self.options.id:
            channel.answer(421, b"", [("X-Attempt-Id", name),
                                      ("X-Not-Executed", "1")])
            return True
        self.log.write(event="runs", id=name, engine=self.options.id,
                       method=method, target=target,
                       tenant=headers.get("x-tenant", ""),
                       after=headers.get("last-event-id", ""),
                       body_bytes=len(body))
        return self.run(channel, name, headers)

    def report(self):
        return {"stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence_number": 0, "queued_requests": 0,
                "active_requests": 0, "kv_cache_used": 0,
                "kv_cache_total": 90000, "handles": 0,
                "born": self.options.born}

    def run(self, channel, name, headers):
        is_stream = "x-token-counts" in headers
        parts = (self.events(headers) if is_stream else self.halves(name))
        framing = self.options.framing
        size = sum(len(part) for part in parts)
        lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {name}",
                 f"X-Response-Signature: {self.options.id}.{name}",
                 "X-Weight-Versions: 1",
                 "Content-Type: " + ("text/event-stream" if is_stream
                                     else "application/json")]
        if framing == "open":
            lines.append("Connection: close")
        elif is_stream:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {size}")
        time.sleep(self.options.first)
        channel.send("\r\n".join(lines).encode() + b"\r\n\r\n")
        chunked = framing != "open" and is_stream
        for number, part in enumerate(parts):
            if number:
                time.sleep(self.options.gap)
            channel.send(b"%x\r\n%s\r\n" % (len(part), part) if chunked
                         else part)
            self.log.write(event="part", id=name, engine=self.options.id,
                           number=number + 1, of=len(parts),
                           bytes=len(part), size=size)
        if chunked:
            channel.send(b"0\r\n\r\n")
        self.log.write(event="whole", id=name, engine=self.options.id,
                       size=size)
        return framing != "open"

    def halves(self, name):
        body = json.dumps({"engine": self.options.id, "request": name,
                           "rows": "x" * 700}).encode()
        return [body[:len(body) // 2], body[len(body) // 2:]]

    def events(self, headers):
        first = int(headers.get("last-event-id") or 0) + 1
        return [f"id: {number}\ndata: piece {number} of "
                f"{self.options.events}\n\n".encode()
                for number in range(first, self.options.events + 1)]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--born", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--framing", default="length")
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--gap", type=float, default=0.3)
    parser.add_argument("--first", type=float, default=0.02)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    Engine(parser.parse_args()).listen()


if __name__ == "__main__":
    main()
