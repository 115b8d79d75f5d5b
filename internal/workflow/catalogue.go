package workflow

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/shares"
	pb "sapphirering/internal/workflow/workflowpb"
)

// ErrInvalidCatalogue is returned for a catalogue that is invalid in every state.
var ErrInvalidCatalogue = errors.New("invalid catalogue")

func invalidCatalogue(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidCatalogue, fmt.Sprintf(format, args...))
}

// CheckCatalogue returns why a catalogue is invalid, or nil.
func CheckCatalogue(c *pb.Catalogue) error {
	if c.GetVersion() == 0 {
		return invalidCatalogue("version must be above 0")
	}
	pools := make(map[string]bool)
	for _, pool := range c.Pools {
		if pool.Name == "" || pools[pool.Name] {
			return invalidCatalogue("pool %q: name is empty or used twice", pool.Name)
		}
		pools[pool.Name] = true
	}
	if err := checkQueues(c.Queues, pools); err != nil {
		return err
	}
	return checkWorkspaces(c.Workspaces)
}

// CheckWeights returns why the weights of a catalogue are invalid, or nil. It is not part of CheckCatalogue,
// and only for catalogues that are not in force yet: earlier versions accepted any weight, and what they
// committed must be applied as they did. A weight that is not above 0 states no rate there.
func CheckWeights(c *pb.Catalogue) error {
	for _, w := range c.GetWorkspaces() {
		if !(w.Weight >= 0 && w.Weight <= shares.MaxWeight) {
			return invalidCatalogue("workspace %q: weight is %g jobs a second, must be from 0 (no rate) to %g", w.Name, w.Weight, shares.MaxWeight)
		}
	}
	return nil
}

func checkQueues(queues []*pb.Queue, pools map[string]bool) error {
	names := make(map[string]bool)
	paths := make(map[[2]string]string)
	for _, q := range queues {
		if q.Name == "" || names[q.Name] {
			return invalidCatalogue("queue %q: name is empty or used twice", q.Name)
		}
		names[q.Name] = true
		if !pools[q.Pool] {
			return invalidCatalogue("queue %q: pool %q does not exist", q.Name, q.Pool)
		}
		if q.TimeoutMs <= 0 {
			return invalidCatalogue("queue %q: timeout is %d ms, must be above 0", q.Name, q.TimeoutMs)
		}
		path := [2]string{q.Host, q.PathPrefix}
		if other, ok := paths[path]; ok {
			return invalidCatalogue("queue %q: queue %q has the same host and path", q.Name, other)
		}
		paths[path] = q.Name
	}
	return nil
}

func checkWorkspaces(workspaces []*pb.Workspace) error {
	names := make(map[string]bool)
	owner := make(map[string]string)
	for _, w := range workspaces {
		if w.Name == "" || names[w.Name] {
			return invalidCatalogue("workspace %q: name is empty or used twice", w.Name)
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if other, ok := owner[key]; ok && other != w.Name {
				return invalidCatalogue("workspaces %q and %q share a key", other, w.Name)
			}
			owner[key] = w.Name
		}
	}
	return nil
}

// putCatalogue stores a catalogue with a newer version. An older or equal version
// succeeds without a change: the operator may resend it after a lost response.
func (m *Machine) putCatalogue(c *pb.Catalogue) *Outcome {
	if err := CheckCatalogue(c); err != nil {
		return m.outcome(Invalid, "%v", err)
	}
	if c.Version <= m.catalogue.GetVersion() {
		return m.ok()
	}
	former := make(map[queueID]*pb.Queue)
	lookup := newCatalogueLookup(proto.CloneOf(c))
	for _, job := range m.openJobs {
		id := queueIDOf(job.Spec)
		if lookup.queueOf(id) == nil {
			former[id] = m.queueOf(job.Spec)
		}
	}
	m.catalogue, m.lookup, m.formerQueues = lookup.catalogue, lookup, former
	m.forgetRates()
	m.dropUnknownLearned()
	return m.ok()
}

// queueID identifies the queue that accepted a job: by its place, and by its name in case that
// the queue was moved or the place is not known.
type queueID struct{ name, host, path string }

func queueIDOf(job *pb.Job) queueID {
	return queueID{job.GetQueue(), strings.ToLower(job.GetQueueHost()), job.GetQueuePath()}
}

// knowsPlace reports whether the job was accepted by a version that stores the place.
func (id queueID) knowsPlace() bool { return id.host != "" || id.path != "" }

// queueOf returns the queue that serves the jobs of the former queue id, or nil: the one at its
// place, else the one of its name.
func (r *catalogueLookup) queueOf(id queueID) *pb.Queue {
	if id.knowsPlace() {
		for _, q := range r.byHost[id.host] {
			if q.PathPrefix == id.path {
				return q
			}
		}
	}
	return r.queues[id.name]
}

// queueOf returns the queue that serves a job. If the catalogue has none, it is the last one that
// did: the job was accepted and goes on.
func (m *Machine) queueOf(job *pb.Job) *pb.Queue {
	id := queueIDOf(job)
	if q := m.lookup.queueOf(id); q != nil {
		return q
	}
	return m.formerQueues[id]
}

// QueueOf returns the queue that serves a job, which may have left the catalogue; nil if none
// is known, as for a job that had ended before.
func (v *View) QueueOf(job *Job) *pb.Queue { return (*Machine)(v).queueOf(job.Spec) }

// catalogueLookup indexes a catalogue by name, key and host.
type catalogueLookup struct {
	catalogue  *pb.Catalogue
	queues     map[string]*pb.Queue
	pools      map[string]*pb.Pool
	workspaces map[string]*pb.Workspace
	keys       map[string]*pb.Workspace
	byHost     map[string][]*pb.Queue
}

func newCatalogueLookup(c *pb.Catalogue) *catalogueLookup {
	r := &catalogueLookup{
		catalogue: c,
		queues:    make(map[string]*pb.Queue), pools: make(map[string]*pb.Pool),
		workspaces: make(map[string]*pb.Workspace), keys: make(map[string]*pb.Workspace),
		byHost: make(map[string][]*pb.Queue),
	}
	for _, q := range c.GetQueues() {
		r.queues[q.Name] = q
		host := strings.ToLower(q.Host)
		r.byHost[host] = append(r.byHost[host], q)
	}
	for _, p := range c.GetPools() {
		r.pools[p.Name] = p
	}
	for _, w := range c.GetWorkspaces() {
		r.workspaces[w.Name] = w
		for _, key := range w.Keys {
			r.keys[key] = w
		}
	}
	return r
}

// queueFor returns the queue of the host with the longest path prefix that matches, or nil.
func (r *catalogueLookup) queueFor(host, path string) *pb.Queue {
	var best *pb.Queue
	for _, q := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}
