package store

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sapphirering/internal/wire/wirepb"
	"sapphirering/test/emulator/disk"
)

// diskModel plays a log on an emulated disk. The log must hold what was acknowledged, and may
// hold the one change that was not; what was once read must stay, since a voter answers by it.
type diskModel struct {
	t    *rapid.T
	disk *disk.Disk
	log  *AppendLog
	// acknowledged is the state after the last acknowledged change, or that was read last;
	// attempted is the state after a change without an answer, nil if there is none.
	acknowledged diskState
	attempted    *diskState
	term         uint64
	members      int
	random       *rand.Rand
}

type diskState struct {
	identity Identity
	content  Loaded
}

const modelFolder = "/data"

// sameContent compares two logs; what precedes a snapshot may be missing.
func sameContent(a, b Loaded) bool {
	return a.HardState.GetTerm() == b.HardState.GetTerm() && a.HardState.GetVote() == b.HardState.GetVote() &&
		a.Snapshot.GetMeta().GetIndex() == b.Snapshot.GetMeta().GetIndex() &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y *wirepb.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term
		})
}

func (s diskState) same(other diskState) bool {
	return s.identity == other.identity && sameContent(s.content, other.content)
}

func (s diskState) String() string {
	return fmt.Sprintf("%v term %d snapshot %d entries %d", s.identity, s.content.HardState.GetTerm(), s.content.Snapshot.GetMeta().GetIndex(), len(s.content.Entries))
}

func (m *diskModel) state() diskState {
	loaded, err := m.log.Load()
	if err != nil {
		m.t.Fatalf("load: %v", err)
	}
	return diskState{m.log.identity, loaded}
}

// open starts the process; it may be stopped while it does.
func (m *diskModel) open() {
	log, err := OpenAppendOn(m.disk, modelFolder)
	if errors.Is(err, disk.ErrStopped) {
		m.log = nil
		return
	}
	if err != nil {
		m.t.Fatalf("open: %v", err)
	}
	m.log = log
	read := m.state()
	if !read.same(m.acknowledged) && (m.attempted == nil || !read.same(*m.attempted)) {
		m.t.Fatalf("read %v, acknowledged %v, attempted %v", read, m.acknowledged, m.attempted)
	}
	m.acknowledged, m.attempted = read, nil
}

// change makes a change that brings the log to a state.
func (m *diskModel) change(next diskState, write func() error) {
	m.attempted = &next
	err := write()
	switch {
	case err == nil:
		m.acknowledged, m.attempted = next, nil
	case errors.Is(err, disk.ErrStopped):
		m.log = nil
	case !errors.Is(err, syscall.EIO):
		m.t.Fatalf("write: %v", err)
	}
}

func (m *diskModel) save(t *rapid.T) {
	if m.log == nil || m.log.saveErr != nil {
		return
	}
	m.term++
	batch := randomAppendBatch(m.random, m.log.content, m.term)
	batch.HardState.Vote = fmt.Sprint(m.term)
	after := &AppendLog{content: m.state().content}
	after.applyBatch(batch)
	m.change(diskState{m.log.identity, after.content}, func() error { return m.log.Save(batch) })
}

// rejoin gives a removed member an empty folder and a new identity. It takes part only after
// both are done.
func (m *diskModel) rejoin(t *rapid.T) {
	if m.log == nil || m.log.saveErr != nil {
		return
	}
	m.log.Close()
	m.change(diskState{}, func() error { return Erase(m.disk, modelFolder) })
	if m.log == nil {
		return
	}
	if m.open(); m.log == nil {
		return
	}
	m.members++
	id := Identity{"cluster", fmt.Sprint("member-", m.members)}
	m.change(diskState{identity: id}, func() error { return m.log.SetIdentity(id) })
}

func (m *diskModel) end(lose bool) {
	if lose {
		m.disk.LosePower(func(n int) int { return m.random.Intn(n) })
	} else {
		m.disk.Restart()
	}
	m.open()
}

// TestAppendLogOnFailingDisk draws histories of changes, ended processes and losses of power
// after any operation, and refused operations.
func TestAppendLogOnFailingDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &diskModel{t: t, disk: disk.New(), random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "random")))}
		m.open()
		t.Repeat(map[string]func(*rapid.T){
			"save":      m.save,
			"save more": m.save,
			"rejoin":    m.rejoin,
			"lose power while rejoining": func(t *rapid.T) {
				m.disk.StopAfter(rapid.IntRange(0, 5).Draw(t, "operations"))
				m.rejoin(t)
				m.end(true)
			},
			"stop soon": func(t *rapid.T) { m.disk.StopAfter(rapid.IntRange(0, 12).Draw(t, "operations")) },
			"refuse": func(t *rapid.T) {
				refused := rapid.SampledFrom([]disk.Op{disk.Write, disk.Sync, disk.SyncFolder}).Draw(t, "op")
				m.disk.Fault = func(op disk.Op, _ string) error {
					if op == refused {
						return syscall.EIO
					}
					return nil
				}
				m.save(t)
				m.disk.Fault = nil
			},
			"restart":    func(*rapid.T) { m.end(false) },
			"lose power": func(*rapid.T) { m.end(true) },
		})
	})
}

// TestRefusedWriteEndsSaves refuses one write: no save is accepted after it, so that its member
// gives up.
func TestRefusedWriteEndsSaves(t *testing.T) {
	for _, refused := range []disk.Op{disk.Write, disk.Sync} {
		t.Run(string(refused), func(t *testing.T) {
			is := is.New(t)
			d := disk.New()
			log, err := OpenAppendOn(d, modelFolder)
			is.NoErr(err)
			batch := Batch{HardState: &wirepb.HardState{Term: 1}}
			d.Fault = func(op disk.Op, _ string) error {
				if op == refused {
					return syscall.EIO
				}
				return nil
			}
			is.True(errors.Is(log.Save(batch), syscall.EIO))
			d.Fault = nil
			is.True(errors.Is(log.Save(batch), syscall.EIO))
		})
	}
}
