package driver

import (
	"errors"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/silence"
)

// Kinds of calls, each with answer times of its own.
const (
	orderCall = iota
	listingCall
	callKinds
)

// callTimes holds the answer times of each kind of call.
type callTimes [callKinds]silence.Answers

const (
	// targetResendRate and targetResendBurst limit the calls sent again to one target, a
	// second and at once; resendRate and resendBurst those of the leader.
	targetResendRate, targetResendBurst = 20, 20
	resendRate, resendBurst             = 500, 500
)

var errLate = errors.New("its answer is late")

// callInProgress is a call to a target. Once its answer is late, it is sent again on another
// connection; both may take effect, and the first answer counts.
type callInProgress struct {
	link   *link
	kind   int
	sentAt time.Time
	// wait is how long the target may delay its answer on purpose.
	wait  time.Duration
	timer *time.Timer
	// lease is the length of the lease that the call grants, 0 for none.
	lease time.Duration
	// late is set once the answer is late, over once the call has ended.
	late, over bool
}

// beginCall records a call that is sent now, about a run if r is not nil. The mutex is held
// when onLate is called.
func (d *Driver) beginCall(l *link, r *run, step string, wait time.Duration, onLate func()) *callInProgress {
	c := &callInProgress{link: l, kind: orderCall, sentAt: d.cfg.Now(), wait: wait}
	if r == nil {
		c.kind = listingCall
	}
	l.open++
	bound := l.answers[c.kind].Bound(&d.answers[c.kind])
	c.timer = time.AfterFunc(wait+bound, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if c.over || d.ctx.Err() != nil || d.links[l.target.Id] != l {
			return
		}
		c.late = true
		reportLate(l, r, step, bound)
		d.noteNoAnswer(l, step, errLate)
		onLate()
	})
	return c
}

// grants records that the call grants a lease of a length.
func (c *callInProgress) grants(length time.Duration) {
	c.lease = length
	if c.link.grants == nil {
		c.link.grants = make(map[*callInProgress]struct{})
	}
	c.link.grants[c] = struct{}{}
}

// maxLossNoted limits the lost calls that are counted for a target that was suspected: it may
// have been cut off, which says nothing about the others.
const maxLossNoted = 3

// noteLoss counts the calls without an answer of a target that now answers another one: they
// were lost on the way.
func (d *Driver) noteLoss(l *link) {
	lost := l.unanswered
	if l.failures > 0 {
		lost = min(lost, maxLossNoted)
	}
	for range lost {
		d.loss.Note(true)
	}
}

func reportLate(l *link, r *run, step string, bound time.Duration) {
	fields := []event.Field{event.F("target", l.target.Id), event.F("step", step), event.F("bound", bound.Round(time.Millisecond).String())}
	if r != nil {
		fields = append(fields, event.F("task", r.task.String()), event.F("attempt", r.attempt))
	}
	event.CallLate.Emit(fields...)
}

// endCall records the end of a call.
func (d *Driver) endCall(c *callInProgress, err error) {
	c.timer.Stop()
	c.over = true
	c.link.open--
	if c.lease > 0 {
		d.noteGrantEnded(c, err)
	}
	if err != nil {
		return
	}
	d.loss.Note(false)
	if took := d.cfg.Now().Sub(c.sentAt) - c.wait; took >= 0 {
		c.link.answers[c.kind].Note(took)
		d.answers[c.kind].Note(took)
	}
}

// finishCall is endCall for a caller without the mutex, and reports whether the answer was
// late.
func (d *Driver) finishCall(c *callInProgress, err error) (late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endCall(c, err)
	return c.late
}

// mayResend takes a call from the budgets of calls that are sent again.
func (d *Driver) mayResend(l *link) bool {
	if l.failures > 0 || !d.cfg.Log.HoldsLease() {
		return false
	}
	now := d.cfg.Now()
	if l.resends.Take(now) && d.resends.Take(now) {
		return true
	}
	event.ResendsSpent.Emit(event.F("target", l.target.Id))
	return false
}
