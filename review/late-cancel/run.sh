#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 review/late-cancel/case.py
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
