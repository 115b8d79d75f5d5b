package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestHeardBeforeListOfVMs guards against a message from before a list of VMs that counts as one from after it: the
// target of a VM that is gone would never count as gone.
func TestHeardBeforeListOfVMs(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	l := d.links["t0"]
	l.missingInLists, l.missingAsked = 1, now.Add(-300*time.Millisecond)
	hear := func(ageMS int64) {
		d.noteHeardTargets([]*pb.Heard{{Target: "t0", BornUnixMs: l.target.BornUnixMs, Sequence: l.sequence + 1, ClockMs: 1, AgeMs: ageMS}})
	}
	hear(400)
	is.Equal(l.missingInLists, 1)
	hear(100)
	is.Equal(l.missingInLists, 0)
}
