// Command review-label hands in jobs that need a label which one machine has, while that
// machine has its upkeep in a wave. A job that fits on a machine of the platform must not be
// shown as failed unless runs of it have ended as failed.
package main

import (
	"fmt"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts = 2
	// settleTime lets all targets announce themselves and the leader know them.
	settleTime = 9 * time.Second
	// submitTime covers the upkeep and the return of the machine.
	submitTime, submitInterval = 9 * time.Second, 200 * time.Millisecond
	answerTime                 = 10 * time.Second
	endTime                    = 20 * time.Second
)

func job() harness.Job {
	return harness.Job{Spec: "needs a label", Phases: []harness.Phase{
		{Count: 1, CPU: 1000, MemMb: 100, EstMs: 300, Constraints: "b", Work: 300 * time.Millisecond},
	}}
}

func main() { harness.Main(maxAttempts, check) }

func check(c *harness.Case) (bool, error) {
	for n, kind := range []string{"a", "a", "a", "b"} {
		_, err := c.Platform.Add(fmt.Sprintf("m-%d", n+1), harness.Service, fmt.Sprintf("zone-%d", n%3+1),
			[]string{kind, fmt.Sprintf("rack-%d", n%2+1)}, harness.Resources{CPU: 8000, MemMb: 16000})
		if err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	var ids []string
	submit := func() error {
		id := fmt.Sprintf("%016x", len(ids)+1)
		ids = append(ids, id)
		return c.Clients.Submit(c.Fleet, id, job(), answerTime)
	}
	if err := submit(); err != nil {
		return false, err
	}
	if state, err := finalState(c, ids[0]); err != nil || state != "complete" {
		return false, fmt.Errorf("the first job is %q before any disruption: %w", state, err)
	}
	if c.Trouble {
		c.Platform.DeclareWave(1, []string{"m-4"})
		if _, err := c.Clients.Operator("POST", "/wave-start", `{"cohort":1,"machines":["m-4"],"durationS":10,"cap":1}`, answerTime); err != nil {
			return false, err
		}
	}
	for end := time.Now().Add(submitTime); time.Now().Before(end); time.Sleep(submitInterval) {
		if err := submit(); err != nil {
			return false, err
		}
	}
	broken := false
	for _, id := range ids {
		state, err := finalState(c, id)
		if err != nil {
			return false, err
		}
		failed := 0
		for _, run := range c.Fleet.RunsOf(id) {
			if run.How == "failed" {
				failed++
			}
		}
		if state == "failed" && failed < maxAttempts {
			c.Add("LOST: job %s is shown as failed, %d of its runs ended as failed, %d are allowed", id, failed, maxAttempts)
			broken = true
		}
	}
	return broken, nil
}

// finalState waits until a job has ended and returns its state.
func finalState(c *harness.Case, id string) (string, error) {
	for end := time.Now().Add(endTime); ; time.Sleep(100 * time.Millisecond) {
		state, err := c.Clients.State(id, answerTime)
		if err != nil || state != "queued" && state != "active" || time.Now().After(end) {
			return state, err
		}
	}
}
