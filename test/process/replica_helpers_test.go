package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"sapphirering/internal/operator"
	"sapphirering/internal/state"
	"sapphirering/test/linktest"
)

const (
	changeTimeout = 12 * time.Second
	tryTimeout    = 3 * time.Second
	// settleBound bounds what must be over well before the users' bound of 16 s.
	settleBound = inForceBound / 2
)

// operateOnce sends one operator request to a node and decodes its answer.
func (c *cluster) operateOnce(ctx context.Context, n *node, method, path, opID string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.operatorAddress+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set(operator.HeaderOperationID, opID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, json.Unmarshal(answer, out)
}

// changeWithRetry sends one change under one operation id through the given nodes
// in turn until one of them answers.
func (c *cluster) changeWithRetry(nodes []*node, path string, body any) (operator.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	opID := state.NewID()
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		var result operator.Result
		try, stop := context.WithTimeout(ctx, tryTimeout)
		status, err := c.operateOnce(try, nodes[i%len(nodes)], http.MethodPut, path, opID, body, &result)
		stop()
		if err == nil && status == http.StatusOK {
			return result, nil
		}
		last = fmt.Errorf("status %d, %v: %w", status, result, err)
		if err == nil && status != http.StatusServiceUnavailable {
			return result, last
		}
		time.Sleep(pollInterval / 2)
	}
	return operator.Result{}, fmt.Errorf("no answer within %s: %w", changeTimeout, last)
}

// commitPool creates a pool through the given nodes in turn.
func (c *cluster) commitPool(nodes []*node, name string) {
	c.t.Helper()
	if _, err := c.changeWithRetry(nodes, "/v1/pools/"+name, operator.PoolView{Name: name}); err != nil {
		c.t.Fatalf("create pool %s: %v", name, err)
	}
}

// waitPools waits until a node shows every pool.
func (c *cluster) waitPools(n *node, names []string) {
	c.t.Helper()
	eventually(c.t, inForceBound, n.name+" has every pool", func() error {
		var pools []operator.PoolView
		if _, err := c.operateOnce(context.Background(), n, http.MethodGet, "/v1/pools", "", nil, &pools); err != nil {
			return err
		}
		have := make(map[string]bool)
		for _, pool := range pools {
			have[pool.Name] = true
		}
		for _, name := range names {
			if !have[name] {
				return fmt.Errorf("pool %s is missing of %d", name, len(names))
			}
		}
		return nil
	})
}

// leaderView returns the leader's status as the node reports it.
func (c *cluster) leaderView(n *node) (operator.StatusView, error) {
	var view operator.StatusView
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	_, err := c.operateOnce(ctx, n, http.MethodGet, "/v1/status", "", nil, &view)
	if err == nil && len(view.Members) == 0 {
		err = fmt.Errorf("%s does not reach the leader", n.name)
	}
	return view, err
}

// except returns all nodes but the given ones.
func (c *cluster) except(without ...*node) []*node {
	var rest []*node
	for _, n := range c.nodes {
		skip := false
		for _, w := range without {
			skip = skip || n == w
		}
		if !skip {
			rest = append(rest, n)
		}
	}
	return rest
}

// addSilencers puts a linktest.Silencer into every link and routes new connections
// through it. The function that it returns makes all connections open by then
// silent.
func (c *cluster) addSilencers() func() {
	var all []*linktest.Silencer
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for _, p := range c.links.proxies {
		s := linktest.NewSilencer(c.t, p.target)
		p.mu.Lock()
		p.target = s.Address()
		p.mu.Unlock()
		all = append(all, s)
		p.setCut(false) // closes the open connections, so that they are dialed again
	}
	return func() {
		for _, s := range all {
			s.Silence()
		}
	}
}
