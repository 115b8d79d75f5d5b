package server

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/config"
	"sapphirering/internal/wire"
	"sapphirering/internal/workflow/workflowpb"
)

const (
	beginEvacuation = workflowpb.Operation_OPERATION_BEGIN_EVACUATION
	endEvacuation   = workflowpb.Operation_OPERATION_END_EVACUATION
)

func newEvacuationCluster(t *testing.T) *coreCluster {
	t.Helper()
	return newCoreClusterWith(t, 3, func(s *config.RoleSettings) {
		s.Bounds.Evacuation.Duration, s.Zones = 5*time.Second, []string{"zone-0", "zone-1"}
	})
}

// evacuation sends a request, and sends it anew while there is no leader, as operators do.
func (n *coreNode) evacuation(operation workflowpb.Operation, zone string) *workflowpb.Response {
	ctx, cancel := context.WithTimeout(context.Background(), maxRecoveryTime)
	defer cancel()
	for {
		response := n.running().gateway.Do(ctx, &workflowpb.Request{Operation: operation, Zone: zone})
		noLeader := response.Answer == workflowpb.Answer_ANSWER_NOT_READY || response.Answer == workflowpb.Answer_ANSWER_UNKNOWN
		if !noLeader || ctx.Err() != nil {
			return response
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (n *coreNode) evacuated(zone string) bool {
	return n.evacuation(workflowpb.Operation_OPERATION_GET_EVACUATION, zone).Evacuated
}

// TestEvacuationOutlivesDaemons acknowledges orders and then loses all processes at once, and the disks of the
// daemons one after the other: the order must still hold.
func TestEvacuationOutlivesDaemons(t *testing.T) {
	is := is.New(t)
	c := newEvacuationCluster(t)
	is.Equal(c.nodes[0].evacuation(beginEvacuation, "zone-1").Answer, workflowpb.Answer_ANSWER_OK)
	for _, n := range c.nodes {
		n.kill()
	}
	for _, n := range c.nodes {
		n.settings.Bootstrap = false
		c.start(n)
	}
	c.eventually("the order holds after the loss of all processes", maxRecoveryTime, func() bool { return c.nodes[2].evacuated("zone-1") })
	for _, n := range c.nodes {
		n.kill()
		is.NoErr(os.RemoveAll(n.settings.DataFolder))
		c.start(n)
		id := n.running().identity.MemberID
		c.eventually("the replaced daemon votes", 10*time.Second, func() bool {
			voters := n.voters()
			return voters[id] && len(voters) == 3
		})
	}
	c.eventually("the order holds after the loss of all disks in turn", maxRecoveryTime, func() bool { return c.nodes[0].evacuated("zone-1") })
	is.Equal(c.nodes[1].evacuation(endEvacuation, "zone-1").Answer, workflowpb.Answer_ANSWER_OK)
	is.True(!c.nodes[2].evacuated("zone-1"))
}

// TestEvacuationOrdersAtOnce sends begin and finish through two daemons at the same time: both are
// acknowledged, and the one that was applied last holds.
func TestEvacuationOrdersAtOnce(t *testing.T) {
	is := is.New(t)
	c := newEvacuationCluster(t)
	is.Equal(c.nodes[0].evacuation(endEvacuation, "zone-0").Answer, workflowpb.Answer_ANSWER_OK)
	for range 20 {
		var begun, ended *workflowpb.Response
		var orders sync.WaitGroup
		orders.Go(func() { begun = c.nodes[0].evacuation(beginEvacuation, "zone-0") })
		orders.Go(func() { ended = c.nodes[1].evacuation(endEvacuation, "zone-0") })
		orders.Wait()
		is.Equal(begun.Answer, workflowpb.Answer_ANSWER_OK)
		is.Equal(ended.Answer, workflowpb.Answer_ANSWER_OK)
		is.Equal(c.nodes[2].evacuated("zone-0"), begun.OrderNumber > ended.OrderNumber)
	}
	// In quick succession, through different daemons, the last one holds.
	for i := range 20 {
		begin := i%2 == 0
		operation := endEvacuation
		if begin {
			operation = beginEvacuation
		}
		is.Equal(c.nodes[i%3].evacuation(operation, "zone-0").Answer, workflowpb.Answer_ANSWER_OK)
		is.Equal(c.nodes[(i+1)%3].evacuated("zone-0"), begin)
	}
}

// TestEvacuationOrderSentAgain loses the answer to an order that was carried out: the gateway must send the
// same order again, and not a new one.
func TestEvacuationOrderSentAgain(t *testing.T) {
	is := is.New(t)
	c := newEvacuationCluster(t)
	is.Equal(c.nodes[0].evacuation(endEvacuation, "zone-0").Answer, workflowpb.Answer_ANSWER_OK)
	leader := func() *coreNode {
		for _, n := range c.nodes {
			if n.running().driver.Load() != nil {
				return n
			}
		}
		return nil
	}
	c.eventually("a daemon leads", 5*time.Second, func() bool { return leader() != nil })
	// A gateway of the test's own: those of the daemons are in use.
	gateway := newGateway(&wire.Dialer{}, "test", []string{c.nodes[0].settings.Listen.Peers})
	var ids []string
	gateway.serveLocal = func(ctx context.Context, r *workflowpb.Request) (*workflowpb.Response, bool) {
		response, isLeader := leader().running().serveLocal(ctx, r)
		if r.Operation != beginEvacuation {
			return response, isLeader
		}
		ids = append(ids, r.OrderId)
		if len(ids) == 1 {
			return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_UNKNOWN, Reason: "lost"}, true
		}
		return response, true
	}
	ctx, cancel := context.WithTimeout(t.Context(), maxRecoveryTime)
	defer cancel()
	is.Equal(gateway.Do(ctx, &workflowpb.Request{Operation: beginEvacuation, Zone: "zone-0"}).Answer, workflowpb.Answer_ANSWER_OK)
	is.Equal(len(ids), 2)
	is.True(ids[0] != "" && ids[0] == ids[1])
	is.True(c.nodes[1].evacuated("zone-0"))
}

// TestEvacuationOrderStaysUnknown guards against the answer "nothing was changed" to an order of which an earlier try
// was carried out without an answer: the next try is refused as overtaken, and then the leader is lost.
func TestEvacuationOrderStaysUnknown(t *testing.T) {
	for _, test := range []struct {
		name string
		// lostOn is the operation from which on there is no leader once the order was overtaken.
		lostOn workflowpb.Operation
	}{
		{"before the number is asked for", workflowpb.Operation_OPERATION_GET_EVACUATION},
		{"before the order is sent again", beginEvacuation},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGateway(&wire.Dialer{}, "test", []string{"127.0.0.1:1"})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			orders, lost := 0, false
			g.serveLocal = func(_ context.Context, r *workflowpb.Request) (*workflowpb.Response, bool) {
				if orders >= 2 && r.Operation == test.lostOn {
					lost = true
					cancel()
					return nil, false // and no daemon answers at the other address
				}
				if r.Operation == workflowpb.Operation_OPERATION_GET_EVACUATION {
					return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_OK}, true
				}
				if orders++; orders == 1 {
					return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_UNKNOWN, Reason: "lost"}, true
				}
				return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_CONFLICT, Reason: "overtaken"}, true
			}
			response := g.Do(ctx, &workflowpb.Request{Operation: beginEvacuation, Zone: "z"})
			is.True(lost)
			is.Equal(response.Answer, workflowpb.Answer_ANSWER_UNKNOWN)
		})
	}
}
