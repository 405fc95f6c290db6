"""A small deployment on loopback addresses for the review's scripts.

It has the platform (its metadata store, its readiness probes, its memory limit),
engines, and consumers, as PROTOCOL.md and DEPLOY.md describe them. The daemons
are real processes, started with the command and the settings template of
deploy/system.toml. Everything else runs in this process (asyncio).
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    pass


class Record:
    """What was sent, answered and run: record.txt in the case's folder."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder, "record.txt")
        self.file = open(self.path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f}  {text}\n")

    def say(self, text):
        self.write(text)
        self.file.flush()
        print(text, flush=True)


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """The first line and the headers (names in lower case), or None."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """The data of a chunked body, chunk by chunk; raises if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


# ---------------------------------------------------------------- the store

class Store:
    """The platform's metadata store: items, listings and watches."""

    ANSWER_S = 0.004
    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000

    def __init__(self, ip, port):
        self.address = f"{ip}:{port}"
        self.ip, self.port = ip, port
        self.items = {}
        self.events = []
        self.at = 100
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=512)

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.at += 1
            created = self.items.get(key, {}).get("created", self.at)
            self.items[key] = {"key": key, "value": base64.b64encode(data).decode(),
                               "revision": self.at, "created": created, "lease": 0}
            self.events.append(self.items[key])
            self.changed.notify_all()
        return time.monotonic()

    async def delete(self, key):
        async with self.changed:
            self.at += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.at, "is_deleted": True})
            self.changed.notify_all()
        return time.monotonic()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                path, _, query = target.partition("?")
                asked = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(self.ANSWER_S)
                status, body = await self.answer(path, asked)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, asked):
        if path == "/v1/kv-key":
            item = self.items.get(asked["key"])
            return (200, {**item, "at": self.at}) if item else (404, {"at": self.at})
        prefix = asked["path_prefix"]
        if path == "/v1/kv-range":
            found, size = [], 0
            rest = [key for key in sorted(self.items)
                    if key.startswith(prefix) and key > asked.get("after", "")]
            for key in rest:
                if len(found) == self.PAGE_ITEMS or (found and size > self.PAGE_BYTES):
                    break
                found.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"entries": found, "has_more": len(found) < len(rest),
                         "at": self.at}
        after, wait = int(asked["after"]), int(asked["wait_ms"]) / 1000

        def news():
            return [each for each in self.events
                    if each["revision"] > after and each["key"].startswith(prefix)]

        if not news() and wait > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(news), wait)
                except asyncio.TimeoutError:
                    pass
        return 200, {"events": news(), "at": self.at}


# ---------------------------------------------------------------- engines

class Engine:
    """One engine: takes `slots` requests at a time and queues a few more."""

    HEARTBEAT_S = 1.2

    def __init__(self, site, service, zone, slots, queue=8):
        self.site = site
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service, self.zone, self.slots, self.queue = service, zone, slots, queue
        self.ip, self.port = site.ip, free_port(site.ip)
        self.address = f"{self.ip}:{self.port}"
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.sequence = 1
        self.state = "ready"
        self.arrivals = []          # (time, id, what became of it)
        self.active = 0

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence_number": self.sequence}

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=512, limit=1 << 20)
        await self.site.store.put(f"servers/{self.id}", self.entry())
        self.site.spawn(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S * random.uniform(0.9, 1.1))
            self.sequence += 1
            await self.site.store.put(f"servers/{self.id}", self.entry())

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                if not await self.one(reader, writer, *head):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def plain(self, writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items()),
                 f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)

    async def one(self, reader, writer, first, headers):
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("x-attempt-id", "")
        if target == "/v1/report":
            self.plain(writer, 200, {"Content-Type": "application/json"}, json.dumps(
                {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                 "busy": False, "sequence_number": 2, "queued_requests": self.waiting,
                 "active_requests": self.active, "kv_cache_used": 0,
                 "kv_cache_total": 600000, "handles": 0}).encode())
            return True
        if target == "/health":
            self.plain(writer, 200, {"X-Instance-Id": self.id})
            return True
        echo = {"X-Attempt-Id": request}
        if headers.get("x-expected-instance", self.id) != self.id:
            self.arrivals.append((time.monotonic(), request, "421"))
            self.plain(writer, 421, {**echo, "X-Instance-Id": self.id})
            return True
        if self.refuses(headers) or self.waiting >= self.queue:
            self.arrivals.append((time.monotonic(), request, "refused"))
            self.site.record.write(f"engine {self.id} refused {request}")
            self.plain(writer, 503, {**echo, "X-Not-Executed": "1"})
            return True
        self.arrivals.append((time.monotonic(), request, "run"))
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.active += 1
        self.site.record.write(f"engine {self.id} runs {request} {method} {target}")
        try:
            return await self.run(reader, writer, target, headers, body, echo)
        finally:
            self.active -= 1
            self.free.release()

    def refuses(self, headers):
        return False

    async def run(self, reader, writer, target, headers, body, echo):
        """Answers one request; false ends the connection. For cases to replace."""
        await asyncio.sleep(0.05)
        self.plain(writer, 200, {**echo, "X-Response-Signature": f"{self.id}.1"},
                   b"b" * 800)
        await writer.drain()
        return True


# ---------------------------------------------------------------- consumers

class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.ended = ""             # why it isn't complete
        self.sent_at = self.done_at = 0.0


class Consumer:
    """One consumer with a channel that it keeps while the daemon keeps it."""

    def __init__(self, site, pick, key="k1"):
        self.site, self.pick, self.key = site, pick, key
        self.reader = self.writer = self.daemon = None

    async def ask(self, method, path, headers=None, body=b"", time_limit_s=4.0,
                  request=None):
        """One attempt, on the kept channel if there is one."""
        answer = Answer()
        answer.key, answer.path = self.key, path
        answer.request = request or f"{random.getrandbits(64):016x}"
        answer.kept = self.writer is not None
        answer.sent_at = time.monotonic()
        try:
            if self.writer is None:
                self.daemon = self.pick()
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.daemon.frontend, limit=1 << 24), 1.0)
            answer.daemon = self.daemon
            lines = [f"{method} {path} HTTP/1.1", "Host: a.example",
                     f"X-Attempt-Id: {answer.request}",
                     f"X-Deadline-Ms: {int(time_limit_s * 1000)}",
                     f"Authorization: Token {self.key}",
                     *(f"{k}: {v}" for k, v in (headers or {}).items())]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            answer.sent_at = time.monotonic()
            self.site.record.write(
                f"sent {answer.request} {method} {path} to {self.daemon.name}")
            self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await asyncio.wait_for(self.read(answer, method), time_limit_s + 0.5)
        except asyncio.TimeoutError:
            answer.ended = "time limit"
            self.close()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as why:
            answer.ended = f"channel ended ({type(why).__name__})"
            self.close()
        answer.done_at = time.monotonic()
        self.site.record.write(
            f"answer {answer.request} {answer.status} "
            f"{'complete' if answer.complete else answer.ended} "
            f"{len(answer.body)} B after {answer.done_at - answer.sent_at:.3f} s")
        return answer

    async def read(self, answer, method):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("no answer")
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if head[1].get("transfer-encoding", "") == "chunked":
            async for data in read_chunks(self.reader):
                answer.body += data
        elif "content-length" in head[1]:
            answer.body = await self.reader.readexactly(int(head[1]["content-length"]))
        else:
            answer.body = await self.reader.read(-1)
            self.close()
        answer.complete = True
        if head[1].get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# ---------------------------------------------------------------- daemons

def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def fill(template, fields):
    """The part of the platform's template language that deploy/ uses."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return ",".join(found) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Daemon:
    """One machine of the system with its process; the platform's view of it."""

    def __init__(self, site, ip, zone, number):
        self.site, self.ip, self.zone = site, ip, zone
        self.name = f"edge-{zone}-{number}"
        self.frontend = (ip, 8227)
        self.process = None
        self.in_rotation = True
        self.over_memory = 0
        self.dark_s = 0.0           # without power for this long after its end
        self.peak_mb = 0.0
        self.ended = []             # (time, exit code or signal) of each process

    async def start(self):
        site = self.site
        fields = {"node_name": self.name, "zone": self.zone, "ip_address": self.ip,
                  "listen_addresses": {"frontend": f"{self.ip}:8227",
                                       "ready": f"{self.ip}:8220",
                                       "control_plane": f"{self.ip}:8229"},
                  "internal_port_range": [7340, 7355],
                  "seed_nodes": [f"{each.ip}:8229" for each in site.daemons[:3]],
                  "limits": site.limits, "bounds": site.bounds,
                  "platform": {"address": site.store.address}}
        template = (ROOT / site.role["template"]).read_text()
        settings = pathlib.Path(site.folder, f"{self.name}.yaml")
        settings.write_text(fill(template, fields))
        log = open(pathlib.Path(site.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *site.role["run"].split(" "), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": site.folder, "LANG": "C",
                 "THORNHOLLOW_NODE_FILE": str(settings)})
        log.close()
        site.record.write(f"platform started {self.name}")

    def signal(self, number):
        self.site.record.say(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, 8220), 1.0)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    """The deployment; `async with Site(folder) as site`."""

    limits = {"cpu_share": 0.25, "memory_mb": 260, "file_descriptors": 4100,
              "link_bandwidth_mbps": 1000.0}
    bounds = {"grace_period_s": 8, "retry_budget_ratio": 0.2, "retry_budget_extra": 52,
              "budget_window_s": 10}

    def __init__(self, case_folder, memory_limit=True):
        self.record = Record(case_folder)
        self.memory_limit = memory_limit
        self.tasks = []
        self.daemons = []
        self.engines = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self.stopping = False
        self.shares = {}            # of new channels, by the machine's name

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def __aenter__(self):
        if not (ROOT / self.role["run"].split(" ")[0]).exists():
            raise CouldNotRun("the daemon isn't built")
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Each machine has an address of its own, with the ports of the pages.
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ip = f"{self.net}.200"
        self.store = Store(self.ip, free_port(self.ip))
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        self.stopping = True
        for each in self.daemons:
            if each.process and each.process.returncode is None:
                try:
                    each.process.send_signal(signal.SIGCONT)
                    each.process.kill()
                except ProcessLookupError:
                    pass
        for each in self.daemons:
            if each.process:
                await each.process.wait()
        for each in self.tasks:
            each.cancel()
        await asyncio.wait(self.tasks, timeout=1.0)
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.close()

    async def add_engines(self, kind, count, *args, **options):
        made = [kind(self, *args, **options) for _ in range(count)]
        for each in made:
            await each.start()
        self.engines += made
        return made

    async def start_daemons(self, zones):
        for number, zone in enumerate(zones):
            self.daemons.append(Daemon(self, f"{self.net}.{number + 1}", zone, number))
        for each in self.daemons:
            await each.start()
            self.spawn(self.keep_running(each))
            self.spawn(self.probe(each))
        for _ in range(200):
            if all([await each.ready() for each in self.daemons]):
                break
            await asyncio.sleep(0.05)
        else:
            raise CouldNotRun("the daemons aren't ready")
        await asyncio.sleep(2.0)

    async def keep_running(self, daemon, delay_s=0.5):
        """A process that ended is started again after a short delay."""
        while True:
            process = daemon.process
            wait = asyncio.ensure_future(process.wait())
            while not wait.done():
                await asyncio.wait([wait], timeout=0.02)
                rss = daemon.rss_mb()
                daemon.peak_mb = max(daemon.peak_mb, rss)
                if self.memory_limit and rss > self.limits["memory_mb"] \
                        and process.returncode is None and not wait.done():
                    daemon.over_memory += 1
                    self.record.say(f"platform kills {daemon.name}: {rss:.0f} MB resident, "
                                    f"the limit is {self.limits['memory_mb']} MB")
                    process.kill()
                    await wait
            daemon.ended.append((time.monotonic(), process.returncode))
            self.record.say(f"{daemon.name} ended with {process.returncode}")
            if self.stopping:
                return
            await asyncio.sleep(daemon.dark_s or delay_s)
            await daemon.start()

    async def probe(self, daemon):
        """The platform's readiness probe: two misses take a machine out."""
        misses = 0
        while True:
            await asyncio.sleep(1.0)
            misses = 0 if await daemon.ready() else misses + 1
            daemon.in_rotation = misses < 2

    def choose(self, zone=None):
        """Where the platform sends a new channel; the shares are uneven."""
        own = [each for each in self.daemons if zone in (None, each.zone)]
        ready = [each for each in own if each.in_rotation]
        there = ready if 2 * len(ready) >= len(own) else own
        return random.choices(there, [self.shares.get(each.name, 1) for each in there])[0]


def route(name, kind, service, **more):
    return {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": 1, "anonymous_access": False, **more}


def configuration(version, routes, services, **more):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "office", "api_keys": ["k1"], "priority": 1}], **more}


def run_case(main, folder, limit_s=110):
    """Runs `main(folder)` and exits with what it returns."""
    async def bounded():
        return await asyncio.wait_for(main(folder), limit_s)
    code = COULD_NOT_RUN
    try:
        code = asyncio.get_event_loop_policy().new_event_loop().run_until_complete(bounded())
    except CouldNotRun as why:
        print(f"could not run: {why}")
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)
