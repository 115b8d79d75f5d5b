package driver

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/pools"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// newTestDriver returns a driver that is not running, with targets t0, t1 and t2 on VMs of
// their own and a lasting job with one task at work on each, of which one may be unavailable.
func newTestDriver(t *testing.T, now func() time.Time) *Driver {
	t.Helper()
	machine := workflow.New()
	index := uint64(0)
	apply := func(command *pb.Command) {
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		index++
		if out := machine.Apply(index, data).(*workflow.Outcome); out.Code != workflow.OK || len(out.Refused) > 0 {
			t.Fatalf("command %d: %s %v", index, out.Reason, out.Refused)
		}
	}
	apply(&pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: &pb.Catalogue{
		Version: 1, Pools: []*pb.Pool{{Name: "p"}},
		Queues: []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, MaxAttempts: 2, Open: true}},
	}}}})
	job := &pb.Job{Id: "j", Queue: "q", Steps: []*pb.Step{{Tasks: 3, Lasting: true, MaxUnavailable: 1, Needs: &pb.Resources{CpuMillis: 100}}}}
	apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: job}}})
	d := New(Config{Machine: machine, Now: now, NowMS: func() int64 { return now().UnixMilli() }})
	d.ctx = context.Background()
	var starts []*pb.Start
	for i, id := range []string{"t0", "t1", "t2"} {
		target := &pb.Target{Id: id, BornUnixMs: 1, Pool: "p", Vm: "vm-" + id, Capacity: &pb.Resources{CpuMillis: 1000}}
		apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{target}}}})
		task := workflow.TaskID{Job: "j", Index: uint32(i)}
		starts = append(starts, &pb.Start{Task: task.Ref(1), Target: id, TargetBornUnixMs: 1})
		d.links[id] = &link{target: target, answeredAt: now(), everListed: true, cancel: func() {}}
		d.addRun(&run{
			task: task, attempt: 1, target: id, born: 1, phase: runConfirmed,
			percent: fullPace, progressAt: now().Add(-time.Minute),
		})
	}
	apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: starts}}})
	return d
}

// TestOrderNeedsFreshListings lets a VM go down only while fresh listings show that the
// other tasks of a step are at work: no call to a rack that has just failed may have failed
// yet.
func TestOrderNeedsFreshListings(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name   string
		change func(d *Driver)
		may    bool
	}{
		{"all at work", func(*Driver) {}, true},
		{"an old listing", func(d *Driver) { d.links["t1"].answeredAt = now.Add(-2 * maxListingAge) }, false},
		{"a call without an answer", func(d *Driver) { d.links["t1"].failures = 1 }, false},
		{"a task that has only begun", func(d *Driver) { d.runs.find(workflow.TaskID{Job: "j", Index: 1}, 1).progressAt = now }, false},
		{"a task that is not at work", func(d *Driver) { d.runs.find(workflow.TaskID{Job: "j", Index: 2}, 1).percent = 40 }, false},
		{"an order for another VM under way", func(d *Driver) { d.waves.maintenance(1, "vm-t2").calling = true }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTestDriver(t, func() time.Time { return now })
			test.change(d)
			if got := d.mayGoDown("vm-t0"); got != test.may {
				t.Errorf("may go down: %t, want %t", got, test.may)
			}
		})
	}
}

// TestNewestTargetOnVM checks that the target started last on a VM is used: an older one
// that is still known looks idle because it is gone.
func TestNewestTargetOnVM(t *testing.T) {
	is := is.New(t)
	d := newTestDriver(t, time.Now)
	d.links["former"] = &link{target: &pb.Target{Id: "former", BornUnixMs: 0, Vm: "vm-t0"}}
	for range 20 { // maps are iterated in random order
		is.Equal(d.linkOfVM("vm-t0").target.Id, "t0")
		is.Equal(d.linksByVM()["vm-t0"].target.Id, "t0")
	}
}

// TestLateStartsAreForgotten prunes the starts that can no longer take effect.
func TestLateStartsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	note := func(target string, index uint32) {
		d.noteLateStart(&run{task: workflow.TaskID{Job: "j", Index: index}, attempt: 1, target: target, born: 1, unanswered: true})
	}
	note("t0", 0)
	d.noteLateStart(&run{target: "t2"}) // answered
	now = now.Add(lateCallBound - time.Second)
	note("t0", 1)
	note("t1", 2)
	now = now.Add(2 * time.Second)
	d.pruneLateStarts(now)
	is.Equal(len(d.lateStarts["t0"]), 1)
	is.Equal(d.lateStarts["t0"][0].run.task.Index, uint32(1))
	is.Equal(len(d.lateStarts["t1"]), 1)
	now = now.Add(lateCallBound)
	d.pruneLateStarts(now)
	is.Equal(len(d.lateStarts), 0)
}

// TestLastingTasksFindAnotherVM lets a VM with lasting tasks go down only once its pool has
// the VMs over which they must be spread, or drainTimeout is over.
func TestLastingTasksFindAnotherVM(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	m := &vmMaintenance{cordonedAt: now}
	serving := []pools.VM{{Name: "vm-t0", Unavailable: true}, {Name: "vm-t1"}, {Name: "vm-t2"}}
	d.notePoolsBelowMin(&pools.Snapshot{Pools: []pools.Pool{{Name: "p", MinVMs: 3, VMs: serving}}})
	is.True(!d.drained("vm-t0", m)) // two VMs take starts, three are needed
	now = now.Add(drainTimeout + time.Millisecond)
	is.True(d.drained("vm-t0", m)) // the timeout is over without another VM
	m.cordonedAt = now
	d.notePoolsBelowMin(&pools.Snapshot{Pools: []pools.Pool{{Name: "p", MinVMs: 3, VMs: append(serving, pools.VM{Name: "vm-new"})}}})
	is.True(d.drained("vm-t0", m))
	is.True(d.drained("vm-other", m)) // nothing runs there
}
