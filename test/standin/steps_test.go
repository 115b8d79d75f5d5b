package standin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
)

// TestLateListingAfterRestart delays a listing that confirms an end, restarts its target, and lets a
// task end on the next incarnation under the confirmed number.
func TestLateListingAfterRestart(t *testing.T) {
	const formerFence, nextFence = 1, 2
	for _, test := range []struct {
		name string
		// fence is that of the first call to the next incarnation, 0 for none.
		fence             uint64
		confirmsLaterEnds bool
		confirmed         bool
	}{
		{"not called yet", 0, true, false},
		{"called with the former fence", formerFence, true, true},
		{"called with the former fence, only ends that are there", formerFence, false, false},
		{"called with a fence of its own", nextFence, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const late, work = 200 * time.Millisecond, 300 * time.Millisecond
			f := NewStepFleet(time.Minute)
			f.ConfirmsLaterEnds = test.confirmsLaterEnds
			confirmations := 0
			f.OnDoneConfirmed = func(workflow.TaskID, uint32) { confirmations++ }
			f.Add("a").CallDelay = late
			to := driver.Address{ID: "a"}
			ctx, cancel := context.WithTimeout(context.Background(), late/4)
			defer cancel()
			_, err := f.Renew(ctx, to, driver.RenewCall{Fence: formerFence, SeenEnd: 1})
			is.True(err != nil)
			f.Restart("a")
			f.Change("a", func(t *StepTarget) { t.Work = work })
			start := driver.StartCall{Task: workflow.TaskID{Job: "j"}, Attempt: 1, Fence: test.fence, LeaseUntilMS: time.Hour.Milliseconds()}
			if test.fence != 0 {
				answer, err := f.Start(context.Background(), to, start)
				is.NoErr(err)
				is.Equal(answer.Refusal, driver.Accepted)
			}
			time.Sleep(late)
			if test.fence == 0 {
				start.Fence = nextFence
				_, err := f.Start(context.Background(), to, start)
				is.NoErr(err)
			}
			time.Sleep(2 * work)
			is.Equal(f.Running("a"), 0)
			is.Equal(confirmations == 1, test.confirmed)
		})
	}
}
