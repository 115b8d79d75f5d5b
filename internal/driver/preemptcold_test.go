package driver

import (
	"testing"
	"time"

	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/preempt"
	"sapphirering/internal/workflow"
)

// TestColdTargetDoesNotStopPreemption guards against an urgent job that gets neither target: the cold one would make
// it late, and its free room kept the run on the warm one from being stopped. A job that is late anyway starts on
// the cold target, and no run is stopped for it.
func TestColdTargetDoesNotStopPreemption(t *testing.T) {
	room := workflow.Resources{CPUMillis: 1000, MemoryMB: 10}
	id := workflow.TaskID{Job: "j"}
	job := assign.Job{ID: "j", DeadlineMS: 1500, LateDeadlineMS: 1500, RemainingMS: 1000, Steps: []assign.Step{{Tasks: []workflow.TaskID{id}, Room: room, Needs: room}}}
	d := &Driver{waitSpans: map[workflow.TaskID]waitSpan{}}
	d.cfg.Now = time.Now
	victims := func(targets []assign.Target) []preempt.Victim {
		t.Helper()
		s := &assign.Snapshot{Targets: targets, CapacityMillis: 1_000_000, Jobs: []assign.Job{job}}
		starts, waits := assign.Plan(s)
		if len(starts) != 0 || len(waits) != 1 {
			t.Fatalf("starts %v waits %v", starts, waits)
		}
		waiting := d.waitingTasks(s, &waits[0], 5)
		in := make([]preempt.Target, len(targets))
		for i := range targets {
			in[i] = preempt.Target{ID: targets[i].ID, Free: targets[i].Free}
			if targets[i].ID == "warm" {
				in[i].Runs = []preempt.Run{{ID: workflow.TaskID{Job: "low"}, Room: room, Priority: 5, EndsInMS: 60_000, UnsavedMS: 100}}
			}
		}
		return preempt.Plan(waiting, in)
	}
	warm := assign.Target{ID: "warm", Free: workflow.Resources{MemoryMB: 100}}
	cold := assign.Target{ID: "cold", Free: workflow.Resources{CPUMillis: 4000, MemoryMB: 100}, ColdFor: 4 * time.Second}
	if got := victims([]assign.Target{warm}); len(got) != 1 {
		t.Fatalf("without a cold target: %v", got)
	}
	if got := victims([]assign.Target{warm, cold}); len(got) != 1 {
		t.Errorf("with a cold target no run is stopped for the job, and the job is not placed on the cold one either: %v", got)
	}
	job.DeadlineMS, job.LateDeadlineMS = 500, 5000
	starts, _ := assign.Plan(&assign.Snapshot{Targets: []assign.Target{warm, cold}, CapacityMillis: 1_000_000, Jobs: []assign.Job{job}})
	if len(starts) != 1 || starts[0].Target != "cold" {
		t.Errorf("a job that is late anyway: %v", starts)
	}
}
