#!/usr/bin/env python3
"""Fails where a name of the users' platform stands outside its adapter.

  scripts/check_wire_names.py

The adapter, thornhollow/platform/, decodes those names once; elsewhere the
project's own words are used. Tests, the stand-ins of the tests and deploy/ may
name them.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = (
    "X-Attempt-Id", "X-Response-Signature", "X-Prompt-Prefix", "X-Tenant",
    "X-Request-Priority", "X-Expected-Instance", "X-Not-Executed",
    "Server-Leaving", "Server-Brittle", "Server-Limit", '"Resumes"',
    "X-Token-Counts", "X-Length-Hint", "X-Instance-Id", "X-Weight-Versions",
    "X-Expected-Version", "X-Pin-Duration-Ms", "X-Cache-Retention",
    "X-Kv-Backup", "Kv-From", "Kv-Fetch", "kv-watch", "kv-range", "kv-key",
    "/v1/readiness", "/v1/report", "op/config", "traffic_split",
    "stream_resumption", "session_affinity", "anonymous_access", "api_keys",
    "gap_target_ms", "target_latency_ms", "max_attempts", "path_prefix",
    "cold_remaining_ms", "sequence_number", "kv_cache_tokens",
    "queued_requests", "active_requests", "THORNHOLLOW_NODE_FILE",
)
PATTERN = re.compile("|".join(re.escape(name) for name in NAMES))


def checked(path):
    parts = path.relative_to(ROOT / "thornhollow").parts
    return not (parts[0] == "platform" or "generated" in parts
                or path.stem.endswith("_test"))


def main():
    found = 0
    for suffix in ("*.h", "*.cc"):
        for path in sorted((ROOT / "thornhollow").rglob(suffix)):
            if not checked(path):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                for name in PATTERN.findall(line):
                    found += 1
                    print(f"{path.relative_to(ROOT)}:{number}: {name}")
    print(f"{found} names of the platform outside thornhollow/platform/")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
