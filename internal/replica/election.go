package replica

import (
	"sort"

	"sapphirering/internal/wire/wirepb"
)

// LeaderReady reports whether this member leads and has committed an entry of
// its own term. Before that its commit index may lag behind its predecessor's.
func (c *Core) LeaderReady() bool {
	term, ok := c.log.term(c.log.commit)
	return c.role == leader && ok && term == c.term
}

// LeaderApplied reports whether this member leads and has applied the first entry of its own term.
// All that its predecessors have acknowledged is below that entry. A committed entry is applied
// later than LeaderReady reports it, if the commit index has to be synced first.
func (c *Core) LeaderApplied() bool {
	return c.role == leader && c.log.applied >= c.firstOwn
}

func (c *Core) selfIsVoter() bool { return isVoter(FindMember(c.Membership(), c.cfg.ID)) }

func (c *Core) quorum() int { return VoterCount(c.Membership())/2 + 1 }

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeoutTicks = c.cfg.ElectionTicks + c.cfg.Rand.Intn(c.cfg.ElectionTicks)
}

// protectLease begins the time in which a leader's lease may rely on this member.
func (c *Core) protectLease() {
	if c.cfg.LeaderLease {
		c.noVoteTicks = c.cfg.ElectionTicks
	}
}

// campaignRetryTicks is the shortest pause between two campaigns of a member that has lost its
// leader. Two ticks leave time for the round trips of a campaign without syncs of the disk.
const campaignRetryTicks = 2

// campaignPause returns the pause before the next campaign. It doubles with each campaign up to an
// election timeout, so that voters with slow disks or links have time to answer.
func (c *Core) campaignPause() int {
	shortest := campaignRetryTicks
	for range c.campaigns {
		shortest = min(2*shortest, c.cfg.ElectionTicks)
	}
	return shortest + c.cfg.Rand.Intn(shortest)
}

// deferCampaign leaves time for the campaign of another member. It never brings a campaign forward.
func (c *Core) deferCampaign() {
	c.electionTimeoutTicks = max(c.electionTimeoutTicks, c.electionElapsed+c.campaignPause())
}

func (c *Core) becomeFollower(term uint64, lead string) {
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	c.role = follower
	c.leaderID = lead
	c.votes = nil
	c.progressByID = nil
	c.resetElectionTimer()
}

func (c *Core) becomeLeader() {
	c.role = leader
	c.leaderID = c.cfg.ID
	c.votes = nil
	c.progressByID = make(map[string]*progress)
	c.campaigns = 0
	c.electionElapsed = 0
	c.updatePeers()
	c.formerTerm = c.log.lastTerm()
	c.firstOwn = c.appendAsLeader(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_EMPTY})
	c.broadcastAppend()
	// The lease begins with the first round that a quorum answers.
	c.Heartbeat()
}

// checkQuorum steps down when no quorum answered within one election timeout,
// so that a leader that is partitioned from the others stops serving.
func (c *Core) checkQuorum() {
	active := 0
	for _, member := range c.Membership().GetMembers() {
		if !isVoter(member) {
			continue
		}
		if member.Id == c.cfg.ID {
			active++
			continue
		}
		if p := c.progressByID[member.Id]; p != nil && p.recentlyActive {
			active++
		}
	}
	for _, p := range c.progressByID {
		p.previouslyActive = p.recentlyActive
		p.recentlyActive = false
	}
	if active < c.quorum() {
		c.becomeFollower(c.term, "")
	}
}

// quorumValue returns the greatest value that a quorum of voters has reached.
func (c *Core) quorumValue(valueOf func(*progress) uint64, own uint64) uint64 {
	var values []uint64
	for _, member := range c.Membership().GetMembers() {
		if !isVoter(member) {
			continue
		}
		switch p := c.progressByID[member.Id]; {
		case member.Id == c.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, valueOf(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[c.quorum()-1]
}

// startPreVote asks for pre-votes. Voters that have heard from the leader a little later do not
// answer: it asks again soon.
func (c *Core) startPreVote() {
	c.role = preCandidate
	c.leaderID = ""
	c.electionElapsed = 0
	c.electionTimeoutTicks = c.campaignPause()
	c.campaigns++
	c.votes = map[string]bool{c.cfg.ID: true}
	if c.countVotes() >= c.quorum() {
		c.startVote(false)
		return
	}
	c.requestVotes(wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE, c.term+1, false)
}

func (c *Core) startVote(forced bool) {
	c.role = candidate
	c.leaderID = ""
	c.term++
	c.vote = c.cfg.ID
	c.resetElectionTimer()
	c.votes = map[string]bool{c.cfg.ID: true}
	if c.countVotes() >= c.quorum() {
		c.becomeLeader()
		return
	}
	c.requestVotes(wirepb.MessageType_MESSAGE_TYPE_VOTE, c.term, forced)
}

func (c *Core) requestVotes(kind wirepb.MessageType, term uint64, forced bool) {
	for _, member := range c.Membership().GetMembers() {
		if member.Id == c.cfg.ID || !isVoter(member) {
			continue
		}
		c.send(&wirepb.ReplicaMessage{
			Type: kind, To: member.Id, Term: term,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Forced: forced,
		})
	}
}

// countVotes counts the granted votes of voters in the current membership.
func (c *Core) countVotes() int {
	count := 0
	for id, granted := range c.votes {
		if granted && isVoter(FindMember(c.Membership(), id)) {
			count++
		}
	}
	return count
}

// handleVoteRequest answers a vote or pre-vote request. Followers that hear
// from a leader ignore both unless the vote is forced, so that a returning
// member does not depose the leader.
func (c *Core) handleVoteRequest(m *wirepb.ReplicaMessage) {
	preVote := m.Type == wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE
	leaderMayBeAlive := c.leaderID != "" && c.electionElapsed < c.cfg.ElectionTicks || c.noVoteTicks > 0
	if leaderMayBeAlive && !m.Forced || !c.cfg.Durable {
		return
	}
	answer := wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER
	if preVote {
		answer = wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER
	} else if m.Term > c.term {
		if m.Forced {
			// The leader of the term before m.Term has given up its lease to ask for this vote, and this
			// member has answered no later one.
			c.noVoteTicks = 0
		}
		c.becomeFollower(m.Term, "")
	}
	mayVote := preVote && m.Term > c.term || m.Term == c.term && (c.vote == m.From || c.vote == "" && c.leaderID == "")
	granted := mayVote && c.log.upToDate(m.Index, m.LogTerm)
	if granted && preVote && c.role == preCandidate {
		granted = c.yieldsTo(m)
	}
	if granted && preVote {
		c.deferCampaign()
	}
	if granted && !preVote {
		c.vote = m.From
		c.resetElectionTimer()
	}
	term := c.term
	if granted {
		term = m.Term
	}
	c.send(&wirepb.ReplicaMessage{Type: answer, To: m.From, Term: term, Reject: !granted})
}

// yieldsTo decides between this pre-candidate and another one whose log is at least as up-to-date:
// if both went on, they would split the votes. Of equal logs, the lower ID goes on. It returns
// whether the other one does; this member's campaign is then over.
func (c *Core) yieldsTo(m *wirepb.ReplicaMessage) bool {
	sameLog := m.LogTerm == c.log.lastTerm() && m.Index == c.log.lastIndex()
	if sameLog && m.From > c.cfg.ID {
		return false
	}
	c.role = follower
	c.votes = nil
	return true
}

func (c *Core) handlePreVoteAnswer(m *wirepb.ReplicaMessage) {
	if m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role != preCandidate || m.Term != c.term+1 && !m.Reject {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.countVotes() >= c.quorum() {
		c.startVote(false)
	}
}

func (c *Core) handleVoteAnswer(m *wirepb.ReplicaMessage) {
	if c.role != candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if m.Reject {
		// The voter has voted for another candidate or knows a newer log: the vote may be split.
		c.electionTimeoutTicks = min(c.electionTimeoutTicks, c.electionElapsed+c.campaignPause())
	}
	if c.countVotes() >= c.quorum() {
		c.becomeLeader()
	}
}

// TransferLeadership asks the most up-to-date active voter to campaign at
// once. It returns false when no such voter holds the whole log.
func (c *Core) TransferLeadership() bool {
	if c.role != leader {
		return false
	}
	best := ""
	for _, member := range c.Membership().GetMembers() {
		p := c.progressByID[member.Id]
		if !isVoter(member) || p == nil || !p.recentlyActive {
			continue
		}
		if best == "" || p.match > c.progressByID[best].match {
			best = member.Id
		}
	}
	if best == "" || c.progressByID[best].match < c.log.lastIndex() {
		return false
	}
	c.send(&wirepb.ReplicaMessage{Type: wirepb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: best})
	return true
}

// stepDownIfRemoved steps down once the membership in which this leader no
// longer votes is applied.
func (c *Core) stepDownIfRemoved() {
	last := c.memberships[len(c.memberships)-1]
	if c.role == leader && last.index <= c.log.applied && !c.selfIsVoter() {
		c.becomeFollower(c.term, "")
	}
}
