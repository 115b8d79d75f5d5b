// Command review-pending hands in jobs just after the target with free room has crashed
// without a trace. No work unit of them begins, so they must be counted as pending.
package main

import (
	"fmt"
	"strings"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts = 3
	settleTime  = 9 * time.Second
	// darkTime is how long the crashed target's machine is away.
	darkTime   = 7500 * time.Millisecond
	jobs       = 6
	answerTime = 10 * time.Second
	// countAfter is when a job must be counted, after it was accepted: visible_ms and 2 s.
	countAfter = harness.VisibleTime + 2*time.Second
	queryTime  = 2500 * time.Millisecond
)

func main() { harness.Main(maxAttempts, check) }

func check(c *harness.Case) (bool, error) {
	capacity := harness.Resources{CPU: 8000, MemMb: 16000}
	var last *harness.Machine
	for n := range 4 {
		m, err := c.Platform.Add(fmt.Sprintf("m-%d", n+1), harness.Service, fmt.Sprintf("zone-%d", n%3+1), []string{"a", fmt.Sprintf("rack-%d", n+1)}, capacity)
		if err != nil {
			return false, err
		}
		last = m
	}
	time.Sleep(settleTime)
	// One long work unit for each of three targets; the fourth stays free.
	long := harness.Job{Spec: "long", Phases: []harness.Phase{{Count: 3, CPU: 8000, MemMb: 1000, EstMs: 60000, AntiAffinity: 1, Work: 60 * time.Second}}}
	if err := c.Clients.Submit(c.Fleet, "00000000000000ff", long, answerTime); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	free := c.Platform.Target(last)
	busy := make(map[string]bool)
	for _, run := range c.Fleet.RunsOf("00000000000000ff") {
		busy[run.Target] = true
	}
	if len(busy) != 3 {
		return false, fmt.Errorf("the long job runs on %d targets", len(busy))
	}
	for _, m := range c.Platform.Machines() {
		if t := c.Platform.Target(m); !busy[t.ID] {
			free, last = t, m
		}
	}
	if c.Trouble {
		free.SetState(harness.Dark)
		time.AfterFunc(darkTime, func() { c.Platform.Reboot(last) })
	}
	accepted := make(map[string]time.Time)
	for n := range jobs {
		id := fmt.Sprintf("%016x", n+1)
		short := harness.Job{Spec: "short", Phases: []harness.Phase{{Count: 1, CPU: 1000, MemMb: 100, EstMs: 500, Work: 500 * time.Millisecond}}}
		if err := c.Clients.Submit(c.Fleet, id, short, answerTime); err != nil {
			return false, err
		}
		accepted[id] = time.Now()
	}
	time.Sleep(countAfter + 100*time.Millisecond)
	broken := false
	for end := time.Now().Add(queryTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		asked := time.Now()
		pending, err := c.Clients.Pending(answerTime)
		if err != nil {
			return false, err
		}
		// Counted at the time of the answer, so that a job that begins meanwhile excuses it.
		var waiting []string
		for id, at := range accepted {
			if asked.Sub(at) > countAfter && len(c.Fleet.RunsOf(id)) == 0 {
				waiting = append(waiting, id)
			}
		}
		c.Add("pending is %d; accepted over %s before and not begun: %d (%s)", pending, countAfter, len(waiting), strings.Join(waiting, " "))
		if 2*pending < len(waiting) {
			c.Add("MIXED: pending is under half of them")
			broken = true
		}
	}
	return broken, nil
}
