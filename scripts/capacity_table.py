#!/usr/bin/env python3
"""Writes the tables of docs/CAPACITY.md from the raw results.

  scripts/capacity_table.py [--check]

Reads docs/measurements/*, works out slopes and the figures at the size of
letter 1, and replaces what stands between the page's markers. With --check it
only says whether the page is in step with the results, and exits 1 if not.
"""

import argparse
import json
import pathlib
import re
import statistics
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
RAW = ROOT / "docs" / "measurements"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- figures: begin -->", "<!-- figures: end -->"

# Letter 1.
DAEMONS, DOMAINS, ENGINES, TEAMS, MODELS = 420, 11, 850, 11000, 24
REQUESTS, TOKENS, CHANGES = 3100, 740_000, 970
TOKEN_GAP_S = 0.049
BUDGET = {"core_percent": 4.7, "megabytes": 64, "kilobytes_s": 18}
DAY = 86_400
# Packets of one call on a connection of its own (three to open, request, answer,
# their acknowledgements, four to close), each with 52 bytes of headers.
CALL_HEADER_BYTES = 12 * 52
POLLS, READS = 10, 1.5
GOSSIP_HEADER_BYTES = 28
# One entry of the platform's list as the stand-in writes it, and changes a day:
# 13 failures (gone and back) and 80 replacements (leaving, gone, new).
LIST_ENTRY_BYTES = 150
LIST_CHANGES = 2 * 13 + 3 * 80


def raw(name):
    return json.loads((RAW / name).read_text())


def benchmark(name, case):
    for each in raw(name)["benchmarks"]:
        if each["name"] == case:
            return each
    raise KeyError(case)


def nanoseconds(row):
    return row["cpu_time"] * {"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9}[row["time_unit"]]


def gossip(members):
    for line in (RAW / "gossip.txt").read_text().splitlines():
        fields = line.split()
        if fields and fields[0] == str(members):
            return {"bytes": float(fields[1]), "core": float(fields[4]),
                    "configuration_ms": float(fields[5]),
                    "removal_ms": float(fields[6])}
    raise KeyError(members)


def relay():
    """Processor time of a request and of a token, in microseconds."""
    data = raw("cpu.json")
    rest = data["rest"]["processor_s"] / data["rest"]["seconds"]
    runs = [{"requests": sum(c["sent"] for c in run["report"]["classes"]),
             "tokens": sum(c["tokens"] for c in run["report"]["classes"]),
             "cpu": run["processor_s"] - rest * run["elapsed_s"],
             "streams": run["rate"] * run["tokens"] * 0.01}
            for run in data["runs"]]
    request = ((runs[1]["cpu"] - runs[0]["cpu"]) /
               (runs[1]["requests"] - runs[0]["requests"]))
    tokens = [{"streams": run["streams"],
               "us": 1e6 * (run["cpu"] - request * run["requests"]) / run["tokens"]}
              for run in runs[2:]]
    return {"rest_percent": 100 * rest, "request_us": 1e6 * request,
            "tokens": tokens}


def latency():
    rounds = raw("latency.json")["rounds"]
    found = {}
    for figure in ("first_token_ms", "between_tokens_ms"):
        for percentile in ("p50", "p95", "p99"):
            direct = [r["direct"][0][figure][percentile] for r in rounds]
            daemon = [r["daemon"][0][figure][percentile] for r in rounds]
            found[figure, percentile] = (statistics.median(direct),
                                         statistics.median(daemon))
    return found


def memory():
    points = raw("memory.json")["points"]
    first, last = points[0], points[-1]
    slope = ((last["resident_bytes"] - first["resident_bytes"]) /
             (last["streams"] - first["streams"]))
    return {"base": first["resident_bytes"], "stream": slope}


def control():
    run = raw("control.json")["runs"][-1]
    by_path = {}
    for each in run["bytes"]:
        for path, count in each.items():
            by_path.setdefault(path, []).append(count / run["seconds"])
    return {"daemons": run["daemons"], "engines": run["engines"],
            "bytes": {path: max(rates) for path, rates in by_path.items()},
            "core": [100 * s / run["seconds"] for s in run["processor_s"]],
            "resident": max(run["resident_bytes"])}


def slopes_table():
    r, m, c, l = relay(), memory(), control(), latency()
    config = benchmark("config_benchmark.json", f"ReadWholeBundle/{TEAMS}")
    rows = [
        ("a request, processor time", f"{r['request_us']:.0f} us", "cpu"),
    ]
    for each in r["tokens"]:
        rows.append((f"a token relayed, about {each['streams']:.0f} streams open",
                     f"{each['us']:.0f} us", "cpu"))
    rows += [
        ("a stream, memory", f"{m['stream'] / 1024:.1f} KiB", "memory"),
        ("a daemon at rest, memory", f"{m['base'] / 2**20:.1f} MiB", "memory"),
        ("a daemon at rest, processor time",
         f"{r['rest_percent']:.2f}% of a core", "cpu"),
    ]
    for figure, name in (("first_token_ms", "first token"),
                         ("between_tokens_ms", "between tokens")):
        for percentile in ("p50", "p95", "p99"):
            direct, daemon = l[figure, percentile]
            rows.append((f"{name}, {percentile}, straight / through a daemon",
                         f"{direct:.2f} / {daemon:.2f} ms "
                         f"({daemon - direct:+.2f} ms, x{daemon / direct:.2f})",
                         "latency"))
    for path, rate in sorted(c["bytes"].items()):
        rows.append((f"control at rest, {path}, {c['daemons']} daemons, "
                     f"{c['engines']} engines, the most of any",
                     f"{rate / 1000:.2f} KB/s", "control"))
    rows.append((f"control at rest, processor time, least to most of "
                 f"{c['daemons']} daemons",
                 f"{min(c['core']):.2f} to {max(c['core']):.2f}% of a core",
                 "control"))
    rows.append((f"reading and checking {TEAMS} teams",
                 f"{nanoseconds(config) / 1e6:.0f} ms", "config_benchmark"))
    lines = ["| slope | measured | run |", "| --- | --- | --- |"]
    return lines + [f"| {a} | {b} | `{c}` |" for a, b, c in rows]


def growth_table():
    lines = ["| members of a domain | gossip, bytes/s | % of a core | version known "
             "to all, ms | dead member removed, ms |",
             "| --- | --- | --- | --- | --- |"]
    for members in (4, 16, 38, 100):
        g = gossip(members)
        lines.append(f"| {members} | {g['bytes']:.0f} | {g['core']:.3f} | "
                     f"{g['configuration_ms']:.0f} | {g['removal_ms']:.0f} |")
    return lines


def size_table():
    r, m, c = relay(), memory(), control()
    g = gossip(38)
    config_s = nanoseconds(benchmark("config_benchmark.json",
                                     f"ReadWholeBundle/{TEAMS}")) / 1e9
    moved = 26_400
    list_rate = ((DAEMONS + ENGINES) * LIST_ENTRY_BYTES * LIST_CHANGES / DAY)
    token_us = r["tokens"][-1]["us"]
    per_daemon_requests = REQUESTS / DAEMONS
    per_daemon_tokens = TOKENS / DAEMONS
    streams = per_daemon_tokens * TOKEN_GAP_S
    path_core = (per_daemon_requests * r["request_us"] +
                 per_daemon_tokens * token_us) / 1e4
    rows = [
        ("gossip, 38 members", g["bytes"] / 1000, g["core"], 0.1),
        ("platform: list and, for 2 of 38, manifest", c["bytes"]["platform"] / 1000,
         None, None),
        (f"platform: {LIST_CHANGES} changes a day of a list of "
         f"{DAEMONS + ENGINES}", list_rate / 1000, None, 0.2),
        (f"configuration: {CHANGES} changes a day, 26.4 KB each",
         moved * CHANGES / DAY / 1000, 100 * config_s * CHANGES / DAY, 6.5),
        ("load reports: 10 polls a second", c["bytes"]["load"] / 1000, None, None),
        (f"headers of TCP, UDP and IP, estimated: {POLLS + READS} calls of "
         f"{CALL_HEADER_BYTES} bytes and 13 datagrams of {GOSSIP_HEADER_BYTES}",
         ((POLLS + READS) * CALL_HEADER_BYTES + 13 * GOSSIP_HEADER_BYTES) / 1000,
         None, None),
        ("all of it at rest, measured with "
         f"{c['daemons']} daemons and {c['engines']} engines", None,
         max(c["core"]), c["resident"] / 2**20),
    ]
    total_bytes = sum(row[1] for row in rows if row[1])
    total_core = (max(c["core"]) + rows[3][2])
    total_memory = c["resident"] / 2**20 + 6.5
    lines = ["| control, for each daemon | KB/s | % of a core | MiB |",
             "| --- | --- | --- | --- |"]
    for name, rate, core, size in rows:
        cell = lambda v, f: "" if v is None else format(v, f)
        lines.append(f"| {name} | {cell(rate, '.2f')} | {cell(core, '.3f')} | "
                     f"{cell(size, '.1f')} |")
    lines += [f"| **sum** | **{total_bytes:.2f}** | **{total_core:.2f}** | "
              f"**{total_memory:.0f}** |",
              f"| budget | {BUDGET['kilobytes_s']} | {BUDGET['core_percent']} | "
              f"{BUDGET['megabytes']} |", "",
              f"Request path of a daemon (not control): {per_daemon_requests:.1f} "
              f"requests and {per_daemon_tokens:.0f} tokens a second, "
              f"{streams:.0f} streams: {path_core:.1f}% of a core and "
              f"{streams * m['stream'] / 2**20:.1f} MiB."]
    return lines


def figures():
    return "\n".join(["### Slopes", ""] + slopes_table() +
                     ["", "### Gossip against members", ""] + growth_table() +
                     ["", "### A daemon at the size of letter 1", ""] +
                     size_table())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    page = PAGE.read_text()
    pattern = re.compile(re.escape(BEGIN) + ".*" + re.escape(END), re.S)
    new = pattern.sub(lambda _: f"{BEGIN}\n\n{figures()}\n\n{END}", page)
    if options.check:
        if new != page:
            print("docs/CAPACITY.md differs from docs/measurements; run "
                  "scripts/capacity_table.py")
            return 1
        return 0
    PAGE.write_text(new)
    return 0


if __name__ == "__main__":
    sys.exit(main())
