package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { plays["nested-route"] = nestedRoute }

// nestedRoute removes the longer of two routes while a job of it runs, and cancels the job.
func nestedRoute(r *rig) (bool, error) {
	const stepMs, steps = 3000, 8
	inner := route{"r-inner", prefix + "fi50/"}
	if err := r.prepare(6, 3, main1, inner); err != nil {
		return false, err
	}
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: stepMs}.spec()}
	for n := range steps {
		p := phase{Count: 1, CPU: 2000, MemMb: 256, EstMs: stepMs}
		if n > 0 {
			p.Deps = []int{n - 1}
		}
		job.Phases = append(job.Phases, p)
	}
	if !r.caller.submit(inner.prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	if !r.waitFor(10*time.Second, func(f *fleet) bool { return len(f.starts) > 0 }) {
		return false, errors.New("the job did not start")
	}
	if r.trouble {
		if !replaceManifest(r.record, r.cluster.control, manifest(2, 3, main1), 10*time.Second) {
			return false, errors.New("the second manifest was not acknowledged")
		}
		r.record.say("the manifest without the route %s is acknowledged", inner.prefix)
	}
	time.Sleep(configTime + visible)
	get, _ := r.caller.state(inner.prefix, id)
	cancel, _ := r.caller.call(http.MethodDelete, inner.prefix+id, nil)
	acknowledged := time.Now()
	r.record.say("GET answered %d, DELETE answered %d", get, cancel)
	if get == 0 || cancel == 0 {
		return false, errors.New("no answer")
	}
	time.Sleep(15 * time.Second)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	late := 0
	for _, s := range r.fleet.starts {
		if s.at.After(acknowledged.Add(cancelTime)) {
			late++
		}
	}
	isAcknowledged := cancel/100 == 2 || cancel == http.StatusGone
	r.record.say("%d work units began more than %v after the answer to DELETE", late, cancelTime)
	return get == http.StatusGone || isAcknowledged && late > 0, nil
}
