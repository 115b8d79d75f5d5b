package driver

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// learnedLog applies summaries at once and counts them; it refuses all other commands.
type learnedLog struct {
	machine        *workflow.Machine
	index          uint64
	commits, bytes int
}

func (l *learnedLog) HoldsLease() bool { return true }

func (l *learnedLog) Commit(_ context.Context, command *pb.Command) (*workflow.Outcome, error) {
	if command.GetPutLearned() == nil && command.GetPutCatalogue() == nil {
		return nil, context.Canceled
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	l.commits++
	l.bytes += len(data)
	l.index++
	return l.machine.Apply(l.index, data).(*workflow.Outcome), nil
}

// learnFrom lets a driver learn from a finished run.
func (d *Driver) learnFrom(queue string, estimateMS, tookMS float64) {
	d.learned.noteFinished(queue, d.cfg.NowMS())
	d.learned.model(queue).Note(estimateMS, tookMS)
}

// TestNextLeaderKnowsRunTimes guards against a leader that starts from the estimates again although its
// predecessor had learned better, and against run times, slowness and bursts that do not fade with their age.
func TestNextLeaderKnowsRunTimes(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	log := &learnedLog{machine: d.cfg.Machine, index: 100}
	d.cfg.Log = log
	for range 40 {
		d.learnFrom("h/p/", 1000, 3000)
	}
	d.learnFrom("gone", 1000, 3000)
	d.links["t1"].health = health{startSlowness: 3, reportSlowness: 3, runs: 5, lastMS: d.cfg.NowMS()}
	d.keepLearnedOnce()
	is.Equal(log.commits, 1)
	d.keepLearnedOnce()
	is.Equal(log.commits, 1) // nothing has changed

	next := func() *Driver {
		n := New(Config{Machine: d.cfg.Machine, Log: log, Now: d.cfg.Now, NowMS: d.cfg.NowMS, Learning: Learning{Keep: true}, Targets: d.cfg.Targets, VMs: d.cfg.VMs, Limits: d.cfg.Limits})
		for id, l := range d.links {
			n.links[id] = &link{target: l.target}
		}
		n.cfg.Machine.View(func(v *workflow.View) { n.takeLearned(v.Learned()) })
		return n
	}
	step := &pb.Step{EstimateMs: 1000}
	was := d.learned.expected("h/p/", step)
	is.Equal(next().learned.expected("h/p/", step), was)
	is.Equal(next().learned.expected("gone", step), int64(1000)) // not in the catalogue
	is.True(math.Abs(next().links["t1"].health.slowness()-3) < 0.01)
	is.Equal(next().links["t0"].health.slowness(), 1.0)
	pass(slownessHalfLifeMS * time.Millisecond)
	is.True(math.Abs(next().links["t1"].health.slowness()-2) < 0.01)
	pass(4 * runTimeHalfLifeMS * time.Millisecond)
	is.True(next().learned.expected("h/p/", step) < was) // closer to the estimate again
	is.Equal(next().learned.expected("h/q/", step), int64(1000))
}

// TestBrokenSummaryIsIgnored guards against a leader that fails or predicts nonsense from a summary that it does
// not know.
func TestBrokenSummaryIsIgnored(t *testing.T) {
	is := is.New(t)
	for _, learned := range []*pb.Learned{
		{Version: 2, Queues: []*pb.LearnedQueue{{Queue: "h/p/", Runs: 5, X: 35, Y: 40, Xx: 245, Xy: 280}}},
		{Version: 1, Queues: []*pb.LearnedQueue{{Queue: "h/p/", Runs: math.NaN(), X: math.Inf(1)}}},
	} {
		d, _, _ := newDriverWithClock(t)
		d.takeLearned(learned)
		is.Equal(d.learned.expected("h/p/", &pb.Step{EstimateMs: 1000}), int64(1000))
	}
}

// TestCostOfSummaries measures the bytes of the state and of the log, and the commits per minute, of a catalogue of
// 340 workspaces with a queue each, and 530 targets of which every tenth is slow. It guards against summaries above
// their limit and more often than every 5 s.
func TestCostOfSummaries(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	log := &learnedLog{machine: d.cfg.Machine, index: 100}
	d.cfg.Log = log
	catalogue := &pb.Catalogue{Version: 2}
	for i := range 20 {
		catalogue.Pools = append(catalogue.Pools, &pb.Pool{Name: fmt.Sprintf("pool-%02d", i)})
	}
	for i := range 340 {
		catalogue.Workspaces = append(catalogue.Workspaces, &pb.Workspace{Name: fmt.Sprintf("workspace-%03d", i)})
		catalogue.Queues = append(catalogue.Queues, &pb.Queue{
			Name: fmt.Sprintf("queue-%03d", i), Host: fmt.Sprintf("workspace-%03d.example.org", i), PathPrefix: "/jobs/", Pool: fmt.Sprintf("pool-%02d", i%20), TimeoutMs: 1000,
		})
	}
	_, err := log.Commit(t.Context(), &pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: catalogue}}})
	is.NoErr(err)
	for i := range 530 {
		id := fmt.Sprintf("target-%03d", i)
		l := &link{target: &pb.Target{Id: id, Vm: fmt.Sprintf("m-%05x", i), BornUnixMs: d.cfg.NowMS()}, cancel: func() {}}
		if i%10 == 0 {
			l.health = health{startSlowness: 2, reportSlowness: 2, runs: 9, lastMS: d.cfg.NowMS()}
		}
		d.links[id] = l
	}
	log.commits, log.bytes = 0, 0
	for tick := range 240 {
		for i := range 50 {
			d.learnFrom(fmt.Sprintf("workspace-%03d.example.org/jobs/", (tick*50+i)%340), 800, 900+float64(i))
		}
		d.keepLearnedOnce()
		pass(keepCheckInterval)
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		size := proto.Size(v.Learned())
		t.Logf("state %d bytes; %d commits and %d bytes of log in a minute", size, log.commits, log.bytes)
		is.True(size <= workflow.MaxLearnedBytes)
		is.Equal(len(v.Learned().Queues), 340)
		is.Equal(len(v.Learned().Vms), 53)
	})
	is.True(log.commits >= 3 && log.commits <= 12)
}
