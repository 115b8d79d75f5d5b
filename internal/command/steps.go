package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
)

var stepsCommand = subcommand{
	name: "steps", args: "submit QUEUE ID FILE | show QUEUE ID | explain QUEUE ID [TASK] | explain-vm VM | cancel QUEUE ID | waiting QUEUE",
	help: "submit, show, explain and cancel jobs of steps, count those that wait, explain a VM (-address is a daemon's listen.api)",
	examples: []string{
		"steps submit proofs 5c0e7a21d94b36f8 job.json", "steps explain proofs 5c0e7a21d94b36f8   # where it runs, why the rest waits",
		"steps explain proofs 5c0e7a21d94b36f8 0.1.17   # one task: occurrence, step, index", "steps explain-vm m-50a08   # its pool, why it moved, why no runs are started on it",
		"steps cancel proofs 5c0e7a21d94b36f8", "steps waiting proofs",
	},
	run: runSteps,
}

// stepsResponse is an answer of the HTTP interface for jobs of steps.
type stepsResponse struct {
	State   string   `json:"state"`
	Reason  string   `json:"reason,omitempty"`
	Waiting string   `json:"waiting,omitempty"`
	Lines   []string `json:"lines,omitempty"`
	// Evacuated is set if no task is started in the zone that was asked about.
	Evacuated bool `json:"evacuated,omitempty"`
}

func runSteps(env *Env, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("%w: want submit, show, explain or cancel with QUEUE and ID, waiting QUEUE, or explain-vm VM", errUsage)
	}
	if args[0] == "explain-vm" && len(args) == 2 {
		return explainSteps(env, "/v1/vms/"+url.PathEscape(args[1]))
	}
	base := "/v1/queues/" + url.PathEscape(args[1]) + "/jobs"
	if args[0] == "waiting" && len(args) == 2 {
		return printSteps(env, base, func(a stepsResponse) string { return orZero(a.Waiting) + " jobs wait" })
	}
	if len(args) < 3 {
		return fmt.Errorf("%w: %s needs QUEUE and ID", errUsage, args[0])
	}
	path := base + "/" + url.PathEscape(args[2])
	switch {
	case args[0] == "submit" && len(args) == 4:
		return submitSteps(env, path, args[3])
	case args[0] == "cancel" && len(args) == 3:
		if err := env.client.do(http.MethodDelete, path, "", nil, new(stepsResponse)); err != nil {
			return err
		}
		fmt.Fprintln(env.Out, "cancelled")
		return nil
	case args[0] == "show" && len(args) == 3:
		return printSteps(env, path, func(a stepsResponse) string { return strings.TrimSpace(stepsState(a.State) + " " + a.Reason) })
	case args[0] == "explain" && len(args) == 3:
		return explainSteps(env, path)
	case args[0] == "explain" && len(args) == 4:
		return explainSteps(env, path+"/tasks/"+url.PathEscape(args[3]))
	}
	return fmt.Errorf("%w: %q does not take %d arguments", errUsage, args[0], len(args)-1)
}

// submitSteps submits the job in a JSON file; a resend with the same id has no further effect.
func submitSteps(env *Env, path, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errBadFile, err)
	}
	if !json.Valid(data) {
		return fmt.Errorf("%w: %s is not JSON", errBadFile, file)
	}
	if err := env.client.do(http.MethodPut, path, "", json.RawMessage(data), new(stepsResponse)); err != nil {
		return err
	}
	fmt.Fprintln(env.Out, "accepted")
	return nil
}

// explainSteps prints the lines of an explanation.
func explainSteps(env *Env, path string) error {
	return printSteps(env, path+"/explain", func(a stepsResponse) string { return strings.Join(a.Lines, "\n") })
}

func printSteps(env *Env, path string, show func(stepsResponse) string) error {
	var answer stepsResponse
	if err := env.client.get(path, &answer); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(answer)
	}
	fmt.Fprintln(env.Out, show(answer))
	return nil
}

func stepsState(state string) string { return strings.ToLower(strings.TrimPrefix(state, "JOB_STATE_")) }

func orZero(count string) string {
	if count == "" {
		return "0"
	}
	return count
}
