package command

import (
	"fmt"
	"net/http"
	"net/url"

	"sapphirering/internal/entry"
	"sapphirering/internal/operator"
)

var jobCommand = subcommand{
	name: "job", args: "list [STATE] | show JOB | cancel JOB | retry JOB", help: "list, show, cancel and retry durable jobs",
	examples: []string{
		"job list parked   # queued, running, done, failed, cancelled, unknown or parked",
		"job show 0190d3c2-…", "job cancel 0190d3c2-…", "job retry 0190d3c2-…   # a parked job gets new attempts",
	},
	run: func(env *Env, args []string) error {
		switch {
		case len(args) >= 1 && len(args) <= 2 && args[0] == "list":
			return listJobs(env, args[1:])
		case len(args) == 2 && args[0] == "show":
			return showJob(env, args[1])
		case len(args) == 2 && (args[0] == "cancel" || args[0] == "retry"):
			return env.change(http.MethodPost, "/v1/jobs/"+args[1]+"/"+args[0], nil)
		}
		return fmt.Errorf("%w: want list [STATE], show JOB, cancel JOB or retry JOB", errUsage)
	},
}

// listJobs requests every page and prints all jobs.
func listJobs(env *Env, state []string) error {
	query := url.Values{}
	if len(state) == 1 {
		query.Set("state", state[0])
	}
	jobs := []entry.JobView{}
	for {
		var page operator.JobPage
		if err := env.client.get("/v1/jobs?"+query.Encode(), &page); err != nil {
			return err
		}
		jobs = append(jobs, page.Jobs...)
		if page.Next == "" {
			break
		}
		query.Set("after", page.Next)
	}
	return env.table(jobs, "JOB TEAM QUEUE STATE ATTEMPTS REASON", func(print func(...any)) {
		for _, job := range jobs {
			print(job.ID, job.Team, job.Queue, job.State, len(job.Attempts), job.Reason)
		}
	})
}

func showJob(env *Env, id string) error {
	var job entry.JobView
	if err := env.client.get("/v1/jobs/"+id, &job); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(job)
	}
	fmt.Fprintf(env.Out, "job %s of team %s: %s\n", job.ID, job.Team, job.State)
	if job.Reason != "" {
		fmt.Fprintf(env.Out, "reason: %s\n", job.Reason)
	}
	fmt.Fprintf(env.Out, "queue %s, pool %s, class %s, submitted %s, as of index %d\n",
		job.Queue, job.Pool, job.Class, formatUnixMS(job.Submitted), job.AsOfIndex)
	if job.Stale {
		fmt.Fprintln(env.Out, "STALE: the entry VM that answered is cut off from the leader")
	}
	return env.table(job, "ATTEMPT VM STARTED OUTCOME REASON", func(print func(...any)) {
		for _, a := range job.Attempts {
			print(a.Number, a.VM, formatUnixMS(a.Started), a.Outcome, a.Reason)
		}
	})
}
