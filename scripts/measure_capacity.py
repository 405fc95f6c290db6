#!/usr/bin/env python3
"""Measures what a daemon costs, for docs/CAPACITY.md.

  scripts/measure_capacity.py latency|cpu|memory|control [--out FILE]

Starts stand-ins and real daemons on loopback, as the process tests do, and
prints one JSON object with the figures. docs/CAPACITY.md's tables are made from
these files by scripts/capacity_table.py.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "thornhollow" / "testing" / "process"))
os.environ.setdefault("THORNHOLLOW_BIN", str(ROOT / "build" / "bin"))
import harness  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
WORKLOAD = """
seed: 7
duration_s: {seconds}
classes:
  - name: notes
    token: {token}
    class: notes
    model: m
    rate: {rate}
    prompt_words: 60
    shared_words: 20
    max_tokens: {tokens}
    first_token_ms: 1000
    between_tokens_ms: 100
    deadline_ms: 30000
"""


class Site(harness.SiteTest):
    """A site outside of a test run."""

    def runTest(self):
        pass

    def __enter__(self):
        self.setUp()
        return self

    def __exit__(self, *_):
        self.doCleanups()


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    user, system = fields.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / TICKS


def resident_bytes(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    raise RuntimeError("no VmRSS")


def load(target, rate, tokens, seconds):
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(WORKLOAD.format(seconds=seconds, token=harness.TOKEN,
                                   rate=rate, tokens=tokens))
        file.flush()
        done = subprocess.run(
            [str(harness.BIN / "thornhollow-load"), f"--workload={file.name}",
             f"--targets={target}"],
            check=True, capture_output=True, text=True)
    return json.loads(done.stdout)


def measure_latency():
    """The same load straight to the engine and through a daemon, in turns."""
    rounds = []
    with Site() as site:
        engine = site.engine("e1", "--step_ms=4")
        site.site()
        for _ in range(3):
            rounds.append({
                "direct": load(engine.address, 20, 40, 10)["classes"],
                "daemon": load(site.daemons[0].address, 20, 40, 10)["classes"]})
    return {"rate": 20, "tokens": 40, "seconds": 10, "rounds": rounds}


def cost(site, rate, tokens, seconds):
    daemon = site.daemons[0].process
    before = processor_seconds(daemon)
    begun = time.monotonic()
    report = load(site.daemons[0].address, rate, tokens, seconds)
    elapsed = time.monotonic() - begun
    return {"rate": rate, "tokens": tokens, "seconds": seconds,
            "elapsed_s": elapsed,
            "processor_s": processor_seconds(daemon) - before,
            "goodput": report["goodput"] if "goodput" in report else None,
            "report": report}


def measure_cpu():
    """Processor time at rest, for requests of one token, and for streams."""
    with Site() as site:
        for number in range(4):
            site.engine(f"e{number}", "--step_ms=10")
        site.site()
        daemon = site.daemons[0].process
        before = processor_seconds(daemon)
        time.sleep(20)
        rest = {"seconds": 20, "processor_s": processor_seconds(daemon) - before}
        # At 10 ms a token, rate x tokens x 0.01 s streams are open at a time.
        runs = [cost(site, 100, 1, 20), cost(site, 200, 1, 20),
                cost(site, 1, 100, 30), cost(site, 10, 100, 20),
                cost(site, 100, 100, 20)]
    return {"rest": rest, "runs": runs}


def open_streams(site, count):
    return [harness.Background(harness.chat, site.daemons[0].address,
                               tokens=100000) for _ in range(count)]


def measure_memory():
    """Resident memory with no, 50, 100, 150 and 200 open streams."""
    with Site() as site:
        for number in range(4):
            site.engine(f"e{number}", "--step_ms=49")
        site.site()
        daemon = site.daemons[0]
        points = [{"streams": 0, "resident_bytes": resident_bytes(daemon.process)}]
        for _ in range(4):
            open_streams(site, 50)
            wanted = points[-1]["streams"] + 50
            harness.wait_until(
                lambda: daemon.status_page()["in_progress"] >= wanted,
                f"{wanted} streams")
            time.sleep(3)
            points.append({"streams": wanted,
                           "resident_bytes": resident_bytes(daemon.process)})
    return {"points": points}


def control_bytes(daemon):
    with urllib.request.urlopen(f"http://{daemon.operators}/metrics") as page:
        found = {}
        for line in page.read().decode().splitlines():
            if line.startswith("thornhollow_control_bytes_total{"):
                name = line.split('"')[1]
                found[name] = float(line.rsplit(" ", 1)[1])
    return found


def measure_control():
    """Processor time and bytes for control at rest, with 1, 3 and 8 daemons."""
    results = []
    for count in (1, 3, 8):
        with Site() as site:
            for number in range(13):
                site.engine(f"e{number}")
            site.publish()
            for number in range(count):
                site.daemon(f"d{number}")
            site.publish_instances()
            time.sleep(5)
            before = [(processor_seconds(d.process), control_bytes(d))
                      for d in site.daemons]
            calls = site.platform.get("/test/calls")
            time.sleep(30)
            after = [(processor_seconds(d.process), control_bytes(d))
                     for d in site.daemons]
            results.append({
                "daemons": count, "engines": 13, "seconds": 30,
                "processor_s": [b[0] - a[0] for a, b in zip(before, after)],
                "bytes": [{name: b[1].get(name, 0) - a[1].get(name, 0)
                           for name in b[1]} for a, b in zip(before, after)],
                "resident_bytes": [resident_bytes(d.process)
                                   for d in site.daemons],
                "platform_calls": [calls, site.platform.get("/test/calls")]})
    return {"runs": results}


MEASUREMENTS = {"latency": measure_latency, "cpu": measure_cpu,
                "memory": measure_memory, "control": measure_control}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=MEASUREMENTS)
    parser.add_argument("--out")
    options = parser.parse_args()
    text = json.dumps(MEASUREMENTS[options.what](), indent=1)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n")
    else:
        print(text)


if __name__ == "__main__":
    main()
