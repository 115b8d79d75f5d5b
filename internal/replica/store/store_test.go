package store

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

const (
	pageBytes = 4096
	// metaPages is the number of meta pages at the start of a bbolt file, which the
	// last step of a commit writes.
	metaPages = 2
)

func entry(index, term uint64) *wirepb.Entry {
	return &wirepb.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%0200d", index)}
}

func open(t testing.TB, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func load(t testing.TB, folder string) Loaded {
	t.Helper()
	s := open(t, folder)
	defer s.Close()
	loaded, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func sameLoaded(a, b Loaded) bool {
	if !proto.Equal(a.HardState, b.HardState) || !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}

// TestSave truncates the log, compacts it with entries kept from before the
// snapshot, and resets it.
func TestSave(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s := open(t, folder)
	var first []*wirepb.Entry
	for index := uint64(1); index <= 10; index++ {
		first = append(first, entry(index, 1))
	}
	is.NoErr(s.Save(Batch{HardState: &wirepb.HardState{Term: 1, Vote: "a"}, Entries: first}))
	is.NoErr(s.Save(Batch{Entries: []*wirepb.Entry{entry(8, 2)}})) // replaces 8 to 10
	snapshot := &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 7, Term: 1}, State: []byte("state")}
	is.NoErr(s.Save(Batch{Snapshot: snapshot, KeepFrom: 5}))
	is.NoErr(s.Close())
	got := load(t, folder)
	is.Equal(len(got.Entries), 4) // 5 to 8
	is.Equal(got.Entries[0].Index, uint64(5))
	is.Equal(got.Entries[3].Term, uint64(2))
	is.Equal(got.HardState.Vote, "a")
	s = open(t, folder)
	is.NoErr(s.Save(Batch{Snapshot: snapshot, Reset: true}))
	is.NoErr(s.Close())
	is.Equal(len(load(t, folder).Entries), 0)
}

// TestCrashWithinSave simulates a crash within a commit: any of the data pages
// may have reached the disk, and the meta page not at all or torn. The state
// read back is the one before the save, and the one after it only when
// everything was written.
func TestCrashWithinSave(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewSource(1))
	folder := t.TempDir()
	path := filepath.Join(folder, fileName)
	s := open(t, folder)
	index := uint64(0)
	for round := range 40 {
		before, err := os.ReadFile(path)
		is.NoErr(err)
		stateBefore, err := s.Load()
		is.NoErr(err)
		is.NoErr(s.Save(randomBatch(rng, round, &index)))
		after, err := os.ReadFile(path)
		is.NoErr(err)
		stateAfter, err := s.Load()
		is.NoErr(err)
		for range 3 {
			crashed := mixPages(rng, before, after)
			is.True(sameLoaded(loadBytes(t, crashed), stateBefore)) // unsynced pages were dropped
			tearMetaPage(rng, crashed, after)
			is.True(sameLoaded(loadBytes(t, crashed), stateBefore)) // the meta page was torn
		}
		is.True(sameLoaded(loadBytes(t, after), stateAfter)) // the save was complete
	}
	is.NoErr(s.Close())
}

func randomBatch(rng *rand.Rand, round int, index *uint64) Batch {
	term := uint64(round + 1)
	if round > 5 && rng.Intn(4) == 0 {
		keep := *index - min(*index, 3)
		return Batch{KeepFrom: keep, Snapshot: &wirepb.ReplicaSnapshot{
			Meta: &wirepb.SnapshotMeta{Index: *index, Term: term}, State: make([]byte, rng.Intn(20_000)),
		}}
	}
	from := *index + 1 - uint64(rng.Intn(int(min(*index, 3))+1))
	var batch Batch
	for *index = from; *index < from+uint64(rng.Intn(40)); *index++ {
		batch.Entries = append(batch.Entries, entry(*index, term))
	}
	batch.Entries = append(batch.Entries, entry(*index, term))
	batch.HardState = &wirepb.HardState{Term: term}
	return batch
}

// mixPages returns the old file with a random part of the new data pages.
func mixPages(rng *rand.Rand, before, after []byte) []byte {
	mixed := append([]byte(nil), before...)
	mixed = append(mixed, make([]byte, max(0, len(after)-len(before)))...)
	for page := metaPages; (page+1)*pageBytes <= len(after); page++ {
		if rng.Intn(2) == 0 {
			copy(mixed[page*pageBytes:(page+1)*pageBytes], after[page*pageBytes:])
		}
	}
	return mixed
}

// tearMetaPage writes the first bytes of the meta page that changed, and damages a byte.
func tearMetaPage(rng *rand.Rand, file, after []byte) {
	for page := range metaPages {
		from := page * pageBytes
		if string(file[from:from+pageBytes]) != string(after[from:from+pageBytes]) {
			copy(file[from:from+16+rng.Intn(48)], after[from:])
			file[from+60]++
		}
	}
}

func loadBytes(t *testing.T, file []byte) Loaded {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, fileName), file, 0o600); err != nil {
		t.Fatal(err)
	}
	return load(t, folder)
}

// TestDamagedFile opens files that were truncated or overwritten: they are refused.
func TestDamagedFile(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	var batch Batch
	for index := uint64(1); index <= 200; index++ {
		batch.Entries = append(batch.Entries, entry(index, 1))
	}
	if err := s.Save(batch); err != nil {
		t.Fatal(err)
	}
	s.Close()
	path := filepath.Join(folder, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	flip := func(at int) []byte {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0xff
		return damaged
	}
	value := len(whole)
	for i := range whole {
		if i+200 < len(whole) && string(whole[i:i+200]) == fmt.Sprintf("%0200d", 50) {
			value = i
		}
	}
	for name, file := range map[string][]byte{
		"cut to two pages":  whole[:2*pageBytes],
		"cut in the middle": whole[:len(whole)/8/pageBytes*pageBytes],
		"not a database":    []byte("this is no database, but a text that is longer than a header"),
		"zeros":             make([]byte, len(whole)),
		"flipped value":     flip(value + 20),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			is.NoErr(os.WriteFile(filepath.Join(folder, fileName), file, 0o600))
			s, err := Open(folder)
			if err == nil {
				_, err = s.Load()
				s.Close()
			}
			t.Log(err)
			is.True(errors.Is(err, ErrDamaged))
		})
	}
}

// BenchmarkSave compares one synced commit in bbolt with one append and sync
// to a plain file, alone and in groups of 64 entries of 200 bytes.
func BenchmarkSave(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("bbolt/entries=%d", size), func(b *testing.B) {
			s := open(b, b.TempDir())
			defer s.Close()
			index := uint64(1)
			for b.Loop() {
				var batch Batch
				for range size {
					batch.Entries = append(batch.Entries, entry(index, 1))
					index++
				}
				if err := s.Save(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size*b.N)/b.Elapsed().Seconds(), "entries/s")
		})
		b.Run(fmt.Sprintf("file/entries=%d", size), func(b *testing.B) {
			file, err := os.Create(filepath.Join(b.TempDir(), "log"))
			if err != nil {
				b.Fatal(err)
			}
			defer file.Close()
			index := uint64(1)
			for b.Loop() {
				var data []byte
				for range size {
					data, err = proto.MarshalOptions{}.MarshalAppend(data, entry(index, 1))
					if err != nil {
						b.Fatal(err)
					}
					index++
				}
				if _, err := file.Write(data); err != nil {
					b.Fatal(err)
				}
				if err := file.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size*b.N)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// FuzzValue decodes an arbitrary stored value: it is read or refused with
// ErrDamaged, and never crashes the process.
func FuzzValue(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte{1, 2, 3})
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 8, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := new(wirepb.Entry)
		if err := getMessage(data, m); err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatal(err)
		}
	})
}
