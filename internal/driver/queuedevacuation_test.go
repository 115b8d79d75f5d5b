package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/maintenance"
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
	applyAt(t, d, index+1, beginEvacuationOf("z"))
}

func beginEvacuationOf(zone string) *pb.Command {
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

// TestEvacuatedZoneIsNoSupply evacuates the zone of one of three VMs of a pool: its room must not count, it must
// not move to another pool, and once no long-running task is left there, its maintenance comes before that of the
// others, also beyond the wave's pace.
func TestEvacuatedZoneIsNoSupply(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	d.fleet.vms = make(map[string]VM)
	for _, id := range []string{"t0", "t1", "t2"} {
		d.fleet.vms["vm-"+id] = VM{Name: "vm-" + id, Pool: "p", Capacity: workflow.Resources{CPUMillis: 1000}}
		d.links[id].clockAt, d.links[id].lastAnnounced = now, now
	}
	d.pools.moving["vm-away"] = &move{to: "p", cpu: 1000}
	d.fleet.vms["vm-away"] = VM{Name: "vm-away", Zone: "z"}
	describe := func() (unavailable, incoming int, capacity int64, targets int) {
		d.cfg.Machine.View(func(v *workflow.View) {
			pool := d.poolSnapshot(v, now).Pools[0]
			for _, vm := range pool.VMs {
				if vm.Unavailable && vm.Fixed {
					unavailable++
				}
			}
			plan, room := d.planTargets(v, "p")
			incoming, capacity, targets = pool.Incoming, room, len(plan)
		})
		return
	}
	unavailable, incoming, capacity, targets := describe()
	is.Equal([]int{unavailable, incoming, int(capacity), targets}, []int{0, 1, 3*900 + 1000, 3})
	evacuateAt(t, d, 100, "t2")
	unavailable, incoming, capacity, targets = describe()
	is.Equal([]int{unavailable, incoming, int(capacity), targets}, []int{1, 0, 2 * 900, 2})

	wave := &pb.Wave{Id: 1, Vms: []string{"vm-t0", "vm-t1", "vm-t2"}, Cap: 2}
	candidates := d.candidates(wave, wave.Vms)
	is.Equal(maintenance.CountEvacuated(candidates), 0) // a long-running task is still there
	var left workflow.TaskID
	d.cfg.Machine.View(func(v *workflow.View) {
		for id := range v.PlacedOn("t2") {
			left = id
		}
	})
	applyAt(t, d, 102, &pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Ends: []*pb.End{{Task: left.Ref(1), Target: "t2", Kind: pb.EndKind_END_KIND_NOT_RUN}}}}})
	candidates = d.candidates(wave, wave.Vms)
	maintenance.SortForMaintenance(candidates)
	is.Equal(candidates[0].VM, "vm-t2")
	is.Equal(maintenance.ToCordon(candidates, 1, time.Hour, time.Second), []string{"vm-t2"})
	d.cfg.Machine.View(func(v *workflow.View) {
		is.Equal(d.noStartReasons(v, "vm-t2"), []string{`availability zone "z" is evacuated`})
	})
}
