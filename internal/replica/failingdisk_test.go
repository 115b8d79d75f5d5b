package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/replica/store"
	"sapphirering/test/emulator/disk"
)

// TestLeaderWithFailingDisk plays a leader whose disk refuses writes, refuses syncs, or hangs: another
// member takes over with all that was acknowledged. Refusals end the leader, with the error.
func TestLeaderWithFailingDisk(t *testing.T) {
	for _, test := range []struct {
		name string
		op   disk.Op
		hang bool
	}{{"refused write", disk.Write, false}, {"refused sync", disk.Sync, false}, {"hanging sync", disk.Sync, true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testWait)
			defer cancel()
			var failing [3]atomic.Bool
			var storages []Storage
			over := make(chan struct{})
			for i := range failing {
				d := disk.New()
				log, err := store.OpenAppendOn(d, diskFolder)
				is.NoErr(err)
				d.Fault = func(op disk.Op, _ string) error {
					switch {
					case op != test.op || !failing[i].Load():
						return nil
					case test.hang:
						<-over
						return nil
					}
					return syscall.EIO
				}
				storages = append(storages, log)
			}
			fatal := make(chan error, len(storages))
			g := startClusterWith(t, func(c *NodeConfig) { c.OnFatal = func(err error) { fatal <- err } }, storages...)
			t.Cleanup(func() { close(over) })
			leader := g.leader(t)
			_, err := leader.Propose(ctx, []byte("acknowledged"))
			is.NoErr(err)
			acknowledged := leader.Applied()
			for i, id := range []string{"n1", "n2", "n3"} {
				failing[i].Store(leader.cfg.Core.ID == id)
			}
			go leader.Propose(ctx, []byte("perhaps"))
			if !test.hang {
				is.True(errors.Is(<-fatal, syscall.EIO))
			}
			for {
				is.NoErr(ctx.Err())
				for _, other := range g.nodes {
					if other == leader {
						continue
					}
					if status, err := other.Status(ctx); err == nil && status.LeaderReady {
						is.True(other.Applied() >= acknowledged)
						_, err := other.Propose(ctx, []byte("next"))
						is.NoErr(err)
						return
					}
				}
				time.Sleep(testTick)
			}
		})
	}
}
