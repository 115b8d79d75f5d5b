package driver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestLearnedIsShown guards against an operator who cannot see what is expected of a queue and how good that was,
// and against metrics that grow with the number of queues or outlive the leadership.
func TestLearnedIsShown(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	ask := func(queue string) *pb.Response {
		return d.Serve(t.Context(), &pb.Request{Operation: pb.Operation_OPERATION_GET_LEARNED, QueueName: queue})
	}
	is.Equal(ask("gone").Answer, pb.Answer_ANSWER_NO_QUEUE)
	is.Equal(ask("q").Lines, []string{"queue q: no finished runs, run times are expected to be as estimated"})
	for range 40 {
		d.learnFrom("h/p/", 1000, 2000)
	}
	for i := range 2 * maxLearnedSeries {
		d.learnFrom(fmt.Sprintf("other-%d", i), 1000, 2000)
	}
	pass(time.Second)
	line := ask("q").Lines[0]
	is.True(strings.Contains(line, "40 finished runs, the last 1000 ms ago"))
	is.True(strings.Contains(line, "100% of runs were within their 0.9 quantile"))
	d.links["t1"].health = health{startSlowness: 3, runs: 5}
	is.True(strings.Contains(strings.Join(ask("").Lines, "\n"), "VM vm-t1: runs take 3.0 times as long as expected"))

	count := func() (n int) {
		gometrics.Each(func(name string, _ any) {
			if strings.HasPrefix(name, "driver_learned_") {
				n++
			}
		})
		return n
	}
	d.publishLearned()
	is.Equal(count(), 3*maxLearnedSeries)
	is.Equal(gometrics.Get("driver_learned_runs;queue=h/p/").(gometrics.GaugeFloat64).Value(), 40.0)
	is.Equal(gometrics.Get("driver_learned_within;queue=h/p/").(gometrics.GaugeFloat64).Value(), 1.0)
	d.unpublishLearned(nil)
	is.Equal(count(), 0)
}
