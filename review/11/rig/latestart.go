package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { plays["late-start"] = lateStart }

// lateStart delays one start, which is sent again and done meanwhile, until its executor has started anew.
func lateStart(r *rig) (bool, error) {
	const executors, workMs, downFor = 7, 1500, 2 * time.Second
	if err := r.prepare(executors-1, 3, main1); err != nil {
		return false, err
	}
	victim, err := r.fleet.addBehindProxy(executors-1, cores16, r.cluster.control)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if r.trouble {
		victim.front.hold(1)
	}
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: workMs}.spec(), Phases: []phase{{Count: executors, CPU: 4000, MemMb: 1024, EstMs: workMs, AntiAffinity: 1}}}
	if !r.caller.submit(prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	done := endSeen{}
	confirmed := r.waitFor(10*time.Second, func(f *fleet) bool {
		for _, e := range f.ends {
			if e.executor == victim.id && e.how == "done" {
				done = e
			}
		}
		return done.task != "" && len(victim.ended) == 0
	})
	if !confirmed {
		return false, errors.New("the end on the executor was not confirmed")
	}
	r.record.say("%s has ended done on %s, and the end is taken note of", done.task, victim.id)
	if r.trouble {
		if victim.front.heldCalls() != 1 {
			return false, fmt.Errorf("%d starts are held", victim.front.heldCalls())
		}
		victim.crash()
		r.record.say("executor %s crashes", victim.id)
		time.Sleep(downFor)
		delivered := make(chan bool, 1)
		go func() { delivered <- victim.front.deliver(5 * time.Second) }()
		if err := victim.boot(); err != nil {
			return false, err
		}
		r.record.say("executor %s is back", victim.id)
		if !<-delivered {
			return false, errors.New("the start was not passed on")
		}
	}
	time.Sleep(5 * time.Second)
	_, state := r.caller.state(prefix, id)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	again := 0
	for _, s := range r.fleet.starts {
		if s.task == done.task && s.at.After(done.at) {
			again++
			r.record.say("%s is started again on %s, attempt %d, %v after it ended done", s.task, s.executor, s.attempt, s.at.Sub(done.at).Round(time.Millisecond))
		}
	}
	r.record.say("job is %s; %d starts of the work unit after its end as done was taken note of", state, again)
	return again > 0, nil
}
