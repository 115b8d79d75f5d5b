package target

import (
	"fmt"
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
	// MaxAnnouncementAge is how old an announcement may be for a dispatch.
	MaxAnnouncementAge = 3 * time.Second
	// forgetAfter is how long a silent target stays in the registry.
	forgetAfter = 60 * time.Second
)

// Target is one announced target as this daemon sees it.
type Target struct {
	Announcement Announcement
	Seen         time.Time
	// InFlight counts requests that this daemon has dispatched and not finished.
	InFlight uint32
	// BusyUntil holds dispatch back after the target refused as busy.
	BusyUntil time.Time
	// suspectUntil holds dispatch back after fresh connections failed too.
	SuspectUntil time.Time
}

// Registry holds the announced targets of this zone.
type Registry struct {
	machine *state.Machine
	now     func() time.Time

	mu      sync.Mutex
	targets map[string]*Target
	changed chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry(machine *state.Machine, now func() time.Time) *Registry {
	return &Registry{machine: machine, now: now, targets: make(map[string]*Target), changed: make(chan struct{})}
}

// Announce records an announcement. Older sequence numbers of the same
// incarnation are ignored. registered is false when the committed state does
// not know the VM as announced yet.
func (r *Registry) Announce(a Announcement) (answer AnnouncementAnswer, registered bool, err error) {
	if !state.ValidName(a.VM) || a.Incarnation == "" || a.Address == "" {
		return AnnouncementAnswer{}, false, fmt.Errorf("announcement: vm, incarnation and address are required")
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

func (r *Registry) record(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.targets[a.VM]
	if known == nil || known.Announcement.Incarnation != a.Incarnation {
		event.TargetSeen.Emit(event.F("vm", a.VM), event.F("incarnation", a.Incarnation))
		known = &Target{}
		r.targets[a.VM] = known
	} else if a.Sequence <= known.Announcement.Sequence {
		return
	}
	if a.Leaving && !known.Announcement.Leaving {
		event.TargetLeaving.Emit(event.F("vm", a.VM))
	}
	known.Announcement = a
	known.Seen = r.now()
	r.signal()
}

// signal wakes waiters for a free slot.
func (r *Registry) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a slot may have become free.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
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

// dispatchable reports whether the target may be given work now.
func (r *Registry) dispatchable(t *Target, pool string) bool {
	now := r.now()
	if t.Announcement.Leaving || now.Sub(t.Seen) > MaxAnnouncementAge {
		return false
	}
	if now.Before(t.BusyUntil) || now.Before(t.SuspectUntil) || t.InFlight >= t.Announcement.Slots {
		return false
	}
	vm := r.machine.VM(t.Announcement.VM)
	return vm != nil && vm.Pool == pool && vm.Phase == statepb.VMPhase_VM_PHASE_ACTIVE
}

// Take reserves a slot on the least loaded target of the pool, or returns nil.
func (r *Registry) Take(pool string, avoid map[string]bool) *Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Target
	for _, t := range r.targets {
		if avoid[t.Announcement.VM] || !r.dispatchable(t, pool) {
			continue
		}
		if best == nil || lessLoaded(t, best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	best.InFlight++
	a := best.Announcement
	return &Slot{
		registry: r, target: best, VM: a.VM, Address: a.Address,
		Announcement: fmt.Sprintf("%s/%d", a.Incarnation, a.Sequence),
	}
}

// lessLoaded compares by the share of slots in use, then by name.
func lessLoaded(a, b *Target) bool {
	left := a.InFlight * b.Announcement.Slots
	right := b.InFlight * a.Announcement.Slots
	if left != right {
		return left < right
	}
	return a.Announcement.VM < b.Announcement.VM
}

// Release gives the slot back.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.registry.mu.Lock()
		defer s.registry.mu.Unlock()
		s.target.InFlight--
		s.registry.signal()
	})
}

// MarkBusy holds dispatch to the slot's target back for d.
func (s *Slot) MarkBusy(d time.Duration) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.target.BusyUntil = s.registry.now().Add(d)
}

// MarkSuspect holds dispatch back after a fresh connection failed.
func (s *Slot) MarkSuspect(d time.Duration) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.target.SuspectUntil = s.registry.now().Add(d)
}

// FreeSlots counts the free slots of a pool in this zone.
func (r *Registry) FreeSlots(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := 0
	for _, t := range r.targets {
		if r.dispatchable(t, pool) {
			free += int(t.Announcement.Slots - t.InFlight)
		}
	}
	return free
}

// Get returns the address of a VM that announced itself lately.
func (r *Registry) Get(vm string) (Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[vm]
	if t == nil || r.now().Sub(t.Seen) > MaxAnnouncementAge {
		return Announcement{}, false
	}
	return t.Announcement, true
}

// Reports describes every target to the leader.
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
			InFlight:      t.InFlight + t.Announcement.InFlight,
			DrainRevision: t.Announcement.DrainRevision,
			Usage: &statepb.Resources{
				Millicores: t.Announcement.UsedMillicores, MemoryMb: t.Announcement.UsedMemoryMB,
			},
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Vm < reports[j].Vm })
	return reports
}
