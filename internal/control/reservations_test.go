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

func (b *testbed) addVM(name string, capacity *statepb.Resources) {
	b.mustApply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
		Name: name, Pool: "p", Zone: "a", Rack: "r-" + name, Slots: 8, Incarnation: "i", Address: "http://" + name,
		Capacity: capacity,
	}}}})
}

func (b *testbed) submit(team string, change func(*statepb.Job)) string {
	job := &statepb.Job{
		Id: state.NewID(), Team: team, Queue: team + "-queue", Class: statepb.Class_CLASS_NORMAL,
		MaxAttempts: 3, Repeatable: true,
	}
	if change != nil {
		change(job)
	}
	b.mustApply(&statepb.Command{Body: &statepb.Command_SubmitJob{SubmitJob: &statepb.SubmitJob{Job: job}}})
	return job.Id
}

func (b *testbed) runningJob(team, vm, session string) string {
	// Ids contain their time, which is checked against the committed time.
	b.clock.wall = time.Now()
	if b.machine.VM(vm) == nil {
		b.addVM(vm, nil)
	}
	held := b.machine.ReservedUnits(session, team)
	if held > 0 {
		b.mustApply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
			Session: session, Reservations: []*statepb.Reservation{{Team: team, Units: held - 1}},
		}}})
	}
	id := b.submit(team, nil)
	b.mustApply(&statepb.Command{Body: &statepb.Command_StartAttempt{StartAttempt: &statepb.StartAttempt{
		Job: id, BaseRevision: b.machine.Job(id).Revision, Vm: vm, Session: session,
	}}})
	return id
}

func demand(team string, running, waiting, urgent uint32) *wirepb.TeamDemand {
	return &wirepb.TeamDemand{Team: team, RunningUnits: running, WaitingUnits: waiting, UrgentWaitingUnits: urgent}
}

// TestIdleTeamsCommitNothing checks that steps without a change of demand
// commit nothing.
func TestIdleTeamsCommitNothing(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	for i := range 20 {
		b.putDocument(fmt.Sprintf("team-%d", i), 10, i%2 == 0)
	}
	for _, s := range []string{"s1", "s2", "s3"} {
		b.openSession(s)
		b.renew(s)
	}
	for range 5 {
		b.runLoop(b.manager.splitReservations)
		b.runLoop(b.manager.setKeptReservations)
	}
	before := b.log.commits
	for range 20 {
		b.clock.advance(time.Second)
		for _, s := range []string{"s1", "s2", "s3"} {
			b.renew(s)
		}
		b.runLoop(b.manager.splitReservations)
		b.runLoop(b.manager.setKeptReservations)
	}
	is.Equal(b.log.commits, before)
}

// TestCommitsPerStep checks that a step commits at most one command per
// session, whatever the number of teams.
func TestCommitsPerStep(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	for i := range 340 {
		b.putDocument(fmt.Sprintf("team-%d", i), 100, false)
	}
	for i := range 7 {
		b.openSession(fmt.Sprintf("s%d", i))
		b.renew(fmt.Sprintf("s%d", i), &wirepb.TeamDemand{Team: "team-7", WaitingUnits: 20})
	}
	before := b.log.commits
	b.runLoop(b.manager.splitReservations)
	is.True(b.log.commits-before <= 7)
	is.Equal(b.machine.AllocatedUnits("team-7"), uint32(100)) // its demand is 140, its upper limit 100
	is.Equal(b.machine.AllocatedUnits("team-8"), uint32(50))  // half of an idle team's units stay with the leader
}

// TestReleaseForUrgentDemand has all units at one session and urgent demand at
// another. The leader must ask for a release at once and grant what it frees.
func TestReleaseForUrgentDemand(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	asked := make(chan *wirepb.ReleaseRequest, 8)
	b.manager.releases.askRelease = func(_ context.Context, member string, r *wirepb.ReleaseRequest) error {
		asked <- r
		return nil
	}
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	b.openSession("s2")
	b.renew("s1", demand("team", 0, 8, 0))
	b.renew("s2")
	b.runLoop(b.manager.splitReservations)
	is.Equal(b.machine.ReservedUnits("s1", "team"), uint32(8))
	b.renew("s1", demand("team", 2, 0, 0))
	b.renew("s2", demand("team", 0, 4, 4))
	b.runLoop(b.manager.splitReservations)
	release := <-asked
	is.Equal(release.Session, "s1")
	is.Equal(release.Wanted[0].Units, uint32(3)) // two run, and one is its even part of the units left
	b.mustApply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: release.Wanted,
	}}})
	b.runLoop(b.manager.splitReservations)
	is.True(b.machine.ReservedUnits("s2", "team") >= 4)
	is.True(b.machine.AllocatedUnits("team") <= 8)
}

// TestQueuedJobsGetTheirPart checks that requests leave half of a team's units
// to queued jobs, also when their own demand ends.
func TestQueuedJobsGetTheirPart(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.clock.wall = time.Now()
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	for range 20 {
		b.submit("team", nil)
	}
	b.renew("s1", demand("team", 8, 100, 0))
	b.runLoop(b.manager.splitReservations)
	is.Equal(b.machine.ReservedUnits("s1", "team"), uint32(4)) // half is left to the jobs
	b.renew("s1")
	b.runLoop(b.manager.splitReservations)
	is.True(b.machine.ReservedUnits("s1", "team") <= 4)
}

// TestKeptReservations checks that each VM gets a kept reservation of teams
// with open queues, and that it is reclaimed from a removed VM only after the
// VM's last work has certainly ended.
func TestKeptReservations(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	members := []*wirepb.Member{{Name: "n-s1"}, {Name: "n-s2"}}
	b.manager.cfg.Members = func() []*wirepb.Member { return members }
	b.addPool("p")
	b.putDocument("open", 16, true)
	b.putDocument("keyed", 16, false)
	b.openSession("s1")
	b.openSession("s2")
	b.renew("s1")
	b.renew("s2")
	b.runLoop(b.manager.setKeptReservations)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(2))
	is.Equal(b.machine.KeptUnits("n-s2", "open"), uint32(2))
	is.Equal(b.machine.KeptUnits("n-s1", "keyed"), uint32(0))

	b.expire("s1")
	b.clock.advance(reclaimAfter + time.Second)
	b.runLoop(b.manager.expireSessions)
	b.clock.advance(reclaimAfter + time.Second)
	b.runLoop(b.manager.expireSessions)
	b.runLoop(b.manager.setKeptReservations)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(2)) // cut off, not removed
	members = []*wirepb.Member{{Name: "n-s2"}}
	b.clock.advance(time.Second)
	b.runLoop(b.manager.setKeptReservations)
	b.clock.advance(reclaimAfter - time.Second)
	b.runLoop(b.manager.setKeptReservations)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(2))
	b.clock.advance(2 * time.Second)
	b.runLoop(b.manager.setKeptReservations)
	is.Equal(b.machine.KeptUnits("n-s1", "open"), uint32(0))
}

// TestDeletedDocument deletes a document while a session holds idle units. The
// session must be asked to release them, and they must count against the limit
// of a new document of the team.
func TestDeletedDocument(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	b.renew("s1")
	b.runLoop(b.manager.splitReservations)
	units := b.machine.AllocatedUnits("team")
	is.True(units > 0)
	b.mustApply(&statepb.Command{Body: &statepb.Command_DeleteDocument{DeleteDocument: &statepb.DeleteDocument{
		Team: "team", BaseRevision: b.machine.Document("team").Revision,
	}}})
	b.runLoop(b.manager.splitReservations)
	wanted := b.renew("s1").GetRenew().Wanted
	is.Equal(len(wanted), 1)
	is.Equal(wanted[0].Units, uint32(0))
	b.putDocument("team", 8, false)
	outcome := b.apply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: []*statepb.Reservation{{Team: "team", Units: 9}},
	}}})
	is.Equal(outcome.Code, statepb.Code_CODE_REFUSED)
	is.Equal(b.machine.AllocatedUnits("team"), units)
}

// TestKeptBatchRespectsLimit raises several kept reservations of one team
// beyond its limit in one command, which must be refused.
func TestKeptBatchRespectsLimit(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	b.putDocument("open", 4, true)
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
			b := newTestbed(bench)
			b.addPool("p")
			for i := range size.teams {
				b.putDocument(fmt.Sprintf("team-%d", i), 100, false)
			}
			for i := range size.sessions {
				b.openSession(fmt.Sprintf("s%d", i))
				b.renew(fmt.Sprintf("s%d", i))
			}
			b.runLoop(b.manager.splitReservations)
			bench.ResetTimer()
			for range bench.N {
				b.clock.advance(unchangedSplitInterval)
				b.runLoop(b.manager.splitReservations)
				b.runLoop(b.manager.setKeptReservations)
			}
		})
	}
}
