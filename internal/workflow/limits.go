package workflow

import pb "sapphirering/internal/workflow/workflowpb"

// LimitAllows reports whether tasks that start together, each with the same needs, may start beside what their workspace
// uses; a zero field of the limit means no limit. In each resource they fit in what is left of the limit, or less than half
// of it is in use and they exceed it by one task at most: a task larger than what is left would never start otherwise.
func LimitAllows(limit, used, needs Resources, count int) bool {
	allows := func(limit, used, needs int64) bool {
		after := used + int64(count)*needs
		return limit == 0 || after <= limit || 2*used < limit && after <= limit+needs
	}
	return allows(limit.CPUMillis, used.CPUMillis, needs.CPUMillis) &&
		allows(limit.MemoryMB, used.MemoryMB, needs.MemoryMB) &&
		allows(limit.Accelerators, used.Accelerators, needs.Accelerators)
}

// StartsTogether returns the number of tasks of a step that start together: all of a gang, one of any other.
func StartsTogether(step *pb.Step) int {
	if step.Gang {
		return int(step.Tasks)
	}
	return 1
}

// NeverWithinLimit reports whether a workspace's limit keeps a step from starting even if nothing else of the workspace
// runs. The workspace may be nil.
func NeverWithinLimit(step *pb.Step, workspace *pb.Workspace) bool {
	return !LimitAllows(ResourcesOf(workspace.GetLimit()), Resources{}, ResourcesOf(step.Needs), StartsTogether(step))
}

// LargerThanLimit reports whether the tasks of a step that start together need more than a limit. They start only while
// less than half of it is in use.
func LargerThanLimit(step *pb.Step, workspace *pb.Workspace) bool {
	needs, together, limit := ResourcesOf(step.Needs), int64(StartsTogether(step)), ResourcesOf(workspace.GetLimit())
	exceeds := func(needs, limit int64) bool { return limit > 0 && together*needs > limit }
	return exceeds(needs.CPUMillis, limit.CPUMillis) || exceeds(needs.MemoryMB, limit.MemoryMB) || exceeds(needs.Accelerators, limit.Accelerators)
}
