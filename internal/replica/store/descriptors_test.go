package store

import (
	"errors"
	"fmt"
	"math/rand"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
	"sapphirering/test/emulator/disk"
)

// TestUnsavedSnapshotKeepsLog refuses each step of saving a snapshot once. The save reports that the log
// is kept, entries that are saved afterwards survive a loss of power, and the next snapshot is saved.
// It guards against an incomplete segment that is read in place of the one that was appended to.
func TestUnsavedSnapshotKeepsLog(t *testing.T) {
	const folder = "/data"
	for _, refused := range []struct {
		op  disk.Op
		err error
	}{
		{disk.Open, syscall.EMFILE}, {disk.Write, syscall.EIO}, {disk.Sync, syscall.EIO},
		{disk.SyncFolder, syscall.EMFILE}, {disk.SyncFolder, syscall.ENFILE},
	} {
		for seed := range int64(50) {
			t.Run(fmt.Sprintf("%s/%s/%d", refused.op, refused.err, seed), func(t *testing.T) {
				is := is.New(t)
				d := disk.New()
				a, err := OpenAppendOn(d, folder)
				is.NoErr(err)
				is.NoErr(a.SetIdentity(Identity{ClusterID: "c", MemberID: "m"}))
				is.NoErr(a.Save(Batch{HardState: &wirepb.HardState{Term: 1}, Entries: []*wirepb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}))
				snapshot := Batch{Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 2, Term: 1}, State: []byte("two")}, KeepFrom: 3}
				var refuse atomic.Bool
				refuse.Store(true)
				d.Fault = func(op disk.Op, _ string) error {
					if op == refused.op && refuse.CompareAndSwap(true, false) {
						return refused.err
					}
					return nil
				}
				err = a.Save(snapshot)
				is.True(errors.Is(err, ErrSnapshotNotSaved))
				is.True(errors.Is(err, refused.err))
				is.NoErr(a.Save(Batch{Entries: []*wirepb.Entry{entry(4, 1)}}))
				if seed%2 == 0 {
					is.NoErr(a.Save(snapshot))
				}
				d.LosePower(rand.New(rand.NewSource(seed)).Intn)
				a, err = OpenAppendOn(d, folder)
				is.NoErr(err)
				loaded, err := a.Load()
				is.NoErr(err)
				is.Equal(loaded.Entries[len(loaded.Entries)-1].Index, uint64(4))
				is.Equal(seed%2 == 0, loaded.Snapshot.GetMeta().GetIndex() == 2)
			})
		}
	}
}

// TestSegmentThatCannotBeEmptiedEndsSaves guards against entries that are acknowledged while an
// incomplete newer segment may be read at the next start.
func TestSegmentThatCannotBeEmptiedEndsSaves(t *testing.T) {
	is := is.New(t)
	d := disk.New()
	a, err := OpenAppendOn(d, "/data")
	is.NoErr(err)
	d.Fault = func(op disk.Op, _ string) error {
		if op == disk.SyncFolder || op == disk.Truncate {
			return syscall.EIO
		}
		return nil
	}
	err = a.Save(Batch{Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 1, Term: 1}}})
	is.True(err != nil && !errors.Is(err, ErrSnapshotNotSaved))
	d.Fault = nil
	is.True(a.Save(Batch{Entries: []*wirepb.Entry{entry(2, 1)}}) != nil)
}

// TestReceivedSnapshotWaitsForDescriptor guards against a member that ends because it received a
// snapshot while its process had no free descriptor.
func TestReceivedSnapshotWaitsForDescriptor(t *testing.T) {
	is := is.New(t)
	d := disk.New()
	a, err := OpenAppendOn(d, "/data")
	is.NoErr(err)
	refused, reports := 0, 0
	a.OnNoDescriptors = func(error) { reports++ }
	d.Fault = func(op disk.Op, _ string) error {
		if op == disk.Open && refused < 2 {
			refused++
			return syscall.EMFILE
		}
		return nil
	}
	is.NoErr(a.Save(Batch{
		HardState: &wirepb.HardState{Term: 1}, Reset: true,
		Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 5, Term: 1}},
	}))
	is.Equal(refused, 2)
	is.Equal(reports, 1)
}
