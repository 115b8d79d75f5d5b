// Command review-grants cuts a target off for some seconds just after a call that renews its
// lease has reached it. The call is carried out late, and its time counts from then. The work
// of the target must not be started a second time while it runs on.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts = 3
	targets     = 9
	settleTime  = 9 * time.Second
	workTime    = 25 * time.Second
	// lateBy is how late the call is carried out, cutTime how long the target is cut off.
	lateBy, cutTime = 5 * time.Second, 8 * time.Second
	watchTime       = 13 * time.Second
	answerTime      = 10 * time.Second
	id              = "00000000000000ee"
)

func main() { harness.Main(maxAttempts, check) }

func check(c *harness.Case) (bool, error) {
	for n := range targets {
		_, err := c.Platform.Add(fmt.Sprintf("m-%d", n+1), harness.Service, fmt.Sprintf("zone-%d", n%3+1),
			[]string{"a", fmt.Sprintf("rack-%d", n%3+1)}, harness.Resources{CPU: 8000, MemMb: 16000})
		if err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	job := harness.Job{Spec: "works", Phases: []harness.Phase{{Count: 2, CPU: 2000, MemMb: 100, EstMs: workTime.Milliseconds(), Work: workTime}}}
	if err := c.Clients.Submit(c.Fleet, id, job, answerTime); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	runs := c.Fleet.RunsOf(id)
	if len(runs) != 2 {
		return false, fmt.Errorf("%d of 2 work units run before any disruption", len(runs))
	}
	target := c.Fleet.Target(runs[0].Target)
	late := lateBy
	if os.Getenv("LATE") == "0" {
		// The cut alone.
		late = time.Hour
	}
	if c.Trouble {
		target.CutWithLateGrant(late, func() {
			time.AfterFunc(cutTime, func() { target.SetState(harness.Sound) })
		})
	}
	time.Sleep(watchTime)
	return overlaps(c) > 0, nil
}

// overlaps counts the starts of a work unit while another run of it was at work.
func overlaps(c *harness.Case) int {
	runs := c.Fleet.RunsOf(id)
	n := 0
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task == b.Task && (a.Ended.IsZero() || a.Ended.After(b.Began)) && strings.HasPrefix(a.Task, id) {
				n++
				until := "now"
				if !a.Ended.IsZero() {
					until = a.Ended.Sub(b.Began).Round(time.Millisecond).String() + " later"
				}
				c.Add("TWICE: %s starts on %s (run %d) while it runs on %s (run %d) until %s", a.Task, b.Target, b.Attempt, a.Target, a.Attempt, until)
			}
		}
	}
	return n
}
