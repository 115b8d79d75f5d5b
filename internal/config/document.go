package config

import (
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// Document is the YAML form of a team's document.
type Document struct {
	Team string `yaml:"team" json:"team"`
	// Revision is the revision that an edit is based on; zero creates the document.
	Revision uint64 `yaml:"revision,omitempty" json:"revision"`
	// Share is the team's relative weight when the fleet is full.
	Share uint32 `yaml:"share" json:"share"`
	// UpperLimit is the most requests and jobs that run at once in the whole fleet.
	UpperLimit   uint32         `yaml:"upper_limit" json:"upper_limit"`
	Availability []Availability `yaml:"availability,omitempty" json:"availability,omitempty"`
	Queues       []Queue        `yaml:"queues,omitempty" json:"queues,omitempty"`
}

// Availability is the number of VMs of a pool that must stay available.
type Availability struct {
	Pool            string `yaml:"pool" json:"pool"`
	MinAvailableVMs uint32 `yaml:"min_available_vms" json:"min_available_vms"`
}

// Queue declares one queue that takes requests and jobs.
type Queue struct {
	Name string `yaml:"name" json:"name"`
	Pool string `yaml:"pool" json:"pool"`
	// Open queues take work without a key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// Admits lists other teams whose keys are accepted.
	Admits []string `yaml:"admits,omitempty" json:"admits,omitempty"`
	// Class is urgent, normal or long.
	Class         string `yaml:"class" json:"class"`
	MaxQueued     uint32 `yaml:"max_queued,omitempty" json:"max_queued,omitempty"`
	MaxDeadlineMS uint32 `yaml:"max_deadline_ms,omitempty" json:"max_deadline_ms,omitempty"`
	Needs         Needs  `yaml:"needs,omitempty" json:"needs"`
}

// Needs is the part of a VM's resources that one request or job takes.
type Needs struct {
	Millicores   uint32 `yaml:"millicores,omitempty" json:"millicores,omitempty"`
	MemoryMB     uint32 `yaml:"memory_mb,omitempty" json:"memory_mb,omitempty"`
	Accelerators uint32 `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

const (
	defaultMaxQueued     = 256
	defaultMaxDeadlineMS = 30_000
)

var classNames = map[string]statepb.Class{
	"urgent": statepb.Class_CLASS_URGENT,
	"normal": statepb.Class_CLASS_NORMAL,
	"long":   statepb.Class_CLASS_LONG,
}

// ClassName returns the name that documents use for a class.
func ClassName(class statepb.Class) string {
	for name, value := range classNames {
		if value == class {
			return name
		}
	}
	return "unspecified"
}

// LoadDocument reads and checks a document file. All faults are returned together as
// FieldErrors.
func LoadDocument(path string) (*Document, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseDocument(path, data)
}

// ParseDocument reads and checks a document. All faults are returned together as FieldErrors.
// Rules that need the replicated state are checked when the document is applied.
func ParseDocument(data []byte) (*Document, error) { return parseDocument("", data) }

func parseDocument(file string, data []byte) (*Document, error) {
	doc := new(Document)
	src, err := decodeStrict(file, data, doc)
	if err != nil {
		return nil, err
	}
	for _, fault := range state.CheckDocument(doc.proto()) {
		src.addFault(fault.Field, "%s", fault.Reason)
	}
	if err := src.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Proto converts the document to the form that the state machine uses. It returns the first
// fault as a *FieldError.
func (d *Document) Proto() (*statepb.TeamDocument, error) {
	out := d.proto()
	if faults := state.CheckDocument(out); len(faults) > 0 {
		return nil, &FieldError{Field: faults[0].Field, Reason: faults[0].Reason}
	}
	return out, nil
}

func (d *Document) proto() *statepb.TeamDocument {
	out := &statepb.TeamDocument{
		Team: d.Team, Revision: d.Revision, ShareWeight: d.Share, UpperLimitUnits: d.UpperLimit,
	}
	for _, a := range d.Availability {
		out.Budgets = append(out.Budgets, &statepb.AvailabilityBudget{
			Pool: a.Pool, MinAvailableVms: a.MinAvailableVMs,
		})
	}
	for _, q := range d.Queues {
		out.Queues = append(out.Queues, q.proto())
	}
	return out
}

// proto converts the queue. An unknown class becomes unspecified, which the check refuses.
func (q Queue) proto() *statepb.Queue {
	queue := &statepb.Queue{
		Name: q.Name, Pool: q.Pool, Open: q.Open, AdmittedTeams: q.Admits, Class: classNames[q.Class],
		MaxQueued: q.MaxQueued, MaxDeadlineMs: q.MaxDeadlineMS,
		Needs: &statepb.Resources{
			Millicores: q.Needs.Millicores, MemoryMb: q.Needs.MemoryMB, Accelerators: q.Needs.Accelerators,
		},
	}
	if queue.MaxQueued == 0 {
		queue.MaxQueued = defaultMaxQueued
	}
	if queue.MaxDeadlineMs == 0 {
		queue.MaxDeadlineMs = defaultMaxDeadlineMS
	}
	return queue
}

// FromProto converts a committed document to its YAML form.
func FromProto(doc *statepb.TeamDocument) *Document {
	out := &Document{
		Team: doc.Team, Revision: doc.Revision, Share: doc.ShareWeight, UpperLimit: doc.UpperLimitUnits,
	}
	for _, b := range doc.Budgets {
		out.Availability = append(out.Availability, Availability{Pool: b.Pool, MinAvailableVMs: b.MinAvailableVms})
	}
	for _, q := range doc.Queues {
		out.Queues = append(out.Queues, Queue{
			Name: q.Name, Pool: q.Pool, Open: q.Open, Admits: q.AdmittedTeams, Class: ClassName(q.Class),
			MaxQueued: q.MaxQueued, MaxDeadlineMS: q.MaxDeadlineMs,
			Needs: Needs{
				Millicores: q.Needs.GetMillicores(), MemoryMB: q.Needs.GetMemoryMb(),
				Accelerators: q.Needs.GetAccelerators(),
			},
		})
	}
	return out
}
