package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	setupTime = 25 * time.Second
	// settleTime is how long executors send pings before the first job.
	settleTime = 4 * time.Second
	cores16    = 16000
)

var main1 = route{"r-main", prefix}

// prepare starts executors and sends the first manifest.
func (r *rig) prepare(executors, maxAttempts int, routes ...route) error {
	for n := range executors {
		if _, err := r.fleet.add(n, cores16, r.cluster.control); err != nil {
			return err
		}
	}
	if !replaceManifest(r.record, r.cluster.control, manifest(1, maxAttempts, routes...), setupTime) {
		return errors.New("the first manifest was not acknowledged")
	}
	time.Sleep(settleTime)
	return nil
}

// waitFor waits until a condition on the fleet holds.
func (r *rig) waitFor(within time.Duration, holds func(*fleet) bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		r.fleet.mu.Lock()
		ok := holds(r.fleet)
		r.fleet.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// startsOf counts the starts of a job that executors have taken.
func (f *fleet) startsOf(job string) int {
	n := 0
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, job+".") {
			n++
		}
	}
	return n
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }
