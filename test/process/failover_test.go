package process

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/test/standin"
)

// inForceBound is the users' bound for the time until a change, a key withdrawal
// or the leaving of a target is in force.
const inForceBound = 16 * time.Second

// waitVoters waits until the node reports n voters.
func (c *cluster) waitVoters(via *node, n int) {
	c.t.Helper()
	eventually(c.t, startTimeout, fmt.Sprintf("%d voters", n), func() error {
		voters, err := c.voters(via)
		if err == nil && voters != n {
			err = fmt.Errorf("%d voters", voters)
		}
		return err
	})
}

func (c *cluster) voters(via *node) (int, error) {
	var status struct {
		Members []struct {
			Voter bool `json:"voter"`
		} `json:"members"`
	}
	if err := c.toolJSON(via, &status, "status"); err != nil {
		return 0, err
	}
	voters := 0
	for _, m := range status.Members {
		if m.Voter {
			voters++
		}
	}
	return voters, nil
}

// eventuallyServes sends requests through the node until one is answered with its
// own digest, and fails the test after the given time.
func (c *cluster) eventuallyServes(n *node, queue, team string, within time.Duration) {
	c.t.Helper()
	eventually(c.t, within, "request through "+n.name, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		got, err := c.call(ctx, n, http.MethodPost, "/v1/queues/"+queue+"/requests", team, nil, []byte("proof"))
		if err != nil {
			return err
		}
		if got.status != http.StatusOK || string(got.body) != standin.Digest(got.id, []byte("proof")) {
			return fmt.Errorf("status %d: %s", got.status, got.body)
		}
		return nil
	})
}

// TestLeaderKilled kills the leader: the other daemons keep serving, and the
// restarted daemon has the changes made before the kill and after it.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", kitaDocument)
	c.waitVoters(c.nodes[0], 3)
	c.startTarget(standin.Config{VM: "renderer-1", Pool: "renderers", Zone: "b", Slots: 4})
	leader := c.leader(c.nodes[0])
	leader.kill()
	other := c.nodes[0]
	if other == leader {
		other = c.nodes[1]
	}
	c.eventuallyServes(other, "proofs", "kita", inForceBound)
	c.mustTool(other, "pool", "-wait", "create", "second")
	leader.start(false)
	leader.waitReady()
	eventually(t, inForceBound, "the returned daemon has every change", func() error {
		out, err := c.tool(leader, "pool", "list", "-o", "json")
		if err != nil {
			return err
		}
		for _, name := range []string{"renderers", "second"} {
			if !containsName(out, name) {
				return fmt.Errorf("pool %s is missing: %s", name, out)
			}
		}
		return nil
	})
	is.True(c.leader(other) != nil)
}

// TestWithdrawnKeyWhileCut withdraws a key while one availability zone is cut off:
// the cut zone must stop admitting work under it, and learn of the withdrawal once
// the links are restored.
func TestWithdrawnKeyWhileCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, true)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", kitaDocument)
	c.waitVoters(c.nodes[0], 3)
	for _, zone := range []string{"a", "b", "c"} {
		c.startTarget(standin.Config{VM: "renderer-" + zone, Pool: "renderers", Zone: zone, Slots: 4})
	}
	for _, n := range c.nodes {
		c.eventuallyServes(n, "proofs", "kita", inForceBound)
	}
	cut := c.nodes[2]
	c.links.setCut(cut.name, true)
	started := time.Now()
	c.mustTool(c.nodes[0], "key", "-wait", "withdraw", "kita-key")
	acknowledged := time.Now()
	is.True(acknowledged.Sub(started) < inForceBound)
	for _, n := range c.nodes {
		got, err := c.call(context.Background(), n, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte("late"))
		is.NoErr(err)
		is.True(got.status != http.StatusOK) // a withdrawn key admits nothing once its withdrawal is in force
		is.Equal(got.outcome, "not-run")
	}
	c.links.setCut(cut.name, false)
	eventually(t, inForceBound, "the reconnected zone knows the withdrawal", func() error {
		got, err := c.call(context.Background(), cut, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte("late"))
		if err == nil && got.status != http.StatusUnauthorized {
			err = fmt.Errorf("status %d: %s", got.status, got.body)
		}
		return err
	})
}

// TestFrozenEntry stops the process of an entry VM (SIGSTOP) while a key is
// withdrawn: once continued, it must not admit work under its old state.
func TestFrozenEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c"}, false)
	c.mustTool(c.nodes[0], "pool", "create", "renderers")
	c.addTeam(c.nodes[0], "kita", kitaDocument)
	c.waitVoters(c.nodes[0], 3)
	for _, zone := range []string{"a", "b", "c"} {
		c.startTarget(standin.Config{VM: "renderer-" + zone, Pool: "renderers", Zone: zone, Slots: 4})
	}
	leader := c.leader(c.nodes[0])
	var frozen, other *node
	for _, n := range c.nodes {
		if n != leader {
			frozen, other = n, leader
		}
	}
	c.eventuallyServes(frozen, "proofs", "kita", inForceBound)
	frozen.signal(syscall.SIGSTOP)
	c.mustTool(other, "key", "-wait", "withdraw", "kita-key")
	frozen.signal(syscall.SIGCONT)
	for range 20 {
		got, err := c.call(context.Background(), frozen, http.MethodPost, "/v1/queues/proofs/requests", "kita", nil, []byte("late"))
		is.NoErr(err)
		is.True(got.status != http.StatusOK) // the lease ran out while the process was frozen
	}
}
