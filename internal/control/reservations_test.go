package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

func (b *bench) vm(name string, capacity *statepb.Resources) {
	b.must(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
		Name: name, Pool: "p", Zone: "a", Rack: "r-" + name, Slots: 8, Incarnation: "i", Address: "http://" + name,
		Capacity: capacity,
	}}}})
}

func (b *bench) submit(team string, change func(*statepb.Job)) string {
	job := &statepb.Job{
		Id: state.NewID(), Team: team, Queue: team + "-queue", Class: statepb.Class_CLASS_NORMAL,
		MaxAttempts: 3, Repeatable: true,
	}
	if change != nil {
		change(job)
	}
	b.must(&statepb.Command{Body: &statepb.Command_SubmitJob{SubmitJob: &statepb.SubmitJob{Job: job}}})
	return job.Id
}

func (b *bench) runningJob(team, vm, session string) string {
	// Ids are checked against the committed time.
	b.clock.wall = time.Now()
	if b.machine.VM(vm) == nil {
		b.vm(vm, nil)
	}
	held := b.machine.ReservedUnits(session, team)
	if held > 0 {
		b.must(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
			Session: session, Reservations: []*statepb.Reservation{{Team: team, Units: held - 1}},
		}}})
	}
	id := b.submit(team, nil)
	b.must(&statepb.Command{Body: &statepb.Command_StartAttempt{StartAttempt: &statepb.StartAttempt{
		Job: id, BaseRevision: b.machine.Job(id).Revision, Vm: vm, Session: session,
	}}})
	return id
}

func demand(team string, running, waiting, urgent uint32) *wirepb.TeamDemand {
	return &wirepb.TeamDemand{Team: team, RunningUnits: running, WaitingUnits: waiting, UrgentWaitingUnits: urgent}
}

// TestIdleTeamsCommitNothing takes steps without any change of demand.
func TestIdleTeamsCommitNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	for i := range 20 {
		b.document(fmt.Sprintf("team-%d", i), 10, i%2 == 0)
	}
	for _, s := range []string{"s1", "s2", "s3"} {
		b.open(s)
		b.renew(s)
	}
	for range 5 {
		b.step(b.manager.splitReservations)
		b.step(b.manager.keepParts)
	}
	before := b.log.commits
	for range 20 {
		b.clock.advance(time.Second)
		for _, s := range []string{"s1", "s2", "s3"} {
			b.renew(s)
		}
		b.step(b.manager.splitReservations)
		b.step(b.manager.keepParts)
	}
	is.Equal(b.log.commits, before)
}

// TestCommitsPerStep bounds the proposals of one step by the sessions, whatever
// the number of teams.
func TestCommitsPerStep(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	for i := range 340 {
		b.document(fmt.Sprintf("team-%d", i), 100, false)
	}
	for i := range 7 {
		b.open(fmt.Sprintf("s%d", i))
		b.renew(fmt.Sprintf("s%d", i), &wirepb.TeamDemand{Team: "team-7", WaitingUnits: 20})
	}
	before := b.log.commits
	b.step(b.manager.splitReservations)
	is.True(b.log.commits-before <= 7)
	is.Equal(b.machine.AllocatedUnits("team-7"), uint32(100)) // all that its demand of 140 may have
	is.Equal(b.machine.AllocatedUnits("team-8"), uint32(50))  // half of an idle team's units stay with the leader
}

// TestDemandMoves has all units at one session and urgent demand at another:
// the leader asks for the release at once and grants what it frees.
func TestDemandMoves(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	asked := make(chan *wirepb.ReleaseRequest, 8)
	b.manager.asked.askMember = func(_ context.Context, member string, r *wirepb.ReleaseRequest) error {
		asked <- r
		return nil
	}
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	b.open("s2")
	b.renew("s1", demand("team", 0, 8, 0))
	b.renew("s2")
	b.step(b.manager.splitReservations)
	is.Equal(b.machine.ReservedUnits("s1", "team"), uint32(8))
	b.renew("s1", demand("team", 2, 0, 0))
	b.renew("s2", demand("team", 0, 4, 4))
	b.step(b.manager.splitReservations)
	release := <-asked
	is.Equal(release.Session, "s1")
	is.Equal(release.Wanted[0].Units, uint32(3)) // two run, one is its even part of what is left
	b.must(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: release.Wanted,
	}}})
	b.step(b.manager.splitReservations)
	is.True(b.machine.ReservedUnits("s2", "team") >= 4)
	is.True(b.machine.AllocatedUnits("team") <= 8)
}

// TestQueuedJobsGetTheirPart floods a team with requests while jobs are queued,
// and the other way round.
func TestQueuedJobsGetTheirPart(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.clock.wall = time.Now()
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	for range 20 {
		b.submit("team", nil)
	}
	b.renew("s1", demand("team", 8, 100, 0))
	b.step(b.manager.splitReservations)
	is.Equal(b.machine.ReservedUnits("s1", "team"), uint32(4)) // half is left to the jobs
	b.renew("s1")
	b.step(b.manager.splitReservations)
	is.True(b.machine.ReservedUnits("s1", "team") <= 4)
}

// TestKeptParts hands each VM a part of teams with open queues and takes it
// back from a VM that was removed, after its last work is surely over.
func TestKeptParts(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	members := []*wirepb.Member{{Name: "n-s1"}, {Name: "n-s2"}}
	b.manager.cfg.Members = func() []*wirepb.Member { return members }
	b.pool("p")
	b.document("open", 16, true)
	b.document("keyed", 16, false)
	b.open("s1")
	b.open("s2")
	b.renew("s1")
	b.renew("s2")
	b.step(b.manager.keepParts)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(2))
	is.Equal(b.machine.KeptUnits("n-s2", "open"), uint32(2))
	is.Equal(b.machine.KeptUnits("n-s1", "keyed"), uint32(0))

	b.expire("s1")
	b.clock.advance(reclaimAfter + time.Second)
	b.step(b.manager.expireSessions)
	b.clock.advance(reclaimAfter + time.Second)
	b.step(b.manager.expireSessions)
	b.step(b.manager.keepParts)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(2)) // cut off, not removed
	members = []*wirepb.Member{{Name: "n-s2"}}
	b.clock.advance(time.Second)
	b.step(b.manager.keepParts)
	b.clock.advance(reclaimAfter - time.Second)
	b.step(b.manager.keepParts)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(2))
	b.clock.advance(2 * time.Second)
	b.step(b.manager.keepParts)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(0))
}

// TestDeletedDocument deletes a document while sessions hold idle units: they
// are asked back, and a new document of the team starts below them.
func TestDeletedDocument(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	b.renew("s1")
	b.step(b.manager.splitReservations)
	units := b.machine.AllocatedUnits("team")
	is.True(units > 0)
	b.must(&statepb.Command{Body: &statepb.Command_DeleteDocument{DeleteDocument: &statepb.DeleteDocument{
		Team: "team", BaseRevision: b.machine.Document("team").Revision,
	}}})
	b.step(b.manager.splitReservations)
	wanted := b.renew("s1").GetRenew().Wanted
	is.Equal(len(wanted), 1)
	is.Equal(wanted[0].Units, uint32(0))
	b.document("team", 8, false)
	outcome := b.apply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: []*statepb.Reservation{{Team: "team", Units: 9}},
	}}})
	is.Equal(outcome.Code, statepb.Code_CODE_REFUSED)
	is.Equal(b.machine.AllocatedUnits("team"), units)
}

// TestKeptBatchRespectsLimit raises several kept parts of one team in one command.
func TestKeptBatchRespectsLimit(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	b.document("open", 4, true)
	outcome := b.apply(&statepb.Command{Body: &statepb.Command_SetKeptReservations{
		SetKeptReservations: &statepb.SetKeptReservations{Kept: []*statepb.KeptReservation{
			{MemberName: "a", Team: "open", Units: 3}, {MemberName: "b", Team: "open", Units: 3},
		}},
	}})
	is.Equal(outcome.Code, statepb.Code_CODE_REFUSED)
	is.Equal(b.machine.AllocatedUnits("open"), uint32(0))
}

func BenchmarkSplitReservations(bench *testing.B) {
	for _, size := range []struct{ teams, sessions int }{{5, 8}, {340, 7}} {
		bench.Run(fmt.Sprintf("teams=%d", size.teams), func(bench *testing.B) {
			b := newBench(bench)
			b.pool("p")
			for i := range size.teams {
				b.document(fmt.Sprintf("team-%d", i), 100, false)
			}
			for i := range size.sessions {
				b.open(fmt.Sprintf("s%d", i))
				b.renew(fmt.Sprintf("s%d", i))
			}
			b.step(b.manager.splitReservations)
			bench.ResetTimer()
			for range bench.N {
				b.clock.advance(idleSplitAfter)
				b.step(b.manager.splitReservations)
				b.step(b.manager.keepParts)
			}
		})
	}
}
