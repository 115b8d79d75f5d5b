// Command review-route replaces a route of the manifest by one of another name at the same
// host and prefix. The jobs that were accepted there are not cancelled: they must be known
// there, and the work units of a lasting job run until the job is cancelled.
package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts    = 3
	units          = 5
	maxUnavailable = 1
	settleTime     = 9 * time.Second
	// workTime lets all work units be at work. The states are asked for from askAfter on,
	// which is more than visible_ms after the jobs were accepted and configDeadlineMs after
	// the change, for askTime.
	workTime   = 4 * time.Second
	askAfter   = 5 * time.Second
	askTime    = 6 * time.Second
	answerTime = 10 * time.Second
	// noticeTime is noticeMs: a unit that has not been at work for so long is away.
	noticeTime = 4500 * time.Millisecond
	id         = "00000000000000bb"
	batchID    = "00000000000000be"
	batchWork  = 8 * time.Second
)

func main() { harness.Main(maxAttempts, check) }

func check(c *harness.Case) (bool, error) {
	for n := range 4 {
		_, err := c.Platform.Add(fmt.Sprintf("m-%d", n+1), harness.Service, fmt.Sprintf("zone-%d", n%3+1),
			[]string{"a", fmt.Sprintf("rack-%d", n%2+1)}, harness.Resources{CPU: 8000, MemMb: 16000})
		if err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	job := harness.Job{Spec: "serves", Phases: []harness.Phase{
		{Count: units, CPU: 1000, MemMb: 100, EstMs: 500, LongRunning: true, MaxUnavailable: maxUnavailable},
	}}
	if err := c.Clients.Submit(c.Fleet, id, job, answerTime); err != nil {
		return false, err
	}
	time.Sleep(workTime)
	if n := running(c); n != units {
		return false, fmt.Errorf("%d of %d work units run before any disruption", n, units)
	}
	batch := harness.Job{Spec: "works", Phases: []harness.Phase{{Count: 2, CPU: 1000, MemMb: 100, EstMs: batchWork.Milliseconds(), Work: batchWork}}}
	if err := c.Clients.Submit(c.Fleet, batchID, batch, answerTime); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	second := strings.Replace(harness.Manifest(2, maxAttempts), `"timeoutMs":3000`, `"timeoutMs":2900`, 1)
	if c.Trouble {
		second = strings.Replace(second, `"name":"r-jobs"`, `"name":"r-jobs-2"`, 1)
	}
	if _, err := c.Clients.Operator("POST", "/config/replace", second, answerTime); err != nil {
		return false, err
	}
	time.Sleep(askAfter)
	broken := false
	for end := time.Now().Add(askTime); time.Now().Before(end); time.Sleep(time.Second) {
		for _, job := range []string{id, batchID} {
			state, err := c.Clients.State(job, answerTime)
			if err != nil {
				return false, err
			}
			if state == "" {
				c.Add("LOST: accepted job %s, which nobody has cancelled, is answered 410", job)
				broken = true
			}
		}
	}
	c.Add("at the end %d of %d work units of the lasting job run; stops over its budget: %d", running(c), units, violations(c))
	for _, run := range c.Fleet.RunsOf(batchID) {
		c.Add("batch job: %s run %d on %s ended %q", run.Task, run.Attempt, run.Target, run.How)
	}
	return broken, nil
}

func running(c *harness.Case) int {
	n := 0
	for _, run := range c.Fleet.RunsOf(id) {
		if run.Ended.IsZero() {
			n++
		}
	}
	return n
}

// violations counts the stops of a work unit at work while so many others of its step as may
// be unavailable were away: ended by a stop, or not running for noticeTime.
func violations(c *harness.Case) int {
	runs := c.Fleet.RunsOf(id)
	slices.SortFunc(runs, func(a, b harness.Run) int { return a.Ended.Compare(b.Ended) })
	broken := 0
	for _, stopped := range runs {
		if stopped.How != "stopped" {
			continue
		}
		away := 0
		for unit := range units {
			task := fmt.Sprintf("%s.0.0.%d", id, unit)
			if task != stopped.Task && isAway(runs, task, stopped.Ended) {
				away++
			}
		}
		if away >= maxUnavailable {
			broken++
			c.Add("AVAIL: a stop ended %s on %s at work, while %d others of its step were away; %d may be", stopped.Task, stopped.Target, away, maxUnavailable)
		}
	}
	return broken
}

// isAway reports whether a task was away at a time: its last run was ended by a stop, or
// ended otherwise more than noticeTime before.
func isAway(runs []harness.Run, task string, at time.Time) bool {
	away := true
	for _, run := range runs {
		if run.Task != task || run.Began.After(at) {
			continue
		}
		if run.Ended.IsZero() || run.Ended.After(at) {
			return false
		}
		away = run.How == "stopped" || at.Sub(run.Ended) > noticeTime
	}
	return away
}
