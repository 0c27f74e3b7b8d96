#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH="../standins3:../../target/deps" PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
timeout --kill-after=3 116 python3 check.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
