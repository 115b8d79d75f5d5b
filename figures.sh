#!/usr/bin/env bash
# Prints the project's performance figures with the tests and benchmarks that check them.
# Takes about three minutes; run it on an otherwise idle machine.
set -u
cd "$(dirname "$0")"

section() {
  echo
  echo "== $1"
  shift
  "$@" 2>&1 | grep -v -e 'timestamp=' -e '^=== ' -e '^PASS' -e 'no test files'
}

section "entry path: latency compared with a direct call, requests per second, allocations" \
  go test -run '^$' -bench Entry ./test/bench
section "limits of the entry path (latency ratio, allocations)" \
  go test -count=1 -v -run TestEntryCost ./test/bench
section "synced commits per second, single and grouped" \
  go test -run '^$' -bench Commit -benchtime 3000x ./internal/replica
section "limits of commits (syncs, allocations)" \
  go test -count=1 -v -run 'TestGroupCommit|TestCommitAllocations' ./internal/replica
section "time without a leader, link bytes of idle daemons, time until a change is in force on 8 daemons" \
  go test -count=1 -v -run 'TestReplicaTimeWithoutLeader|TestReplicaIdleBytes|TestTimeToInForce' ./test/process
section "distance from the share and start of urgent work, policy compared with baseline, per deployment and at target size" \
  go test -count=1 -v -run TestReplayShare ./test/replay
section "buffer cost, roll-out time, VM moves, policy compared with baseline, per deployment and at target size" \
  go test -count=1 -v -run TestFleetTraces ./test/replay
section "processor time at the leader per task in a turn" \
  go test -run '^$' -bench LeaderTurn -benchtime 1x -cpu 1 ./platform
section "cost of one planning round" \
  go test -run '^$' -bench . ./internal/policy/placement ./internal/control ./test/replay
