package driver_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// newZoneRig returns a rig with target a in zone "a" and target b in zone "b".
func newZoneRig(t *testing.T) *rig {
	r := newRig(t, "a", "b")
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Zone = "b" })
	r.startLeader()
	// The targets are registered in zone "a" until they start anew.
	r.fleet.Restart("b")
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Zone = "b" })
	r.eventually("the zone is registered", testWait, func() bool {
		zone := ""
		r.machine.View(func(v *workflow.View) { zone = v.Target("b").GetZone() })
		return zone == "b"
	})
	return r
}

func (r *rig) orderEvacuation(operation pb.Operation, zone string) *pb.Response {
	return r.request(&pb.Request{Operation: operation, Zone: zone})
}

func (r *rig) beginEvacuation(zone string) {
	r.t.Helper()
	if answer := r.orderEvacuation(pb.Operation_OPERATION_BEGIN_EVACUATION, zone); answer.Answer != pb.Answer_ANSWER_OK {
		r.t.Fatalf("begin of %s: %s: %s", zone, answer.Answer, answer.Reason)
	}
}

// TestEvacuatedZoneGetsNoStarts evacuates a zone, changes the leader and revokes the order. What runs in the
// zone goes on; nothing starts there in between.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	is := is.New(t)
	r := newZoneRig(t)
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Room = 1 })
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Work = time.Second })
	r.submit("before", 3)
	r.eventually("tasks run in both zones", testWait, func() bool { return r.fleet.Running("a") == 1 && r.fleet.Running("b") == 2 })
	r.beginEvacuation("b")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Room, t.Work = 4, 60*time.Millisecond })
	r.submit("first", 8)
	r.waitDone("before", "first")
	r.startLeader()
	r.submit("second", 8)
	r.waitDone("second")
	is.Equal(r.fleet.Started("b"), 2)
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submit("third", 6)
	r.eventually("the other zone is full", testWait, func() bool { return r.fleet.Running("a") == 4 })
	explained := r.request(&pb.Request{Operation: pb.Operation_OPERATION_EXPLAIN, Host: "h", Path: "/p/third", Job: &pb.Job{Id: "third"}})
	is.True(strings.Contains(strings.Join(explained.Lines, "\n"), `zone "b" is evacuated`))
	is.Equal(r.fleet.Started("b"), 2)
	is.Equal(r.orderEvacuation(pb.Operation_OPERATION_END_EVACUATION, "b").Answer, pb.Answer_ANSWER_OK)
	r.eventually("the zone gets starts again", testWait, func() bool { return r.fleet.Running("b") == 2 })
	r.reportFaults()
}

// TestUnsentStartInEvacuatedZone changes the leader between the commit of starts and their calls, and evacuates
// their zone in between: the new leader must stop them instead of sending them, and start the tasks elsewhere.
func TestUnsentStartInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	r := newZoneRig(t)
	r.stop()
	commit := func(command *pb.Command) {
		out, err := r.log.Commit(t.Context(), command)
		is.NoErr(err)
		is.Equal(len(out.Refused), 0)
		is.Equal(out.Code, workflow.OK)
	}
	commit(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{
		Id: "j", Queue: "proofs", QueueHost: "h", QueuePath: "/p/", Steps: []*pb.Step{{Tasks: 2, Needs: &pb.Resources{CpuMillis: 1000}, EstimateMs: 60}},
	}}}})
	born := int64(0)
	r.machine.View(func(v *workflow.View) { born = v.Target("b").BornUnixMs })
	for i := range uint32(2) {
		commit(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{
			{Task: workflow.TaskID{Job: "j", Index: i}.Ref(1), Target: "b", TargetBornUnixMs: born},
		}}}})
	}
	commit(&pb.Command{Body: &pb.Command_BeginEvacuation{BeginEvacuation: &pb.BeginEvacuation{Order: &pb.EvacuationOrder{Zone: "b"}}}})
	r.startLeader()
	r.waitDone("j")
	is.Equal(r.fleet.Started("b"), 0)
	r.reportFaults()
}

// TestEvacuationOfZoneThatIsCutOff cuts a zone off, evacuates it and lets it come back: the
// start calls that were lost must not be sent again there.
func TestEvacuationOfZoneThatIsCutOff(t *testing.T) {
	is := is.New(t)
	r := newZoneRig(t)
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Room = 1 })
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Silent = true })
	r.submit("j", 6)
	r.beginEvacuation("b")
	time.Sleep(300 * time.Millisecond)
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Silent = false })
	r.waitDone("j")
	is.Equal(r.fleet.Started("b"), 0)
	r.reportFaults()
}

// TestEvacuationAnswers checks the answers to orders: none is acknowledged that is not committed, a resend of an
// acknowledged one succeeds at the next leader, and zones that were never named are unknown.
func TestEvacuationAnswers(t *testing.T) {
	const begin, end, get = pb.Operation_OPERATION_BEGIN_EVACUATION, pb.Operation_OPERATION_END_EVACUATION, pb.Operation_OPERATION_GET_EVACUATION
	is := is.New(t)
	r := newRig(t, "a")
	r.vms = busyPlatform{listed: []driver.VM{{Name: "vm-x", Zone: "listed"}}}
	r.startLeader()
	is.Equal(r.orderEvacuation(end, "a").Answer, pb.Answer_ANSWER_OK) // without a begin
	r.eventually("the VMs are listed", testWait, func() bool { return r.orderEvacuation(get, "listed").Answer == pb.Answer_ANSWER_OK })
	for _, operation := range []pb.Operation{begin, end, get} {
		answer := r.orderEvacuation(operation, "never-named")
		is.Equal(answer.Answer, pb.Answer_ANSWER_GONE)
		is.True(strings.Contains(answer.Reason, `"never-named"`))
	}
	number := r.orderEvacuation(get, "a").OrderNumber
	order := &pb.Request{Operation: begin, Zone: "a", OrderId: "1", OrderAfter: number}
	r.log.mu.Lock()
	r.log.failCommits = true
	r.log.mu.Unlock()
	is.Equal(r.request(order).Answer, pb.Answer_ANSWER_UNKNOWN)
	r.log.mu.Lock()
	r.log.failCommits = false
	r.log.mu.Unlock()
	is.True(!r.orderEvacuation(get, "a").Evacuated)
	is.Equal(r.request(order).Answer, pb.Answer_ANSWER_OK)
	r.startLeader() // the answer was lost with the leader
	is.Equal(r.request(order).Answer, pb.Answer_ANSWER_OK)
	is.True(r.orderEvacuation(get, "a").Evacuated)
	late := &pb.Request{Operation: end, Zone: "a", OrderId: "2", OrderAfter: number}
	is.Equal(r.request(late).Answer, pb.Answer_ANSWER_CONFLICT)
	is.True(r.orderEvacuation(get, "a").Evacuated)
	is.Equal(r.orderEvacuation(end, "a").Answer, pb.Answer_ANSWER_OK)
	is.True(!r.orderEvacuation(get, "a").Evacuated)
}

// TestEvacuationStatus lists what still runs in a zone.
func TestEvacuationStatus(t *testing.T) {
	is := is.New(t)
	r := newZoneRig(t)
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submit("j", 8)
	r.eventually("both zones are full", testWait, func() bool { return r.fleet.Running("a")+r.fleet.Running("b") == 8 })
	r.beginEvacuation("b")
	lines := r.orderEvacuation(pb.Operation_OPERATION_GET_EVACUATION, "b").Lines
	is.True(strings.HasPrefix(lines[0], "zone b has been evacuated for"))
	is.Equal(lines[1], "4 tasks run on its 1 targets, 0 of them long-running")
	is.True(slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, "b on VM vm-b runs j.0.0.") }))
}

// TestLastingTasksLeaveEvacuatedZone evacuates a zone with long-running tasks: they move to the other zone as far as
// there is room, and of a step that bears one task away never more than one is.
func TestLastingTasksLeaveEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name       string
		room, stay int
	}{{"room for all", 8, 0}, {"room for three", 3, 1}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newZoneRig(t)
			r.fleet.Lasting = map[string]bool{"j": true}
			r.fleet.Change("a", func(t *standin.StepTarget) { t.Room = test.room })
			r.fleet.Restart("a") // announces its room
			r.fleet.Change("a", func(t *standin.StepTarget) { t.Room = test.room })
			r.eventually("the room is registered", testWait, func() bool {
				cpu := int64(0)
				r.machine.View(func(v *workflow.View) { cpu = v.Target("a").GetCapacity().GetCpuMillis() })
				return cpu == int64(test.room)*1000
			})
			answer := r.request(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/p/j", Job: &pb.Job{Id: "j", Steps: []*pb.Step{{
				Tasks: 4, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, Lasting: true, MaxUnavailable: 1,
			}}}})
			is.Equal(answer.Answer, pb.Answer_ANSWER_OK)
			running := func() int { return r.fleet.Running("a") + r.fleet.Running("b") }
			r.eventually("all tasks run", testWait, func() bool { return running() == 4 })
			is.Equal(r.fleet.Running("b"), 2)
			r.beginEvacuation("b")
			least := 4
			r.eventually("the tasks have moved", 2*testWait, func() bool {
				least = min(least, running())
				return r.fleet.Running("b") == test.stay && running() == 4
			})
			time.Sleep(time.Second)
			is.Equal(r.fleet.Running("b"), test.stay)
			is.Equal(least, 3)
			r.reportFaults()
		})
	}
}

// orderRecorder takes every VM down and records the VMs in the order in which they were ordered.
type orderRecorder struct {
	busyPlatform
	mu     sync.Mutex
	orders []string
}

func (p *orderRecorder) Maintain(_ context.Context, order driver.VMOrder, _ uint64) (driver.VMRefusal, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.orders, order.VM) {
		p.orders = append(p.orders, order.VM)
	}
	return driver.VMAccepted, nil
}

func (p *orderRecorder) ordered() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders)
}

// TestWaveBeginsInEvacuatedZone declares a wave that has time to take one VM down after the other. Those of an evacuated
// zone must go first, as many at once as the cap allows.
func TestWaveBeginsInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	platform := &orderRecorder{}
	wave := &pb.Wave{Id: 1, Cap: 3, DurationMs: 60_000}
	for _, vm := range []driver.VM{{Name: "x1", Zone: "a"}, {Name: "x2", Zone: "a"}, {Name: "y1", Zone: "b"}, {Name: "y2", Zone: "b"}, {Name: "y3", Zone: "b"}} {
		vm.State = driver.VMInMaintenance
		platform.listed = append(platform.listed, vm)
		wave.Vms = append(wave.Vms, vm.Name)
	}
	r.vms = platform
	r.startLeader()
	r.eventually("the VMs are listed", testWait, func() bool {
		return r.orderEvacuation(pb.Operation_OPERATION_GET_EVACUATION, "b").Answer == pb.Answer_ANSWER_OK
	})
	r.beginEvacuation("b")
	is.Equal(r.request(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave}).Answer, pb.Answer_ANSWER_OK)
	r.eventually("the VMs of the zone are ordered down", testWait, func() bool { return len(platform.ordered()) >= 3 })
	first := platform.ordered()
	slices.Sort(first)
	is.Equal(first, []string{"y1", "y2", "y3"})
}
