#!/bin/sh
# Builds the stand-ins of all cases: they are Python, so this only compiles them and checks that they load.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
.venv/bin/python -c 'import sys; sys.path.insert(0, "review/common"); import sites, standins'
