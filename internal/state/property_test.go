package state

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirering/internal/state/statepb"
)

const (
	historyStartMS = 1_700_000_000_000
	historySteps   = 120
)

// history draws random commands that use few names, so that they often conflict.
type history struct {
	t       *rapid.T
	machine *Machine
	index   uint64
	nowMS   int64
	ids     []string
}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, machine: New(), nowMS: historyStartMS}
	for i := range 6 {
		h.ids = append(h.ids, idAt(historyStartMS, byte(i)))
	}
	return h
}

// idAt makes a UUIDv7 of the given time.
func idAt(ms int64, n byte) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, n
	return u.String()
}

func (h *history) pick(label string, values ...string) string {
	return rapid.SampledFrom(values).Draw(h.t, label)
}

func (h *history) team() string    { return h.pick("team", "kita", "minami") }
func (h *history) session() string { return h.pick("session", "s1", "s2", "s3") }
func (h *history) id() string      { return rapid.SampledFrom(h.ids).Draw(h.t, "id") }

func (h *history) units(label string) uint32 {
	return rapid.Uint32Range(0, 6).Draw(h.t, label)
}

func (h *history) apply(command *statepb.Command) *statepb.Outcome {
	h.index++
	h.nowMS += rapid.Int64Range(0, 40_000).Draw(h.t, "pause")
	command.TimeUnixMs = h.nowMS
	data, err := proto.Marshal(command)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.machine.Apply(h.index, data).(*statepb.Outcome)
}

// setUp creates pools, documents and VMs.
func (h *history) setUp() {
	for _, pool := range []string{"p1", "p2"} {
		h.apply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: pool}}}})
	}
	for _, team := range []string{"kita", "minami"} {
		h.applyDocument(team, 5)
	}
	for i := range 4 {
		h.apply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
			Name: fmt.Sprintf("vm%d", i), Pool: "p1", Zone: "a", Slots: 4,
		}}}})
	}
}

func (h *history) applyDocument(team string, limit uint32) *statepb.Outcome {
	return h.apply(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		BaseRevision: h.machine.Document(team).GetRevision(),
		Document: &statepb.TeamDocument{
			Team: team, ShareWeight: 1, UpperLimitUnits: limit,
			Queues: []*statepb.Queue{{
				Name: team, Pool: "p1", Class: statepb.Class_CLASS_NORMAL, MaxQueued: 1, MaxDeadlineMs: 1000,
			}},
		},
	}}})
}

// step applies one random command about documents, sessions, reservations or jobs.
func (h *history) step() {
	switch rapid.IntRange(0, 10).Draw(h.t, "command") {
	case 0:
		h.applyDocument(h.team(), rapid.Uint32Range(1, 8).Draw(h.t, "limit"))
	case 1:
		h.apply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
			Session: &statepb.Session{Id: h.session(), Member: "m", Zone: "a"},
		}}})
	case 2:
		h.apply(&statepb.Command{Body: &statepb.Command_ExpireSession{ExpireSession: &statepb.ExpireSession{Session: h.session()}}})
	case 3:
		h.apply(&statepb.Command{Body: &statepb.Command_ReclaimSession{ReclaimSession: &statepb.ReclaimSession{Session: h.session()}}})
	case 4:
		h.apply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
			Session: h.session(), Reservations: []*statepb.Reservation{{Team: h.team(), Units: h.units("reserved")}},
		}}})
	case 5:
		h.apply(&statepb.Command{Body: &statepb.Command_SetKeptReservations{SetKeptReservations: &statepb.SetKeptReservations{
			Kept: []*statepb.KeptReservation{{MemberName: h.pick("member", "e1", "e2"), Team: h.team(), Units: h.units("kept")}},
		}}})
	default:
		h.jobStep()
	}
}

func (h *history) jobStep() {
	id := h.id()
	switch rapid.IntRange(0, 3).Draw(h.t, "job command") {
	case 0:
		team := h.team()
		h.apply(&statepb.Command{Body: &statepb.Command_SubmitJob{SubmitJob: &statepb.SubmitJob{Job: &statepb.Job{
			Id: id, Team: team, Queue: team, MaxAttempts: 3, Repeatable: true,
		}}}})
	case 1:
		h.apply(&statepb.Command{Body: &statepb.Command_StartAttempt{StartAttempt: &statepb.StartAttempt{
			Job: id, BaseRevision: h.machine.Job(id).GetRevision(), Vm: "vm0", Session: h.session(),
		}}})
	case 2:
		state := rapid.SampledFrom([]statepb.JobState{
			statepb.JobState_JOB_STATE_QUEUED, statepb.JobState_JOB_STATE_DONE, statepb.JobState_JOB_STATE_PARKED,
		}).Draw(h.t, "end")
		h.apply(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
			Job: id, Attempt: uint32(len(h.machine.Job(id).GetAttempts())), State: state,
		}}})
	case 3:
		h.apply(&statepb.Command{Body: &statepb.Command_CancelJobs{CancelJobs: &statepb.CancelJobs{Jobs: []string{id}}}})
	}
}

// TestAllocatedUnitsNeverRiseAboveLimit applies random histories of two teams,
// three sessions and six jobs. The allocated units may stay above a lowered limit,
// but they never rise to a value above the limit.
func TestAllocatedUnitsNeverRiseAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.setUp()
		for range historySteps {
			before := map[string]uint32{"kita": h.machine.AllocatedUnits("kita"), "minami": h.machine.AllocatedUnits("minami")}
			h.step()
			for team, earlier := range before {
				now, limit := h.machine.AllocatedUnits(team), h.machine.Document(team).GetUpperLimitUnits()
				if now > earlier && now > limit {
					t.Fatalf("index %d: team %s: allocated units rose from %d to %d, limit %d", h.index, team, earlier, now, limit)
				}
			}
		}
	})
}

// TestRunningJobsCountIsDerived compares the count of running jobs with the jobs.
func TestRunningJobsCountIsDerived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.setUp()
		for range historySteps {
			h.step()
		}
		counted := map[string]uint32{}
		for _, job := range h.machine.Jobs() {
			if CurrentAttempt(job) != nil {
				counted[job.Team]++
			}
		}
		for _, team := range []string{"kita", "minami"} {
			if got := h.machine.RunningJobs(team); got != counted[team] {
				t.Fatalf("team %s: running count is %d, running jobs %d", team, got, counted[team])
			}
		}
	})
}

// TestSnapshotEqualsReplay restores a snapshot from the middle of a history and
// replays the rest: the final snapshot equals that of the full history byte for byte.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.setUp()
		cut := rapid.IntRange(0, historySteps).Draw(t, "cut")
		for range cut {
			h.step()
		}
		middle, err := h.machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(middle); err != nil {
			t.Fatal(err)
		}
		twin := &history{t: t, machine: restored, index: h.index, nowMS: h.nowMS, ids: h.ids}
		for range 20 {
			twin.replay(h)
		}
		left, _ := h.machine.Snapshot()
		right, _ := restored.Snapshot()
		if !bytes.Equal(left, right) {
			t.Fatal("the restored replica differs after the same commands")
		}
	})
}

// replay draws a command on original and applies the same bytes to both machines.
func (h *history) replay(original *history) {
	original.index++
	original.nowMS += 1_000
	command := &statepb.Command{
		TimeUnixMs: original.nowMS, OperationId: original.id(),
		Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
			Session:      original.session(),
			Reservations: []*statepb.Reservation{{Team: original.team(), Units: original.units("reserved")}},
		}},
	}
	data, err := proto.Marshal(command)
	if err != nil {
		h.t.Fatal(err)
	}
	first := original.machine.Apply(original.index, data).(*statepb.Outcome)
	second := h.machine.Apply(original.index, data).(*statepb.Outcome)
	if !proto.Equal(first, second) {
		h.t.Fatalf("outcomes differ: %v and %v", first, second)
	}
}

// TestResendGetsFirstOutcome resends a document change after later changes: it returns
// the first outcome and changes nothing.
func TestResendGetsFirstOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.setUp()
		base := h.machine.Document("kita").GetRevision()
		change := func(limit uint32, operation string) *statepb.Command {
			return &statepb.Command{OperationId: operation, Body: &statepb.Command_ApplyDocument{
				ApplyDocument: &statepb.ApplyDocument{BaseRevision: base, Document: &statepb.TeamDocument{
					Team: "kita", ShareWeight: 1, UpperLimitUnits: limit,
				}},
			}}
		}
		first := h.apply(change(3, h.ids[0]))
		second := h.apply(change(4, h.ids[1]))
		if first.Code != statepb.Code_CODE_OK || second.Code != statepb.Code_CODE_CONFLICT || second.Revision != first.Revision {
			t.Fatalf("two changes based on the same revision: %v and %v", first, second)
		}
		for range 5 {
			h.step()
		}
		current := h.machine.Document("kita").GetRevision()
		again := h.apply(change(3, h.ids[0]))
		if !proto.Equal(again, first) || h.machine.Document("kita").GetRevision() != current {
			t.Fatalf("resend: got %v, first %v, revision %d to %d", again, first, current, h.machine.Document("kita").GetRevision())
		}
		if reused := h.apply(change(5, h.ids[0])); reused.Code != statepb.Code_CODE_INVALID {
			t.Fatalf("operation id used for another command: %v", reused)
		}
	})
}

// FuzzApply applies arbitrary bytes as a command and checks that the machine neither
// panics nor differs from a second one.
func FuzzApply(f *testing.F) {
	h := sha256.Sum256([]byte("seed"))
	f.Add(h[:])
	seed, _ := proto.Marshal(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: "p"}}}})
	f.Add(seed)
	empty, _ := proto.Marshal(&statepb.Command{Body: &statepb.Command_DeclareWave{}})
	f.Add(empty)
	f.Fuzz(func(t *testing.T, data []byte) {
		one, two := New(), New()
		for index := uint64(1); index < 3; index++ {
			first, second := one.Apply(index, data).(*statepb.Outcome), two.Apply(index, data).(*statepb.Outcome)
			if !proto.Equal(first, second) {
				t.Fatalf("outcomes differ: %v and %v", first, second)
			}
		}
	})
}

// FuzzRestore restores arbitrary bytes as a snapshot: it must return an error or
// leave a state that can be stored.
func FuzzRestore(f *testing.F) {
	empty, _ := New().Snapshot()
	f.Add(empty)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if m.Restore(data) != nil {
			return
		}
		if _, err := m.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
