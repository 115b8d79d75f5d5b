package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Serve answers a request that reached the leader.
func (d *Driver) Serve(ctx context.Context, r *pb.Request) *pb.Response {
	if !d.cfg.Log.HoldsLease() {
		return notReady(ErrNoLease.Error())
	}
	switch r.Operation {
	case pb.Operation_OPERATION_SUBMIT:
		return d.submit(ctx, r)
	case pb.Operation_OPERATION_STATUS:
		return d.status(r)
	case pb.Operation_OPERATION_CANCEL:
		return d.cancel(ctx, r)
	case pb.Operation_OPERATION_EXPLAIN:
		return d.explain(r)
	case pb.Operation_OPERATION_GET_LEARNED:
		return d.learnedOf(r.QueueName)
	case pb.Operation_OPERATION_COUNT:
		return d.count(r)
	case pb.Operation_OPERATION_ANNOUNCE:
		return d.Announce(ctx, r)
	case pb.Operation_OPERATION_NOTE_HEARD:
		return d.noteHeardTargets(r.Heard)
	case pb.Operation_OPERATION_DEREGISTER:
		return d.Deregister(r.Target.GetId(), r.Target.GetBornUnixMs())
	case pb.Operation_OPERATION_PUT_CATALOGUE:
		return d.putCatalogue(ctx, r.Catalogue)
	case pb.Operation_OPERATION_GET_CATALOGUE:
		return d.getCatalogue()
	case pb.Operation_OPERATION_DECLARE_WAVE:
		return d.declareWave(ctx, r.Wave)
	case pb.Operation_OPERATION_GET_WAVE:
		return d.getWave(r.Wave.GetId())
	case pb.Operation_OPERATION_BEGIN_EVACUATION, pb.Operation_OPERATION_END_EVACUATION:
		return d.orderEvacuation(ctx, r)
	case pb.Operation_OPERATION_GET_EVACUATION:
		return d.getEvacuation(r.Zone)
	}
	return &pb.Response{Answer: pb.Answer_ANSWER_INVALID, Reason: "unknown operation"}
}

// admit returns the queue of a request and the workspace of its key; the response is nil
// if the request is admitted. The job's id is that in the request's path, if it has one: it is stored in the request.
func admit(v *workflow.View, r *pb.Request) (*pb.Queue, *pb.Workspace, *pb.Response) {
	if v.Catalogue() == nil {
		return nil, nil, notReady("no catalogue is in force yet")
	}
	queue, refused := queueOfRequest(v, r)
	if refused != "" {
		return nil, nil, &pb.Response{Answer: pb.Answer_ANSWER_NO_QUEUE, Reason: refused}
	}
	workspace := v.WorkspaceOfKey(r.Key)
	if workspace == nil && !queue.Open {
		return nil, nil, &pb.Response{Answer: pb.Answer_ANSWER_BAD_KEY, Reason: "key belongs to no workspace"}
	}
	return queue, workspace, nil
}

// queueOfRequest returns the queue that a request names, or why there is none.
func queueOfRequest(v *workflow.View, r *pb.Request) (queue *pb.Queue, refused string) {
	if r.QueueName != "" {
		queue = v.Queue(r.QueueName)
		if job := v.Job(r.Job.GetId()); queue == nil && job != nil && job.Spec.Queue == r.QueueName && r.Operation != pb.Operation_OPERATION_SUBMIT {
			// The queue was renamed or removed since it accepted the job.
			queue = v.QueueOf(job)
		}
		if queue == nil {
			return nil, fmt.Sprintf("queue %q does not exist", r.QueueName)
		}
		return queue, ""
	}
	place := v.Resolve(r.Host, r.Path, int(r.IdDigits))
	switch {
	case place.Queue == nil:
		return nil, "no queue at this path"
	case !place.Named:
		return nil, fmt.Sprintf("no job can have this path: %q, after the prefix of queue %q, is no job id", place.JobID, place.Queue.Name)
	case place.JobID == "" && r.Operation != pb.Operation_OPERATION_STATUS && r.Operation != pb.Operation_OPERATION_COUNT:
		return nil, fmt.Sprintf("no job can have this path: it is that of queue %q", place.Queue.Name)
	}
	if r.Job == nil {
		r.Job = new(pb.Job)
	}
	r.Job.Id = place.JobID
	return place.Queue, ""
}

// maxSubmits limits how often a job is committed whose queue is renamed or removed meanwhile.
const maxSubmits = 3

func (d *Driver) submit(ctx context.Context, r *pb.Request) *pb.Response {
	for tries := 1; ; tries++ {
		response, outdated := d.trySubmit(ctx, r)
		if !outdated || tries == maxSubmits {
			return response
		}
	}
}

// trySubmit submits a job once; outdated reports that the catalogue has changed since the request
// was admitted.
func (d *Driver) trySubmit(ctx context.Context, r *pb.Request) (response *pb.Response, outdated bool) {
	var refused *pb.Response
	var queue *pb.Queue
	known := false
	d.cfg.Machine.View(func(v *workflow.View) {
		var workspace *pb.Workspace
		queue, workspace, refused = admit(v, r)
		if refused != nil {
			return
		}
		known = v.Job(r.Job.Id) != nil
		r.Job.Queue, r.Job.QueueHost, r.Job.QueuePath, r.Job.Workspace = queue.Name, queue.Host, queue.PathPrefix, workspace.GetName()
	})
	if refused != nil {
		d.noteRefused(r, refused.Answer.String(), refused.Reason)
		return refused, false
	}
	if known {
		return &pb.Response{Answer: pb.Answer_ANSWER_OK}, false
	}
	if refusal := d.beginSubmit(r.Job, queue); refusal != nil {
		d.noteRefused(r, pb.Answer_ANSWER_BUSY.String(), refusal.Reason)
		return &pb.Response{Answer: pb.Answer_ANSWER_BUSY, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfterMS}, false
	}
	out, err := d.commitWithContext(ctx, &pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: r.Job}}})
	if err == nil || errors.Is(err, replica.ErrNotLeader) {
		d.endSubmit(r.Job.Id)
	}
	if err != nil {
		return commitFailed(err), false
	}
	if out.Code == workflow.NotFound {
		return notReady(out.Reason), true
	}
	if out.Code != workflow.OK {
		d.noteRefused(r, "invalid", out.Reason)
		return &pb.Response{Answer: pb.Answer_ANSWER_INVALID, Reason: out.Reason}, false
	}
	beyondRate := false
	d.cfg.Machine.View(func(v *workflow.View) {
		if job := v.Job(r.Job.Id); job != nil {
			beyondRate = job.Spec.BeyondRate
		}
		workspace := v.Workspace(r.Job.Workspace)
		if at := slices.IndexFunc(r.Job.Steps, func(step *pb.Step) bool { return workflow.LargerThanLimit(step, workspace) }); at >= 0 {
			event.JobExceedsLimit.Emit(event.F("job", r.Job.Id), event.F("workspace", workspace.Name), event.F("step", at),
				event.F("needs", workflow.ResourcesOf(r.Job.Steps[at].Needs)), event.F("limit", workflow.ResourcesOf(workspace.Limit)))
		}
	})
	countAccepted(r.Job.Workspace, beyondRate)
	event.JobAccepted.Emit(event.F("job", r.Job.Id), event.F("queue", r.Job.Queue), event.F("workspace", r.Job.Workspace), event.F("beyond_rate", beyondRate), event.F("index", out.Index))
	d.mu.Lock()
	d.noteArrival(r.Job, queue, beyondRate)
	d.mu.Unlock()
	d.requestRound()
	return &pb.Response{Answer: pb.Answer_ANSWER_OK}, false
}

// noteRefused logs and remembers that a job was refused.
func (d *Driver) noteRefused(r *pb.Request, answer, reason string) {
	event.RequestRefused.Emit(event.F("job", r.Job.GetId()), event.F("answer", answer), event.F("reason", reason))
	d.jobRefusals.note(d.cfg.Now(), r.Job.GetId(), "refused: %s", reason)
}

// commitFailed answers for a failed commit: not ready if the command cannot take effect,
// unknown if it may.
func commitFailed(err error) *pb.Response {
	if errors.Is(err, replica.ErrNotLeader) {
		return notReady(err.Error())
	}
	return &pb.Response{Answer: pb.Answer_ANSWER_UNKNOWN, Reason: err.Error()}
}

// read answers an admitted request from the committed state.
func (d *Driver) read(r *pb.Request, answer func(*workflow.View, *pb.Queue) *pb.Response) *pb.Response {
	var response *pb.Response
	d.cfg.Machine.View(func(v *workflow.View) {
		queue, _, refused := admit(v, r)
		if refused != nil {
			response = refused
			return
		}
		response = answer(v, queue)
	})
	return response
}

func (d *Driver) status(r *pb.Request) *pb.Response {
	begun := d.hasBegun()
	return d.read(r, func(v *workflow.View, queue *pb.Queue) *pb.Response {
		if r.QueueName == "" && r.Job.GetId() == "" {
			return countWaiting(v, queue, begun)
		}
		job := v.Job(r.Job.GetId())
		if job == nil || v.QueueOf(job) != queue {
			return &pb.Response{Answer: pb.Answer_ANSWER_GONE}
		}
		return &pb.Response{Answer: pb.Answer_ANSWER_OK, State: stateOf(job, begun), Reason: job.Reason}
	})
}

func (d *Driver) cancel(ctx context.Context, r *pb.Request) *pb.Response {
	if response := d.status(r); response.Answer != pb.Answer_ANSWER_OK {
		return response
	}
	out, err := d.commitWithContext(ctx, &pb.Command{Body: &pb.Command_CancelJob{CancelJob: &pb.CancelJob{Job: r.Job.Id}}})
	if err != nil {
		return commitFailed(err)
	}
	if out.Code != workflow.OK {
		return &pb.Response{Answer: pb.Answer_ANSWER_GONE, Reason: out.Reason}
	}
	event.JobCancelled.Emit(event.F("job", r.Job.Id), event.F("index", out.Index))
	d.requestRound()
	return &pb.Response{Answer: pb.Answer_ANSWER_OK}
}

// count returns the number of jobs of a queue of which no task has begun.
func (d *Driver) count(r *pb.Request) *pb.Response {
	begun := d.hasBegun()
	return d.read(r, func(v *workflow.View, queue *pb.Queue) *pb.Response { return countWaiting(v, queue, begun) })
}

func countWaiting(v *workflow.View, queue *pb.Queue, begun map[string]struct{}) *pb.Response {
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK, Counted: true}
	for _, job := range v.OpenJobs() {
		if v.QueueOf(job) == queue && stateOf(job, begun) == pb.JobState_JOB_STATE_QUEUED {
			response.Waiting++
		}
	}
	return response
}

// putCatalogue answers once the catalogue's version, or a later one, is committed.
func (d *Driver) putCatalogue(ctx context.Context, c *pb.Catalogue) *pb.Response {
	err := workflow.CheckCatalogue(c)
	if err == nil {
		d.cfg.Machine.View(func(v *workflow.View) {
			if c.Version > v.Catalogue().GetVersion() {
				err = workflow.CheckWeights(c)
			}
		})
	}
	if err != nil {
		event.CatalogueRefused.Emit(event.F("version", c.GetVersion()), event.Err(err))
		return &pb.Response{Answer: pb.Answer_ANSWER_INVALID, Reason: err.Error()}
	}
	out, err := d.commitWithContext(ctx, &pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: c}}})
	if err != nil {
		return commitFailed(err)
	}
	if out.Code != workflow.OK {
		return &pb.Response{Answer: pb.Answer_ANSWER_INVALID, Reason: out.Reason}
	}
	event.CatalogueAccepted.Emit(event.F("version", c.Version), event.F("index", out.Index))
	d.requestRound()
	return &pb.Response{Answer: pb.Answer_ANSWER_OK}
}

func (d *Driver) getCatalogue() *pb.Response {
	var response *pb.Response
	d.cfg.Machine.View(func(v *workflow.View) {
		if v.Catalogue() == nil {
			response = notReady("no catalogue is in force yet")
			return
		}
		response = &pb.Response{Answer: pb.Answer_ANSWER_OK, Source: v.Catalogue().Source}
	})
	if !d.cfg.Log.HoldsLease() {
		return notReady(ErrNoLease.Error())
	}
	return response
}

func (d *Driver) declareWave(ctx context.Context, w *pb.Wave) *pb.Response {
	out, err := d.commitWithContext(ctx, &pb.Command{Body: &pb.Command_DeclareWave{DeclareWave: &pb.DeclareWave{Wave: w}}})
	if err != nil {
		return commitFailed(err)
	}
	if out.Code != workflow.OK {
		return &pb.Response{Answer: pb.Answer_ANSWER_INVALID, Reason: out.Reason}
	}
	event.WaveDeclared.Emit(event.F("wave", w.Id), event.F("vms", len(w.Vms)), event.F("cap", w.Cap), event.F("duration_ms", w.DurationMs))
	d.requestRound()
	return &pb.Response{Answer: pb.Answer_ANSWER_OK}
}

func (d *Driver) getWave(id uint64) *pb.Response {
	response := &pb.Response{Answer: pb.Answer_ANSWER_GONE, Reason: fmt.Sprintf("wave %d does not exist", id)}
	d.cfg.Machine.View(func(v *workflow.View) {
		if w := v.Wave(id); w != nil {
			response = &pb.Response{Answer: pb.Answer_ANSWER_OK, Complete: workflow.WaveComplete(w)}
		}
	})
	return response
}
