package main

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

func init() { plays["gang-checkpoint"] = gangCheckpoint }

// gangCheckpoint crashes one executor of a gang that saves its work, and brings it back.
func gangCheckpoint(r *rig) (bool, error) {
	const members, workMs, downFor = 3, 9000, 2 * time.Second
	if err := r.prepare(7, 3, main1); err != nil {
		return false, err
	}
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: workMs, Gang: members, Saves: true}.spec(), Phases: []phase{{
		Count: members, CPU: 4000, MemMb: 1024, EstMs: workMs, Gang: true, AntiAffinity: 1, Checkpointable: true,
	}}}
	if !r.caller.submit(prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	working := r.waitFor(15*time.Second, func(f *fleet) bool {
		n := 0
		for _, e := range f.executors {
			for _, u := range e.running {
				if u.savedMs(f) >= 3000 {
					n++
				}
			}
		}
		return n == members
	})
	if !working {
		return false, errors.New("the gang did not work")
	}
	var calmFrom time.Time
	if r.trouble {
		var victim *executor
		r.fleet.mu.Lock()
		for _, e := range r.fleet.executors {
			if victim == nil && len(e.running) > 0 {
				victim = e
			}
		}
		r.fleet.mu.Unlock()
		r.record.say("executor %s crashes", victim.id)
		victim.crash()
		time.Sleep(downFor)
		if err := victim.boot(); err != nil {
			return false, err
		}
		r.record.say("executor %s is back", victim.id)
	}
	// The time after which runs are begun long after any disturbance.
	calmFrom = time.Now().Add(2 * contact)
	const watch = 45 * time.Second
	state := ""
	for until := time.Now().Add(watch); time.Now().Before(until) && state != "complete" && state != "failed"; time.Sleep(time.Second) {
		_, state = r.caller.state(prefix, id)
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	alone := 0
	for _, e := range r.fleet.ends {
		if e.how == "alone" && e.startedAt.After(calmFrom) {
			alone++
		}
	}
	byRun := make(map[int][]string)
	for _, s := range r.fleet.starts {
		byRun[s.attempt] = append(byRun[s.attempt], strconv.Quote(s.token))
	}
	for attempt := 1; attempt <= len(byRun); attempt++ {
		r.record.say("run %d of the gang: checkpoints %s", attempt, strings.Join(byRun[attempt], " "))
	}
	r.record.say("job is %s; %d runs that began more than %v after the executor was back ended alone", state, alone, 2*contact)
	if len(r.fleet.foreign) > 0 {
		r.record.say("foreign starts: %v", r.fleet.foreign)
	}
	return alone > 0, nil
}
