package assign

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdTargets checks that a target that is slow for some time gets what the others have no room for, and no job
// that it would make late while a warm one could still finish it in time.
func TestColdTargets(t *testing.T) {
	cold := target("cold", 8000)
	cold.ColdFor = 4 * time.Second
	almostWarm := cold
	almostWarm.ColdFor = 100 * time.Millisecond
	job := func(deadlineMS int64, change func(*Job)) Job {
		j := simple("j", 3, 1000)
		j.DeadlineMS = deadlineMS
		change(&j)
		return j
	}
	same := func(*Job) {}
	for _, test := range []struct {
		name    string
		targets []Target
		job     Job
		want    map[string]int
	}{
		{"warm targets first", []Target{cold, target("warm", 2000)}, job(10_000, same), map[string]int{"warm": 2, "cold": 1}},
		{"a job that would be late waits", []Target{cold, target("warm", 2000)}, job(1500, same), map[string]int{"warm": 2}},
		{"almost warm", []Target{almostWarm, target("warm", 2000)}, job(1500, same), map[string]int{"warm": 2, "cold": 1}},
		{"late anyway", []Target{cold, target("warm", 2000)}, job(900, same), map[string]int{"warm": 2, "cold": 1}},
		{"all are cold", []Target{cold}, job(1500, same), map[string]int{"cold": 3}},
		{"the warm one lacks the label", []Target{cold, target("warm", 2000)}, job(1500, func(j *Job) { j.Steps[0].Label = "rcold" }), map[string]int{"cold": 3}},
		{"long-running", []Target{cold}, job(900, func(j *Job) { j.Lasting, j.Steps[0].Lasting = true, true }), map[string]int{"cold": 3}},
		{"no part of a gang", []Target{cold, target("warm", 2000)}, job(1500, func(j *Job) { j.Steps[0].Gang = true }), map[string]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			starts, _ := Plan(&Snapshot{NowMS: 0, Targets: test.targets, Jobs: []Job{test.job}})
			is.Equal(onTargets(starts), test.want)
		})
	}
}

// TestZoneComesBack replays the return of a zone. Each half second come ten tasks of a second with 0.8 s of slack, and
// beside them tasks with much slack, on 20 cores in warm zones and 20 in a zone that is cold for 4 s and works at half
// speed. The cold zone must take part of the work, and no job may be late: 14 of 112 were when jobs did not wait for
// warm targets, 28 when cold ones counted as warm.
func TestZoneComesBack(t *testing.T) {
	const tick, coldUntil, arrivalsEnd, end = 50, 4000, 4000, 12_000
	is := is.New(t)
	type running struct {
		target string
		left   float64
		job    Job
	}
	var runs []running
	var waiting []Job
	done, late, onCold, jobs := 0, 0, 0, 0
	arrive := func(now int64, tasks int, slackMS int64) {
		for range tasks {
			jobs++
			j := simple(fmt.Sprintf("j%d", jobs), 1, 1000)
			j.DeadlineMS, j.LateDeadlineMS, j.SubmittedMS = now+1000+slackMS, now+3*(1000+slackMS), now
			waiting = append(waiting, j)
		}
	}
	for now := int64(0); now < end; now += tick {
		free := map[string]int64{"warm": 20_000, "cold": 20_000}
		runs = slices.DeleteFunc(runs, func(r running) bool { return r.left <= 0 })
		for i := range runs {
			r := &runs[i]
			free[r.target] -= 1000
			r.left -= tick
			if r.target == "cold" && now < coldUntil {
				r.left += tick / 2
			}
			if r.left <= 0 {
				done++
				if now+tick > r.job.DeadlineMS {
					late++
				}
			}
		}
		if now < arrivalsEnd && now%500 == 0 {
			arrive(now, 10, 800)
		}
		if now < arrivalsEnd && now%250 == 0 {
			arrive(now, 2, 6000)
		}
		byID := make(map[string]Job)
		for _, j := range waiting {
			byID[j.ID] = j
		}
		back, warm := target("cold", free["cold"]), target("warm", free["warm"])
		back.ColdFor = time.Duration(max(coldUntil-now, 0)) * time.Millisecond
		starts, _ := Plan(&Snapshot{NowMS: now, Targets: []Target{back, warm}, Jobs: waiting})
		for _, s := range starts {
			runs = append(runs, running{s.Target, 1000, byID[s.Task.Job]})
			if s.Target == "cold" && now < coldUntil {
				onCold++
			}
			delete(byID, s.Task.Job)
		}
		waiting = slices.Collect(maps.Values(byID))
	}
	t.Logf("%d of %d jobs late, %d tasks began on the cold zone", late, jobs, onCold)
	is.Equal(done, jobs)
	is.Equal(late, 0)
	is.True(onCold > 0)
}
