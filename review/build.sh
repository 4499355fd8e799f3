#!/usr/bin/env bash
# The stand-ins are Python files that use the libraries of the deploy file's build only.
# Check that they can be imported; there is nothing to build.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "import review.cell.cell, review.cell.checks"
