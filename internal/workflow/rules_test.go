package workflow

import (
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
			m.machine.View(func(v *View) { is.Equal(len(v.Placed("t")), test.placed) })
		})
	}
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
