// The case: the operator lowers maxAttempts to the number of times that a waiting work unit has
// failed. Its job must be shown as failed, or the work unit must start again.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sapphirering/review/6/lab"
)

const (
	executors           = 3
	attempts, fewer     = 4, 2
	whole               = 16000
	firstRun, secondRun = 300 * time.Millisecond, 2500 * time.Millisecond
	// watchTime is how long the job is watched once all room is free.
	watchTime = 30 * time.Second
)

func main() {
	l := lab.Start(2)
	id := func() string { return fmt.Sprintf("%016x", rand.Uint64()) }
	job, lasting, another := id(), id(), id()
	l.Fails = func(task string, attempt uint32) time.Duration {
		switch {
		case !strings.HasPrefix(task, job):
			return 0
		case attempt == 1:
			return firstRun
		case attempt == 2:
			return secondRun
		}
		return 0
	}
	l.Work = func(string, int) time.Duration { return 4 * time.Second }
	for i := range executors {
		l.AddExecutor(&lab.Executor{ID: fmt.Sprintf("i-%d", i), Machine: fmt.Sprintf("m-%d", i), Zone: fmt.Sprintf("z%d", 1+i),
			Service: lab.Service, CPU: whole, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i)}}, l.Controls)
	}
	l.Put(lab.Manifest{MaxAttempts: attempts, Keys: []string{"key-of-house-a"}})
	q := l.NewRequester(0, "key-of-house-a")
	l.Submit(q, lasting, lab.JobSpec{Spec: "plate", Phases: []lab.Phase{{Count: executors - 1, CPU: whole, MemMb: 64, EstMs: 700, LongRunning: true, AntiAffinity: 1}}})
	await("the lasting job runs", func() bool { return len(runsOf(l, lasting)) == executors-1 })
	l.Submit(q, job, lab.JobSpec{Spec: "proof", Phases: []lab.Phase{{Count: 1, CPU: whole, MemMb: 64, EstMs: 4000}}})
	await("the second run of the work unit", func() bool { return len(runsOf(l, job)) == 2 })
	time.Sleep(secondRun - time.Second)
	// It takes the room of the work unit once that has failed for the second time.
	l.Submit(q, another, lab.JobSpec{Spec: "plate", Phases: []lab.Phase{{Count: 1, CPU: whole, MemMb: 64, EstMs: 700, LongRunning: true}}})
	await("another lasting job runs", func() bool { return len(runsOf(l, another)) == 1 })
	if runs := runsOf(l, job); len(runs) != 2 || runs[1].How != "failed" {
		lab.Unable("the work unit does not wait after two failed runs: %v", runs)
	}
	most := attempts
	if l.Trouble {
		most = fewer
	}
	l.Put(lab.Manifest{MaxAttempts: most, Keys: []string{"key-of-house-a"}})
	l.Record.Line("maxAttempts is %d", most)
	for _, id := range []string{another, lasting} {
		status, _ := q.Call(http.MethodDelete, id, nil)
		l.Record.Line("DELETE %s: answered %d", id, status)
	}
	freed, state := time.Now(), ""
	for time.Since(freed) < watchTime && state != "complete" && state != "failed" {
		if now := l.State(q, job); now != state {
			state = now
			l.Record.Line("GET %s: %s", job, state)
		}
		time.Sleep(100 * time.Millisecond)
	}
	runs := runsOf(l, job)
	if state == "complete" || state == "failed" {
		lab.Held("the job is %s after %d runs", state, len(runs))
	}
	if len(runs) > 2 {
		lab.Unable("the job is %q after %d runs", state, len(runs))
	}
	lab.Broken("LOST: for %s the job is %q and has nothing running, though all %d executors are empty", time.Since(freed).Round(time.Second), state, executors)
}

// runsOf returns the runs of a job.
func runsOf(l *lab.Lab, job string) []lab.Run {
	var out []lab.Run
	for _, r := range l.Runs() {
		if strings.HasPrefix(r.Task, job) {
			out = append(out, r)
		}
	}
	return out
}

func await(what string, holds func() bool) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	lab.Unable("not within 15 s: %s", what)
}
