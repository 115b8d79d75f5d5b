// Command rig plays one case of the third review: it starts the daemons as processes of their own, on
// loopback addresses, and serves the executors and the platform itself.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// caseTime is the longest time of a case.
const caseTime = 110 * time.Second

// rig is what a case works with.
type rig struct {
	record  *record
	fleet   *fleet
	cluster *cluster
	caller  *caller
	// trouble is unset if the case is to be played without its disruption.
	trouble bool
}

// play is one case. The error says why it could not run.
type play func(*rig) (broken bool, err error)

// plays holds the cases by name.
var plays = make(map[string]play)

func main() {
	// Children end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE DAEMON RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	r := &rig{record: rec, fleet: newFleet(service, rec), trouble: os.Getenv("TROUBLE") != "0"}
	platform, err := servePlatform(r.fleet)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	r.cluster, err = startCluster(binary, platform)
	defer r.cluster.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	r.caller = &caller{record: rec, edges: r.cluster.callers}
	go r.fleet.run()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[os.Args[1]](r)
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			rec.say("not run: %v", got.err)
			return exitNotRun
		case got.broken:
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-time.After(caseTime):
		rec.say("not run: the case took too long")
		return exitNotRun
	}
}
