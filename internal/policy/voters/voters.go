// Package voters decides which members of a cluster vote. From who votes, who answers and how
// far each one is, Next returns the next single change of the member list: promotions, the
// replacement of lost voters, and changes that spread the voters over the availability zones.
// Two changes never depend on two decisions: the list that is aimed at is chosen as a whole.
//
// Load pattern: clusters of 3 to 11 durable members, checked every 100 ms. Members are lost for
// good one after the other, as soon as 4 s after the successor of the last one has started;
// others restart, lose their disks, freeze or are cut off for some seconds in between.
package voters

import (
	"cmp"
	"slices"
	"time"
)

// Member is what the leader knows of one member of the cluster.
type Member struct {
	ID string
	// Name is the same for the next identity of a member that has lost its disk.
	Name string
	// Zone is the availability zone, empty if it is not known.
	Zone string
	// Votes is set for voters. Only Durable members may vote.
	Votes, Durable bool
	Leader         bool
	// CaughtUp members hold nearly the whole log.
	CaughtUp bool
	// SilentFor is how long the member has not answered, 0 if it answers.
	SilentFor time.Duration
	// KnownFor is how long this leader has known the member.
	KnownFor time.Duration
	// Heard is set once the member has answered this leader.
	Heard bool
}

// Limits restrict the changes.
type Limits struct {
	// Most is the largest number of voters.
	Most int
	// Replaces allows to remove and demote voters. Without it, that is left to an operator.
	Replaces bool
}

// Action is a kind of change.
type Action int

// Kinds of changes of the member list.
const (
	// None leaves the list as it is.
	None Action = iota
	// Promote makes a learner a voter, Demote a voter a learner.
	Promote
	Demote
	// Remove takes a member off the list. It may come back under a new identity.
	Remove
)

var actionNames = [...]string{"none", "promote", "demote", "remove"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Change is one change of the member list.
type Change struct {
	Action Action
	Member string
	// Reason is set unless Action is None.
	Reason string
}

const (
	// LostAfter is how long a voter is silent before a learner takes its place.
	LostAfter = 6 * time.Second
	// succeededAfter replaces LostAfter if another member may be the voter's successor: it has
	// joined since, or at most overlapTime before the voter fell silent, or this leader has never
	// heard the voter and cannot tell. The next loss may come 4 s after the successor's start.
	succeededAfter = 1500 * time.Millisecond
	overlapTime    = 10 * time.Second
	// forgetAfter is how long a learner is silent before it is removed.
	forgetAfter = time.Minute
	// wanted is the number of voters below which any learner is promoted.
	wanted = 3
)

// Next returns the next change of the member list. After it, the voters that answer are a quorum
// of the new list.
func Next(members []Member, limits Limits) Change {
	c := &cluster{limits: limits}
	for _, m := range members {
		if m.Votes {
			c.voters = append(c.voters, m)
		} else if m.Durable {
			c.learners = append(c.learners, m)
		}
	}
	slices.SortFunc(c.voters, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.SilentFor, a.SilentFor), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(c.learners, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	best, bestValue := Change{}, valueOf(c.voters)
	for _, p := range c.plans() {
		if !p.legal(c.voters, limits) {
			continue
		}
		if v := valueOf(p.apply(c.voters, len(p))); v.betterThan(bestValue) {
			best, bestValue = p[0].change, v
		}
	}
	if best.Action == None && limits.Replaces {
		return c.forget()
	}
	return best
}

// cluster is the input of one decision.
type cluster struct {
	// voters are sorted by their silence, the longest first.
	voters, learners []Member
	limits           Limits
}

// step is one change and the member that it concerns.
type step struct {
	change Change
	member Member
}

// plan is one or two changes that are worth making together.
type plan []step

func promote(m Member, reason string) step { return step{Change{Promote, m.ID, reason}, m} }
func demote(m Member, reason string) step  { return step{Change{Demote, m.ID, reason}, m} }
func remove(m Member, reason string) step  { return step{Change{Remove, m.ID, reason}, m} }

// Reasons of changes.
const (
	reasonGrow     = "more voters bear more losses"
	reasonReplaces = "it takes the place of a lost voter"
	reasonLost     = "it is lost and a learner takes its place"
	reasonEven     = "it is lost, and a list of one voter fewer bears the next loss"
	reasonZones    = "the loss of any one availability zone is borne"
)

// plans returns the plans that may be carried out now, the preferred ones first.
func (c *cluster) plans() []plan {
	var plans []plan
	ready := c.ready()
	for _, lost := range c.voters {
		if !c.limits.Replaces || !c.isLost(lost) {
			continue
		}
		for _, l := range ready {
			plans = append(plans, plan{remove(lost, reasonLost), promote(l, reasonReplaces)})
		}
		if len(c.voters)%2 == 0 {
			plans = append(plans, plan{remove(lost, reasonEven)})
			continue
		}
		for _, v := range c.voters {
			if !v.Leader && v.SilentFor == 0 && len(c.voters) > wanted {
				plans = append(plans, plan{remove(lost, reasonZones), demote(v, reasonZones)})
			}
		}
	}
	if c.isUnsettled() {
		return plans
	}
	for i, l := range ready {
		if c.hasName(l.Name) {
			continue
		}
		plans = append(plans, plan{promote(l, reasonGrow)})
		for _, other := range ready[i+1:] {
			if !c.hasName(other.Name) {
				plans = append(plans, plan{promote(l, reasonGrow), promote(other, reasonGrow)})
			}
		}
	}
	if !c.limits.Replaces {
		return plans
	}
	for _, v := range c.voters {
		if v.Leader || v.SilentFor > 0 {
			continue
		}
		if len(c.voters)%2 == 0 {
			plans = append(plans, plan{demote(v, reasonZones)})
		}
		for _, l := range ready {
			if !c.hasName(l.Name) {
				plans = append(plans, plan{promote(l, reasonZones), demote(v, reasonZones)})
			}
		}
	}
	return plans
}

// ready returns the learners that may be promoted.
func (c *cluster) ready() []Member {
	var ready []Member
	for _, l := range c.learners {
		if l.SilentFor == 0 && l.Heard && l.CaughtUp {
			ready = append(ready, l)
		}
	}
	return ready
}

func (c *cluster) hasName(name string) bool {
	return slices.ContainsFunc(c.voters, func(v Member) bool { return v.Name == name })
}

// isLost reports whether a voter may be taken off the list. A learner of its name proves that
// its disk is lost, a member that has joined lately makes it likely that its VM is.
func (c *cluster) isLost(v Member) bool {
	if v.Leader {
		return false
	}
	return v.SilentFor >= LostAfter || v.SilentFor >= succeededAfter && (!v.Heard || c.mayHaveSuccessor(v)) ||
		slices.ContainsFunc(c.ready(), func(l Member) bool { return l.Name == v.Name })
}

// mayHaveSuccessor reports whether a member has joined shortly before a voter fell silent, or
// since.
func (c *cluster) mayHaveSuccessor(v Member) bool {
	return slices.ContainsFunc(slices.Concat(c.voters, c.learners), func(m Member) bool {
		return m.SilentFor == 0 && m.KnownFor < v.SilentFor+overlapTime
	})
}

// isUnsettled reports whether some voter is silent but may come back, or zones are not known
// yet: the list does not grow meanwhile.
func (c *cluster) isUnsettled() bool {
	known, unknown := false, false
	for _, v := range c.voters {
		if v.SilentFor > 0 && v.SilentFor < LostAfter {
			return true
		}
		known, unknown = known || v.Zone != "", unknown || v.Zone == ""
	}
	for _, l := range c.learners {
		known = known || l.Zone != ""
	}
	return len(c.voters) >= wanted && known && unknown
}

// forget removes a learner that has been silent for long: callers try its address.
func (c *cluster) forget() Change {
	for _, l := range c.learners {
		if l.SilentFor >= forgetAfter {
			return Change{Remove, l.ID, "it has been silent for long"}
		}
	}
	return Change{}
}

// apply returns the voters after the first n steps.
func (p plan) apply(voters []Member, n int) []Member {
	out := slices.Clone(voters)
	for _, s := range p[:n] {
		if s.change.Action == Promote {
			out = append(out, s.member)
		} else {
			out = slices.DeleteFunc(out, func(v Member) bool { return v.ID == s.member.ID })
		}
	}
	return out
}

// legal reports whether after each step the voters that answer are a quorum of the list.
func (p plan) legal(voters []Member, limits Limits) bool {
	for n := range p {
		if next := p.apply(voters, n+1); len(next) == 0 || spare(next) < 0 {
			return false
		}
	}
	return len(p.apply(voters, len(p))) <= limits.Most
}

// spare returns how many of the voters that answer may be lost before no quorum is left;
// negative if none is left now.
func spare(voters []Member) int {
	answering := 0
	for _, v := range voters {
		if v.SilentFor == 0 {
			answering++
		}
	}
	return answering - quorum(voters)
}

func quorum(voters []Member) int { return len(voters)/2 + 1 }

// bearsZone reports whether the loss of any one availability zone leaves a quorum. Voters whose
// zones are not known count as in zones of their own.
func bearsZone(voters []Member) bool {
	inZone := make(map[string]int)
	for _, v := range voters {
		if v.SilentFor == 0 && v.Zone != "" {
			inZone[v.Zone]++
		}
	}
	most := 1
	for _, n := range inZone {
		most = max(most, n)
	}
	return spare(voters) >= most
}

// value orders lists of voters by the losses that they bear.
type value struct{ copies, machine, zone, machines int }

func valueOf(voters []Member) value {
	v := value{copies: min(len(voters), wanted), machine: min(spare(voters), 1), machines: spare(voters)}
	if bearsZone(voters) {
		v.zone = 1
	}
	return v
}

func (v value) betterThan(other value) bool {
	return cmp.Or(
		cmp.Compare(v.copies, other.copies), cmp.Compare(v.machine, other.machine),
		cmp.Compare(v.zone, other.zone), cmp.Compare(v.machines, other.machines),
	) > 0
}
