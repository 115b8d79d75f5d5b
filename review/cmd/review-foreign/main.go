// Command review-foreign sends one ping of another writer, whose service the manifest does
// not name, for a machine that runs work. The ping names no target to use, and the others
// hold: the work must not be started a second time.
package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts = 3
	settleTime  = 9 * time.Second
	// workTime is how long each work unit works, watchTime how long starts are watched.
	workTime, watchTime = 15 * time.Second, 10 * time.Second
	answerTime          = 10 * time.Second
	id                  = "00000000000000dd"
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
	job := harness.Job{Spec: "works", Phases: []harness.Phase{{Count: 4, CPU: 2000, MemMb: 100, EstMs: workTime.Milliseconds(), Work: workTime}}}
	if err := c.Clients.Submit(c.Fleet, id, job, answerTime); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	runs := c.Fleet.RunsOf(id)
	if len(runs) != 4 {
		return false, fmt.Errorf("%d of 4 work units run before any disruption", len(runs))
	}
	if c.Trouble {
		machine := c.Fleet.Target(runs[0].Target).Machine
		body, err := json.Marshal(map[string]any{
			"service": "other-service", "addr": "127.0.0.1:9", "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready",
			"capacity": harness.Resources{CPU: 8000, MemMb: 16000}, "labels": []string{"a", "rack-1"}, "machine": machine,
			"tsMs": 1000, "seq": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return false, err
		}
		c.Add("another writer: ping for %s, service other-service", machine)
		if _, err := c.Clients.Operator("POST", "/instances/x-foreign-1/heartbeat", string(body), time.Second); err != nil {
			c.Add("another writer: %v", err)
		}
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
				c.Add("TWICE: %s runs on %s (run %d) and, since %s later, on %s (run %d)", a.Task, a.Target, a.Attempt, b.Began.Sub(a.Began).Round(time.Millisecond), b.Target, b.Attempt)
			}
		}
	}
	return n
}
