package turnaway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testNowMS = 1_000_000
	// testCapacity is one core; with the margin, work of 1,100 core milliseconds takes a second.
	testCapacity = 1000
)

// short returns a job of 100 ms whose objective ends in 1 s, with the given work in core milliseconds.
func short(workspace string, coreMS int64, change func(*OpenJob)) OpenJob {
	j := OpenJob{Workspace: workspace, WorkMillisMS: coreMS * 1000, RemainingMS: 100, Worth: 1, DeadlineMS: testNowMS + 1000, LateDeadlineMS: testNowMS + 3000}
	if change != nil {
		change(&j)
	}
	return j
}

// TestDecide checks which work ahead refuses a job: a refusal must be certain.
func TestDecide(t *testing.T) {
	shed := func(j *OpenJob) { j.Shed = true }
	beyond := func(j *OpenJob) { j.BeyondRate = true }
	long := func(j *OpenJob) { j.LateDeadlineMS += 60_000 }
	late := func(j *OpenJob) { j.DeadlineMS, j.LateDeadlineMS = testNowMS-1, testNowMS+60_000 }
	for _, test := range []struct {
		name     string
		capacity int64
		open     []OpenJob
		job      OpenJob
		refused  bool
	}{
		{"no backlog", testCapacity, nil, short("w", 100, nil), false},
		{"capacity not known", 0, []OpenJob{short("w", 10_000, late)}, short("w", 100_000, nil), false},
		{"much work that goes before it", testCapacity, []OpenJob{short("w", 10_000, late)}, short("w", 10_000, nil), true},
		{"little work that goes before it", testCapacity, []OpenJob{short("w", 3000, late)}, short("w", 10_000, nil), false},
		{"it may be in time itself", testCapacity, []OpenJob{short("w", 10_000, late)}, short("w", 100, nil), false},
		{"work that has lost its worth", testCapacity, []OpenJob{short("w", 10_000, func(j *OpenJob) { j.DeadlineMS, j.LateDeadlineMS = 1, 2 })}, short("w", 10_000, nil), false},
		{"work that loses its worth meanwhile", testCapacity, []OpenJob{short("w", 3250, late), short("w", 50_000, shed)}, short("w", 10_000, func(j *OpenJob) { j.DeadlineMS, j.LateDeadlineMS = j.DeadlineMS+100, j.LateDeadlineMS+100 }), false},
		{"work of a lower priority", testCapacity, []OpenJob{short("w", 10_000, func(j *OpenJob) { late(j); j.Priority = 1 })}, short("w", 10_000, nil), false},
		{"work of a higher priority", testCapacity, []OpenJob{short("w", 10_000, func(j *OpenJob) { shed(j); long(j) })}, short("w", 10_000, func(j *OpenJob) { j.Priority = 1 }), true},
		{"work beyond its rate", testCapacity, []OpenJob{short("w", 10_000, func(j *OpenJob) { late(j); beyond(j) })}, short("w", 10_000, nil), false},
		{"beyond the rate, behind work of any priority within it", testCapacity, []OpenJob{short("w", 10_000, func(j *OpenJob) { long(j); shed(j); j.Priority = 9 })}, short("w", 10_000, beyond), true},
		{"beyond the rate, may be in time", testCapacity, []OpenJob{short("w", 500, nil)}, short("w", 100, beyond), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBacklog(testNowMS, test.capacity, test.open)
			if r := b.Decide("j", &test.job, testNowMS+20); (r != nil) != test.refused {
				t.Errorf("refusal %+v, want one: %v", r, test.refused)
			}
		})
	}
	var none *Backlog
	if none.Decide("j", &OpenJob{}, testNowMS) != nil {
		t.Error("refused without a backlog")
	}
}

// TestDecideMonotonic draws backlogs: more capacity, or work that goes after the job, never makes a refusal
// of an accepted job, and the time to the next try stays within its bounds.
func TestDecideMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() OpenJob {
			return short(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace")), rapid.Int64Range(0, 20_000).Draw(t, "work"), func(j *OpenJob) {
				j.BeyondRate, j.Shed = rapid.Bool().Draw(t, "beyond"), rapid.Bool().Draw(t, "shed")
				j.Priority = uint32(rapid.IntRange(0, 1).Draw(t, "priority"))
				j.DeadlineMS += rapid.Int64Range(-3000, 3000).Draw(t, "deadline")
				j.LateDeadlineMS = j.DeadlineMS + rapid.Int64Range(0, 30_000).Draw(t, "late")
				j.Worth = rapid.Float64Range(0, 4).Draw(t, "worth")
			})
		}
		var open []OpenJob
		for range rapid.IntRange(0, 10).Draw(t, "open") {
			open = append(open, draw())
		}
		job := draw()
		job.Shed = false
		job.DeadlineMS, job.LateDeadlineMS = testNowMS+1000, testNowMS+3000
		capacity := rapid.Int64Range(1, 10_000).Draw(t, "capacity")
		refused := NewBacklog(testNowMS, capacity, open).Decide("j", &job, testNowMS)
		if refused != nil && (refused.RetryAfterMS < minRetryMS || refused.RetryAfterMS > maxRetryMS || refused.EndMS <= job.LateDeadlineMS) {
			t.Fatalf("refusal %+v", refused)
		}
		after := short("w", 50_000, func(j *OpenJob) { j.LateDeadlineMS = 0 })
		if refused == nil && NewBacklog(testNowMS, capacity, append(open, after)).Decide("j", &job, testNowMS) != nil {
			t.Fatal("worthless work refuses the job")
		}
	})
}

// TestRetriesAreSpread checks that callers come back after the work ahead, spread over time, and those of the
// smallest workspace first: callers that return all at once would meet the same backlog.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	late := func(j *OpenJob) { j.DeadlineMS, j.LateDeadlineMS = testNowMS-1, testNowMS+60_000 }
	open := []OpenJob{short("small", 1000, late)}
	for range 5 {
		open = append(open, short("large", 2000, late))
	}
	b := NewBacklog(testNowMS, testCapacity, open)
	after := func(workspace string) (least, most int64) {
		for i := range 100 {
			job := short(workspace, 10_000, nil)
			r := b.Decide(fmt.Sprint("job", i), &job, testNowMS)
			is.True(r != nil)
			if i == 0 || r.RetryAfterMS < least {
				least = r.RetryAfterMS
			}
			most = max(most, r.RetryAfterMS)
		}
		return least, most
	}
	smallLeast, smallMost := after("small")
	largeLeast, largeMost := after("large")
	is.True(smallLeast >= 9000) // 11 s of work on 1.1 cores, less the time that the objective leaves
	is.True(smallMost <= largeLeast)
	is.True(smallMost-smallLeast > 3000)
	is.True(largeMost-largeLeast > 3000)
}
