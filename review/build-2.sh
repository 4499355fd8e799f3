#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files of the standard library,
# so all there is to do is to check that this Python can compile them.
set -eu
cd "$(dirname "$0")"
python3 - standins2/*.py [6-9]/case.py 10/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
PY
