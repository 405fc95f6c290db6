#!/usr/bin/env python3
"""Runs clang-tidy over the project's sources, in parallel.

  scripts/lint.py --build build [--changed] [FILE ...]

Without FILEs it takes every source that git tracks, generated code left out;
with --changed only those that differ from main. Prints the findings of each
source and exits 1 when there is any.
"""

import argparse
import concurrent.futures
import os
import subprocess
import sys


def git_lines(*args):
    return subprocess.run(("git",) + args, check=True, capture_output=True,
                          text=True).stdout.split()


def sources(changed):
    if changed:
        names = git_lines("diff", "--name-only", "main", "--", "*.cc")
        names += git_lines("ls-files", "-o", "--exclude-standard", "*.cc")
    else:
        names = git_lines("ls-files", "*.cc")
    return [n for n in names if "/generated/" not in n and os.path.exists(n)]


def lint(build, name):
    done = subprocess.run(["clang-tidy", "-p", build, "--quiet", name],
                          capture_output=True, text=True)
    return name, done.returncode, done.stdout + (done.stderr if done.returncode else "")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--changed", action="store_true")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("files", nargs="*")
    options = parser.parse_args()
    names = options.files or sources(options.changed)
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for name, code, text in pool.map(lambda n: lint(options.build, n), names):
            if code != 0:
                failed += 1
                print(f"-- {name}\n{text}")
    print(f"linted {len(names)} sources, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
