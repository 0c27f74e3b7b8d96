#!/usr/bin/env bash
# Count the jobs that wait while the runner of their starts is cut off.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH=target/deps:review exec python3 review/3/check.py
