// Command review-quorum replaces a core machine by an empty one at another address and, once
// the successor has had catchupS and more, takes the disk of another core machine. The
// deployment bears the loss of one core machine at once, so that jobs and the manifest must
// still be known afterwards.
package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"sapphirering/review/harness"
)

const (
	maxAttempts = 3
	settleTime  = 6 * time.Second
	// successorAfter is how long after the removal the successor starts, calmTime how long
	// after that the next loss comes: catchupS and 4 s.
	successorAfter, calmTime = time.Second, harness.CatchUp + 4*time.Second
	// diskLostFor is how long the machine without its disk is down.
	diskLostFor = 3 * time.Second
	// recoverTime is recoverS, finishTime finish_s.
	recoverTime, finishTime = 12 * time.Second, 14 * time.Second
	answerTime              = 10 * time.Second
	jobID                   = "00000000000000cc"
)

func main() { harness.Main(maxAttempts, check) }

func check(c *harness.Case) (bool, error) {
	_, err := c.Platform.Add("m-1", harness.Service, "zone-1", []string{"a", "rack-1"}, harness.Resources{CPU: 8000, MemMb: 16000})
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	job := harness.Job{Spec: "serves", Phases: []harness.Phase{{Count: 2, CPU: 1000, MemMb: 100, EstMs: 500, LongRunning: true}}}
	if err := c.Clients.Submit(c.Fleet, jobID, job, answerTime); err != nil {
		return false, err
	}
	if _, err := c.Clients.Operator("POST", "/config/replace", harness.Manifest(2, maxAttempts), answerTime); err != nil {
		return false, err
	}
	if c.Trouble {
		if err := disrupt(c); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverTime)
	broken := false
	if state, err := c.Clients.State(jobID, finishTime); state != "active" {
		c.Add("LOST: the accepted job is %q: %v", state, err)
		broken = true
	}
	manifest, err := c.Clients.Operator("GET", "/config/read", "", finishTime)
	if errors.Is(err, harness.ErrNoAnswer) || !strings.Contains(manifest, `"version":2,`) {
		c.Add("CONFIG: version 2 was acknowledged, read back is %.40q: %v", manifest, err)
		broken = true
	}
	return broken, nil
}

func disrupt(c *harness.Case) error {
	cores := c.Installation.Cores()
	gone, wiped := cores[2], cores[1]
	gone.Signal(syscall.SIGKILL)
	gone.Kill()
	c.Add("%s is gone for good", gone.Name)
	c.Installation.Unlist(gone)
	time.Sleep(successorAfter)
	successor := c.Installation.AddCore("core-4", "zone-3")
	if err := successor.Start(false); err != nil {
		return fmt.Errorf("successor: %w", err)
	}
	time.Sleep(calmTime)
	if _, err := c.Clients.Operator("GET", "/config/read", "", answerTime); err != nil {
		return fmt.Errorf("before the second loss: %w", err)
	}
	wiped.Kill()
	if err := wiped.LoseDisk(); err != nil {
		return err
	}
	time.Sleep(diskLostFor)
	return wiped.Start(false)
}
