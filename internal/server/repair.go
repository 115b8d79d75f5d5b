package server

import (
	"context"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire/wirepb"
)

// replaceAfter is how long a voter is unreachable before a learner at another address replaces
// it.
const replaceAfter = 6 * time.Second

// repairInterval is the wait between checks of the voters. A replacement takes two checks;
// until then, with one voter fewer than wanted, the quorum tolerates no further loss.
const repairInterval = 100 * time.Millisecond

// repairLoop keeps up the number of voters: a member that lost its disk comes back under a new
// identity and replaces its old one; a voter that stays unreachable is replaced by a learner
// that has caught up.
func (c *Core) repairLoop(ctx context.Context) {
	absentSince := make(map[string]time.Time)
	for ctx.Err() == nil {
		clock.Sleep(ctx, repairInterval)
		status, err := c.node.Status(ctx)
		if err != nil || !status.LeaderReady || !status.MembershipCommitted {
			continue
		}
		updateAbsent(absentSince, status, time.Now())
		if replaced := voterToReplace(status, absentSince, time.Now()); replaced != nil {
			if _, err := removeMember(ctx, c.node, replaced.Id); err != nil {
				event.ControlFailed.Emit(event.F("step", "remove voter "+replaced.Id), event.Err(err))
				continue
			}
			event.VoterReplaced.Emit(event.F("member", replaced.Id), event.F("peer", replaced.Address))
			continue
		}
		promoteNext(ctx, c.node)
	}
}

// updateAbsent records since when each unreachable member has not answered.
func updateAbsent(absentSince map[string]time.Time, status replica.Status, now time.Time) {
	for _, member := range status.Members {
		id := member.Member.Id
		if member.Active || member.Leader {
			delete(absentSince, id)
		} else if _, known := absentSince[id]; !known {
			absentSince[id] = now
		}
	}
}

// voterToReplace returns a voter that a caught-up learner is to replace, or nil. A learner at
// the voter's own address proves that the voter's disk is lost.
func voterToReplace(status replica.Status, absentSince map[string]time.Time, now time.Time) *wirepb.Member {
	for _, learner := range status.Members {
		if learner.Member.Role == wirepb.Role_ROLE_VOTER || !learner.Member.Durable || !learner.Active ||
			learner.MatchIndex == 0 || learner.MatchIndex+promoteLag < status.Commit {
			continue
		}
		for _, voter := range status.Members {
			if voter.Member.Role != wirepb.Role_ROLE_VOTER || voter.Leader {
				continue
			}
			since, isAbsent := absentSince[voter.Member.Id]
			if voter.Member.Name == learner.Member.Name || isAbsent && now.Sub(since) > replaceAfter {
				return voter.Member
			}
		}
	}
	return nil
}
