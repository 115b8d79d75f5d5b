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

// TestFullDiskIsWaitedFor lets writes fail for want of room a few times: the save
// waits, tells of it once, and goes on when there is room. Other errors end it.
func TestFullDiskIsWaitedFor(t *testing.T) {
	is := is.New(t)
	told, tries := 0, 0
	a := &AppendLog{OnDiskFull: func(error) { told++ }}
	is.NoErr(a.whileFull(func() error {
		if tries++; tries < 3 {
			return errFull
		}
		return nil
	}))
	is.Equal(tries, 3)
	is.Equal(told, 1)

	broken := errors.New("input/output error")
	is.Equal(a.whileFull(func() error { return broken }), broken)
	is.Equal(told, 1)
}

// TestFullDiskEndsWithTheProcess interrupts a save that waits for room.
func TestFullDiskEndsWithTheProcess(t *testing.T) {
	is := is.New(t)
	a := new(AppendLog)
	var tries atomic.Int32
	ended := make(chan error, 1)
	go func() {
		ended <- a.whileFull(func() error {
			tries.Add(1)
			return errFull
		})
	}()
	time.Sleep(2 * fullPause)
	a.Interrupt()
	select {
	case err := <-ended:
		is.True(errors.Is(err, syscall.ENOSPC))
		is.True(tries.Load() > 1)
	case <-time.After(20 * fullPause):
		t.Fatal("the save did not end")
	}
}
