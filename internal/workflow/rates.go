package workflow

import (
	"maps"
	"slices"

	"sapphirering/internal/policy/shares"
	pb "sapphirering/internal/workflow/workflowpb"
)

// beyondRate takes a new job from the bucket of its workspace and reports whether the workspace has
// submitted more jobs than its weight allows. Lasting jobs and jobs with due times count as within
// and take nothing: the time of their submission says nothing of when they use a pool.
func (m *Machine) beyondRate(spec *pb.Job) bool {
	workspace := m.lookup.workspaces[spec.Workspace]
	if workspace == nil || spec.Occurrences > 0 || spec.Steps[0].Lasting {
		return false
	}
	bucket, known := m.rates[workspace.Name]
	if !known {
		bucket = shares.Full(workspace.Weight, m.nowMS)
	}
	within := bucket.Take(workspace.Weight, m.nowMS)
	if workspace.Weight > 0 {
		m.rates[workspace.Name] = bucket
	}
	return !within
}

// BeyondRate reports whether a job would be beyond the rate of its workspace if it were submitted now.
func (v *View) BeyondRate(spec *pb.Job, nowMS int64) bool {
	workspace := v.lookup.workspaces[spec.GetWorkspace()]
	bucket, known := v.rates[workspace.GetName()]
	return known && !bucket.Take(workspace.GetWeight(), nowMS)
}

// forgetRates removes the buckets of workspaces that the catalogue does not have or give a rate.
func (m *Machine) forgetRates() {
	maps.DeleteFunc(m.rates, func(name string, _ shares.Bucket) bool { return !(m.lookup.workspaces[name].GetWeight() > 0) })
}

func (m *Machine) storeRates() []*pb.StoredRate {
	var out []*pb.StoredRate
	for _, name := range slices.Sorted(maps.Keys(m.rates)) {
		out = append(out, &pb.StoredRate{Workspace: name, Tokens: m.rates[name].Tokens, AtUnixMs: m.rates[name].AtMS})
	}
	return out
}
