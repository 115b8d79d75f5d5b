package server

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/replica"
	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

func durableMember(id, name, zone string, role wirepb.Role) *wirepb.Member {
	return &wirepb.Member{Id: id, Name: name, Zone: zone, Address: id, Durable: true, Role: role}
}

const (
	voter   = wirepb.Role_ROLE_VOTER
	learner = wirepb.Role_ROLE_LEARNER
)

// TestMayPromote covers the conditions of automatic promotion.
func TestMayPromote(t *testing.T) {
	base := func() (replica.Status, *wirepb.MemberStatus) {
		candidate := durableMember("n4", "d", "c", learner)
		list := &wirepb.Membership{Members: []*wirepb.Member{
			durableMember("n1", "a", "a", voter), durableMember("n2", "b", "a", voter), durableMember("n3", "c", "b", voter), candidate,
		}}
		return replica.Status{Commit: 100, Membership: list},
			&wirepb.MemberStatus{Member: candidate, MatchIndex: 100, Active: true}
	}
	for name, c := range map[string]struct {
		change func(*replica.Status, *wirepb.MemberStatus)
		want   bool
	}{
		"caught up":                {func(*replica.Status, *wirepb.MemberStatus) {}, true},
		"a voter already":          {func(_ *replica.Status, m *wirepb.MemberStatus) { m.Member.Role = voter }, false},
		"no disk":                  {func(_ *replica.Status, m *wirepb.MemberStatus) { m.Member.Durable = false }, false},
		"silent":                   {func(_ *replica.Status, m *wirepb.MemberStatus) { m.Active = false }, false},
		"behind":                   {func(_ *replica.Status, m *wirepb.MemberStatus) { m.MatchIndex = 100 - promoteLag - 1 }, false},
		"two voters in its zone":   {func(_ *replica.Status, m *wirepb.MemberStatus) { m.Member.Zone = "a" }, false},
		"one voter in its zone":    {func(_ *replica.Status, m *wirepb.MemberStatus) { m.Member.Zone = "b" }, true},
		"a voter has its name":     {func(_ *replica.Status, m *wirepb.MemberStatus) { m.Member.Name = "a" }, false},
		"never answered, new list": {func(s *replica.Status, m *wirepb.MemberStatus) { s.Commit, m.MatchIndex = 5, 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			status, candidate := base()
			c.change(&status, candidate)
			is.New(t).Equal(mayPromote(status, candidate), c.want)
		})
	}
}

// TestCheckActiveQuorum refuses member lists if those of their voters that answer are no
// quorum.
func TestCheckActiveQuorum(t *testing.T) {
	is := is.New(t)
	list := &wirepb.Membership{Members: []*wirepb.Member{
		durableMember("n1", "a", "a", voter), durableMember("n2", "b", "a", voter), durableMember("n3", "c", "b", voter),
		durableMember("n4", "d", "c", learner),
	}}
	is.NoErr(checkActiveQuorum([]string{"n1", "n2"}, list))
	is.True(errors.Is(checkActiveQuorum([]string{"n1", "n4"}, list), errMemberRefused)) // a learner is no voter
	is.True(errors.Is(checkActiveQuorum([]string{"n1", "n2"}, replica.WithMember(replica.WithMember(list,
		durableMember("n4", "d", "c", voter)), durableMember("n5", "e", "c", voter))), errMemberRefused))
	is.NoErr(checkActiveQuorum([]string{"n1", "n2"}, replica.WithRemoved(list, "n3")))
}

// TestRemovedIdentities checks that the list of removed identities survives other changes and
// is bounded.
func TestRemovedIdentities(t *testing.T) {
	is := is.New(t)
	list := &wirepb.Membership{Members: []*wirepb.Member{durableMember("n1", "a", "a", voter), durableMember("n2", "b", "b", learner)}}
	list = withLearner(replica.WithRemoved(list, "n2"), durableMember("n3", "b", "b", learner), true)
	is.True(replica.WasRemoved(list, "n2"))
	is.True(!replica.WasRemoved(list, "n3"))
	for range 200 {
		list = replica.WithRemoved(list, "other")
	}
	is.True(len(list.Removed) < 100)
}

// TestVoteSurvivesInterruptedJoin restarts a daemon that joined and voted but had no log entry
// yet. It must keep its vote.
func TestVoteSurvivesInterruptedJoin(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	leader := &wire.Server{Listener: listener, Handler: func(_ *wirepb.Hello, stream net.Conn) {
		wire.ServeCall(stream, func(_ context.Context, r *wirepb.CallRequest) *wirepb.CallResponse {
			return &wirepb.CallResponse{Body: &wirepb.CallResponse_Join{Join: &wirepb.JoinResponse{
				ClusterId: "c", Membership: replica.WithMember(nil, r.GetJoin().GetMember()),
			}}}
		})
	}}
	go leader.Serve()
	defer leader.Close()
	st, err := store.Open(t.TempDir())
	is.NoErr(err)
	defer st.Close()
	is.NoErr(st.SetIdentity(store.Identity{ClusterID: "c", MemberID: "n1"}))
	is.NoErr(st.Save(store.Batch{HardState: &wirepb.HardState{Term: 7, Vote: "n2"}}))
	dialer := new(wire.Dialer)
	defer dialer.Close()
	settings := &config.Settings{Name: "a", Voter: true, DataFolder: "set", Seeds: []string{listener.Addr().String()}}
	from, err := loadOrJoin(context.Background(), settings, false, dialer, st)
	is.NoErr(err)
	is.Equal(from.identity.MemberID, "n1")
	is.Equal(from.loaded.HardState.GetVote(), "n2")
	is.Equal(from.loaded.HardState.GetTerm(), uint64(7))
}

// TestRefusals checks that the number of remembered refused members is bounded.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	var r refusals
	for i := range 10 * maxRefusals {
		r.report(string(rune(i + 1000)))
	}
	is.True(len(r.lastReported) <= maxRefusals)
}

// TestAdmits refuses removed members at all daemons and unknown ones at the leader.
func TestAdmits(t *testing.T) {
	is := is.New(t)
	d := &Daemon{leader: &leaderClient{self: "n1"}}
	list := replica.WithRemoved(&wirepb.Membership{Members: []*wirepb.Member{
		durableMember("n1", "a", "a", voter), durableMember("n2", "b", "b", voter), durableMember("n3", "c", "c", voter),
	}}, "n3")
	d.leader.membership.Store(list)
	is.True(d.admits("n2"))
	is.True(!d.admits("n3"))
	is.True(d.admits("n9")) // a follower's list may lag behind
	self := "n1"
	d.leader.leader.Store(&self)
	is.True(d.admits("n2"))
	is.True(!d.admits("n9"))
}
