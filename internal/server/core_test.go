package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/driver"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// nullAdapter serves nothing and calls nobody.
type nullAdapter struct{}

func (nullAdapter) Callers(Requester) http.Handler       { return http.NotFoundHandler() }
func (nullAdapter) Control(Requester) http.Handler       { return http.NotFoundHandler() }
func (nullAdapter) Health(func() bool) http.Handler      { return http.NotFoundHandler() }
func (nullAdapter) Targets() driver.TargetClient         { return standin.NewStepFleet(time.Second) }
func (nullAdapter) Advice() driver.AdviceClient          { return nil }
func (nullAdapter) VMs() driver.VMClient                 { return standin.NoVMs{} }
func newNullAdapter(*config.RoleSettings) (none Adapter) { return nullAdapter{} }

// coreNode is one core daemon of a test.
type coreNode struct {
	settings *config.RoleSettings
	core     atomic.Pointer[Core]
	cancel   context.CancelFunc
	done     chan struct{}
}

// coreCluster runs core daemons in this process on loopback.
type coreCluster struct {
	t     *testing.T
	nodes []*coreNode
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newCoreCluster(t *testing.T, size int) *coreCluster {
	t.Helper()
	c := &coreCluster{t: t}
	var seeds []string
	for range size {
		seeds = append(seeds, freeAddress(t))
	}
	for i := range size {
		c.nodes = append(c.nodes, &coreNode{settings: &config.RoleSettings{
			Role: config.RoleCore, Name: fmt.Sprintf("core-%d", i), Zone: fmt.Sprintf("zone-%d", i),
			DataFolder: filepath.Join(t.TempDir(), "data"), Seeds: seeds, Bootstrap: true, TrustPeerNetwork: true,
			Listen: config.RoleListen{Control: freeAddress(t), Peers: seeds[i]},
		}})
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c
}

// start returns once the daemon is up: one with an empty disk when it has joined.
func (c *coreCluster) start(n *coreNode) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done, up := make(chan struct{}), make(chan struct{}, 2)
	n.cancel, n.done = cancel, done
	go func() {
		defer close(done)
		err := RunCore(ctx, n.settings, newNullAdapter, func(core *Core) {
			n.core.Store(core)
			up <- struct{}{}
		})
		if err != nil && ctx.Err() == nil {
			c.t.Error(err)
		}
	}()
	select {
	case <-up:
	case <-done:
	}
}

// running is the daemon as it runs now: one that joins anew is another one.
func (n *coreNode) running() *Core { return n.core.Load() }

func (n *coreNode) stop() {
	if n.cancel != nil {
		n.cancel()
		<-n.done
		n.cancel = nil
	}
}

// kill ends the daemon without a hand-over.
func (n *coreNode) kill() {
	n.running().links.Close()
	n.running().peers.Close()
	n.stop()
}

func (c *coreCluster) eventually(what string, within time.Duration, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %s", what, within)
		}
	}
}

// put submits one catalogue version through a node.
func (c *coreCluster) put(n *coreNode, version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response := n.running().gateway.Do(ctx, &workflowpb.Request{
		Operation: workflowpb.Operation_OPERATION_PUT_CATALOGUE,
		Catalogue: &workflowpb.Catalogue{Version: version, Source: fmt.Appendf(nil, "version %d", version)},
	})
	if response.Answer != workflowpb.Answer_ANSWER_OK {
		return fmt.Errorf("version %d: %s: %s", version, response.Answer, response.Reason)
	}
	return nil
}

// read returns the catalogue's source as a node tells it.
func (c *coreCluster) read(n *coreNode) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response := n.running().gateway.Do(ctx, &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_GET_CATALOGUE})
	return string(response.Source)
}

// voters returns the identities of the voters as a node knows them.
func (n *coreNode) voters() map[string]bool {
	out := make(map[string]bool)
	for _, member := range n.running().membership.Load().GetMembers() {
		if member.Role == wirepb.Role_ROLE_VOTER {
			out[member.Id] = true
		}
	}
	return out
}

// TestCoreFoundsOneCluster starts three founders one after the other: one
// cluster comes of it, and a version that one accepted is read at another.
func TestCoreFoundsOneCluster(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.put(c.nodes[0], 1))
	for _, n := range c.nodes {
		is.Equal(c.read(n), "version 1")
		is.Equal(len(n.voters()), 3)
	}
}

// TestCoreWipedVoterIsReplaced wipes a voter's disk after the log was
// compacted: it comes back as a new member and votes, so that another voter's
// disk may be lost afterwards without losing what was acknowledged.
func TestCoreWipedVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	version := uint64(1)
	for ; version < coreSnapshotEntries+50; version++ {
		is.NoErr(c.put(c.nodes[0], version))
	}
	for _, n := range []*coreNode{c.nodes[2], c.nodes[1], c.nodes[0]} {
		n.stop()
		is.NoErr(os.RemoveAll(n.settings.DataFolder))
		n.settings.Bootstrap = false
		c.start(n)
		id := n.running().identity.MemberID
		c.eventually("the wiped voter votes again", 10*time.Second, func() bool {
			voters := n.voters()
			return voters[id] && len(voters) == 3
		})
		is.NoErr(c.put(n, version))
		version++
	}
	is.Equal(c.read(c.nodes[1]), fmt.Sprintf("version %d", version-1))
}

// catchUpTarget is half of the 4 s within which the users want a restarted VM
// to count again: the other half is for the start of its process.
const catchUpTarget = 2 * time.Second

// TestCoreWipedVoterVotesSoon wipes one voter after the other: each votes again
// within the target, so that a zone lost right afterwards leaves a quorum. The
// first seed that a daemon tries must not be itself.
func TestCoreWipedVoterVotesSoon(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.put(c.nodes[0], 1))
	for _, n := range c.nodes {
		n.stop()
		is.NoErr(os.RemoveAll(n.settings.DataFolder))
		n.settings.Bootstrap = false
		c.eventually("the others have a leader", 10*time.Second, func() bool {
			for _, other := range c.nodes {
				if other != n && other.running().node.HoldsLease() {
					return true
				}
			}
			return false
		})
		began := time.Now()
		c.start(n)
		id := n.running().identity.MemberID
		c.eventually("the wiped voter votes again", catchUpTarget-time.Since(began), func() bool {
			voters := n.voters()
			return voters[id] && len(voters) == 3
		})
	}
}

// recoverTime is how long after all daemons are back the system may take to
// serve again, as the users state it.
const recoverTime = 12 * time.Second

// TestCoreAllStoppedRecovers stops all core daemons at once, right after a version
// was acknowledged, and starts them again: they serve within the time, read that
// version back, and take the next one.
func TestCoreAllStoppedRecovers(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	for version := uint64(1); version < 6; version += 2 {
		is.NoErr(c.put(c.nodes[version%3], version))
		for _, n := range c.nodes {
			n.kill()
		}
		began := time.Now()
		for _, n := range c.nodes {
			n.settings.Bootstrap = false
			c.start(n)
		}
		c.eventually("the version is read back", recoverTime, func() bool { return c.read(c.nodes[0]) == fmt.Sprintf("version %d", version) })
		is.NoErr(c.put(c.nodes[1], version+1))
		is.True(time.Since(began) < recoverTime)
	}
}

// TestLostVoter covers who is replaced and when.
func TestLostVoter(t *testing.T) {
	now := time.Now()
	member := func(id, name string, role wirepb.Role, active, leads bool) *wirepb.MemberStatus {
		return &wirepb.MemberStatus{
			Member: &wirepb.Member{Id: id, Name: name, Role: role, Durable: true}, Active: active, Leader: leads, MatchIndex: 100,
		}
	}
	base := func(extra ...*wirepb.MemberStatus) replica.Status {
		return replica.Status{Commit: 100, Members: append([]*wirepb.MemberStatus{
			member("a", "A", voter, true, true), member("b", "B", voter, true, false), member("c", "C", voter, false, false),
		}, extra...)}
	}
	for _, test := range []struct {
		name   string
		status replica.Status
		away   time.Duration
		want   string
	}{
		{"no learner", base(), time.Hour, ""},
		{"learner at the same address", base(member("c2", "C", learner, true, false)), 0, "c"},
		{"learner elsewhere, voter just away", base(member("d", "D", learner, true, false)), time.Second, ""},
		{"learner elsewhere, voter long away", base(member("d", "D", learner, true, false)), replaceAfter + time.Second, "c"},
		{"learner that does not answer", base(member("d", "D", learner, false, false)), time.Hour, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			lost := lostVoter(test.status, map[string]time.Time{"c": now.Add(-test.away)}, now)
			if lost.GetId() != test.want {
				t.Errorf("got %q, want %q", lost.GetId(), test.want)
			}
		})
	}
}
