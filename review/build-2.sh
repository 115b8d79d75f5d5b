#!/usr/bin/env bash
# Builds the programs of the scripts 6 to 10, with their stand-ins, into target/. Needs no network
# beyond what the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
for case in review/{6,7,8,9,10}; do
  if [ -f "$case/main.go" ]; then
    go build -buildvcs=false -o "target/review-${case#review/}" "./$case"
  fi
done
