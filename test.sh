#!/usr/bin/env bash
# Runs every test with the race detector. Tests listed in KNOWN-RED.txt are
# printed and passed over, and nothing else is.
set -u
cd "$(dirname "$0")"
skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  skip=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
fi
if [ -n "$skip" ]; then
  exec go test -race -count=1 -parallel 3 -timeout 320s -skip "^($skip)\$" ./...
fi
exec go test -race -count=1 -parallel 3 -timeout 320s ./...
