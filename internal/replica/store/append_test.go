package store

import (
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

func openAppend(t testing.TB, folder string) *AppendLog {
	t.Helper()
	a, err := OpenAppend(folder)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// randomAppendBatch returns a batch that extends the log in content, or at
// random overwrites its end, compacts it, or replaces it with a received snapshot.
func randomAppendBatch(r *rand.Rand, content Loaded, term uint64) Batch {
	last, first := uint64(0), uint64(1)
	if content.Snapshot != nil {
		last = content.Snapshot.Meta.Index
	}
	if n := len(content.Entries); n > 0 {
		last, first = content.Entries[n-1].Index, content.Entries[0].Index
	}
	b := Batch{HardState: &wirepb.HardState{Term: term, Commit: last}}
	switch r.Intn(10) {
	case 0:
		b.Snapshot = &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: last, Term: term}, State: []byte("compacted")}
		b.KeepFrom = first + uint64(r.Intn(3))
		return b
	case 1:
		b.Snapshot = &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: last + 50, Term: term}, State: []byte("received")}
		b.Reset = true
		return b
	case 2:
		if n := len(content.Entries); n > 3 {
			last = content.Entries[n-3].Index
		}
	}
	for i := range uint64(r.Intn(4) + 1) {
		b.Entries = append(b.Entries, entry(last+1+i, term))
	}
	return b
}

// TestAppendLogReload compares what is read back with what was saved, over
// random saves, truncations, compactions and resets.
func TestAppendLogReload(t *testing.T) {
	is := is.New(t)
	for seed := range int64(20) {
		folder := t.TempDir()
		r := rand.New(rand.NewSource(seed))
		a := openAppend(t, folder)
		is.NoErr(a.SetIdentity(Identity{"cluster", "member"}))
		for term := range uint64(40) {
			is.NoErr(a.Save(randomAppendBatch(r, a.content, term+1)))
			if r.Intn(5) > 0 {
				continue
			}
			want, err := a.Load()
			is.NoErr(err)
			is.NoErr(a.Close())
			a = openAppend(t, folder)
			got, err := a.Load()
			is.NoErr(err)
			is.True(sameLoaded(want, got)) // the same content after a restart
			id, found, err := a.Identity()
			is.NoErr(err)
			is.True(found && id == Identity{"cluster", "member"})
		}
		is.NoErr(a.Close())
	}
}

// TestAppendLogPowerLoss damages what follows the last synced frame as a power
// loss may: overwritten at a random byte, and in half of the runs also truncated.
// The synced entries are read back, and later saves are readable too.
func TestAppendLogPowerLoss(t *testing.T) {
	is := is.New(t)
	for seed := range int64(200) {
		folder := t.TempDir()
		r := rand.New(rand.NewSource(seed))
		a := openAppend(t, folder)
		for i := range uint64(3) {
			is.NoErr(a.Save(Batch{Entries: []*wirepb.Entry{entry(i+1, 1)}}))
		}
		want, err := a.Load()
		is.NoErr(err)
		synced := a.size
		is.NoErr(a.Save(Batch{Entries: []*wirepb.Entry{entry(4, 1), entry(5, 1)}}))
		is.NoErr(a.Save(Batch{Entries: []*wirepb.Entry{entry(6, 1)}}))
		path := a.file.Name()
		is.NoErr(a.Close())
		data, err := os.ReadFile(path)
		is.NoErr(err)
		data[synced+int64(r.Intn(200))] ^= 0xff // the first unsynced frame is torn
		if r.Intn(2) == 0 {
			data = data[:synced+int64(r.Intn(len(data)-int(synced)))]
		}
		is.NoErr(os.WriteFile(path, data, 0o600))
		a = openAppend(t, folder)
		got, err := a.Load()
		is.NoErr(err)
		is.True(sameLoaded(want, got)) // exactly the synced entries
		is.NoErr(a.Save(Batch{Entries: []*wirepb.Entry{entry(4, 2)}}))
		is.NoErr(a.Close())
		a = openAppend(t, folder)
		got, err = a.Load()
		is.NoErr(err)
		is.Equal(len(got.Entries), 4)
		is.Equal(got.Entries[3].Term, uint64(2))
		is.NoErr(a.Close())
	}
}

// TestAppendLogTornNewSegment simulates a power loss while a snapshot begins a
// new segment: the old segment still exists and is read.
func TestAppendLogTornNewSegment(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	a := openAppend(t, folder)
	is.NoErr(a.Save(Batch{Entries: []*wirepb.Entry{entry(1, 1), entry(2, 1)}}))
	want, err := a.Load()
	is.NoErr(err)
	is.NoErr(a.Close())
	is.NoErr(os.WriteFile(filepath.Join(folder, "segment-00000002"), []byte{0, 0, 1, 0, 7, 7}, 0o600))
	a = openAppend(t, folder)
	got, err := a.Load()
	is.NoErr(err)
	is.True(sameLoaded(want, got))
	is.NoErr(a.Close())
}

// FuzzAppendLog opens a segment of arbitrary content: it is refused or read and
// never crashes the process.
func FuzzAppendLog(f *testing.F) {
	folder := f.TempDir()
	a := openAppend(f, folder)
	if err := a.Save(Batch{Entries: []*wirepb.Entry{entry(1, 1)}, HardState: &wirepb.HardState{Term: 1}}); err != nil {
		f.Fatal(err)
	}
	data, err := os.ReadFile(a.file.Name())
	if err != nil {
		f.Fatal(err)
	}
	a.Close()
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "segment-00000001"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		a, err := OpenAppend(folder)
		if err != nil {
			return
		}
		defer a.Close()
		if err := a.Save(Batch{HardState: &wirepb.HardState{Term: 9}}); err != nil {
			t.Fatal(err)
		}
	})
}
