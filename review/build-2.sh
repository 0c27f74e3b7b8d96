#!/usr/bin/env bash
# Checks that every stand-in and script of cases 4 to 8 compiles; nothing is installed.
# They are plain Python and use the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins[23]/*.py review/[4-8]/*.py review/{checkpoints,late-cancel}/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=target/deps python3 -c "import aiohttp"
