#!/bin/sh
# Prepares what the scripts of the second review start. Their stand-ins are Python files, run by the
# environment that the deploy file's build leaves; nothing is compiled for one kind of machine, and nothing is
# installed. This checks that each file and each module that they need can be read.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/shared-2/*.py review/[6-9]/*.py review/1[0-9]/*.py; do
    if [ -e "$file" ]; then
        .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
PYTHONPATH=review/shared-2 .venv/bin/python -B -c 'import clickhouse, engines, fleet, harness'
echo "review/build-2.sh: the scripts can run"
