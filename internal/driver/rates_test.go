package driver

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/pools"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// newRatesDriver returns a driver over a state with jobs "within" and "beyond" of a workspace that
// may submit one job a second. One task of "beyond" runs.
func newRatesDriver(t *testing.T, now func() time.Time) *Driver {
	is := is.New(t)
	d := newTestDriver(t, now)
	index := uint64(100)
	apply := func(command *pb.Command) {
		command.TimeUnixMs = now().UnixMilli()
		data, err := proto.Marshal(command)
		is.NoErr(err)
		index++
		out := d.cfg.Machine.Apply(index, data).(*workflow.Outcome)
		is.True(out.Code == workflow.OK && len(out.Refused) == 0)
	}
	apply(&pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: &pb.Catalogue{
		Version: 2, Pools: []*pb.Pool{{Name: "p"}}, Workspaces: []*pb.Workspace{{Name: "w", Keys: []string{"k"}, Weight: 1}},
		Queues: []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, ObjectiveMs: 10_000, MaxAttempts: 2, Open: true}},
	}}}})
	for _, id := range []string{"within", "beyond"} {
		apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: id, Queue: "q", Workspace: "w", Steps: []*pb.Step{
			{Tasks: 4, EstimateMs: 3000, Copies: true, Needs: &pb.Resources{CpuMillis: 300}},
		}}}}})
	}
	task := workflow.TaskID{Job: "beyond"}
	apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{{Task: task.Ref(1), Target: "t0", TargetBornUnixMs: 1}}}}})
	d.addRun(&run{task: task, attempt: 1, target: "t0", born: 1, phase: runConfirmed, runningSince: now(), progressAt: now()})
	return d
}

// TestBeyondRateReachesPlans guards against a decision of the state that does not reach the planner,
// and against jobs beyond their rate that count as the need of their pool before their time.
func TestBeyondRateReachesPlans(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newRatesDriver(t, func() time.Time { return now })
	needs := func() (out pools.Pool) {
		s := &pools.Snapshot{Pools: []pools.Pool{{Name: "p"}}}
		d.cfg.Machine.View(func(v *workflow.View) { d.addNeeds(v, s, map[string]int{"p": 0}) })
		return s.Pools[0]
	}
	planned := make(map[string]bool)
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, j := range d.snapshots(v)["p"].Jobs {
			planned[j.ID] = j.BeyondRate
		}
		job := v.Job("beyond")
		is.True(d.planCopies(v, job, v.QueueOf(job), now.UnixMilli()).BeyondRate)
	})
	is.Equal(planned, map[string]bool{"within": false, "beyond": true})
	first := needs()
	is.True(first.BeyondRate.NeedMillis > 0)
	now = now.Add(beyondRateDelay)
	later := needs()
	is.Equal(later.BeyondRate.NeedMillis, int64(0))
	is.True(later.NeedMillis > 0)
	is.True(strings.Contains(strings.Join(d.explain(&pb.Request{QueueName: "q", Job: &pb.Job{Id: "beyond"}, Key: "k"}).Lines, "\n"), "beyond the rate of its workspace"))
	is.True(!strings.Contains(strings.Join(d.explain(&pb.Request{QueueName: "q", Job: &pb.Job{Id: "within"}, Key: "k"}).Lines, "\n"), "beyond the rate"))
}

// TestBadWeightsAndLimits sends a catalogue with a negative weight, which is refused unless it is in force already, and jobs that
// exceed their workspace's limit: one of a gang that can never start is refused, others are accepted and say why they wait.
func TestBadWeightsAndLimits(t *testing.T) {
	is := is.New(t)
	d := newTestDriver(t, time.Now)
	d.cfg.Log = &machineLog{machine: d.cfg.Machine, index: 100, nowMS: d.cfg.NowMS}
	catalogue := func(version uint64, weight float64) *pb.Catalogue {
		return &pb.Catalogue{
			Version: version, Pools: []*pb.Pool{{Name: "p"}}, Workspaces: []*pb.Workspace{{Name: "w", Keys: []string{"k"}, Weight: weight, Limit: &pb.Resources{CpuMillis: 500}}},
			Queues: []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000}},
		}
	}
	refused := d.putCatalogue(context.Background(), catalogue(2, -1))
	is.Equal(refused.Answer, pb.Answer_ANSWER_INVALID)
	is.True(strings.Contains(refused.Reason, `workspace "w": weight is -1`))
	is.Equal(d.putCatalogue(context.Background(), catalogue(2, 1)).Answer, pb.Answer_ANSWER_OK)
	is.Equal(d.putCatalogue(context.Background(), catalogue(2, -1)).Answer, pb.Answer_ANSWER_OK) // not newer: no change
	job := &pb.Job{Id: "large", Steps: []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 501}}}}
	is.Equal(d.submit(context.Background(), &pb.Request{Host: "h", Path: "/p/large", Key: "k", Job: job}).Answer, pb.Answer_ANSWER_OK)
	explained := func(id string) string {
		return strings.Join(d.explain(&pb.Request{QueueName: "q", Job: &pb.Job{Id: id}, Key: "k"}).Lines, "\n")
	}
	is.True(!strings.Contains(explained("large"), "limit"))
	out, err := d.commit(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{
		{Task: workflow.TaskID{Job: "large"}.Ref(1), Target: "t0", TargetBornUnixMs: 1},
	}}}})
	is.NoErr(err)
	is.Equal(len(out.Refused), 0)
	second := &pb.Job{Id: "second", Steps: []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 501}}}}
	is.Equal(d.submit(context.Background(), &pb.Request{Host: "h", Path: "/p/second", Key: "k", Job: second}).Answer, pb.Answer_ANSWER_OK)
	is.True(strings.Contains(explained("second"), "it needs more than the limit of its workspace, it starts while less than half of that is in use"))
	gang := &pb.Job{Id: "gang", Steps: []*pb.Step{{Tasks: 2, Gang: true, Needs: &pb.Resources{CpuMillis: 501}}}}
	answer := d.submit(context.Background(), &pb.Request{Host: "h", Path: "/p/gang", Key: "k", Job: gang})
	is.Equal(answer.Answer, pb.Answer_ANSWER_BUSY)
	is.True(strings.Contains(answer.Reason, `its gang of 2 tasks needs more than the limit of workspace "w" allows`))
}

// TestBeyondRateWaits plans on one full target: a waiting task beyond its rate does not count as one
// for which its pool lacks a VM, and no run is stopped for it.
func TestBeyondRateWaits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newRatesDriver(t, func() time.Time { return now })
	job := func(id string, beyond bool) assign.Job {
		return assign.Job{ID: id, BeyondRate: beyond, DeadlineMS: now.UnixMilli() + 5000, LateDeadlineMS: now.UnixMilli() + 9000, Steps: []assign.Step{{
			Tasks: []workflow.TaskID{{Job: id}}, Room: workflow.Resources{CPUMillis: 1000},
		}}}
	}
	plan := func(jobs ...assign.Job) []assign.Wait {
		s := &assign.Snapshot{NowMS: now.UnixMilli(), Targets: []assign.Target{{ID: "t0"}}, Jobs: jobs}
		_, waits := assign.Plan(s)
		d.noteWaits("p", s, waits)
		for i := range waits {
			if waiting := d.waitingTasks(s, &waits[i], 9); waits[i].WaitingJob.BeyondRate == (len(waiting) > 0) {
				t.Errorf("job %s: %d tasks for which runs may be stopped", waits[i].Job, len(waiting))
			}
		}
		return waits
	}
	stuck := func() []bool {
		return []bool{!d.pools.stuckSince["p"].IsZero(), !d.pools.beyondRateStuckSince["p"].IsZero()}
	}
	is.Equal(len(plan(job("within", false), job("beyond", true))), 2)
	is.Equal(stuck(), []bool{true, true})
	waits := plan(job("beyond", true))
	is.True(slices.ContainsFunc(waits, func(w assign.Wait) bool { return w.Reason == assign.WaitRate }))
	is.Equal(stuck(), []bool{false, true})
	plan()
	is.Equal(stuck(), []bool{false, false})
}
