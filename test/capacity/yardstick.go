package main

import (
	"crypto/sha256"
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	yardstickBytes = 8 << 20
	yardstickTries = 5
	// rusageThread is RUSAGE_THREAD of getrusage(2).
	rusageThread = 1
)

// yardstick returns the processor time of a fixed amount of work, the median of
// several tries over the window. On a shared machine the same work takes more
// processor time while other processes are busy; the costs of two windows are
// comparable only if their yardsticks are similar.
func yardstick(window time.Duration) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	data := make([]byte, yardstickBytes)
	var tries [yardstickTries]time.Duration
	for i := range tries {
		before := threadTime()
		sha256.Sum256(data)
		tries[i] = threadTime() - before
		time.Sleep(window / yardstickTries)
	}
	slices.Sort(tries[:])
	return tries[yardstickTries/2]
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
