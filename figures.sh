#!/usr/bin/env bash
# Prints the project's figures, each by the test or benchmark that bounds it.
# Takes about three minutes; run it on an otherwise idle machine.
set -u
cd "$(dirname "$0")"

section() {
  echo
  echo "== $1"
  shift
  "$@" 2>&1 | grep -v -e 'timestamp=' -e '^=== ' -e '^PASS' -e 'no test files'
}

section "entry path: added latency over a direct call, requests per second, allocations" \
  go test -run '^$' -bench Entry ./test/bench
section "bounds of the entry path (ratio, allocations)" \
  go test -count=1 -v -run TestEntryCost ./test/bench
section "synced commits per second, alone and grouped" \
  go test -run '^$' -bench Commit -benchtime 3000x ./internal/replica
section "bounds of commits (syncs, allocations)" \
  go test -count=1 -v -run 'TestGroupCommit|TestCommitAllocations' ./internal/replica
section "time without a leader, link bytes of idle daemons, time to in force among 8 daemons" \
  go test -count=1 -v -run 'TestReplicaTimeWithoutLeader|TestReplicaIdleBytes|TestTimeToInForce' ./test/process
section "distance from share and urgent start, policy against baseline, per deployment and at target size" \
  go test -count=1 -v -run TestReplayShare ./test/replay
section "buffer cost, roll-out time, VM moves, policy against baseline, per deployment and at target size" \
  go test -count=1 -v -run TestFleetTraces ./test/replay
section "processor time of a task at the leader in a turn" \
  go test -run '^$' -bench LeaderTurn -benchtime 1x -cpu 1 ./platform
section "cost of one planning round" \
  go test -run '^$' -bench . ./internal/policy/placement ./internal/control ./test/replay
