package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"
)

func init() { plays["pending"] = pendingCount }

// pendingCount crashes the only executor with room just before jobs come that would start there.
func pendingCount(r *rig) (bool, error) {
	const executors, jobs, fillMs = 7, 4, 40_000
	if err := r.prepare(executors, 3, main1); err != nil {
		return false, err
	}
	// One long work unit fills each executor but one.
	fill := jobBody{Spec: work{WorkMs: fillMs}.spec(), Phases: []phase{{Count: executors - 1, CPU: cores16, MemMb: 1024, EstMs: fillMs, AntiAffinity: 1}}}
	if !r.caller.submit(prefix, jobID(1), fill, 10*time.Second) {
		return false, errors.New("the first job was not accepted")
	}
	if !r.waitFor(10*time.Second, func(f *fleet) bool { return len(f.starts) == executors-1 }) {
		return false, errors.New("the first job did not start")
	}
	r.fleet.mu.Lock()
	at := slices.IndexFunc(r.fleet.executors, func(e *executor) bool { return len(e.running) == 0 })
	free := r.fleet.executors[at]
	r.fleet.mu.Unlock()
	time.Sleep(time.Second)
	if r.trouble {
		r.record.say("executor %s, the only one with room, is lost for good", free.id)
		free.crash()
	}
	small := jobBody{Spec: work{WorkMs: fillMs}.spec(), Phases: []phase{{Count: 1, CPU: 2000, MemMb: 256, EstMs: fillMs}}}
	for n := range jobs {
		if !r.caller.submit(prefix, jobID(2+n), small, 5*time.Second) {
			return false, errors.New("a job was not accepted")
		}
	}
	accepted := time.Now()
	// The bound of the rule, and a second more.
	time.Sleep(visible + 2*time.Second + time.Second)
	wrong, asked := 0, 0
	for until := accepted.Add(20 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		for _, address := range r.caller.edges {
			status, answer := r.caller.callAt(address, http.MethodGet, prefix, nil)
			var in struct {
				Pending *int `json:"pending"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &in) != nil || in.Pending == nil {
				continue
			}
			waiting := 0
			r.fleet.mu.Lock()
			for n := range jobs {
				if r.fleet.startsOf(jobID(2+n)) == 0 {
					waiting++
				}
			}
			r.fleet.mu.Unlock()
			asked++
			if 2**in.Pending < waiting {
				wrong++
				r.record.say("%s says %d pending, %d jobs accepted over %v before have not begun", address, *in.Pending, waiting, visible+2*time.Second)
			}
		}
	}
	r.record.say("%d of %d answers gave under half of the jobs that had not begun", wrong, asked)
	if asked == 0 {
		return false, errors.New("no count was answered")
	}
	return wrong > 0, nil
}
