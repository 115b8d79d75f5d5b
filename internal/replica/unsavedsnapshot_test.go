package replica

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/replica/store"
	"sapphirering/test/emulator/disk"
)

// TestSnapshotWithoutDescriptors guards against members that end because a snapshot could not be saved
// while all file descriptors were in use: they go on, and take it again once there are some.
func TestSnapshotWithoutDescriptors(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	var exhausted atomic.Bool
	var segments, reports atomic.Int32
	var storages []Storage
	for range 3 {
		d := disk.New()
		log, err := store.OpenAppendOn(d, diskFolder)
		is.NoErr(err)
		d.Fault = func(op disk.Op, _ string) error {
			if op != disk.Open {
				return nil
			}
			if exhausted.Load() {
				return syscall.EMFILE
			}
			segments.Add(1)
			return nil
		}
		storages = append(storages, log)
	}
	g := startClusterWith(t, func(c *NodeConfig) {
		c.SnapshotEntries, c.SnapshotTail = 10, 5
		c.OnSnapshotNotSaved = func(error) { reports.Add(1) }
	}, storages...)
	exhausted.Store(true)
	leader := g.leader(t)
	for range 30 {
		_, err := leader.Propose(ctx, []byte("entry"))
		is.NoErr(err)
	}
	is.True(reports.Load() > 0)
	is.Equal(segments.Load(), int32(0))
	exhausted.Store(false)
	for segments.Load() < 3 {
		is.NoErr(ctx.Err())
		_, err := leader.Propose(ctx, []byte("entry"))
		is.NoErr(err)
		time.Sleep(testTick)
	}
}
