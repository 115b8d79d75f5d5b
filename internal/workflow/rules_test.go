package workflow

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// testMachine applies commands one after the other.
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

// TestCatalogueVersions covers which version is in force: the highest, the first
// content under its number, and nothing that is invalid. What was overtaken or
// sent again is acknowledged.
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
		{version(4, "four"), OK, "five"},         // overtaken
		{version(5, "another five"), OK, "five"}, // other content under the number in force
		{version(9, "nine"), OK, "nine"},         // versions rise in uneven steps
		{version(5, "five, late"), OK, "nine"},   // carried out late
		{&pb.Catalogue{Version: 12, Source: []byte("bad"), Queues: []*pb.Queue{{Name: "q", Pool: "none"}}}, Invalid, "nine"},
		{version(10, "ten"), OK, "ten"}, // below a version that was refused
	} {
		is.Equal(m.put(step.put).Code, step.code)
		is.Equal(m.source(), step.inForce)
	}
}

// TestGangStartsWhole starts a gang of three of which one member does not fit:
// none starts. With room for all, all start.
func TestGangStartsWhole(t *testing.T) {
	for _, test := range []struct {
		name   string
		room   int64
		placed int
	}{{"room for two", 2500, 0}, {"room for all", 3500, 3}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := &testMachine{t: t, machine: New()}
			is.Equal(m.put(&pb.Catalogue{
				Version: 1, Pools: []*pb.Pool{{Name: "p"}},
				Queues:     []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, MaxAttempts: 2, Open: true}},
				Workspaces: []*pb.Workspace{{Name: "w", Keys: []string{"k"}, Limit: &pb.Resources{CpuMillis: test.room}}},
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

// TestFirstCopyCounts runs a task twice: whichever run is done first, the task is done
// at once, the other run holds its room until it has ended, and nothing starts anew.
func TestFirstCopyCounts(t *testing.T) {
	for _, first := range []uint32{1, 2} {
		t.Run(fmt.Sprintf("run %d is first", first), func(t *testing.T) {
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

// TestCopyOutlivesNewestRun loses the newer of two runs: the earlier one goes on, and
// may be copied again. Once a former run has done the work, it may not.
func TestCopyOutlivesNewestRun(t *testing.T) {
	is := is.New(t)
	m := copiesMachine(t)
	is.Equal(m.start(1, "a", false), "")
	is.Equal(m.start(2, "b", true), "")
	m.end(2, "b", pb.EndKind_END_KIND_LOST)
	is.Equal(m.start(3, "b", false), "task is TASK_STATE_WAITING")
	is.Equal(m.start(3, "b", true), "")
	m.end(1, "a", pb.EndKind_END_KIND_LOST)
	m.end(2, "b", pb.EndKind_END_KIND_DONE) // it began late
	is.Equal(m.start(4, "c", true), "task may have no copy now")
}

// copiesMachine holds a job of one task that may be copied, and three targets.
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

// TestWaveIsCompleteOnlyWhenAllHaveBegun orders the VMs of a wave down one after
// the other: an order alone does not complete it.
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
		is.True(!complete()) // ordered, it may not have begun
		m.apply(&pb.Command{Body: &pb.Command_EndMaintenance{EndMaintenance: &pb.EndMaintenance{Wave: 1, Vm: vm}}})
		is.Equal(complete(), i == len(wave.Vms)-1)
	}
}
