#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file. The stand-ins are
# Python programs that use the standard library alone (3.11 or later); compiling them finds errors early.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 - standins-2/*.py [6-9]/*.py 10/*.py <<'P'
import pathlib
import sys

for path in map(pathlib.Path, sys.argv[1:]):
    if path.exists():
        compile(path.read_text(), str(path), "exec")
P
