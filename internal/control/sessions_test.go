package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

func (b *testbed) expire(session string) {
	b.t.Helper()
	b.runLoop(b.manager.expireSessions)
	b.clock.advance(testLease + b.manager.sessions.driftMargin() + time.Millisecond)
	b.runLoop(b.manager.expireSessions)
	b.runLoop(b.manager.expireSessions)
	if b.machine.Session(session).GetExpiredUnixMs() == 0 {
		b.t.Fatalf("session %s has not expired", session)
	}
}

// TestReclaimCountsOwnClock has a new leader whose wall clock is minutes ahead
// of the one that expired the session. It must wait the full time by its own
// monotonic clock.
func TestReclaimCountsOwnClock(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.openSession("s1")
	b.expire("s1")
	b.elect()
	b.clock.wall = b.clock.wall.Add(10 * time.Minute)
	b.clock.mono = b.clock.mono.Add(time.Second)
	b.runLoop(b.manager.expireSessions)
	is.True(b.machine.Session("s1") != nil) // work of the session may still run
	b.clock.advance(reclaimAfter - time.Second)
	b.runLoop(b.manager.expireSessions)
	is.True(b.machine.Session("s1") != nil) // the new leader counts from when it first saw the session expired
	b.clock.advance(2 * time.Second)
	b.runLoop(b.manager.expireSessions)
	is.True(b.machine.Session("s1") == nil)
}

// TestRefusedReclaimDoesNotBlockOthers has one session whose reclaim is refused
// since the leader's wall clock is behind. The reclaim of the next session must
// still happen.
func TestRefusedReclaimDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	b.openSession("s2")
	b.mustApply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: []*statepb.Reservation{{Team: "team", Units: 1}},
	}}})
	b.expire("s1")
	b.clock.mono = b.clock.mono.Add(reclaimAfter + time.Second)
	is.True(b.manager.expireSessions(context.Background()) != nil)
	is.True(b.machine.Session("s1") != nil)
	is.True(b.machine.Session("s2") == nil) // it held nothing, so the wall clock does not matter
}

// TestNewGrantDoesNotFailRenewal commits a grant after the holder last applied
// the log. The renewal must succeed, since nothing older is missing.
func TestNewGrantDoesNotFailRenewal(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	applied := b.log.index
	b.mustApply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: []*statepb.Reservation{{Team: "team", Units: 1}},
	}}})
	is.Equal(b.renewAt("s1", applied).ErrorCode, wirepb.ErrorCode_ERROR_CODE_NONE)
	is.Equal(b.renewAt("s1", 0).ErrorCode, wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE) // before its own opening
}

// TestLaggingHolder has a holder that applies the log too slowly: it must have
// applied what was committed a lease ago.
func TestLaggingHolder(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.openSession("s1")
	opened := b.log.index
	b.addPool("p")
	for range 5 {
		b.manager.sessions.recordCommit(b.log.index)
		b.clock.advance(time.Second)
		is.Equal(b.renew("s1").ErrorCode, wirepb.ErrorCode_ERROR_CODE_NONE)
	}
	is.Equal(b.renewAt("s1", opened).ErrorCode, wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE)
	b.clock.advance(testLease + 2*time.Second)
	b.runLoop(b.manager.expireSessions)
	is.Equal(b.renew("s1").ErrorCode, wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED)
}

// TestNewLeaderWaitsFullPeriod elects a leader just before a session would
// expire. The leader must wait a full lease, since the previous one may have
// renewed the session just before.
func TestNewLeaderWaitsFullPeriod(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.openSession("s1")
	b.clock.advance(testLease)
	b.elect()
	b.clock.advance(testLease)
	b.runLoop(b.manager.expireSessions)
	is.Equal(b.machine.Session("s1").ExpiredUnixMs, int64(0))
	b.clock.advance(2 * testLease)
	b.runLoop(b.manager.expireSessions)
	is.True(b.machine.Session("s1").ExpiredUnixMs != 0)
}

// TestDeposedLeaderRenewsNothing checks that a leader that a quorum does not
// confirm renews no session.
func TestDeposedLeaderRenewsNothing(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.openSession("s1")
	b.renew("s1")
	b.log.deposed = true
	is.Equal(b.renew("s1").ErrorCode, wirepb.ErrorCode_ERROR_CODE_NOT_LEADER)
	b.clock.advance(10 * testLease)
	is.True(b.manager.expireSessions(context.Background()) != nil) // it cannot expire anything either
}

// TestInForceAfterLeaderChange asks a new leader about an index that the
// previous one committed. It must wait until each session has reported to it
// what it applied.
func TestInForceAfterLeaderChange(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.openSession("s1")
	b.openSession("s2")
	b.addPool("p")
	index := b.log.index
	b.renew("s1")
	b.renew("s2")
	is.True(b.manager.InForce(index).InForce)
	b.elect()
	is.True(!b.manager.InForce(index).InForce)
	b.renew("s1")
	is.True(!b.manager.InForce(index).InForce)
	b.renewAt("s2", index-1)
	is.True(!b.manager.InForce(index).InForce)
	b.renew("s2")
	is.True(b.manager.InForce(index).InForce)
	is.True(!b.manager.InForce(index + 1).InForce) // not committed as far as this leader knows
}

// TestInForceStays opens a session after a change came into force. The change
// must stay in force: the holder serves only once it has applied its opening.
func TestInForceStays(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.openSession("s1")
	b.addPool("p")
	index := b.log.index
	b.renew("s1")
	is.True(b.manager.InForce(index).InForce)
	b.openSession("s2")
	is.True(b.manager.InForce(index).InForce)
}

// TestLoweredLimitInForce checks that a lowered limit is in force only once no
// more units than that are handed out.
func TestLoweredLimitInForce(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	demand := &wirepb.TeamDemand{Team: "team", WaitingUnits: 8}
	b.renew("s1", demand)
	b.runLoop(b.manager.splitReservations)
	is.Equal(b.machine.AllocatedUnits("team"), uint32(8))
	index := b.putDocument("team", 3, false)
	b.renew("s1", demand)
	is.True(!b.manager.InForce(index).InForce)
	b.runLoop(b.manager.splitReservations)
	wanted := b.renew("s1", demand).GetRenew().Wanted
	is.Equal(len(wanted), 1)
	is.Equal(wanted[0].Units, uint32(3))
	b.mustApply(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: wanted,
	}}})
	b.renew("s1", demand)
	is.True(b.manager.InForce(index).InForce)
}

// TestCloseSession checks that closing a session returns its reservations at
// once, and is refused while an attempt runs under it.
func TestCloseSession(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	b.putDocument("team", 8, false)
	b.openSession("s1")
	b.renew("s1")
	b.runLoop(b.manager.splitReservations)
	job := b.runningJob("team", "vm-1", "s1")
	closing := &statepb.Command{Body: &statepb.Command_CloseSession{CloseSession: &statepb.CloseSession{Session: "s1"}}}
	is.Equal(b.apply(closing).Code, statepb.Code_CODE_REFUSED)
	b.mustApply(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
		Job: job, Attempt: 1, State: statepb.JobState_JOB_STATE_DONE,
	}}})
	is.Equal(b.apply(closing).Code, statepb.Code_CODE_OK)
	is.Equal(b.machine.AllocatedUnits("team"), uint32(0))
	is.Equal(b.apply(closing).Code, statepb.Code_CODE_OK) // a repeated command finds the session closed
}

// TestInForceLeaderBehind asks a leader that has not applied the index yet. It
// may not know every session that was opened before.
func TestInForceLeaderBehind(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.addPool("p")
	is.True(b.manager.InForce(b.log.index).InForce) // no session has to apply it
	is.True(!b.manager.InForce(b.log.index + 1).InForce)
}
