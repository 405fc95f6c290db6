"""Crowds of connections that don't behave, and what they cost a daemon.

    cost = crowd.Cost(daemon.process.pid, [daemon.address])
    with crowd.Crowd(daemon.address, 800) as clients:
        clients.send_all(b"POST / HTTP/1.1\\r\\n" + b"x" * 8000)
    cost.stop()
    cost.peak_memory, cost.peak_descriptors

Memory is what is resident and what lies in the sockets of the daemon's
listeners, received and not read or sent and not taken.
"""

import errno
import os
import resource
import selectors
import socket
import struct
import threading
import time

import harness
# Has a sanitizer's build give freed memory back.
import endless_engine  # pylint: disable=unused-import

# A crowd is done with sending when nothing was taken for this long.
QUIET_SECONDS = 1.5
# Ends a crowd whose bytes are taken for ever.
MOST_SECONDS = 20
SAMPLE_SECONDS = 0.05

# Of a daemon whose descriptors are limited, and the part that is left for
# endpoints, the source, peers and files: of a machine's 4,100 descriptors files
# have 200 to themselves.
DESCRIPTORS = 256
RESERVED = DESCRIPTORS * 200 // 4100
IDLE_CROWD = 400
# Of a daemon whose connections are limited.
MAX_CONNECTIONS = 64
# Beyond what one listener takes while it refuses and closes others.
MORE_THAN_A_DOOR_TAKES = 500
# Requests in one write on one connection.
PIPELINED = 800
# So often an ordinary caller tries beside a crowd.
TRIES = 3
IS_SANITIZED = b"__asan_init" in (harness.BIN / "thornhollowd").read_bytes()


def limit_descriptors(count):
    """To be run in a process that is about to be a daemon."""
    def limit():
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
    return limit


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as pages:
        return int(pages.read().split()[1]) * resource.getpagesize()


def socket_bytes(ports):
    """In the sockets of listeners at these ports and of what they accepted."""
    total = 0
    with open("/proc/self/net/tcp", encoding="ascii") as table:
        next(table)
        for row in table:
            fields = row.split()
            if int(fields[1].split(":")[1], 16) in ports and fields[3] != "0A":
                sent, received = fields[4].split(":")
                total += int(sent, 16) + int(received, 16)
    return total


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


class Cost:
    """The most that a process held since this was made. A sanitizer's own
    memory doesn't count."""

    def __init__(self, pid, addresses):
        self.pid = pid
        self.ports = {int(each.rsplit(":", 1)[1]) for each in addresses}
        self.own = resident_bytes(pid) if IS_SANITIZED else 0
        self.peak_memory = 0
        self.peak_resident = 0
        self.peak_sockets = 0
        self.peak_descriptors = 0
        self.over = threading.Event()
        self.sampler = threading.Thread(target=self._sample, daemon=True)
        self.sampler.start()

    def _sample(self):
        while not self.over.wait(SAMPLE_SECONDS):
            self.look()

    def look(self):
        try:
            resident = resident_bytes(self.pid) - self.own
            opened = descriptors(self.pid)
        except (OSError, IndexError):
            # It has ended, which is for the test to notice.
            return
        unread = socket_bytes(self.ports)
        self.peak_resident = max(self.peak_resident, resident)
        self.peak_sockets = max(self.peak_sockets, unread)
        self.peak_memory = max(self.peak_memory, resident + unread)
        self.peak_descriptors = max(self.peak_descriptors, opened)

    def stop(self):
        self.look()
        self.over.set()
        self.sampler.join()
        print(f"peak {self.peak_memory / 1e6:.1f} MB, "
              f"resident {self.peak_resident / 1e6:.1f}, "
              f"sockets {self.peak_sockets / 1e6:.1f}, "
              f"descriptors {self.peak_descriptors}", flush=True)


class Crowd:
    """Connections to one listener, made one after the other."""

    def __init__(self, address, count, receive_bytes=None):
        host, port = address.rsplit(":", 1)
        self.where = (host, int(port))
        self.receive_bytes = receive_bytes
        self.sockets = []
        for _ in range(count):
            self.join()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.leave()

    def join(self):
        one = socket.socket()
        if self.receive_bytes:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                           self.receive_bytes)
        one.settimeout(5)
        try:
            one.connect(self.where)
        except OSError:
            # Refused, or not taken for now: both are allowed.
            one.close()
            return None
        one.setblocking(False)
        self.sockets.append(one)
        return one

    def send_all(self, *texts):
        """Each connection sends the text of its turn, as far as it is taken."""
        left = {}
        with selectors.DefaultSelector() as ready:
            for number, each in enumerate(self.sockets):
                text = texts[number % len(texts)]
                left[each] = memoryview(text)
                ready.register(each, selectors.EVENT_WRITE)
            end = time.monotonic() + MOST_SECONDS
            while left and time.monotonic() < end:
                events = ready.select(QUIET_SECONDS)
                if not events:
                    return
                for key, _ in events:
                    one = key.fileobj
                    try:
                        left[one] = left[one][one.send(left[one][:262144]):]
                    except OSError as failure:
                        if failure.errno == errno.EAGAIN:
                            continue
                        left[one] = b""
                    if not left[one]:
                        ready.unregister(one)
                        del left[one]

    def read_heads(self, seconds=10):
        """Reads what comes until each connection got something or closed, for
        so long at most; returns how many got an answer."""
        waiting = set(self.sockets)
        answered = 0
        with selectors.DefaultSelector() as ready:
            for each in waiting:
                ready.register(each, selectors.EVENT_READ)
            end = time.monotonic() + seconds
            while waiting and time.monotonic() < end:
                for key, _ in ready.select(0.2):
                    one = key.fileobj
                    try:
                        answered += one.recv(65536).startswith(b"HTTP/1.1")
                    except OSError:
                        pass
                    ready.unregister(one)
                    waiting.discard(one)
        return answered

    def leave(self, part=1, reset=True):
        """Closes this part of the connections, by a reset or in order."""
        count = int(len(self.sockets) * part)
        for each in self.sockets[:count]:
            if reset:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            each.close()
        del self.sockets[:count]


class CrowdChecks:
    """For test cases with a daemon before a crowd."""

    memory_mb = None

    def measure(self, daemon, addresses):
        self.cost = Cost(daemon.process.pid, addresses)
        self.addCleanup(self.cost.over.set)

    def crowd(self, address, count, **options):
        made = Crowd(address, count, **options)
        self.addCleanup(made.leave)
        return made

    def assert_answers(self, address, path):
        """On a new connection, while the crowd is there."""
        for _ in range(TRIES):
            try:
                if harness.call(address, "GET", path)[0] == 200:
                    return
            except OSError:
                pass
        self.fail(f"{path} isn't answered")

    def assert_within_memory(self, daemon, story=None):
        """The crowd has gone: the daemon lives, and kept to its memory."""
        self.cost.stop()
        self.assertTrue(daemon.running(), story and story())
        self.assertLess(self.cost.peak_memory, self.memory_mb * 1e6)

    def assert_descriptors_left(self):
        self.assertLess(self.cost.peak_descriptors, DESCRIPTORS - RESERVED)

    def assert_gives_back(self, daemon, most):
        harness.wait_until(
            lambda: descriptors(daemon.process.pid) <= most,
            f"descriptors are given back, {most} are left at most")


def request(path, headers, body=b"", length=None):
    """The bytes of a POST; `length` announces another length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    size = len(body) if length is None else length
    return (f"POST {path} HTTP/1.1\r\n{lines}Content-Length: {size}\r\n\r\n"
            ).encode() + body
