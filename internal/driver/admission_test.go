package driver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// machineLog applies commands at once.
type machineLog struct {
	machine *workflow.Machine
	index   uint64
	nowMS   func() int64
	err     error
}

// Commit applies a command, unless the log is set to fail.
func (l *machineLog) Commit(_ context.Context, command *pb.Command) (*workflow.Outcome, error) {
	if l.err != nil {
		return nil, l.err
	}
	command.TimeUnixMs = l.nowMS()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	l.index++
	return l.machine.Apply(l.index, data).(*workflow.Outcome), nil
}

// HoldsLease returns true.
func (*machineLog) HoldsLease() bool { return true }

// TestRefuseLate submits jobs into a backlog that is far more than its pool can do while their ends have
// worth. All are accepted that the page of this feature says are never refused; a refused job leaves nothing.
func TestRefuseLate(t *testing.T) {
	refusedAs := func(ok bool) pb.Answer {
		if ok {
			return pb.Answer_ANSWER_BUSY
		}
		return pb.Answer_ANSWER_OK
	}
	for _, test := range []struct {
		name    string
		change  func(*Driver, *pb.Job)
		refused bool
	}{
		{"a job that ends too late", func(*Driver, *pb.Job) {}, true},
		{"the setting is off", func(d *Driver, _ *pb.Job) { d.cfg.RefuseLate = false }, false},
		{"a lasting job", func(_ *Driver, j *pb.Job) { j.Steps[0].Lasting, j.Steps[0].MaxUnavailable = true, 1 }, false},
		{"a job with due times", func(_ *Driver, j *pb.Job) { j.Occurrences, j.IntervalMs = 2, 1000 }, false},
		{"a job that is known", func(_ *Driver, j *pb.Job) { j.Id = "open0" }, false},
		{"a job that is being submitted", func(d *Driver, j *pb.Job) { d.admission.submitting[j.Id] = 1 }, false},
		{"a leader that has just begun", func(d *Driver, _ *pb.Job) { d.startedAt = d.cfg.Now().Add(time.Millisecond - minLedTime) }, false},
		{"an old backlog", func(d *Driver, _ *pb.Job) {
			known := d.admission.backlogs["p"]
			known.at = known.at.Add(-maxBacklogAge - time.Millisecond)
			d.admission.backlogs["p"] = known
		}, false},
		{"VMs at rest that may come", func(d *Driver, _ *pb.Job) {
			for i := range 100 {
				d.fleet.vms[fmt.Sprint("r", i)] = VM{Name: fmt.Sprint("r", i), Pool: "rest", Capacity: workflow.Resources{CPUMillis: 16_000}}
			}
			d.plan()
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			d := newTestDriver(t, func() time.Time { return now })
			log := &machineLog{machine: d.cfg.Machine, index: 100, nowMS: d.cfg.NowMS}
			d.cfg.Log, d.cfg.RefuseLate, d.fleet.vms = log, true, make(map[string]VM)
			d.startedAt = now.Add(-minLedTime)
			_, err := log.Commit(context.Background(), &pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: &pb.Catalogue{
				Version: 2, Pools: []*pb.Pool{{Name: "p"}, {Name: "rest", Resting: true}},
				Queues: []*pb.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", Pool: "p", TimeoutMs: 1000, ObjectiveMs: 1000, SlackFactor: 1, MaxAttempts: 2, Open: true}},
			}}}})
			is.NoErr(err)
			submit := func(job *pb.Job) *pb.Response {
				return d.submit(context.Background(), &pb.Request{Host: "h", Path: "/p/" + job.Id, Job: job})
			}
			job := func(id string, tasks uint32) *pb.Job {
				return &pb.Job{Id: id, Steps: []*pb.Step{{Tasks: tasks, EstimateMs: 1000, Needs: &pb.Resources{CpuMillis: 900}}}}
			}
			for i := range 20 { // 90 core seconds, 2.7 cores
				is.Equal(submit(job(fmt.Sprint("open", i), 5)).Answer, pb.Answer_ANSWER_OK)
			}
			d.plan()
			next := job("next", 9)
			test.change(d, next)
			response := submit(next)
			is.Equal(response.Answer, refusedAs(test.refused))
			known := false
			d.cfg.Machine.View(func(v *workflow.View) { known = v.Job(next.Id) != nil })
			is.Equal(known, !test.refused)
			is.Equal(response.RetryAfterMs > 0, test.refused)
			is.Equal(submit(job("open1", 5)).Answer, pb.Answer_ANSWER_OK) // a resend is never refused
		})
	}
}

// TestUnknownSubmitIsNotRefused loses the outcome of a submission: a resend must not be refused, since the
// first may have been accepted.
func TestUnknownSubmitIsNotRefused(t *testing.T) {
	is := is.New(t)
	d := newTestDriver(t, time.Now)
	log := &machineLog{machine: d.cfg.Machine, index: 100, nowMS: d.cfg.NowMS, err: context.DeadlineExceeded}
	d.cfg.Log, d.cfg.RefuseLate = log, true
	request := &pb.Request{Host: "h", Path: "/p/lost", Job: &pb.Job{Id: "lost", Steps: []*pb.Step{{Tasks: 1}}}}
	is.Equal(d.submit(context.Background(), request).Answer, pb.Answer_ANSWER_UNKNOWN)
	is.Equal(d.admission.submitting["lost"], 1)
	log.err = nil
	is.Equal(d.submit(context.Background(), request).Answer, pb.Answer_ANSWER_OK)
}
