package workflow

import (
	"maps"
	"slices"

	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// maxZones limits the availability zones that are remembered: their names come from the announcements
	// of targets.
	maxZones = 256
	// maxZoneName and maxOrderID limit the lengths of names of zones and of ids of orders, in bytes.
	maxZoneName, maxOrderID = 256, 64
)

// noteZone remembers an availability zone, if there is room for it.
func (m *Machine) noteZone(name string) *pb.StoredZone {
	zone := m.zones[name]
	if zone == nil && name != "" && len(name) <= maxZoneName && len(m.zones) < maxZones {
		zone = &pb.StoredZone{Name: name}
		m.zones[name] = zone
	}
	return zone
}

// noteNamedZone remembers an availability zone that an order or the leader names. If there is no room, it replaces
// the first zone by name that no target is or was in and that no order was given for: names of
// announcements would otherwise keep the zones of the settings from being evacuated. A zone with
// an order stays, since the number of its last order refuses late ones.
func (m *Machine) noteNamedZone(name string) *pb.StoredZone {
	if m.zones[name] == nil && name != "" && len(name) <= maxZoneName && len(m.zones) >= maxZones {
		inUse := make(map[string]bool)
		for _, target := range m.targets {
			inUse[target.Zone] = true
		}
		for _, former := range m.formerTargets {
			inUse[former.GetTarget().GetZone()] = true
		}
		for _, known := range slices.Sorted(maps.Keys(m.zones)) {
			if zone := m.zones[known]; !inUse[known] && !zone.Evacuated && zone.LastOrder == 0 {
				delete(m.zones, known)
				break
			}
		}
	}
	return m.noteZone(name)
}

// orderEvacuation begins or ends the evacuation of an availability zone. An order that changes
// nothing is recorded as well, so that an earlier one that is late is refused. The outcome's index is the
// number of the order, also if it was sent again.
func (m *Machine) orderEvacuation(order *pb.EvacuationOrder, evacuate bool) *Outcome {
	if order.GetZone() == "" || len(order.Zone) > maxZoneName || len(order.Id) > maxOrderID {
		return m.outcome(Invalid, "evacuation: the zone or the id of the order is empty or too long")
	}
	zone := m.noteNamedZone(order.Zone)
	switch {
	case zone == nil:
		return m.outcome(Invalid, "evacuation of zone %q: %d zones are known, no more are possible", order.Zone, maxZones)
	case order.Id != "" && order.Id == zone.LastOrderId:
		return &Outcome{Index: zone.LastOrder}
	case order.After != zone.LastOrder:
		return m.outcome(Refused, "evacuation of zone %q: order %d has been applied since order %d", order.Zone, zone.LastOrder, order.After)
	}
	if evacuate && !zone.Evacuated {
		zone.SinceUnixMs = m.nowMS
	}
	zone.Evacuated, zone.LastOrder, zone.LastOrderId = evacuate, m.index, order.Id
	return m.ok()
}

func (m *Machine) evacuated(zone string) bool { return m.zones[zone].GetEvacuated() }

// Evacuated reports whether no task may be started in an availability zone.
func (v *View) Evacuated(zone string) bool { return (*Machine)(v).evacuated(zone) }

// Zone returns what is known of an availability zone, or nil.
func (v *View) Zone(name string) *pb.StoredZone { return v.zones[name] }

// Zones returns the known availability zones by name.
func (v *View) Zones() []*pb.StoredZone {
	zones := make([]*pb.StoredZone, 0, len(v.zones))
	for _, name := range slices.Sorted(maps.Keys(v.zones)) {
		zones = append(zones, v.zones[name])
	}
	return zones
}
