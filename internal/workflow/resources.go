package workflow

import pb "sapphirering/internal/workflow/workflowpb"

// Resources are what tasks need and targets have.
type Resources struct {
	// CPUMillis is in thousandths of a core.
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
}

// ResourcesOf decodes the message form; nil is nothing.
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

// FitsIn reports whether r is within room.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPUMillis <= room.CPUMillis && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Slots returns how many tasks of the given room fit beside each other; at most
// maxSlots.
func (r Resources) Slots(room Resources) int {
	slots := int64(maxSlots)
	for _, part := range [...]struct{ free, needed int64 }{
		{r.CPUMillis, room.CPUMillis}, {r.MemoryMB, room.MemoryMB}, {r.Accelerators, room.Accelerators},
	} {
		if part.needed > 0 {
			slots = min(slots, max(part.free, 0)/part.needed)
		}
	}
	return int(slots)
}

// maxSlots bounds the count of tasks that ask for nothing.
const maxSlots = 1000

// WithinLimit reports whether r is within a limit whose zero fields do not bound.
func (r Resources) WithinLimit(limit Resources) bool {
	return (limit.CPUMillis == 0 || r.CPUMillis <= limit.CPUMillis) &&
		(limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// RequiredCapacity returns the room that a task of the step takes on a target: a task
// that fills takes no processor room.
func RequiredCapacity(s *pb.Step) Resources {
	r := ResourcesOf(s.Needs)
	if s.Fills {
		r.CPUMillis = 0
	}
	return r
}
