package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

func (b *bench) expire(session string) {
	b.t.Helper()
	b.step(b.manager.expireSessions)
	b.clock.advance(testLease + b.manager.sessions.drift() + time.Millisecond)
	b.step(b.manager.expireSessions)
	b.step(b.manager.expireSessions)
	if b.machine.Session(session).GetExpiredUnixMs() == 0 {
		b.t.Fatalf("session %s has not expired", session)
	}
}

// TestReclaimNeedsOwnClock has a leader whose wall clock runs minutes ahead of
// the one that expired the session: it must wait the full time itself.
func TestReclaimNeedsOwnClock(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.open("s1")
	b.expire("s1")
	b.elect()
	b.clock.wall = b.clock.wall.Add(10 * time.Minute)
	b.clock.mono = b.clock.mono.Add(time.Second)
	b.step(b.manager.expireSessions)
	is.True(b.machine.Session("s1") != nil) // work of the session may still run
	b.clock.advance(reclaimAfter - time.Second)
	b.step(b.manager.expireSessions)
	is.True(b.machine.Session("s1") != nil) // the new leader counts from its own first sight
	b.clock.advance(2 * time.Second)
	b.step(b.manager.expireSessions)
	is.True(b.machine.Session("s1") == nil)
}

// TestReclaimRefusedHoldsUpNone has one session whose reclaim is refused, since
// the leader's wall clock lags, before one that is due.
func TestReclaimRefusedHoldsUpNone(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	b.open("s2")
	b.must(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: []*statepb.Reservation{{Team: "team", Units: 1}},
	}}})
	b.expire("s1")
	b.clock.mono = b.clock.mono.Add(reclaimAfter + time.Second)
	is.True(b.manager.expireSessions(context.Background()) != nil)
	is.True(b.machine.Session("s1") != nil)
	is.True(b.machine.Session("s2") == nil) // held nothing, so its wall clock time does not matter
}

// TestGrantDoesNotLag has a grant committed after the holder last followed the
// log: the renewal must be granted, since nothing older is missing.
func TestGrantDoesNotLag(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	applied := b.log.index
	b.must(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: []*statepb.Reservation{{Team: "team", Units: 1}},
	}}})
	is.Equal(b.renewAt("s1", applied).ErrorCode, wirepb.ErrorCode_ERROR_CODE_NONE)
	is.Equal(b.renewAt("s1", 0).ErrorCode, wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE) // before its own opening
}

// TestLaggingHolder follows too slowly: what was committed a lease ago must be applied.
func TestLaggingHolder(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.open("s1")
	opened := b.log.index
	b.pool("p")
	for range 5 {
		b.manager.sessions.noteCommit(b.log.index)
		b.clock.advance(time.Second)
		is.Equal(b.renew("s1").ErrorCode, wirepb.ErrorCode_ERROR_CODE_NONE)
	}
	is.Equal(b.renewAt("s1", opened).ErrorCode, wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE)
	b.clock.advance(testLease + 2*time.Second)
	b.step(b.manager.expireSessions)
	is.Equal(b.renew("s1").ErrorCode, wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED)
}

// TestNewLeaderWaitsFullPeriod elects a leader just before a session is due:
// the former leader may have renewed it a moment ago.
func TestNewLeaderWaitsFullPeriod(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.open("s1")
	b.clock.advance(testLease)
	b.elect()
	b.clock.advance(testLease)
	b.step(b.manager.expireSessions)
	is.Equal(b.machine.Session("s1").ExpiredUnixMs, int64(0))
	b.clock.advance(2 * testLease)
	b.step(b.manager.expireSessions)
	is.True(b.machine.Session("s1").ExpiredUnixMs != 0)
}

// TestDeposedLeaderRenewsNothing answers no renewal once a quorum denies the leadership.
func TestDeposedLeaderRenewsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.open("s1")
	b.renew("s1")
	b.log.deposed = true
	is.Equal(b.renew("s1").ErrorCode, wirepb.ErrorCode_ERROR_CODE_NOT_LEADER)
	b.clock.advance(10 * testLease)
	is.True(b.manager.expireSessions(context.Background()) != nil) // it cannot expire anything either
}

// TestInForceAfterLeaderChange asks a new leader about an index that the former
// one committed: it waits until each session told the new leader what it applied.
func TestInForceAfterLeaderChange(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.open("s1")
	b.open("s2")
	b.pool("p")
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

// TestInForceStays opens a session after a change came into force: the holder
// serves only once it has applied its opening, so nothing reverts.
func TestInForceStays(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.open("s1")
	b.pool("p")
	index := b.log.index
	b.renew("s1")
	is.True(b.manager.InForce(index).InForce)
	b.open("s2")
	is.True(b.manager.InForce(index).InForce)
}

// TestLoweredLimitInForce waits until no more than the new limit is handed out.
func TestLoweredLimitInForce(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	demand := &wirepb.TeamDemand{Team: "team", WaitingUnits: 8}
	b.renew("s1", demand)
	b.step(b.manager.splitReservations)
	is.Equal(b.machine.AllocatedUnits("team"), uint32(8))
	index := b.document("team", 3, false)
	b.renew("s1", demand)
	is.True(!b.manager.InForce(index).InForce)
	b.step(b.manager.splitReservations)
	wanted := b.renew("s1", demand).GetRenew().Wanted
	is.Equal(len(wanted), 1)
	is.Equal(wanted[0].Units, uint32(3))
	b.must(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: "s1", Reservations: wanted,
	}}})
	b.renew("s1", demand)
	is.True(b.manager.InForce(index).InForce)
}

// TestCloseSession gives reservations back without any wait, but not under a
// running attempt.
func TestCloseSession(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	b.document("team", 8, false)
	b.open("s1")
	b.renew("s1")
	b.step(b.manager.splitReservations)
	job := b.runningJob("team", "vm-1", "s1")
	closing := &statepb.Command{Body: &statepb.Command_CloseSession{CloseSession: &statepb.CloseSession{Session: "s1"}}}
	is.Equal(b.apply(closing).Code, statepb.Code_CODE_REFUSED)
	b.must(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
		Job: job, Attempt: 1, State: statepb.JobState_JOB_STATE_DONE,
	}}})
	is.Equal(b.apply(closing).Code, statepb.Code_CODE_OK)
	is.Equal(b.machine.AllocatedUnits("team"), uint32(0))
	is.Equal(b.apply(closing).Code, statepb.Code_CODE_OK) // a resend finds it closed
}

// TestInForceLeaderBehind asks a leader that has not applied the index yet: it
// may not know every session that was opened before.
func TestInForceLeaderBehind(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pool("p")
	is.True(b.manager.InForce(b.log.index).InForce) // no session has to apply it
	is.True(!b.manager.InForce(b.log.index + 1).InForce)
}
