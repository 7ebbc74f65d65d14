#!/usr/bin/env bash
# Puts the libraries and the package under target/deps, where the
# platform's Python looks for them.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! "$deps/.ready" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.txt
    touch "$deps/.ready"
fi
rm -rf "$deps/gypsummount"
cp -r src/gypsummount "$deps/gypsummount"
python3 -m compileall -q "$deps"
