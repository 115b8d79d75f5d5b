package server

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/driver"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/linktest"
	"sapphirering/test/standin"
)

// nullAdapter serves no requests and calls no services.
type nullAdapter struct{}

func (nullAdapter) Callers(Requester) http.Handler       { return http.NotFoundHandler() }
func (nullAdapter) Control(Requester) http.Handler       { return http.NotFoundHandler() }
func (nullAdapter) Health(func() bool) http.Handler      { return http.NotFoundHandler() }
func (nullAdapter) Targets() driver.TargetClient         { return standin.NewStepFleet(time.Second) }
func (nullAdapter) Advice() driver.AdviceClient          { return nil }
func (nullAdapter) VMs() driver.VMClient                 { return standin.NoVMs{} }
func newNullAdapter(*config.RoleSettings) (none Adapter) { return nullAdapter{} }

// coreNode is one core daemon of a test cluster.
type coreNode struct {
	settings *config.RoleSettings
	core     atomic.Pointer[Core]
	cancel   context.CancelFunc
	done     chan struct{}
}

// coreCluster runs core daemons in the test process on loopback addresses.
type coreCluster struct {
	t     *testing.T
	nodes []*coreNode
}

func newCoreCluster(t *testing.T, size int) *coreCluster {
	t.Helper()
	return newCoreClusterWith(t, size, func(*config.RoleSettings) {})
}

// newCoreClusterWith is newCoreCluster with changes to the settings of every daemon.
func newCoreClusterWith(t *testing.T, size int, change func(*config.RoleSettings)) *coreCluster {
	t.Helper()
	c := &coreCluster{t: t}
	var seeds []string
	for range size {
		seeds = append(seeds, linktest.FreeAddress(t))
	}
	for i := range size {
		c.nodes = append(c.nodes, &coreNode{settings: &config.RoleSettings{
			Role: config.RoleCore, Name: fmt.Sprintf("core-%d", i), Zone: fmt.Sprintf("zone-%d", i),
			DataFolder: filepath.Join(t.TempDir(), "data"), Seeds: seeds, Bootstrap: true, TrustPeerNetwork: true,
			Listen: config.RoleListen{Control: linktest.FreeAddress(t), Peers: seeds[i]},
		}})
	}
	for _, n := range c.nodes {
		change(n.settings)
		c.start(n)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c
}

// start returns once the daemon has started; one with an empty disk has joined by then.
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

// running returns the current Core: a daemon that joins again gets a new one.
func (n *coreNode) running() *Core { return n.core.Load() }

func (n *coreNode) stop() {
	if n.cancel != nil {
		n.cancel()
		<-n.done
		n.cancel = nil
	}
}

// kill ends the daemon without handing over the leadership.
func (n *coreNode) kill() {
	n.running().peerServer.Close()
	n.running().peers.Close()
	n.stop()
}

func (c *coreCluster) eventually(what string, within time.Duration, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %s", what, within)
		}
	}
}

// putCatalogue submits one version of the catalogue through a node.
func (c *coreCluster) putCatalogue(n *coreNode, version uint64) error {
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

// readCatalogue returns the catalogue's source as read through a node.
func (c *coreCluster) readCatalogue(n *coreNode) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response := n.running().gateway.Do(ctx, &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_GET_CATALOGUE})
	return string(response.Source)
}

// voters returns the ids of the voters in the node's member list.
func (n *coreNode) voters() map[string]bool {
	out := make(map[string]bool)
	for _, member := range n.running().membership.Load().GetMembers() {
		if member.Role == wirepb.Role_ROLE_VOTER {
			out[member.Id] = true
		}
	}
	return out
}

// TestCoreFoundsOneCluster starts three founders one after the other. They must form one
// cluster, in which a version that one accepted is read at the others.
func TestCoreFoundsOneCluster(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.putCatalogue(c.nodes[0], 1))
	for _, n := range c.nodes {
		is.Equal(c.readCatalogue(n), "version 1")
		is.Equal(len(n.voters()), 3)
	}
}

// TestCoreWipedVoterIsReplaced wipes a voter's disk after the log was compacted. The voter
// must come back as a new member and vote, so that another voter's disk can be lost afterwards
// without losing acknowledged changes.
func TestCoreWipedVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	version := uint64(1)
	for ; version < coreSnapshotEntries+50; version++ {
		is.NoErr(c.putCatalogue(c.nodes[0], version))
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
		is.NoErr(c.putCatalogue(n, version))
		version++
	}
	is.Equal(c.readCatalogue(c.nodes[1]), fmt.Sprintf("version %d", version-1))
}

// maxCatchUpTime is half of the 4 s that users allow a restarted VM until it counts again; the
// other half is for the start of its process.
const maxCatchUpTime = 2 * time.Second

// TestCoreWipedVoterVotesSoon wipes one voter after the other. Each must vote again within
// maxCatchUpTime, so that a quorum is left if a zone is lost right afterwards. For that, the
// first seed that a daemon tries must not be itself.
func TestCoreWipedVoterVotesSoon(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.putCatalogue(c.nodes[0], 1))
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
		c.eventually("the wiped voter votes again", maxCatchUpTime-time.Since(began), func() bool {
			voters := n.voters()
			return voters[id] && len(voters) == 3
		})
	}
}

// maxRecoveryTime is how long the system may take to serve again after all daemons are
// started, as required by users.
const maxRecoveryTime = 12 * time.Second

// TestCoreAllStoppedRecovers stops all core daemons at once, right after a version was
// acknowledged, and starts them again. Within maxRecoveryTime they must return that version
// and accept the next one.
func TestCoreAllStoppedRecovers(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	for version := uint64(1); version < 6; version += 2 {
		is.NoErr(c.putCatalogue(c.nodes[version%3], version))
		for _, n := range c.nodes {
			n.kill()
		}
		began := time.Now()
		for _, n := range c.nodes {
			n.settings.Bootstrap = false
			c.start(n)
		}
		c.eventually("the version is read back", maxRecoveryTime, func() bool { return c.readCatalogue(c.nodes[0]) == fmt.Sprintf("version %d", version) })
		is.NoErr(c.putCatalogue(c.nodes[1], version+1))
		is.True(time.Since(began) < maxRecoveryTime)
	}
}

// successorDelay is how long after the loss of a VM its successor starts, catchUpTime how long
// after that the next loss may come, as users state it.
const successorDelay, catchUpTime = time.Second, 4 * time.Second

// TestCoreReplacedInSeries replaces all core daemons by empty ones at other addresses, each as
// soon as the loss of the last one no longer counts. A lost daemon that stays a voter makes the
// next loss the end of the quorum.
func TestCoreReplacedInSeries(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	is.NoErr(c.putCatalogue(c.nodes[0], 1))
	for i := range 3 {
		gone := c.nodes[0]
		gone.kill()
		settings := *gone.settings
		settings.Name = fmt.Sprintf("core-%d", 3+i)
		settings.DataFolder = filepath.Join(t.TempDir(), "data")
		settings.Listen = config.RoleListen{Control: linktest.FreeAddress(t), Peers: linktest.FreeAddress(t)}
		settings.Bootstrap = false
		if i > 0 {
			// The seeds of the settings are those of the first list, all of whom may be gone.
			settings.Seeds = []string{c.nodes[1].settings.Listen.Peers}
		}
		c.nodes = append(c.nodes[1:], &coreNode{settings: &settings})
		time.Sleep(successorDelay)
		began := time.Now()
		c.startAll(catchUpTime, c.nodes[2])
		time.Sleep(catchUpTime - time.Since(began))
		is.Equal(c.readCatalogue(c.nodes[0]), fmt.Sprintf("version %d", i+1))
		is.NoErr(c.putCatalogue(c.nodes[1], uint64(i+2)))
	}
	for _, n := range c.nodes {
		c.eventually("the last version is read", maxRecoveryTime, func() bool { return c.readCatalogue(n) == "version 4" })
	}
}
