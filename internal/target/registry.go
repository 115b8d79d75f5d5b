package target

import (
	"slices"
	"sort"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const (
	// AnnounceInterval is how often a target announces itself.
	AnnounceInterval = 500 * time.Millisecond
	// MaxAnnouncementAge is the highest age of an announcement on which a
	// dispatch may rely.
	MaxAnnouncementAge = 3 * time.Second
	// LateRunMargin is how long after its deadline work whose outcome is unknown
	// may still run. A target may start a request that waits in its socket until
	// the announcement of the dispatch is too old. It counts the deadline from
	// then and stops the work at most a second after it.
	LateRunMargin = MaxAnnouncementAge + AnnounceInterval + time.Second
	// forgetAfter is how long a silent target stays in the registry.
	forgetAfter = 60 * time.Second
	// maxRetired bounds the earlier incarnations that are remembered per VM.
	maxRetired = 4
)

// Target is one announced target as this daemon sees it.
type Target struct {
	Announcement Announcement
	Seen         time.Time
	// InFlight counts the requests that this daemon has dispatched and that have not ended.
	InFlight uint32
	// BusyUntil is until when nothing is dispatched after the target refused as busy.
	BusyUntil time.Time
	// SuspectUntil is until when nothing is dispatched after a new connection failed.
	SuspectUntil time.Time

	health health
	// retired holds earlier incarnations, which newer ones replaced.
	retired []retiredIncarnation
}

// retiredIncarnation is an incarnation that another one has replaced.
type retiredIncarnation struct {
	incarnation string
	// sequence is that of its last announcement before.
	sequence uint64
}

// Registry holds the announced targets of this zone.
type Registry struct {
	machine *state.Machine
	now     func() time.Time

	mu      sync.Mutex
	targets map[string]*Target
	// changed is closed at the next change; nil while nobody waits for it.
	changed chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry(machine *state.Machine, now func() time.Time) *Registry {
	return &Registry{machine: machine, now: now, targets: make(map[string]*Target)}
}

// Announce records an announcement and returns the answer to it. Of the same
// incarnation, sequence numbers that are not higher than the last are ignored.
// registered is false when the committed state has no VM with the announced
// incarnation, address and slots yet.
func (r *Registry) Announce(a Announcement) (answer AnnouncementAnswer, registered bool, err error) {
	if err := a.validate(); err != nil {
		return AnnouncementAnswer{}, false, err
	}
	r.record(a)
	vm := r.machine.VM(a.VM)
	if vm == nil {
		return AnnouncementAnswer{Pool: a.Pool}, false, nil
	}
	answer = AnnouncementAnswer{Pool: vm.Pool, Phase: vm.Phase.String(), Revision: vm.Revision}
	if vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE && vm.Phase != statepb.VMPhase_VM_PHASE_DOWN {
		answer.Drain = true
		answer.DrainRevision = vm.DrainRevision
	}
	registered = vm.Incarnation == a.Incarnation && vm.Address == a.Address && vm.Slots == a.Slots
	return answer, registered, nil
}

// record stores the announcement. It ignores a delayed announcement of an
// earlier incarnation, which would restore the address and slots from before a
// reboot.
func (r *Registry) record(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.targets[a.VM]
	if known != nil && known.replaced(a, r.now()) {
		event.StaleIncarnation.Emit(event.F("vm", a.VM), event.F("incarnation", a.Incarnation))
		return
	}
	if known == nil || known.Announcement.Incarnation != a.Incarnation {
		event.TargetSeen.Emit(event.F("vm", a.VM), event.F("incarnation", a.Incarnation))
		known = nextIncarnation(known, a.Incarnation)
		r.targets[a.VM] = known
	} else if a.Sequence <= known.Announcement.Sequence {
		return
	}
	if a.Leaving && !known.Announcement.Leaving {
		event.TargetLeaving.Emit(event.F("vm", a.VM))
	}
	known.Announcement = a
	known.Seen = r.now()
	r.notifyChanged()
}

// replaced reports whether an announcement is of an incarnation that another one has
// replaced. Names of incarnations have no order: if the replaced one goes on announcing
// itself and the other is silent, that one's announcement was the delayed one.
func (t *Target) replaced(a Announcement, now time.Time) bool {
	i := slices.IndexFunc(t.retired, func(r retiredIncarnation) bool { return r.incarnation == a.Incarnation })
	if i < 0 {
		return false
	}
	return a.Sequence <= t.retired[i].sequence || now.Sub(t.Seen) <= MaxAnnouncementAge
}

// nextIncarnation returns the entry of another incarnation. Slots that were taken
// from the earlier entry still belong to that entry.
func nextIncarnation(earlier *Target, incarnation string) *Target {
	if earlier == nil {
		return &Target{}
	}
	retired := slices.DeleteFunc(slices.Clone(earlier.retired), func(r retiredIncarnation) bool { return r.incarnation == incarnation })
	retired = append(retired, retiredIncarnation{earlier.Announcement.Incarnation, earlier.Announcement.Sequence})
	if len(retired) > maxRetired {
		retired = retired[len(retired)-maxRetired:]
	}
	return &Target{retired: retired}
}

// notifyChanged wakes the waiters of Changed.
func (r *Registry) notifyChanged() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changed returns a channel that is closed when a slot may have become free.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Slot is the right to dispatch one request to a target.
type Slot struct {
	registry *Registry
	target   *Target
	VM       string
	Address  string
	// Announcement is the value of HeaderAnnouncement.
	Announcement string
	once         sync.Once
}

// SlotFilter selects the targets on which a slot may be taken.
type SlotFilter struct {
	Pool string
	// Avoid names VMs that this request must not go to again.
	Avoid map[string]bool
	// Probe allows a slot on an ejected target that is due for a probe.
	Probe bool
}

// ready reports whether the target can take work, regardless of its pool.
func (t *Target) ready(now time.Time) bool {
	if t.Announcement.Leaving || now.Sub(t.Seen) > MaxAnnouncementAge {
		return false
	}
	return !now.Before(t.BusyUntil) && !now.Before(t.SuspectUntil) && t.InFlight < t.Announcement.Slots
}

// probeDue reports whether an ejected target may get one probe.
func (t *Target) probeDue(now time.Time) bool {
	return t.InFlight == 0 && !now.Before(t.health.probeAfter)
}

// dispatchable reports whether the target may be given work of the pool now.
func (r *Registry) dispatchable(t *Target, filter SlotFilter, now time.Time) bool {
	if !t.ready(now) || filter.Avoid[t.Announcement.VM] {
		return false
	}
	if t.health.ejected && !(filter.Probe && t.probeDue(now)) {
		return false
	}
	vm := r.machine.VM(t.Announcement.VM)
	return vm != nil && vm.Pool == filter.Pool && vm.Phase == statepb.VMPhase_VM_PHASE_ACTIVE
}

// Take reserves a slot on the least loaded target that matches the filter, or
// returns nil when there is none. A target that is due for a probe comes first.
func (r *Registry) Take(filter SlotFilter) *Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var best *Target
	for _, t := range r.targets {
		if best != nil && !preferred(t, best) || !r.dispatchable(t, filter, now) {
			continue
		}
		best = t
	}
	if best == nil {
		return nil
	}
	best.InFlight++
	a := best.Announcement
	return &Slot{registry: r, target: best, VM: a.VM, Address: a.Address, Announcement: a.Token()}
}

// preferred reports whether a is chosen before b: an ejected target that is due
// for a probe comes first, then the less loaded one.
func preferred(a, b *Target) bool {
	if a.health.ejected != b.health.ejected {
		return a.health.ejected
	}
	return lessLoaded(a, b)
}

// lessLoaded compares the fraction of slots in use. Equal targets are chosen in
// the random order of the map, so that entry VMs do not all choose the same one.
func lessLoaded(a, b *Target) bool {
	return a.InFlight*b.Announcement.Slots < b.InFlight*a.Announcement.Slots
}

// Release returns the slot to its target.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.registry.mu.Lock()
		defer s.registry.mu.Unlock()
		s.target.InFlight--
		s.registry.notifyChanged()
	})
}

// MarkBusy stops dispatch to the slot's target for d, after it refused as busy.
func (s *Slot) MarkBusy(d time.Duration) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.target.BusyUntil = s.registry.now().Add(d)
}

// MarkSuspect stops dispatch to the slot's target for d, after a new connection failed.
func (s *Slot) MarkSuspect(d time.Duration) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.target.SuspectUntil = s.registry.now().Add(d)
}

// Observe records whether work on the slot's target failed.
func (s *Slot) Observe(failed bool) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.registry.observe(s.target, failed)
}

// FreeSlots counts the free slots of a pool in this zone.
func (r *Registry) FreeSlots(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := 0
	now := r.now()
	for _, t := range r.targets {
		if r.dispatchable(t, SlotFilter{Pool: pool}, now) {
			free += int(t.Announcement.Slots - t.InFlight)
		}
	}
	return free
}

// Get returns the last announcement of a VM, and false when there is none or it
// is older than MaxAnnouncementAge.
func (r *Registry) Get(vm string) (Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[vm]
	if t == nil || r.now().Sub(t.Seen) > MaxAnnouncementAge {
		return Announcement{}, false
	}
	return t.Announcement, true
}

// Reports returns a report on every target for the leader, and removes targets
// that have been silent for longer than forgetAfter.
func (r *Registry) Reports() []*wirepb.VMReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []*wirepb.VMReport
	for name, t := range r.targets {
		age := r.now().Sub(t.Seen)
		if age > forgetAfter {
			event.TargetLost.Emit(event.F("vm", name))
			delete(r.targets, name)
			continue
		}
		reports = append(reports, &wirepb.VMReport{
			Vm: name, Incarnation: t.Announcement.Incarnation, AgeMs: uint32(age.Milliseconds()),
			Leaving: t.Announcement.Leaving, GateClosed: t.Announcement.Leaving,
			InFlight: max(t.InFlight, t.Announcement.InFlight), Ejected: t.health.ejected,
			DrainRevision: t.Announcement.DrainRevision,
			Usage: &statepb.Resources{
				Millicores: t.Announcement.UsedMillicores, MemoryMb: t.Announcement.UsedMemoryMB,
			},
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Vm < reports[j].Vm })
	return reports
}
