package workflow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
)

func evacuationOrder(zone, id string, after uint64, begin bool) *pb.Command {
	order := &pb.EvacuationOrder{Zone: zone, Id: id, After: after}
	if begin {
		return &pb.Command{Body: &pb.Command_BeginEvacuation{BeginEvacuation: &pb.BeginEvacuation{Order: order}}}
	}
	return &pb.Command{Body: &pb.Command_EndEvacuation{EndEvacuation: &pb.EndEvacuation{Order: order}}}
}

// TestLateEvacuationOrders applies orders that were sent again, or that arrive after a later one was
// acknowledged: the order acknowledged last must hold, also in the state restored from a snapshot.
func TestLateEvacuationOrders(t *testing.T) {
	is := is.New(t)
	m := &testMachine{t: t, machine: New()}
	for _, step := range []struct {
		id        string
		after     uint64
		begin     bool
		code      Code
		evacuated bool
	}{
		{"a", 0, false, OK, false},     // an end without a begin
		{"b", 0, true, Refused, false}, // overtaken by the end, although that changed nothing
		{"c", 1, true, OK, true},
		{"c", 1, true, OK, true}, // sent again
		{"d", 1, false, Refused, true},
		{"e", 3, true, OK, true}, // begun twice
		{"f", 6, false, OK, false},
		{"e", 3, true, Refused, false}, // sent again after the end
	} {
		out := m.apply(evacuationOrder("z", step.id, step.after, step.begin))
		is.Equal(out.Code, step.code)
		if out.Code == OK {
			is.Equal(out.Index, (*View)(m.machine).Zone("z").LastOrder) // the order's number
		}
		snapshot, err := m.machine.Snapshot()
		is.NoErr(err)
		is.NoErr(m.machine.Restore(snapshot))
		m.machine.View(func(v *View) { is.Equal(v.Evacuated("z"), step.evacuated) })
	}
	is.Equal(m.apply(evacuationOrder("", "g", 0, true)).Code, Invalid)
}

// TestZonesAreRemembered removes the targets of a zone: an order for it must still be possible. The
// zones of a snapshot of a version that stored none come from its targets. The number of zones is
// limited, since their names come from announcements.
func TestZonesAreRemembered(t *testing.T) {
	is := is.New(t)
	m := &testMachine{t: t, machine: New()}
	targets := []*pb.Target{{Id: "t", BornUnixMs: 1, Zone: "z", Vm: "m"}}
	m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: targets}}})
	m.machine.zones = nil
	snapshot, err := m.machine.Snapshot()
	is.NoErr(err)
	is.NoErr(m.machine.Restore(snapshot))
	m.apply(&pb.Command{Body: &pb.Command_RemoveTargets{RemoveTargets: &pb.RemoveTargets{Targets: targets}}})
	is.True((*View)(m.machine).Zone("z") != nil)
	var names []string
	for i := range maxZones + 5 {
		names = append(names, fmt.Sprintf("z%d", i))
	}
	names = append(names, "", strings.Repeat("z", maxZoneName+1))
	m.apply(&pb.Command{Body: &pb.Command_NoteZones{NoteZones: &pb.NoteZones{Zones: names}}})
	is.Equal(len(m.machine.zones), maxZones)
	is.Equal(m.apply(evacuationOrder("one too many", "a", 0, true)).Code, OK)
	is.Equal(len(m.machine.zones), maxZones)
	is.Equal(m.apply(evacuationOrder("z", "a", 0, true)).Code, OK)
}

// TestNamedZonesReplaceUnused fills the list of zones with names of announcements: it guards against orders for zones
// of the settings that are then refused for good. Zones of present and former targets and those with an order stay.
func TestNamedZonesReplaceUnused(t *testing.T) {
	is := is.New(t)
	m := &testMachine{t: t, machine: New()}
	present := &pb.Target{Id: "t", BornUnixMs: 1, Zone: "a-present", Vm: "m"}
	former := &pb.Target{Id: "u", BornUnixMs: 1, Zone: "a-former", Vm: "n"}
	m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{present, former}}}})
	m.apply(&pb.Command{Body: &pb.Command_RemoveTargets{RemoveTargets: &pb.RemoveTargets{Targets: []*pb.Target{former}}}})
	is.Equal(m.apply(evacuationOrder("a-ended", "a", 0, false)).Code, OK) // its order's number refuses late orders
	for i := len(m.machine.zones); i < maxZones; i++ {
		m.machine.noteZone(fmt.Sprintf("junk-%03d", i))
	}
	is.True(m.machine.noteZone("z") == nil) // announcements replace nothing
	is.Equal(m.apply(evacuationOrder("zone-0", "1", 0, true)).Code, OK)
	m.apply(&pb.Command{Body: &pb.Command_NoteZones{NoteZones: &pb.NoteZones{Zones: []string{"zone-1", "zone-0", "", "a-present"}}}})
	v := (*View)(m.machine)
	for _, name := range []string{"a-present", "a-former", "a-ended", "zone-0", "zone-1", "junk-005"} {
		is.True(v.Zone(name) != nil) // stays or was noted
	}
	for _, name := range []string{"junk-003", "junk-004"} {
		is.True(v.Zone(name) == nil) // the first by name are replaced
	}
	is.Equal(len(m.machine.zones), maxZones)
	// With orders for all others, nothing can be replaced.
	for i := range maxZones - 4 {
		m.apply(evacuationOrder(fmt.Sprintf("y-%03d", i), "y", 0, false))
	}
	is.Equal(m.apply(evacuationOrder("one too many", "a", 0, true)).Code, Invalid)
	is.Equal(len(m.machine.zones), maxZones)
	is.True(v.Evacuated("zone-0"))
}
