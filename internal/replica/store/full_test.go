package store

import (
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// errFull is what a write to a full disk returns.
var errFull = fmt.Errorf("write: %w", syscall.ENOSPC)

// TestSaveWaitsWhileDiskIsFull fails the first writes with ENOSPC: the save waits,
// reports that once, and continues when there is room. Other errors end it.
func TestSaveWaitsWhileDiskIsFull(t *testing.T) {
	is := is.New(t)
	reports, tries := 0, 0
	a := &AppendLog{OnDiskFull: func(error) { reports++ }}
	is.NoErr(a.retryWhileFull(func() error {
		if tries++; tries < 3 {
			return errFull
		}
		return nil
	}))
	is.Equal(tries, 3)
	is.Equal(reports, 1)

	broken := errors.New("input/output error")
	is.Equal(a.retryWhileFull(func() error { return broken }), broken)
	is.Equal(reports, 1)
}

// TestInterruptEndsWaitForFullDisk interrupts a save that waits for a full disk.
func TestInterruptEndsWaitForFullDisk(t *testing.T) {
	is := is.New(t)
	a := new(AppendLog)
	var tries atomic.Int32
	ended := make(chan error, 1)
	go func() {
		ended <- a.retryWhileFull(func() error {
			tries.Add(1)
			return errFull
		})
	}()
	time.Sleep(2 * diskFullRetryInterval)
	a.Interrupt()
	select {
	case err := <-ended:
		is.True(errors.Is(err, syscall.ENOSPC))
		is.True(tries.Load() > 1)
	case <-time.After(20 * diskFullRetryInterval):
		t.Fatal("the save did not end")
	}
}
