package driver

import (
	"fmt"
	"strings"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// reportStarts logs the starts of a committed command, one event per job.
func reportStarts(starts []*pb.Start, refused map[workflow.TaskID]bool, index uint64) {
	lines := newJobLines()
	for _, start := range starts {
		id := workflow.TaskIDOf(start.Task)
		if !refused[id] {
			lines.add(id.Job, fmt.Sprintf("%d.%d.%d/%d@%s", id.Occurrence, id.Step, id.Index, start.Task.Attempt, start.Target))
		}
	}
	lines.emit(event.TasksStarted, index)
}

// reportEnds logs the ends of a committed command, one event per job.
func reportEnds(ends []pendingEnd, index uint64) {
	lines := newJobLines()
	for _, e := range ends {
		id := workflow.TaskIDOf(e.end.Task)
		kind := strings.ToLower(strings.TrimPrefix(e.end.Kind.String(), "END_KIND_"))
		lines.add(id.Job, fmt.Sprintf("%d.%d.%d/%d:%s", id.Occurrence, id.Step, id.Index, e.end.Task.Attempt, kind))
	}
	lines.emit(event.TasksEnded, index)
}

// jobLines collects what happened to the tasks of each job.
type jobLines struct {
	jobs  []string
	tasks map[string][]string
}

func newJobLines() *jobLines { return &jobLines{tasks: make(map[string][]string)} }

func (l *jobLines) add(job, task string) {
	if l.tasks[job] == nil {
		l.jobs = append(l.jobs, job)
	}
	l.tasks[job] = append(l.tasks[job], task)
}

func (l *jobLines) emit(e event.Event, index uint64) {
	for _, job := range l.jobs {
		e.Emit(event.F("job", job), event.F("index", index), event.F("tasks", strings.Join(l.tasks[job], ",")))
	}
}
