package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/assign"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestLongWorkAvoidsWave guards against long tasks on VMs that a wave has still to take and on slow targets, against
// short tasks that are kept off them, and against a deployment that is served differently without the setting.
func TestLongWorkAvoidsWave(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	declare := &pb.Command{Body: &pb.Command_DeclareWave{DeclareWave: &pb.DeclareWave{Wave: &pb.Wave{Id: 9, Vms: []string{"vm-t1"}, Cap: 1, DurationMs: 60_000}}}}
	data, err := proto.Marshal(declare)
	is.NoErr(err)
	is.Equal(d.cfg.Machine.Apply(1000, data).(*workflow.Outcome).Code, workflow.OK)
	d.links["t2"].health = health{startSlowness: 5, runs: 9}
	avoided := func(estimateMS int64) map[string]bool {
		var step assign.Step
		d.cfg.Machine.View(func(v *workflow.View) {
			job := v.Job("j")
			job.Spec.Steps[0].EstimateMs, job.Spec.Steps[0].Lasting = estimateMS, false
			job.Spec.SubmittedUnixMs = now.UnixMilli()
			d.suspects = d.suspectTargets(v)
			d.avoidSuspects(&step, job, 0, 0, &pb.Queue{SlackFactor: 1.5, ObjectiveMs: 1000}, now.UnixMilli())
		})
		return step.Avoid
	}
	is.Equal(len(avoided(8000)), 0) // not set
	d.cfg.Learning.Placement = true
	is.Equal(avoided(8000), map[string]bool{"t1": true, "t2": true})
	is.Equal(len(avoided(100)), 0)
}
