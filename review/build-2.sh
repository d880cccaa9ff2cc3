#!/bin/sh
# The stand-ins of the cases 4 and following are Python scripts; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - kit2.py [4-8]/case.py <<'P'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
P
