package workflow

import (
	"strings"

	pb "sapphirering/internal/workflow/workflowpb"
)

// Place is what a path at a host names: a queue, or a job of it.
type Place struct {
	// Queue is the one with the longest prefix of the path; nil if there is none.
	Queue *pb.Queue
	// JobID is what follows the prefix; empty if the path is that of the queue.
	JobID string
	// Named is false if what follows the prefix is no job id: the path names nothing. It may be that of a job of
	// another queue that has left the catalogue, or that a queue with a longer prefix hides.
	Named bool
}

// Resolve returns what a path names by the catalogue in force. Job ids have a number of hexadecimal digits; 0 for any id
// without a slash.
func (v *View) Resolve(host, path string, idDigits int) Place {
	queue := v.lookup.queueFor(host, path)
	if queue == nil {
		return Place{}
	}
	rest := path[len(queue.PathPrefix):]
	return Place{Queue: queue, JobID: rest, Named: rest == "" || isJobID(rest, idDigits)}
}

func isJobID(text string, digits int) bool {
	if digits == 0 {
		return !strings.Contains(text, "/")
	}
	return len(text) == digits && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}
