package process

import (
	"fmt"
	"net/http"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const inForceChanges = 20

// TestTimeToInForce measures, among 8 daemons, the time from sending a change
// until the leader reports it in force everywhere, and checks every daemon's own
// state at that moment.
func TestTimeToInForce(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, []string{"a", "b", "c", "a", "b", "c", "a", "b"}, false)
	c.waitVoters(c.nodes[0], 5)
	var durations []time.Duration
	for i := range inForceChanges {
		name := fmt.Sprintf("pool-%d", i)
		via := c.nodes[i%len(c.nodes)]
		started := time.Now()
		index := c.createPool(via, name)
		c.waitInForce(via, index)
		durations = append(durations, time.Since(started))
		for _, n := range c.nodes {
			var pools []operator.PoolView
			c.mustOperate(n, http.MethodGet, "/v1/pools", nil, &pools)
			is.Equal(len(pools), i+1) // every daemon has the change that was reported in force
		}
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	longest := durations[len(durations)-1]
	t.Logf("figure: time to in force among 8 daemons: p50 %s, max %s over %d changes, bound %s",
		durations[len(durations)/2].Round(time.Millisecond), longest.Round(time.Millisecond), len(durations), inForceBound)
	is.True(longest < inForceBound)
}

// createPool creates a pool and returns the log index of the change.
func (c *cluster) createPool(n *node, name string) uint64 {
	c.t.Helper()
	var result operator.Result
	c.mustOperate(n, http.MethodPut, "/v1/pools/"+name, operator.PoolView{Name: name}, &result)
	return result.Index
}

func (c *cluster) waitInForce(n *node, index uint64) {
	c.t.Helper()
	eventually(c.t, inForceBound, fmt.Sprintf("index %d is in force", index), func() error {
		var view operator.InForceView
		c.mustOperate(n, http.MethodGet, fmt.Sprintf("/v1/in-force/%d", index), nil, &view)
		if !view.InForce {
			return fmt.Errorf("waiting for %v", view.Waiting)
		}
		return nil
	})
}

// mustOperate sends one operator request to a node and decodes the answer. It
// fails the test unless the status is 200.
func (c *cluster) mustOperate(n *node, method, path string, body, into any) {
	c.t.Helper()
	request, err := jsonRequest(method, "http://"+n.operatorAddress+path, body)
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set(operator.HeaderOperationID, state.NewID())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.t.Fatalf("%s %s at %s: status %d", method, path, n.name, response.StatusCode)
	}
	decodeJSON(c.t, response.Body, into)
}
