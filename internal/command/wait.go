package command

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"sapphirering/internal/operator"
)

const inForcePollInterval = 100 * time.Millisecond

// errNotInForce marks a committed change that is not in force everywhere yet.
var errNotInForce = errors.New("committed, but not in force everywhere yet")

// waitInForce waits until a log index is in force everywhere. It prints to Err which members
// it waits for.
func (e *Env) waitInForce(index uint64) error {
	var lastWaiting string
	for {
		var view operator.InForceView
		err := e.client.get(fmt.Sprintf("/v1/in-force/%d", index), &view)
		if err == nil && view.InForce {
			return nil
		}
		waiting := "the leader"
		if err == nil {
			waiting = strings.Join(e.memberNames(view.Waiting), ", ")
		}
		if lastWaiting != "" && waiting != lastWaiting {
			fmt.Fprintf(e.Err, "waiting for %s\n", waiting)
		}
		lastWaiting = waiting
		if !e.pause(inForcePollInterval) {
			return fmt.Errorf("%w: index %d waits for %s", errNotInForce, index, waiting)
		}
	}
}

// memberNames returns the names of members, or the id where the name is not known.
func (e *Env) memberNames(ids []string) []string {
	var status operator.StatusView
	if e.client.get("/v1/status", &status) != nil {
		return ids
	}
	names := make(map[string]string)
	for _, member := range status.Members {
		names[member.ID] = member.Name
	}
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = id
		if name := names[id]; name != "" {
			out[i] = name
		}
	}
	return out
}
