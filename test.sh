#!/usr/bin/env bash
# Runs all tests with the race detector, except those listed in KNOWN-RED.txt,
# which it prints.
set -u
cd "$(dirname "$0")"
skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, skipped:"
  cat KNOWN-RED.txt
  skip=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
fi
if [ -n "$skip" ]; then
  exec go test -race -count=1 -parallel 3 -timeout 320s -skip "^($skip)\$" ./...
fi
exec go test -race -count=1 -parallel 3 -timeout 320s ./...
