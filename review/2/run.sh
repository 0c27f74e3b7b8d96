#!/usr/bin/env bash
# Send requests on open channels of instances that are stopped with SIGTERM.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH=target/deps:review exec python3 review/2/check.py
