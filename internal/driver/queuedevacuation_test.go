package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// applyAt applies a command to the driver's state at a log index.
func applyAt(t *testing.T, d *Driver, index uint64, command *pb.Command) {
	t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	if out := d.cfg.Machine.Apply(index, data).(*workflow.Outcome); out.Code != workflow.OK {
		t.Fatal(out.Reason)
	}
}

// evacuateAt registers a target in zone "z" and evacuates that zone, at two log indexes.
func evacuateAt(t *testing.T, d *Driver, index uint64, target string) {
	t.Helper()
	registered := proto.CloneOf(d.links[target].target)
	registered.Zone = "z"
	applyAt(t, d, index, &pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{registered}}}})
	applyAt(t, d, index+1, evacuation("z"))
}

func evacuation(zone string) *pb.Command {
	return &pb.Command{Body: &pb.Command_BeginEvacuation{BeginEvacuation: &pb.BeginEvacuation{Order: &pb.EvacuationOrder{Zone: zone}}}}
}

// TestQueuedStartInEvacuatedZone evacuates the zone of a target while a committed start waits for its call: the
// call must not be made. If none was made before, the task may start elsewhere at once.
func TestQueuedStartInEvacuatedZone(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name              string
		evacuated, before bool
		phase             runPhase
	}{
		{"not evacuated", false, false, runCalling},
		{"evacuated", true, false, runEnded},
		{"evacuated after a call", true, true, runUnanswered},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDriver(t, func() time.Time { return now })
			l := d.links["t0"]
			l.clockAt, l.clockMS, l.grantOpen = now, 1000, true
			if test.evacuated {
				evacuateAt(t, d, 100, "t0")
			}
			r := d.runs.find(workflow.TaskID{Job: "j"}, 1)
			r.phase, r.unanswered = runCalling, test.before
			l.queuedStarts, l.senders = []*run{r}, 1
			sent, _, call := d.nextStart(l)
			is.Equal(sent == r, !test.evacuated)
			is.Equal(r.phase, test.phase)
			if call != nil {
				call.timer.Stop()
			}
		})
	}
}
