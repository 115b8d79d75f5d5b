package driver

import (
	"fmt"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// maxFailing limits the jobs whose end as failed is being committed. The next plan finds the others.
const maxFailing = 64

// failUsedUp ends the job of a waiting task as failed whose attempts are used up: the state refuses
// each start of the task. A run that ends as failed ends its job when it is applied; what is
// left are tasks that had failed before the catalogue allowed fewer attempts. While a run of
// such a task goes on, it may still complete the task.
func (d *Driver) failUsedUp(task *workflow.Task, queue *pb.Queue) {
	job := task.Job.Spec.Id
	if d.failing[job] || len(d.failing) >= maxFailing {
		return
	}
	d.failing[job] = true
	reason := fmt.Sprintf("task %s failed %d times, its queue allows %d", task.ID, task.Failed, queue.MaxAttempts)
	fail := &pb.FailJob{Job: job, Reason: reason, UsedUp: task.ID.Ref(task.Attempt)}
	d.background(func() {
		out, err := d.commit(&pb.Command{Body: &pb.Command_FailJob{FailJob: fail}})
		d.mu.Lock()
		delete(d.failing, job)
		d.mu.Unlock()
		switch {
		case err != nil:
			event.EndsUncommitted.Emit(event.F("job", job), event.Err(err))
		case out.Code == workflow.OK:
			event.JobUsedUp.Emit(event.F("job", job), event.F("reason", reason), event.F("index", out.Index))
			d.requestRound()
		}
	})
}
