// Package cataloguecheck checks a catalogue before it is sent: errors for which the system would
// refuse it, entries that can never match a call, limits that contradict each other, and what
// differs from the catalogue in force.
package cataloguecheck

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// Severity tells what a finding means for the catalogue.
type Severity string

// Severities of findings.
const (
	// Error means that the system refuses the catalogue, or that it would change nothing.
	Error Severity = "error"
	// Warning means that the catalogue is accepted, but an entry of it has no effect or cannot be kept.
	Warning Severity = "warning"
)

// Finding is one fault of a catalogue.
type Finding struct {
	Severity Severity
	// Field is the path of the field, with the names of workflow.proto, such as "queues[2].path_prefix".
	Field  string
	Reason string
}

const (
	// minBodyBytes is the size of a job with the longest payload and one step.
	minBodyBytes = 4400
	// maxWeight is the largest weight, in jobs a second, that a core daemon could commit.
	maxWeight = 1e6
	// idLength is the number of hexadecimal digits of a job's id.
	idLength  = 16
	hexDigits = "0123456789abcdef"
)

// checker collects the findings of one catalogue.
type checker struct {
	catalogue *pb.Catalogue
	pools     map[string]*pb.Pool
	findings  []Finding
}

// Check returns all findings in the order of the catalogue's fields.
func Check(c *pb.Catalogue) []Finding {
	k := &checker{catalogue: c, pools: make(map[string]*pb.Pool)}
	if c.GetVersion() == 0 {
		k.add(Error, "version", "must be above 0")
	}
	k.checkPools()
	k.checkQueues()
	k.checkWorkspaces()
	k.checkBodyLimit()
	if err := workflow.CheckCatalogue(c); err != nil && !k.hasErrors() {
		k.add(Error, "", "%v", err)
	}
	return k.findings
}

func (k *checker) add(severity Severity, field, reason string, args ...any) {
	k.findings = append(k.findings, Finding{severity, field, fmt.Sprintf(reason, args...)})
}

func (k *checker) hasErrors() bool {
	return slices.ContainsFunc(k.findings, func(f Finding) bool { return f.Severity == Error })
}

// checkName reports an empty name, and one that an earlier entry of the list has.
func (k *checker) checkName(list string, index int, name string, seen map[string]int) {
	field := fmt.Sprintf("%s[%d].name", list, index)
	if name == "" {
		k.add(Error, field, "is empty")
		return
	}
	if first, ok := seen[name]; ok {
		k.add(Error, field, "%q is the name of %s[%d] too", name, list, first)
		return
	}
	seen[name] = index
}

func (k *checker) checkPools() {
	seen := make(map[string]int)
	for i, pool := range k.catalogue.GetPools() {
		k.checkName("pools", i, pool.Name, seen)
		k.pools[pool.Name] = pool
	}
}

func (k *checker) checkQueues() {
	names, places := make(map[string]int), make(map[[2]string]int)
	for i, q := range k.catalogue.GetQueues() {
		k.checkName("queues", i, q.Name, names)
		k.checkPlace(i, q, places)
		k.checkQueuePool(i, q)
		k.checkQueueLimits(i, q)
	}
	k.checkShadowed()
}

func queueField(index int, field string) string { return fmt.Sprintf("queues[%d].%s", index, field) }

// checkPlace checks the host and the path prefix by which calls find a queue.
func (k *checker) checkPlace(i int, q *pb.Queue, places map[[2]string]int) {
	if q.Host == "" {
		k.add(Error, queueField(i, "host"), "is empty")
	} else if _, port, err := net.SplitHostPort(q.Host); err == nil {
		k.add(Warning, queueField(i, "host"), "never matches: hosts are compared without their port, %q has port %s", q.Host, port)
	}
	switch {
	case q.PathPrefix == "":
		k.add(Error, queueField(i, "path_prefix"), "is empty")
	case !strings.HasPrefix(q.PathPrefix, "/"):
		k.add(Warning, queueField(i, "path_prefix"), "never matches: paths begin with \"/\", %q does not", q.PathPrefix)
	case strings.ContainsAny(q.PathPrefix, "?#"):
		k.add(Warning, queueField(i, "path_prefix"), "never matches: a path holds no %q", "?#")
	}
	place := [2]string{q.Host, q.PathPrefix}
	folded := [2]string{strings.ToLower(q.Host), q.PathPrefix}
	first, ok := places[folded]
	if !ok {
		places[folded] = i
		return
	}
	other := k.catalogue.Queues[first]
	if place == [2]string{other.Host, other.PathPrefix} {
		k.add(Error, queueField(i, "path_prefix"), "queues[%d] %q has the same host and path", first, other.Name)
		return
	}
	k.add(Warning, queueField(i, "host"), "never matches: queues[%d] %q has the same path, and hosts are compared without case", first, other.Name)
}

func (k *checker) checkQueuePool(i int, q *pb.Queue) {
	pool := k.pools[q.Pool]
	switch {
	case pool == nil:
		k.add(Error, queueField(i, "pool"), "pool %q does not exist", q.Pool)
	case pool.Resting:
		k.add(Warning, queueField(i, "pool"), "the VMs of pool %q are off: its jobs wait until VMs are moved there", q.Pool)
	}
}

func (k *checker) checkQueueLimits(i int, q *pb.Queue) {
	if q.TimeoutMs <= 0 {
		k.add(Error, queueField(i, "timeout_ms"), "is %d ms, must be above 0", q.TimeoutMs)
	}
	if math.IsNaN(q.SlackFactor) || math.IsInf(q.SlackFactor, 0) || q.SlackFactor < 0 {
		k.add(Error, queueField(i, "slack_factor"), "%v is not a factor of at least 0", q.SlackFactor)
	}
	switch {
	case q.ObjectiveMs < 0:
		k.add(Error, queueField(i, "objective_ms"), "is %d ms, must not be below 0", q.ObjectiveMs)
	case q.SlackFactor >= 0 && q.SlackFactor < 1 && q.ObjectiveMs == 0:
		k.add(Warning, queueField(i, "slack_factor"), "%v of a job's own duration and no time beside it: no job can end in time", q.SlackFactor)
	}
}

// checkShadowed reports queues all of whose job paths belong to queues of the same host with longer prefixes.
func (k *checker) checkShadowed() {
	byHost := make(map[string][]string)
	for _, q := range k.catalogue.GetQueues() {
		host := strings.ToLower(q.Host)
		byHost[host] = append(byHost[host], q.PathPrefix)
	}
	for _, prefixes := range byHost {
		slices.Sort(prefixes)
	}
	for i, q := range k.catalogue.GetQueues() {
		if q.PathPrefix != "" && covered(byHost[strings.ToLower(q.Host)], q.PathPrefix, q.PathPrefix, idLength) {
			k.add(Warning, queueField(i, "path_prefix"), "never matches a job: longer prefixes of %q take all ids behind %q", q.Host, q.PathPrefix)
		}
	}
}

// covered reports whether every id of the remaining digits behind path has a prefix in the sorted list that is
// longer than own.
func covered(prefixes []string, own, path string, remaining int) bool {
	if path != own {
		if _, found := slices.BinarySearch(prefixes, path); found {
			return true
		}
	}
	if remaining == 0 || !extends(prefixes, path) {
		return false
	}
	for _, digit := range hexDigits {
		if !covered(prefixes, own, path+string(digit), remaining-1) {
			return false
		}
	}
	return true
}

// extends reports whether some prefix of the sorted list begins with path and is longer.
func extends(prefixes []string, path string) bool {
	at, found := slices.BinarySearch(prefixes, path)
	for found && at < len(prefixes) && prefixes[at] == path {
		at++
	}
	return at < len(prefixes) && strings.HasPrefix(prefixes[at], path)
}

func (k *checker) checkWorkspaces() {
	names, owners := make(map[string]int), make(map[string]int)
	for i, w := range k.catalogue.GetWorkspaces() {
		k.checkName("workspaces", i, w.Name, names)
		k.checkKeys(i, w, owners)
		field := func(name string) string { return fmt.Sprintf("workspaces[%d].%s", i, name) }
		if math.IsNaN(w.Weight) || w.Weight < 0 || w.Weight > maxWeight {
			k.add(Error, field("weight"), "%v is not a rate of 0 to %v jobs a second", w.Weight, float64(maxWeight))
		}
		for _, limit := range []struct {
			name   string
			amount int64
		}{
			{"cpu_millis", w.Limit.GetCpuMillis()}, {"memory_mb", w.Limit.GetMemoryMb()}, {"accelerators", w.Limit.GetAccelerators()},
		} {
			if limit.amount < 0 {
				k.add(Error, field("limit."+limit.name), "%d is below 0: no task of the workspace could run", limit.amount)
			}
		}
	}
}

func (k *checker) checkKeys(i int, w *pb.Workspace, owners map[string]int) {
	if len(w.Keys) == 0 {
		k.add(Warning, fmt.Sprintf("workspaces[%d].keys", i), "are none: no call can name workspace %q", w.Name)
	}
	for n, key := range w.Keys {
		field := fmt.Sprintf("workspaces[%d].keys[%d]", i, n)
		owner, taken := owners[key]
		switch {
		case key == "":
			k.add(Warning, field, "is empty: every call without a key would belong to workspace %q", w.Name)
		case taken && owner == i:
			k.add(Warning, field, "is given twice")
		case taken:
			k.add(Error, field, "is a key of workspaces[%d] %q too", owner, k.catalogue.Workspaces[owner].Name)
		default:
			owners[key] = i
		}
	}
}

func (k *checker) checkBodyLimit() {
	if limit := k.catalogue.GetMaxBodyBytes(); limit != 0 && limit < minBodyBytes {
		k.add(Warning, "max_body_bytes", "%d bytes are less than a job with the longest payload has (%d)", limit, minBodyBytes)
	}
}
