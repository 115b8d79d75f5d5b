#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER PROGRAM. Its exit code is the case's.
set -u
folder=$1 program=$2
cd "$(dirname "$0")/.."
if [ ! -x "target/$program" ] || [ ! -x target/sapphireringd ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
timeout --signal=TERM --kill-after=8 110 "target/$program" -record "$folder/record.txt"
code=$?
case $code in
  0 | 1 | 2) exit $code ;;
esac
exit 2
