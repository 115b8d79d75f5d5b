// Command review-gang runs a gang of which two members start on a target that fails all that
// it starts. One run of the gang has failed then, and the job has another attempt left.
package main

import (
	"fmt"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts = 2
	targets     = 12
	// members leaves one target free, so that the gang can run without the failing one.
	members    = 2 * (targets - 1)
	settleTime = 9 * time.Second
	// greyTime is how long the target fails what it starts.
	greyTime   = 6500 * time.Millisecond
	answerTime = 10 * time.Second
	endTime    = 30 * time.Second
	id         = "00000000000000aa"
)

func main() { harness.Main(maxAttempts, check) }

func check(c *harness.Case) (bool, error) {
	var first *harness.Machine
	for n := range targets {
		m, err := c.Platform.Add(fmt.Sprintf("m-%02d", n+1), harness.Service, fmt.Sprintf("zone-%d", n%3+1),
			[]string{"a", fmt.Sprintf("rack-%d", n%4+1)}, harness.Resources{CPU: 4000, MemMb: 16000})
		if err != nil {
			return false, err
		}
		if n == 0 {
			first = m
		}
	}
	time.Sleep(settleTime)
	if c.Trouble {
		grey := c.Platform.Target(first)
		grey.SetState(harness.Failing)
		time.AfterFunc(greyTime, func() { grey.SetState(harness.Sound) })
	}
	job := harness.Job{Spec: "a gang", Phases: []harness.Phase{
		{Count: members, CPU: 2000, MemMb: 100, EstMs: 500, Gang: true, Work: 500 * time.Millisecond},
	}}
	if err := c.Clients.Submit(c.Fleet, id, job, answerTime); err != nil {
		return false, err
	}
	state := ""
	for end := time.Now().Add(endTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var err error
		if state, err = c.Clients.State(id, answerTime); err != nil {
			return false, err
		}
		if state != "queued" && state != "active" {
			break
		}
	}
	if state != "failed" {
		c.Add("the job is %s", state)
		return false, nil
	}
	// The end of the job may be shown before the last ends of its runs are.
	time.Sleep(time.Second)
	failedRuns, failedOfTask := make(map[uint32]int), make(map[string]int)
	most := 0
	for _, run := range c.Fleet.RunsOf(id) {
		if run.How == "failed" {
			failedRuns[run.Attempt]++
			failedOfTask[run.Task]++
			most = max(most, failedOfTask[run.Task])
		}
	}
	c.Add("the job is shown as failed: runs of the gang with failed members %v, most failed runs of one work unit %d, maxAttempts %d", failedRuns, most, maxAttempts)
	return len(failedRuns) < maxAttempts && most < maxAttempts, nil
}
