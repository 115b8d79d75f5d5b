package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

func init() { plays["plain-prefix"] = plainPrefix }

// plainPrefix adds a route, whose prefix does not end with a slash if there is trouble, and hands a job in there.
func plainPrefix(r *rig) (bool, error) {
	const workMs = 1000
	added := route{"r-press", "/press/"}
	if r.trouble {
		added.prefix = "/press"
	}
	if err := r.prepare(6, 3, main1); err != nil {
		return false, err
	}
	if !replaceManifest(r.record, r.cluster.control, manifest(2, 3, main1, added), 10*time.Second) {
		return false, errors.New("the second manifest was not acknowledged")
	}
	r.record.say("the manifest with the new route %s is acknowledged", added.prefix)
	time.Sleep(configTime)
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: workMs}.spec(), Phases: []phase{{Count: 2, CPU: 2000, MemMb: 256, EstMs: workMs}}}
	if !r.caller.submit(added.prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	r.record.say("the job %s is accepted at %s%s", id, added.prefix, id)
	time.Sleep(5 * time.Second)
	_, state := r.caller.state(added.prefix, id)
	count, _ := r.caller.call(http.MethodGet, added.prefix, nil)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	unasked := 0
	for _, s := range r.fleet.starts {
		if !strings.HasPrefix(s.task, id+".") {
			unasked++
			r.record.say("%s is told to start %s", s.executor, s.task)
		}
	}
	r.record.say("job is %s, the count of the queue was answered %d; %d starts of what no requester sent, %d of the job's work units", state, count, unasked, r.fleet.startsOf(id))
	return unasked > 0, nil
}
