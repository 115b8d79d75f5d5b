package command

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

var evacuateCommand = subcommand{
	name: "evacuate", args: "begin ZONE | finish ZONE | status ZONE",
	help: "order that no task is started in an availability zone, revoke that, and show what still runs there (-address is a daemon's listen.api)",
	examples: []string{
		"evacuate begin zone-b", "evacuate status zone-b   # what still runs there", "evacuate finish zone-b",
	},
	run: runEvacuate,
}

func runEvacuate(env *Env, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("%w: want begin ZONE, finish ZONE or status ZONE", errUsage)
	}
	path := "/v1/evacuations/" + url.PathEscape(args[1])
	switch args[0] {
	case "begin":
		return orderEvacuation(env, http.MethodPut, path, fmt.Sprintf("begun: no task is started in zone %s", args[1]))
	case "finish":
		return orderEvacuation(env, http.MethodDelete, path, fmt.Sprintf("finished: tasks are started in zone %s", args[1]))
	case "status":
		return printSteps(env, path, func(a stepsResponse) string { return strings.Join(a.Lines, "\n") })
	}
	return fmt.Errorf("%w: %q is neither begin, finish nor status", errUsage, args[0])
}

// orderEvacuation sends an order; sent again it has no further effect.
func orderEvacuation(env *Env, method, path, done string) error {
	var answer stepsResponse
	if err := env.client.do(method, path, "", nil, &answer); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(answer)
	}
	fmt.Fprintln(env.Out, done)
	return nil
}
