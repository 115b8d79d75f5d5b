package server

import (
	"context"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/policy/voters"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire/wirepb"
)

const (
	// coreVoterInterval and daemonVoterInterval are the waits between checks of the voters. The
	// second change of a replacement follows at the next check; until then, with one voter fewer
	// than wanted, the quorum bears no further loss.
	coreVoterInterval   = 100 * time.Millisecond
	daemonVoterInterval = 500 * time.Millisecond
)

// voterKeeper carries out the changes of the member list that the policy of voters decides on,
// while its daemon leads.
type voterKeeper struct {
	node   *replica.Node
	limits voters.Limits
	// zoneOf returns the availability zone of a member.
	zoneOf func(*wirepb.Member) string
	// silentSince holds since when members have not answered, knownSince since when this leader
	// has known them, both by id.
	silentSince, knownSince map[string]time.Time
	observedAt              time.Time
}

// maxObservationGap is the time between two looks at the members after which this daemon has stood
// still itself: who was silent before may have answered since.
const maxObservationGap = 2 * time.Second

func newVoterKeeper(node *replica.Node, replaces bool, zoneOf func(*wirepb.Member) string) *voterKeeper {
	return &voterKeeper{
		node: node, limits: voters.Limits{Most: maxVoters, Replaces: replaces}, zoneOf: zoneOf,
		silentSince: make(map[string]time.Time), knownSince: make(map[string]time.Time),
	}
}

// run checks the voters at an interval until ctx ends.
func (k *voterKeeper) run(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, interval)
		status, err := k.node.Status(ctx)
		if err != nil || !status.LeaderReady {
			continue
		}
		members := k.observe(status, time.Now())
		if !status.MembershipCommitted {
			continue
		}
		change := voters.Next(members, k.limits)
		if change.Action == voters.None {
			continue
		}
		if err := k.carryOut(ctx, change, status.Membership); err != nil {
			event.ControlFailed.Emit(event.F("step", change.Action.String()+" member "+change.Member), event.F("reason", change.Reason), event.Err(err))
		}
	}
}

// observe returns the members for the policy, and records since when they are silent and known.
func (k *voterKeeper) observe(status replica.Status, now time.Time) []voters.Member {
	if now.Sub(k.observedAt) > maxObservationGap {
		clear(k.silentSince)
	}
	k.observedAt = now
	members := make([]voters.Member, 0, len(status.Members))
	listed := make(map[string]bool, len(status.Members))
	for _, m := range status.Members {
		id := m.Member.Id
		listed[id] = true
		if _, known := k.knownSince[id]; !known {
			k.knownSince[id] = now
		}
		silent := time.Duration(0)
		if m.Active || m.Leader {
			delete(k.silentSince, id)
		} else if since, known := k.silentSince[id]; known {
			silent = max(now.Sub(since), 1)
		} else {
			k.silentSince[id] = now
			silent = 1
		}
		members = append(members, voters.Member{
			ID: id, Name: m.Member.Name, Zone: k.zoneOf(m.Member), Votes: m.Member.Role == wirepb.Role_ROLE_VOTER, Durable: m.Member.Durable,
			Leader: m.Leader, CaughtUp: m.MatchIndex > 0 && m.MatchIndex+promoteLag >= status.Commit,
			SilentFor: silent, KnownFor: now.Sub(k.knownSince[id]), Heard: m.MatchIndex > 0,
		})
	}
	for id := range k.knownSince {
		if !listed[id] {
			delete(k.knownSince, id)
			delete(k.silentSince, id)
		}
	}
	return members
}

func (k *voterKeeper) carryOut(ctx context.Context, change voters.Change, list *wirepb.Membership) error {
	var err error
	switch member := replica.FindMember(list, change.Member); change.Action {
	case voters.Promote:
		_, err = promote(ctx, k.node, change.Member)
	case voters.Demote:
		err = demote(ctx, k.node, change.Member)
	case voters.Remove:
		_, err = removeMember(ctx, k.node, change.Member)
		if err == nil && member.GetRole() == wirepb.Role_ROLE_VOTER {
			event.VoterReplaced.Emit(event.F("member", member.Id), event.F("peer", member.Address),
				event.F("silent_ms", ageOf(k.silentSince, member.Id).Milliseconds()), event.F("reason", change.Reason))
		}
	}
	return err
}

// ageOf returns the time since the one held for an id, 0 if none is held.
func ageOf(since map[string]time.Time, id string) time.Duration {
	if at, ok := since[id]; ok {
		return time.Since(at)
	}
	return 0
}
