package workflow

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// testMachine applies commands to a machine at increasing log indexes.
type testMachine struct {
	t       *testing.T
	machine *Machine
	index   uint64
}

func (m *testMachine) apply(command *pb.Command) *Outcome {
	m.t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		m.t.Fatal(err)
	}
	m.index++
	return m.machine.Apply(m.index, data).(*Outcome)
}

func (m *testMachine) put(c *pb.Catalogue) *Outcome {
	m.t.Helper()
	return m.apply(&pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: c}}})
}

func (m *testMachine) source() string {
	var source string
	m.machine.View(func(v *View) { source = string(v.Catalogue().GetSource()) })
	return source
}

// TestFailJobWithUsedUpTask asks for the end of a job because the attempts of a task are used up: it is
// refused unless the task waits and its queue allows no more.
func TestFailJobWithUsedUpTask(t *testing.T) {
	const failedRuns = 2
	for _, test := range []struct {
		name         string
		most         uint32
		running      bool
		lasting      bool
		code         Code
		wantsToStart bool
	}{
		{"used up", failedRuns, false, false, OK, false},
		{"fewer than failed", 1, false, false, OK, false},
		{"one is left", failedRuns + 1, false, false, Refused, true},
		{"no limit", 0, false, false, Refused, true},
		{"a run goes on", failedRuns, true, false, Refused, false},
		{"a lasting task", failedRuns, false, true, Refused, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := &testMachine{t: t, machine: New()}
			allow := func(version uint64, most uint32) {
				is.Equal(m.put(&pb.Catalogue{Version: version, Pools: []*pb.Pool{{Name: "p"}}, Queues: []*pb.Queue{
					{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, MaxAttempts: most, Open: true},
				}}).Code, OK)
			}
			allow(1, failedRuns+2)
			step := &pb.Step{Tasks: 1, Lasting: test.lasting, Needs: &pb.Resources{CpuMillis: 1}}
			m.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: "j", Queue: "q", Steps: []*pb.Step{step}}}}})
			m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{{Id: "t", BornUnixMs: 1, Pool: "p"}}}}})
			task := TaskID{Job: "j"}
			start := func(attempt uint32) *Outcome {
				return m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{
					Starts: []*pb.Start{{Task: task.Ref(attempt), Target: "t", TargetBornUnixMs: 1}},
				}}})
			}
			for attempt := range uint32(failedRuns) {
				start(attempt + 1)
				m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{
					Ends: []*pb.End{{Task: task.Ref(attempt + 1), Target: "t", Kind: pb.EndKind_END_KIND_FAILED}},
				}}})
			}
			if test.running {
				start(failedRuns + 1)
			}
			allow(2, test.most)
			out := m.apply(&pb.Command{Body: &pb.Command_FailJob{FailJob: &pb.FailJob{Job: "j", Reason: "used up", UsedUp: task.Ref(failedRuns)}}})
			is.Equal(out.Code, test.code)
			if !test.running {
				is.Equal(len(start(failedRuns+1).Refused) == 0, test.wantsToStart) // the same as the state allows
			}
		})
	}
}

// TestCatalogueVersions checks which catalogue is current: the highest valid version,
// with the content that was sent first under that number. Older and resent versions
// are acknowledged without a change.
func TestCatalogueVersions(t *testing.T) {
	is := is.New(t)
	m := &testMachine{t: t, machine: New()}
	version := func(n uint64, source string) *pb.Catalogue { return &pb.Catalogue{Version: n, Source: []byte(source)} }
	for _, step := range []struct {
		put     *pb.Catalogue
		code    Code
		inForce string
	}{
		{version(5, "five"), OK, "five"},
		{version(5, "five"), OK, "five"},         // sent again
		{version(4, "four"), OK, "five"},         // older than the current version
		{version(5, "another five"), OK, "five"}, // other content under the current version number
		{version(9, "nine"), OK, "nine"},         // versions may skip numbers
		{version(5, "five, late"), OK, "nine"},   // applied late
		{&pb.Catalogue{Version: 12, Source: []byte("bad"), Queues: []*pb.Queue{{Name: "q", Pool: "none"}}}, Invalid, "nine"},
		{version(10, "ten"), OK, "ten"}, // below a version that was refused
	} {
		is.Equal(m.put(step.put).Code, step.code)
		is.Equal(m.source(), step.inForce)
	}
}

// TestGangStartsCompletelyOrNotAtAll starts a gang of three. If one member does not fit,
// none starts; if all fit, all start.
func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	for _, test := range []struct {
		name           string
		limitCPUMillis int64
		placed         int
	}{{"limit fits one", 1500, 0}, {"limit fits less than two", 1999, 0}, {"limit fits two", 2000, 3}, {"limit fits all", 3500, 3}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := &testMachine{t: t, machine: New()}
			is.Equal(m.put(&pb.Catalogue{
				Version: 1, Pools: []*pb.Pool{{Name: "p"}},
				Queues:     []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, MaxAttempts: 2, Open: true}},
				Workspaces: []*pb.Workspace{{Name: "w", Keys: []string{"k"}, Limit: &pb.Resources{CpuMillis: test.limitCPUMillis}}},
			}).Code, OK)
			m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{
				{Id: "t", BornUnixMs: 1, Pool: "p", Vm: "vm", Capacity: &pb.Resources{CpuMillis: 16000}},
			}}}})
			job := &pb.Job{Id: "j", Queue: "q", Workspace: "w", Steps: []*pb.Step{{Tasks: 3, Gang: true, Needs: &pb.Resources{CpuMillis: 1000}}}}
			m.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: job}}})
			var starts []*pb.Start
			for i := range uint32(3) {
				starts = append(starts, &pb.Start{Task: TaskID{Job: "j", Index: i}.Ref(1), Target: "t", TargetBornUnixMs: 1})
			}
			out := m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: starts}}})
			is.Equal(len(out.Refused), 3-test.placed)
			m.machine.View(func(v *View) { is.Equal(len(v.PlacedOn("t")), test.placed) })
		})
	}
}

// TestFirstFinishedRunCompletesTask runs a task twice: the task is done as soon as either
// run is done, the other run holds its resources until it has ended, and no run starts again.
func TestFirstFinishedRunCompletesTask(t *testing.T) {
	for _, first := range []uint32{1, 2} {
		t.Run(fmt.Sprintf("run %d is done first", first), func(t *testing.T) {
			is := is.New(t)
			m := copiesMachine(t)
			is.Equal(m.start(1, "a", false), "")
			is.Equal(m.start(2, "a", true), "the other run is on the target")
			is.Equal(m.start(2, "b", false), "task is TASK_STATE_PLACED")
			is.Equal(m.start(2, "b", true), "")
			is.Equal(m.start(3, "c", true), "task may have no copy now")
			on := map[uint32]string{1: "a", 2: "b"}
			m.end(first, on[first], pb.EndKind_END_KIND_DONE)
			m.machine.View(func(v *View) {
				is.Equal(v.Job("j").State, pb.JobState_JOB_STATE_DONE)
				is.Equal(len(v.PlacedOn(on[3-first])), 1)
				is.Equal(len(v.OpenJobs()), 1)
			})
			is.True(m.start(3, "c", true) != "")
			m.end(3-first, on[3-first], pb.EndKind_END_KIND_STOPPED)
			m.machine.View(func(v *View) {
				is.Equal(len(v.PlacedOn(on[3-first])), 0)
				is.Equal(len(v.OpenJobs()), 0)
			})
		})
	}
}

// TestCopyOutlivesNewestRun loses the newer of two runs: the earlier one keeps running, and
// a new copy may start. Once a former run has done the work, no copy may start.
func TestCopyOutlivesNewestRun(t *testing.T) {
	is := is.New(t)
	m := copiesMachine(t)
	is.Equal(m.start(1, "a", false), "")
	is.Equal(m.start(2, "b", true), "")
	m.end(2, "b", pb.EndKind_END_KIND_LOST)
	is.Equal(m.start(3, "b", false), "task is TASK_STATE_WAITING")
	is.Equal(m.start(3, "b", true), "")
	m.end(1, "a", pb.EndKind_END_KIND_LOST)
	m.end(2, "b", pb.EndKind_END_KIND_DONE) // the lost run began late
	is.Equal(m.start(4, "c", true), "task may have no copy now")
}

// copiesMachine returns a machine with three targets and a job of one task that allows copies.
func copiesMachine(t *testing.T) *testMachine {
	m := &testMachine{t: t, machine: New()}
	m.put(&pb.Catalogue{
		Version: 1, Pools: []*pb.Pool{{Name: "p"}},
		Queues: []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, MaxAttempts: 2, Open: true}},
	})
	for _, id := range []string{"a", "b", "c"} {
		m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{
			{Id: id, BornUnixMs: 1, Pool: "p", Vm: "vm-" + id, Capacity: &pb.Resources{CpuMillis: 16000}},
		}}}})
	}
	job := &pb.Job{Id: "j", Queue: "q", Steps: []*pb.Step{{Tasks: 1, Copies: true, Needs: &pb.Resources{CpuMillis: 1000}}}}
	m.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: job}}})
	return m
}

// start starts a run of the only task and returns why it was refused, or "".
func (m *testMachine) start(attempt uint32, target string, copied bool) string {
	m.t.Helper()
	out := m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{
		{Task: TaskID{Job: "j"}.Ref(attempt), Target: target, TargetBornUnixMs: 1, Copy: copied},
	}}}})
	if len(out.Refused) > 0 {
		return out.Refused[0].Reason
	}
	return ""
}

func (m *testMachine) end(attempt uint32, target string, kind pb.EndKind) {
	m.t.Helper()
	m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Ends: []*pb.End{
		{Task: TaskID{Job: "j"}.Ref(attempt), Target: target, Kind: kind},
	}}}})
}

// TestWaveIsCompleteOnlyWhenAllHaveBegun orders maintenance of the VMs of a wave one
// after the other: an order alone does not complete the wave.
func TestWaveIsCompleteOnlyWhenAllHaveBegun(t *testing.T) {
	is := is.New(t)
	m := &testMachine{t: t, machine: New()}
	wave := &pb.Wave{Id: 1, Vms: []string{"a", "b", "c"}, Cap: 3, DurationMs: 1000}
	is.Equal(m.apply(&pb.Command{Body: &pb.Command_DeclareWave{DeclareWave: &pb.DeclareWave{Wave: wave}}}).Code, OK)
	complete := func() (done bool) {
		m.machine.View(func(v *View) { done = WaveComplete(v.Wave(1)) })
		return done
	}
	for i, vm := range wave.Vms {
		is.True(!complete())
		m.apply(&pb.Command{Body: &pb.Command_BeginMaintenance{BeginMaintenance: &pb.BeginMaintenance{Wave: 1, Vm: vm}}})
		is.True(!complete()) // ordered, but it may not have begun
		m.apply(&pb.Command{Body: &pb.Command_EndMaintenance{EndMaintenance: &pb.EndMaintenance{Wave: 1, Vm: vm}}})
		is.Equal(complete(), i == len(wave.Vms)-1)
	}
}
