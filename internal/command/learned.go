package command

import (
	"fmt"
	"net/url"
	"strings"
)

var learnedCommand = subcommand{
	name: "learned", args: "[QUEUE]",
	help:     "show the run times expected of queues, slow VMs and bursts, as learned from finished runs (-address is a daemon's listen.api)",
	examples: []string{"learned", "learned proofs   # from how many runs, how old, how good the last predictions were"},
	run:      runLearned,
}

func runLearned(env *Env, args []string) error {
	if len(args) > 1 {
		return fmt.Errorf("%w: want at most one QUEUE", errUsage)
	}
	path := "/v1/learned"
	if len(args) == 1 {
		path += "?queue=" + url.QueryEscape(args[0])
	}
	return printSteps(env, path, func(a stepsResponse) string { return strings.Join(a.Lines, "\n") })
}
