package server

import (
	"context"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire/wirepb"
)

// replaceAfter is how long a voter is away before a member at another address
// takes its place.
const replaceAfter = 6 * time.Second

// repairInterval spaces looks at the voters. A replacement takes two looks, and
// one voter less than wanted is a quorum that bears no loss.
const repairInterval = 100 * time.Millisecond

// repairLoop keeps the number of voters: a member whose disk was lost comes
// back under a new identity and replaces its former self; a voter that stays
// away is replaced by a learner that has caught up.
func (c *Core) repairLoop(ctx context.Context) {
	absent := make(map[string]time.Time)
	for ctx.Err() == nil {
		clock.Sleep(ctx, repairInterval)
		status, err := c.node.Status(ctx)
		if err != nil || !status.LeaderReady || !status.MembershipCommitted {
			continue
		}
		noteAbsent(absent, status, time.Now())
		if lost := lostVoter(status, absent, time.Now()); lost != nil {
			if _, err := removeMember(ctx, c.node, lost.Id); err != nil {
				event.ControlFailed.Emit(event.F("step", "remove voter "+lost.Id), event.Err(err))
				continue
			}
			event.VoterReplaced.Emit(event.F("member", lost.Id), event.F("peer", lost.Address))
			continue
		}
		promoteNext(ctx, c.node)
	}
}

// noteAbsent remembers since when each member has not answered.
func noteAbsent(absent map[string]time.Time, status replica.Status, now time.Time) {
	for _, member := range status.Members {
		id := member.Member.Id
		if member.Active || member.Leader {
			delete(absent, id)
		} else if _, known := absent[id]; !known {
			absent[id] = now
		}
	}
}

// lostVoter returns a voter that a caught-up learner is to replace, or nil. A
// learner at the voter's own address proves that the voter's disk is gone.
func lostVoter(status replica.Status, absent map[string]time.Time, now time.Time) *wirepb.Member {
	for _, learner := range status.Members {
		if learner.Member.Role == wirepb.Role_ROLE_VOTER || !learner.Member.Durable || !learner.Active ||
			learner.MatchIndex == 0 || learner.MatchIndex+promoteLag < status.Commit {
			continue
		}
		for _, voter := range status.Members {
			if voter.Member.Role != wirepb.Role_ROLE_VOTER || voter.Leader {
				continue
			}
			since, away := absent[voter.Member.Id]
			if voter.Member.Name == learner.Member.Name || away && now.Sub(since) > replaceAfter {
				return voter.Member
			}
		}
	}
	return nil
}
