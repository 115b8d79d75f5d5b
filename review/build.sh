#!/usr/bin/env bash
# Builds the programs of the scripts, with their stand-ins, into target/. Needs no network
# beyond what the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/ ./review/cmd/...
