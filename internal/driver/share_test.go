package driver_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// countingClient counts the listings in progress that wait for an end.
type countingClient struct {
	*standin.StepFleet
	mu                   sync.Mutex
	waiting, mostWaiting int
}

func (c *countingClient) Renew(ctx context.Context, to driver.Address, call driver.RenewCall) (driver.Listing, error) {
	c.mu.Lock()
	if call.Wait > 0 {
		c.waiting++
		c.mostWaiting = max(c.mostWaiting, c.waiting)
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if call.Wait > 0 {
			c.waiting--
		}
	}()
	return c.StepFleet.Renew(ctx, to, call)
}

// TestFewConnections guards against more waiting listings than connections, against
// jobs that do not end because listings do not wait, and against leases that lapse for lack of listings.
// A second leader takes over in between.
func TestFewConnections(t *testing.T) {
	is := is.New(t)
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprint("t", i))
	}
	r := newRigWithLease(t, 2*time.Second, ids...)
	client := &countingClient{StepFleet: r.fleet}
	r.targets, r.connections = client, 6
	r.fleet.Lasting = map[string]bool{"lasting": true}
	var lapsed atomic.Int32
	r.fleet.OnRun = func(_ workflow.TaskID, _ uint32, kind pb.EndKind) {
		if kind == pb.EndKind_END_KIND_LAPSED {
			lapsed.Add(1)
		}
	}
	r.startLeader()
	r.submit("lasting", 8)
	for i := range 6 {
		r.submit(fmt.Sprint("j", i), 8, 8)
		if i == 3 {
			r.startLeader()
		}
	}
	for i := range 6 {
		r.eventually(fmt.Sprintf("job %d ends", i), 20*time.Second, func() bool { return r.state(fmt.Sprint("j", i)) == pb.JobState_JOB_STATE_DONE })
	}
	time.Sleep(2 * r.fleet.LeaseTTL) // a lease that is not renewed lapses meanwhile
	is.Equal(lapsed.Load(), int32(0))
	r.reportFaults()
	client.mu.Lock()
	defer client.mu.Unlock()
	is.True(client.mostWaiting <= r.connections/2)
}
