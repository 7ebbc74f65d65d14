#!/usr/bin/env bash
# Builds the stand-ins of the review cases.  They use Python's standard
# library alone; the edge itself is built by deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
