#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs of review/lib-2/ and
# of the cases: nothing is compiled. This checks that each of them can be read.
cd "$(dirname "$0")" || exit 2
exec python3 -B - lib-2/*.py [6-9]/*.py <<'PROGRAM'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PROGRAM
