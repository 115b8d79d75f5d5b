#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: the executors, the platform and the callers are one program.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3 ./review/11/rig
