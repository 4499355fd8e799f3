#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: Python files that need no more than the
# libraries in target/deps, which the build command of deploy/system.toml puts there.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c "import review.standins3.case"
