package workflow

import pb "sapphirering/internal/workflow/workflowpb"

// Resources is an amount of resources that a task needs or a target has.
type Resources struct {
	// CPUMillis is in thousandths of a core.
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
}

// ResourcesOf converts the protobuf message; nil gives no resources.
func ResourcesOf(r *pb.Resources) Resources {
	return Resources{CPUMillis: r.GetCpuMillis(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// FitsIn reports whether r is within the available resources.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPUMillis <= available.CPUMillis && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Slots returns how many tasks with the given needs fit into r at the same time; at
// most maxSlots.
func (r Resources) Slots(needs Resources) int {
	slots := int64(maxSlots)
	for _, part := range [...]struct{ free, needed int64 }{
		{r.CPUMillis, needs.CPUMillis}, {r.MemoryMB, needs.MemoryMB}, {r.Accelerators, needs.Accelerators},
	} {
		if part.needed > 0 {
			slots = min(slots, max(part.free, 0)/part.needed)
		}
	}
	return int(slots)
}

// maxSlots limits the number of tasks that need no resources.
const maxSlots = 1000

// RequiredCapacity returns the capacity that a task of the step takes on a target. Tasks
// of a step with Fills take no CPU capacity: they use what other tasks leave idle.
func RequiredCapacity(s *pb.Step) Resources {
	r := ResourcesOf(s.Needs)
	if s.Fills {
		r.CPUMillis = 0
	}
	return r
}
