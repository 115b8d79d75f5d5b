package main

import (
	"errors"
	"strings"
	"time"
)

func init() { plays["cap-down"] = capDown }

// capDown lowers a tenant's cap below one work unit of a job that has been accepted and has begun.
func capDown(r *rig) (bool, error) {
	const stepMs, unitCPU, lowCap = 2000, 2000, 1500
	if err := r.prepare(7, 3, main1); err != nil {
		return false, err
	}
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: stepMs}.spec(), Phases: []phase{
		{Count: 1, CPU: unitCPU, MemMb: 256, EstMs: stepMs}, {Count: 1, CPU: unitCPU, MemMb: 256, EstMs: stepMs, Deps: []int{0}},
	}}
	if !r.caller.submit(prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	if !r.waitFor(10*time.Second, func(f *fleet) bool { return f.startsOf(id) == 1 }) {
		return false, errors.New("the job did not start")
	}
	if r.trouble {
		if !replaceManifest(r.record, r.cluster.control, withCap(manifest(2, 3, main1), lowCap), 10*time.Second) {
			return false, errors.New("the second manifest was not acknowledged")
		}
		r.record.say("the manifest that lowers the tenant's cap from %d to %d is acknowledged", capCPU, lowCap)
	}
	// The end of the traffic.
	time.Sleep(finishTime)
	const watch = 20 * time.Second
	_, before := r.caller.state(prefix, id)
	began := time.Now()
	busy := r.waitFor(watch, func(f *fleet) bool {
		for _, e := range f.executors {
			for task := range e.running {
				if strings.HasPrefix(task, id+".") {
					return true
				}
			}
		}
		return false
	})
	idle := time.Since(began)
	_, state := r.caller.state(prefix, id)
	r.record.say("%v after the change the job is %s, and %v later %s; it ran in between: %v", finishTime, before, idle.Round(time.Millisecond), state, busy)
	return before == "active" && state == "active" && !busy, nil
}
