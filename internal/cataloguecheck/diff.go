package cataloguecheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "sapphirering/internal/workflow/workflowpb"
)

// Change is one field that differs between the catalogue in force and another one.
type Change struct {
	// Field is a path such as `queues["proofs"].pool`.
	Field string
	// InForce and New are the values; empty if the entry does not exist.
	InForce, New string
	// Effect is what the change does to those connected; empty if nothing.
	Effect string
}

// Compare returns what differs from the catalogue in force, which may be nil, sorted by field.
// Values of keys are not shown.
func Compare(inForce, next *pb.Catalogue) []Change {
	var changes []Change
	if inForce != nil && next.GetVersion() <= inForce.Version {
		changes = append(changes, Change{
			Field: "version", InForce: fmt.Sprint(inForce.Version), New: fmt.Sprint(next.GetVersion()),
			Effect: "is acknowledged and changes nothing: its version must be above that in force",
		})
	}
	changes = append(changes, compareLists("queues", inForce.GetQueues(), next.GetQueues(), queueEffect)...)
	changes = append(changes, compareLists("pools", inForce.GetPools(), next.GetPools(), poolEffect)...)
	changes = append(changes, compareLists("workspaces", withoutKeys(inForce.GetWorkspaces()), withoutKeys(next.GetWorkspaces()), workspaceEffect)...)
	changes = append(changes, compareKeys(inForce.GetWorkspaces(), next.GetWorkspaces())...)
	if was, is := inForce.GetMaxBodyBytes(), next.GetMaxBodyBytes(); was != is {
		changes = append(changes, Change{Field: "max_body_bytes", InForce: fmt.Sprint(was), New: fmt.Sprint(is)})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Field, b.Field) })
	return changes
}

// named is an entry of a catalogue.
type named interface {
	proto.Message
	GetName() string
}

// effect returns what a changed field does; field is empty if the whole entry was added or removed.
type effect func(field string, added bool) string

func compareLists[T named](list string, inForce, next []T, effectOf effect) []Change {
	var changes []Change
	before, after := byName(inForce), byName(next)
	for name, entry := range before {
		path := fmt.Sprintf("%s[%q]", list, name)
		other, ok := after[name]
		if !ok {
			changes = append(changes, Change{Field: path, InForce: "present", Effect: effectOf("", false)})
			continue
		}
		changes = append(changes, compareFields(path, entry, other, effectOf)...)
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			changes = append(changes, Change{Field: fmt.Sprintf("%s[%q]", list, name), New: "present", Effect: effectOf("", true)})
		}
	}
	return changes
}

func byName[T named](entries []T) map[string]T {
	out := make(map[string]T, len(entries))
	for _, entry := range entries {
		out[entry.GetName()] = entry
	}
	return out
}

func compareFields(path string, inForce, next proto.Message, effectOf effect) []Change {
	var changes []Change
	before, after := inForce.ProtoReflect(), next.ProtoReflect()
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		was, is := fieldText(before, field), fieldText(after, field)
		if was != is {
			changes = append(changes, Change{Field: path + "." + string(field.Name()), InForce: was, New: is, Effect: effectOf(string(field.Name()), false)})
		}
	}
	return changes
}

func fieldText(m protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if resources, ok := m.Get(field).Interface().(protoreflect.Message); ok {
		r, ok := resources.Interface().(*pb.Resources)
		if ok {
			return fmt.Sprintf("cpu_millis %d, memory_mb %d, accelerators %d", r.GetCpuMillis(), r.GetMemoryMb(), r.GetAccelerators())
		}
	}
	return m.Get(field).String()
}

func queueEffect(field string, added bool) string {
	switch {
	case field == "" && added:
		return ""
	case field == "":
		return "its callers get 404; jobs that were accepted go on"
	}
	return map[string]string{
		"host":         "callers at the former host get 404; jobs that were accepted go on",
		"path_prefix":  "callers at the former path get 404; jobs that were accepted go on",
		"pool":         "tasks start on the VMs of the new pool; those that run go on where they are",
		"open":         "whether calls without a key are accepted changes at once",
		"max_attempts": "jobs with a task that has failed as often as the new number fail",
		"priority":     "the order of the jobs that wait changes at once",
	}[field]
}

func poolEffect(field string, added bool) string {
	switch {
	case field == "" && !added:
		return "its targets get no tasks"
	case field == "resting":
		return "whether the pool's VMs are off changes how many VMs the other pools can get"
	}
	return ""
}

func workspaceEffect(field string, added bool) string {
	switch {
	case field == "" && !added:
		return "calls with its keys get 401; its jobs go on"
	case field == "limit":
		return "tasks above a lower limit go on; none are started until the use is below it"
	case field == "weight":
		return "the order in which its jobs and those of others start changes at once"
	}
	return ""
}

// withoutKeys returns copies of workspaces that hold no keys.
func withoutKeys(workspaces []*pb.Workspace) []*pb.Workspace {
	out := make([]*pb.Workspace, len(workspaces))
	for i, w := range workspaces {
		out[i] = proto.CloneOf(w)
		out[i].Keys = nil
	}
	return out
}

// compareKeys returns which workspaces lose or get keys, without the keys themselves.
func compareKeys(inForce, next []*pb.Workspace) []Change {
	before, after := byName(inForce), byName(next)
	var changes []Change
	for name, w := range after {
		former, ok := before[name]
		if !ok || reflect.DeepEqual(former.Keys, w.Keys) {
			continue
		}
		removed, added := missing(former.Keys, w.Keys), missing(w.Keys, former.Keys)
		if removed+added == 0 {
			continue
		}
		change := Change{Field: fmt.Sprintf("workspaces[%q].keys", name), InForce: fmt.Sprintf("%d keys", len(former.Keys)), New: fmt.Sprintf("%d keys, %d of them new", len(w.Keys), added)}
		if removed > 0 {
			change.Effect = fmt.Sprintf("calls with the %d removed keys get 401; jobs that were accepted go on", removed)
		}
		changes = append(changes, change)
	}
	return changes
}

// missing counts the keys that others lacks.
func missing(keys, others []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}
