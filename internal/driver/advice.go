package driver

import (
	"context"
	"slices"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
)

const (
	// adviceTargets is how many targets one call asks about: each makes the answer slower.
	adviceTargets = 30
	// adviceTimeout limits one call; the service serves its callers one after the other.
	adviceTimeout = 5 * time.Second
	// advicePause is the least time between calls for one step.
	advicePause = 500 * time.Millisecond
	// maxAdviceCalls limits the concurrent calls.
	maxAdviceCalls = 8
	// ticketMargin is how long before it expires a ticket is no longer used.
	ticketMargin = 300 * time.Millisecond
)

// Advice states which targets may run a step.
type Advice struct {
	// Tickets holds a ticket for each target that may run the step.
	Tickets map[string]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// AdviceClient asks which targets may run a step. The step is identified by a task;
// its index is ignored.
type AdviceClient interface {
	Advise(ctx context.Context, step workflow.TaskID, targets []string) (Advice, error)
}

// stepAdvice is the advice known for one step.
type stepAdvice struct {
	tickets map[incarnation]ticket
	// denied holds targets that may not run the step; that does not change.
	denied  map[string]bool
	calling bool
	asked   time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// advisedTargets returns the targets with a valid ticket for a step, and asks for advice
// if there are none.
func (d *Driver) advisedTargets(v *workflow.View, id workflow.TaskID, pool string) map[string]bool {
	step := id.FirstOfStep()
	known := d.advice[step]
	if known == nil {
		known = &stepAdvice{tickets: make(map[incarnation]ticket), denied: make(map[string]bool)}
		d.advice[step] = known
	}
	now := d.cfg.Now()
	allowed := make(map[string]bool)
	for key, t := range known.tickets {
		l := d.links[key.id]
		if l == nil || l.target.BornUnixMs != key.born || now.After(t.until.Add(-ticketMargin)) {
			delete(known.tickets, key)
			continue
		}
		if d.acceptsStarts(l) && !v.Evacuated(l.target.Zone) {
			allowed[key.id] = true
		}
	}
	if len(allowed) == 0 {
		d.askAdvice(v, step, pool, known, now)
	}
	return allowed
}

// askAdvice asks in the background about targets of the pool that were not denied yet.
func (d *Driver) askAdvice(v *workflow.View, step workflow.TaskID, pool string, known *stepAdvice, now time.Time) {
	if known.calling || now.Sub(known.asked) < advicePause || d.adviceCalls >= maxAdviceCalls || d.cfg.Advice == nil {
		return
	}
	var ask []incarnation
	targets, _ := d.planTargets(v, pool)
	for _, target := range targets {
		if l := d.links[target.ID]; l != nil && !known.denied[target.ID] {
			ask = append(ask, l.incarnation())
		}
	}
	if len(ask) == 0 {
		// Every target was denied; only new ones can be asked about.
		return
	}
	slices.SortStableFunc(ask, func(a, b incarnation) int { return len(v.PlacedOn(a.id)) - len(v.PlacedOn(b.id)) })
	ask = ask[:min(len(ask), adviceTargets)]
	ids := make([]string, len(ask))
	for i, asked := range ask {
		ids[i] = asked.id
	}
	known.calling, known.asked = true, now
	d.adviceCalls++
	d.background(func() {
		ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
		defer cancel()
		advice, err := d.cfg.Advice.Advise(ctx, step, ids)
		d.handleAdvice(step, known, ask, advice, err)
	})
}

// handleAdvice takes the tickets for the incarnations that were asked about: the next ones of
// the same targets refuse them.
func (d *Driver) handleAdvice(step workflow.TaskID, known *stepAdvice, asked []incarnation, advice Advice, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known.calling = false
	d.adviceCalls--
	if err != nil {
		event.AdviceSilent.Emit(event.F("step", step.String()), event.Err(err))
		return
	}
	event.AdviceTaken.Emit(event.F("step", step.String()), event.F("asked", len(asked)),
		event.F("granted", len(advice.Tickets)), event.F("valid", advice.ValidFor.String()))
	until := d.cfg.Now().Add(advice.ValidFor)
	for _, target := range asked {
		text, granted := advice.Tickets[target.id]
		if !granted {
			known.denied[target.id] = true
			continue
		}
		known.tickets[target] = ticket{text: text, until: until}
	}
	d.requestRound()
}

// ticketFor returns the ticket for a start on a target, if one is known.
func (d *Driver) ticketFor(id workflow.TaskID, l *link) string {
	if known := d.advice[id.FirstOfStep()]; known != nil {
		return known.tickets[l.incarnation()].text
	}
	return ""
}

// dropTicket forgets a ticket that a target refused.
func (d *Driver) dropTicket(id workflow.TaskID, l *link) {
	if known := d.advice[id.FirstOfStep()]; known != nil {
		delete(known.tickets, l.incarnation())
	}
}

// forgetAdvice drops the advice for steps of jobs that are over.
func (d *Driver) forgetAdvice(v *workflow.View) {
	for step := range d.advice {
		if job := v.Job(step.Job); job == nil || workflow.Ended(job.State) {
			delete(d.advice, step)
		}
	}
}
