package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { plays["gang-failures"] = gangFailures }

// gangFailures lets two executors of a gang fail all that they start, for one run of the gang.
func gangFailures(r *rig) (bool, error) {
	const executors, grey, workMs, maxAttempts = 14, 2, 3000, 2
	if err := r.prepare(executors, maxAttempts, main1); err != nil {
		return false, err
	}
	r.fleet.mu.Lock()
	for _, e := range r.fleet.executors[:grey] {
		e.failsWork = r.trouble
	}
	r.fleet.mu.Unlock()
	if r.trouble {
		r.record.say("%d of %d executors fail all that they start", grey, executors)
	}
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: workMs, Gang: executors}.spec(), Phases: []phase{{
		Count: executors, CPU: 4000, MemMb: 1024, EstMs: workMs, Gang: true, AntiAffinity: 1,
	}}}
	if !r.caller.submit(prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	// The executors are sound again once the first run has ended.
	if r.trouble {
		if !r.waitFor(10*time.Second, func(f *fleet) bool { return len(f.ends) > 0 }) {
			return false, errors.New("the gang did not run")
		}
		r.fleet.mu.Lock()
		for _, e := range r.fleet.executors {
			e.failsWork = false
		}
		r.fleet.mu.Unlock()
		r.record.say("all executors are sound again")
	}
	state := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && state != "complete" && state != "failed"; time.Sleep(500 * time.Millisecond) {
		_, state = r.caller.state(prefix, id)
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	runs, failedRuns, failedUnits := make(map[int]bool), make(map[int]bool), make(map[string]int)
	for _, s := range r.fleet.starts {
		runs[s.attempt] = true
	}
	for _, e := range r.fleet.ends {
		if e.how == "failed" {
			failedRuns[e.attempt] = true
			failedUnits[e.task]++
		}
	}
	most := 0
	for _, n := range failedUnits {
		most = max(most, n)
	}
	r.record.say("job is %s; the gang ran %d times and failed in %d runs, no work unit ended failed more than %d times, maxAttempts is %d", state, len(runs), len(failedRuns), most, maxAttempts)
	if state != "complete" && state != "failed" {
		return false, fmt.Errorf("the job did not end: it is %q", state)
	}
	return state == "failed" && len(failedRuns) < maxAttempts, nil
}
