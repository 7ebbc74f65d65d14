#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9.  They are Python without any
# library; the edge itself is built by deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2 review/6 review/7 review/8 review/9
