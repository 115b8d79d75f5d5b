package control

import (
	"context"
	"fmt"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

const (
	pruneInterval = 10 * time.Minute
	// pruneMargin keeps outcomes longer than ids are accepted, so that a clock
	// that is ahead never lets an id in whose outcome is forgotten.
	pruneMargin = time.Hour
	// keepJobs is how long an ended job is remembered.
	keepJobs = 7 * 24 * time.Hour
)

// pruner spaces prunes.
type pruner struct{ last time.Time }

// prune forgets old claims, operations and ended jobs. Times are counted from
// the newest committed time, not from this leader's clock.
func (m *Manager) prune(ctx context.Context) error {
	if now := m.cfg.Now(); !m.pruner.last.IsZero() && now.Sub(m.pruner.last) < pruneInterval {
		return nil
	}
	m.pruner.last = m.cfg.Now()
	now := m.cfg.Machine.NowMS()
	before := func(age time.Duration) int64 { return now - (age + pruneMargin).Milliseconds() }
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_Prune{Prune: &statepb.Prune{
		ClaimsBeforeUnixMs:     before(state.ClaimWindow),
		OperationsBeforeUnixMs: before(state.OperationWindow),
		JobsBeforeUnixMs:       before(keepJobs),
	}}})
	if err != nil {
		return fmt.Errorf("prune: %w", err)
	}
	event.StatePruned.Emit()
	return nil
}
