package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
)

var fiveVoters = []string{"a", "a", "b", "b", "c"}

func startFiveVoters(t *testing.T, cuttable bool) *cluster {
	c := startCluster(t, fiveVoters, cuttable)
	c.waitVoters(c.nodes[0], len(fiveVoters))
	return c
}

const (
	changeTeams    = 5
	changesPerTeam = 100
	leaderKills    = 4
	changeInterval = 40 * time.Millisecond
)

// revisionObserver records the highest revision of each document that one node has
// shown, and each time a lower one was shown.
type revisionObserver struct {
	seen        map[string]uint64
	regressions []string
}

func (o *revisionObserver) observe(c *cluster, n *node) {
	for team := range changeTeams {
		name := fmt.Sprintf("team-%d", team)
		var doc operator.DocumentView
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := c.operateOnce(ctx, n, http.MethodGet, "/v1/documents/"+name, "", nil, &doc)
		cancel()
		if err != nil || status != http.StatusOK || doc.Document == nil {
			continue
		}
		if doc.Document.Revision < o.seen[name] {
			o.regressions = append(o.regressions, fmt.Sprintf("%s showed %s at revision %d after %d", n.name, name, doc.Document.Revision, o.seen[name]))
		}
		o.seen[name] = max(doc.Document.Revision, o.seen[name])
	}
}

// TestReplicaChangesWhileLeadersAreKilled applies 500 changes through all entry
// VMs while leaders are killed and restarted: no acknowledged change is lost, and
// no node shows a lower revision than before.
func TestReplicaChangesWhileLeadersAreKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startFiveVoters(t, false)
	done := make(chan struct{})
	var writers, watchers sync.WaitGroup
	observers := make([]*revisionObserver, len(c.nodes))
	for i, n := range c.nodes {
		observers[i] = &revisionObserver{seen: make(map[string]uint64)}
		watchers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(pollInterval):
					observers[i].observe(c, n)
				}
			}
		})
	}
	acknowledged := make([]uint64, changeTeams)
	for team := range changeTeams {
		writers.Go(func() { acknowledged[team] = c.writeDocuments(team) })
	}
	for range leaderKills {
		time.Sleep(700 * time.Millisecond)
		leader := c.leader(c.nodes[0])
		leader.kill()
		time.Sleep(300 * time.Millisecond)
		leader.start(false)
		leader.waitReady()
	}
	writers.Wait()
	close(done)
	watchers.Wait()
	for _, o := range observers {
		for _, regression := range o.regressions {
			t.Error(regression)
		}
	}
	for team, revision := range acknowledged {
		is.True(revision > 0)
		for _, n := range c.nodes {
			eventually(t, inForceBound, "every node has every change", func() error {
				var view operator.DocumentView
				path := fmt.Sprintf("/v1/documents/team-%d", team)
				if _, err := c.operateOnce(context.Background(), n, http.MethodGet, path, "", nil, &view); err != nil {
					return err
				}
				doc := view.Document
				if doc == nil || doc.Revision != revision || doc.UpperLimit != changesPerTeam {
					return fmt.Errorf("%s: %+v, acknowledged is %d", n.name, doc, revision)
				}
				return nil
			})
		}
	}
}

// writeDocuments changes one team's document repeatedly and returns the last
// acknowledged revision, or 0 after a failure.
func (c *cluster) writeDocuments(team int) uint64 {
	revision := uint64(0)
	name := fmt.Sprintf("team-%d", team)
	for change := range changesPerTeam {
		time.Sleep(changeInterval)
		first := (team + change) % len(c.nodes)
		order := append(append([]*node(nil), c.nodes[first:]...), c.nodes[:first]...)
		result, err := c.changeWithRetry(order, "/v1/documents/"+name, config.Document{
			Team: name, Revision: revision, Share: 1, UpperLimit: uint32(change + 1),
		})
		if err != nil || result.Revision <= revision {
			c.t.Errorf("change %d of %s at revision %d: %v %v", change, name, revision, result, err)
			return 0
		}
		revision = result.Revision
	}
	return revision
}

// TestReplicaWipedDisk wipes the disk of a voter: it returns as a new member
// without a vote and replaces its old identity. Right after that two more voters
// are killed. Nothing acknowledged is lost.
func TestReplicaWipedDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startFiveVoters(t, false)
	var pools []string
	for i := range 20 {
		pools = append(pools, fmt.Sprintf("pool-%d", i))
		c.commitPool(c.nodes, pools[i])
	}
	leader := c.leader(c.nodes[0])
	wiped := c.except(leader)[0]
	before, err := c.leaderView(leader)
	is.NoErr(err)
	oldID := before.Members[slices.IndexFunc(before.Members, func(m operator.MemberView) bool { return m.Name == wiped.name })].ID
	wiped.kill()
	is.NoErr(os.RemoveAll(wiped.dataFolder))
	wiped.start(false)
	wiped.waitReady()
	newID := ""
	eventually(t, settleBound, "the wiped voter joins as a new member", func() error {
		view, err := c.leaderView(leader)
		for _, m := range view.Members {
			if m.Name == wiped.name && m.ID != oldID {
				is.True(!m.Voter) // only an operator replaces a voter
				newID = m.ID
				return nil
			}
		}
		return fmt.Errorf("not in the list: %w", err)
	})
	out := c.mustTool(leader, "member", "replace", oldID, newID)
	is.True(strings.Contains(out, "done: a second loss is survivable"))
	leader.kill()
	second := c.except(leader, wiped)[0]
	second.kill()
	rest := c.except(leader, second)
	pools = append(pools, "after")
	c.commitPool(rest, "after") // the quorum of three includes the new voter
	for _, n := range rest {
		c.waitPools(n, pools)
	}
	out = c.mustTool(rest[0], "member", "replace", oldID, newID) // a resend is idempotent
	is.True(strings.Contains(out, "done"))
	_, err = c.tool(rest[0], "member", "remove", c.memberNamed(rest[0], wiped.name))
	is.True(err != nil && strings.Contains(err.Error(), "refused")) // 2 of 4 voters would be active
}

// memberNamed returns the id of the member with the name.
func (c *cluster) memberNamed(via *node, name string) string {
	c.t.Helper()
	id := ""
	eventually(c.t, settleBound, name+" is listed", func() error {
		view, err := c.leaderView(via)
		for _, m := range view.Members {
			if m.Name == name {
				id = m.ID
				return nil
			}
		}
		return fmt.Errorf("not listed: %w", err)
	})
	return id
}

// TestReplicaTwoVotersKilled kills two of five voters, one of them the leader, and
// restarts them; then it stops a third (SIGSTOP) during 30 changes and continues
// it with stale state.
func TestReplicaTwoVotersKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startFiveVoters(t, false)
	c.commitPool(c.nodes, "first")
	leader := c.leader(c.nodes[0])
	second := c.except(leader)[1]
	leader.kill()
	second.kill()
	rest := c.except(leader, second)
	c.commitPool(rest, "second")
	for _, n := range []*node{leader, second} {
		n.start(false)
		n.waitReady()
	}
	c.waitPools(leader, []string{"first", "second"})
	leader = c.leader(rest[0])
	stale := c.except(leader)[0]
	stale.signal(syscall.SIGSTOP)
	names := []string{"first", "second"}
	for i := range 30 {
		names = append(names, fmt.Sprintf("while-stale-%d", i))
		c.commitPool(c.except(stale), names[len(names)-1])
	}
	time.Sleep(2 * time.Second)
	before, err := c.leaderView(leader)
	is.NoErr(err)
	stale.signal(syscall.SIGCONT)
	c.waitPools(stale, names)
	time.Sleep(time.Second)
	after, err := c.leaderView(leader)
	is.NoErr(err)
	is.Equal(after.Term, before.Term) // the stale voter's return causes no election
}

// TestReplicaTimeWithoutLeader measures the time from the kill of the leader to
// the next committed change.
func TestReplicaTimeWithoutLeader(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.waitVoters(c.nodes[0], 3)
	var times []time.Duration
	for i := range 5 {
		leader := c.leader(c.nodes[0])
		leader.kill()
		killed := time.Now()
		c.commitPool(c.except(leader), fmt.Sprintf("pool-%d", i))
		times = append(times, time.Since(killed))
		leader.start(false)
		leader.waitReady()
		c.waitPools(leader, []string{fmt.Sprintf("pool-%d", i)})
	}
	slices.Sort(times)
	t.Logf("time without a leader over %d kills: p50 %s, max %s", len(times), times[len(times)/2], times[len(times)-1])
	is.True(times[len(times)-1] < inForceBound/4)
}

// TestReplicaSilentLinks makes every open connection between daemons silent for
// good while new connections work.
func TestReplicaSilentLinks(t *testing.T) {
	t.Parallel()
	c := startCluster(t, []string{"a", "b", "c"}, true)
	c.waitVoters(c.nodes[0], 3)
	silenceAll := c.addSilencers()
	c.commitPool(c.nodes, "first")
	for _, n := range c.nodes {
		c.waitPools(n, []string{"first"})
	}
	silenceAll()
	started := time.Now()
	for i, n := range c.nodes {
		c.commitPool([]*node{n}, fmt.Sprintf("through-%d", i))
	}
	for _, n := range c.nodes {
		c.waitPools(n, []string{"first", "through-0", "through-1", "through-2"})
	}
	took := time.Since(started)
	t.Logf("changes through every daemon %s after all links went silent", took.Round(time.Millisecond))
	if took > settleBound {
		t.Fatalf("recovered after %s, bound is %s", took, settleBound)
	}
}

// TestReplicaRestartWithoutDisk restarts a daemon without a data folder: its first
// answer already shows every change that was acknowledged before.
func TestReplicaRestartWithoutDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "a", "b", "b", "c", "c"}, false)
	c.waitVoters(c.nodes[0], len(fiveVoters))
	diskless := c.nodes[5]
	for i := range 5 {
		name := fmt.Sprintf("pool-%d", i)
		c.commitPool(c.nodes[:5], name)
		diskless.kill()
		diskless.start(false)
		var pools []operator.PoolView
		eventually(t, startTimeout, "the first answer", func() error {
			_, err := c.operateOnce(context.Background(), diskless, http.MethodGet, "/v1/pools", "", nil, &pools)
			return err
		})
		is.Equal(len(pools), i+1)
	}
}

// TestReplicaOperatorsRaceForMembers lets two operators change the members at the
// same time: removals that would lose the quorum are both refused, and a removal
// sent twice is applied once. The removed member is refused and causes no
// election.
func TestReplicaOperatorsRaceForMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.waitVoters(c.nodes[0], 3)
	leader := c.leader(c.nodes[0])
	others := c.except(leader)
	others[0].kill()
	time.Sleep(time.Second)
	ids := []string{c.memberNamed(leader, leader.name), c.memberNamed(leader, others[1].name)}
	errs := make([]error, 2)
	var both sync.WaitGroup
	for i, id := range ids {
		both.Go(func() { _, errs[i] = c.tool(leader, "member", "-timeout", "6s", "remove", id) })
	}
	both.Wait()
	t.Log(errs)
	for _, err := range errs {
		is.True(err != nil && strings.Contains(err.Error(), "refused")) // 1 of 2 voters would be active
	}
	dead := c.memberNamed(leader, others[0].name)
	for i := range errs {
		both.Go(func() { _, errs[i] = c.tool(c.except(others[0])[i], "member", "remove", dead) })
	}
	both.Wait()
	for _, err := range errs {
		is.True(err == nil || strings.Contains(err.Error(), "conflict")) // the removal sent second gets the same result or a conflict
	}
	is.True(errs[0] == nil || errs[1] == nil)
	view, err := c.leaderView(leader)
	is.NoErr(err)
	is.Equal(len(view.Members), 2)
	others[0].start(false)
	eventually(t, settleBound, "the removed member is refused", func() error {
		log, err := os.ReadFile(leader.settingsFile + ".log")
		if err == nil && !strings.Contains(string(log), "event=2053") {
			err = fmt.Errorf("no refusal was logged")
		}
		return err
	})
	c.commitPool([]*node{leader}, "after")
	after, err := c.leaderView(leader)
	is.NoErr(err)
	is.Equal(after.Term, view.Term) // the removed member causes no election
	is.Equal(len(after.Members), 2)
}
