package command

import (
	"fmt"

	"sapphirering/internal/entry"
)

var jobCommand = subcommand{
	name: "job", args: "list [STATE] | show JOB", help: "list and show durable jobs",
	run: func(env *Env, args []string) error {
		switch {
		case len(args) >= 1 && len(args) <= 2 && args[0] == "list":
			return listJobs(env, args[1:])
		case len(args) == 2 && args[0] == "show":
			var job entry.JobView
			if err := env.client.get("/v1/jobs/"+args[1], &job); err != nil {
				return err
			}
			return env.printJSON(job)
		}
		return fmt.Errorf("%w: list [STATE], or show JOB", errUsage)
	},
}

func listJobs(env *Env, state []string) error {
	path := "/v1/jobs"
	if len(state) == 1 {
		path += "?state=" + state[0]
	}
	var jobs []entry.JobView
	if err := env.client.get(path, &jobs); err != nil {
		return err
	}
	return env.table(jobs, "JOB TEAM QUEUE STATE ATTEMPTS REASON", func(print func(...any)) {
		for _, job := range jobs {
			print(job.ID, job.Team, job.Queue, job.State, len(job.Attempts), job.Reason)
		}
	})
}
