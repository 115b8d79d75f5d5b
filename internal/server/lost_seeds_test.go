package server

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/policy/voters"
	"sapphirering/test/linktest"
)

// addSpares adds core daemons that are no seeds, one per zone, as on users' sites that have
// grown.
func (c *coreCluster) addSpares() {
	for _, n := range c.nodes[:3] {
		settings := *n.settings
		settings.Name += "-spare"
		settings.DataFolder = filepath.Join(c.t.TempDir(), "data")
		settings.Listen = config.RoleListen{Control: linktest.FreeAddress(c.t), Peers: linktest.FreeAddress(c.t)}
		settings.Bootstrap = false
		spare := &coreNode{settings: &settings}
		c.nodes = append(c.nodes, spare)
		c.start(spare)
	}
	c.eventually("five of six vote", 10*time.Second, func() bool { return len(c.leader().voters()) == 5 })
}

// leader returns the daemon that leads, or the first one.
func (c *coreCluster) leader() *coreNode {
	for _, n := range c.nodes {
		if n.cancel != nil && n.running().node.HoldsLease() {
			return n
		}
	}
	return c.nodes[0]
}

// startAll starts the stopped daemons at the same time: one with an empty disk finishes its
// start only after it has joined.
func (c *coreCluster) startAll(within time.Duration, nodes ...*coreNode) {
	c.t.Helper()
	up := make(chan struct{}, len(nodes))
	for _, n := range nodes {
		go func() {
			c.start(n)
			up <- struct{}{}
		}()
	}
	deadline := time.After(within)
	for range nodes {
		select {
		case <-up:
		case <-deadline:
			c.t.Fatalf("not all daemons are up within %s", within)
		}
	}
}

// TestLostSeedsFindTheLeader loses one seed for so long that a spare replaces it, then stops
// all daemons as a power failure does and wipes the disks of the two other seeds. The seed
// that kept its disk is no longer a member, and no seed knows a leader. All must find the
// leader, without any loss of acknowledged changes.
func TestLostSeedsFindTheLeader(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	c.addSpares()
	is.NoErr(c.putCatalogue(c.nodes[0], 1))
	former := c.nodes[0].running().identity.MemberID
	c.nodes[0].kill()
	c.eventually("a spare votes in place of the lost seed", voters.LostAfter+10*time.Second, func() bool {
		voters := c.leader().voters()
		return len(voters) == 5 && !voters[former]
	})
	is.NoErr(c.putCatalogue(c.nodes[1], 2))
	for _, n := range c.nodes[1:] {
		n.kill()
	}
	for _, n := range c.nodes[1:3] {
		is.NoErr(os.RemoveAll(n.settings.DataFolder))
	}
	for _, n := range c.nodes {
		n.settings.Bootstrap = false
	}
	began := time.Now()
	c.startAll(maxRecoveryTime, c.nodes...)
	for _, n := range c.nodes {
		c.eventually("the version is read back", maxRecoveryTime-time.Since(began), func() bool { return c.readCatalogue(n) == "version 2" })
	}
	is.NoErr(c.putCatalogue(c.nodes[1], 3))
	c.eventually("all are members", maxRecoveryTime, func() bool {
		list := c.leader().running().membership.Load().GetMembers()
		return len(list) == 6 && len(c.leader().voters()) == 5
	})
}

// TestRemovedMemberJoinsAnew keeps a voter stopped until a spare has replaced it. It must come
// back as a new member without an operator emptying its disk.
func TestRemovedMemberJoinsAnew(t *testing.T) {
	is := is.New(t)
	c := newCoreCluster(t, 3)
	c.addSpares()
	is.NoErr(c.putCatalogue(c.nodes[0], 1))
	away := c.nodes[0]
	former := away.running().identity.MemberID
	away.kill()
	c.eventually("a spare votes in its place", voters.LostAfter+10*time.Second, func() bool {
		voters := c.leader().voters()
		return len(voters) == 5 && !voters[former]
	})
	away.settings.Bootstrap = false
	c.startAll(maxRecoveryTime, away)
	c.eventually("it is a member again", maxRecoveryTime, func() bool {
		list := c.leader().running().membership.Load().GetMembers()
		return len(list) == 6
	})
	c.eventually("it runs under a new identity", maxRecoveryTime, func() bool { return away.running().identity.MemberID != former })
	c.eventually("it reads what was accepted", maxRecoveryTime, func() bool { return c.readCatalogue(away) == "version 1" })
	is.True(away.running().identity.MemberID != former)
}
