package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// fixture is a registry over a state machine with registered VMs, and a clock that
// the test moves.
type fixture struct {
	t        *testing.T
	machine  *state.Machine
	index    uint64
	now      time.Time
	registry *Registry
}

func newFixture(t *testing.T, pools ...string) *fixture {
	f := &fixture{t: t, machine: state.New(), now: time.Unix(1_000_000, 0)}
	f.registry = NewRegistry(f.machine, func() time.Time { return f.now })
	for _, pool := range pools {
		f.apply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: pool}}}})
	}
	return f
}

func (f *fixture) apply(command *statepb.Command) {
	f.t.Helper()
	command.TimeUnixMs = f.now.UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		f.t.Fatal(err)
	}
	f.index++
	if outcome := f.machine.Apply(f.index, data).(*statepb.Outcome); outcome.Code != statepb.Code_CODE_OK {
		f.t.Fatalf("%s: %s", outcome.Code, outcome.Message)
	}
}

func announcement(vm string, sequence uint64) Announcement {
	return Announcement{VM: vm, Incarnation: "i1", Sequence: sequence, Pool: "p", Zone: "a", Address: "http://127.0.0.1:1", Slots: 4}
}

func (f *fixture) announce(a Announcement) {
	f.t.Helper()
	if _, _, err := f.registry.Announce(a); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) register(a Announcement) {
	f.t.Helper()
	f.apply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
		Name: a.VM, Pool: a.Pool, Zone: a.Zone, Address: a.Address, Incarnation: a.Incarnation, Slots: a.Slots,
	}}}})
	f.announce(a)
}

func (f *fixture) take() *Slot { return f.registry.Take(SlotFilter{Pool: "p", Probe: true}) }

func TestDispatchOnlyOnRecentAnnouncement(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	f.register(announcement("vm-1", 1))
	is.True(f.take() != nil)
	f.now = f.now.Add(MaxAnnouncementAge + time.Millisecond)
	is.True(f.take() == nil) // the announcement is too old
	f.announce(announcement("vm-1", 1))
	is.True(f.take() == nil) // a repeated sequence number is ignored
	f.announce(announcement("vm-1", 2))
	is.True(f.take() != nil)
	leaving := announcement("vm-1", 3)
	leaving.Leaving = true
	f.announce(leaving)
	is.True(f.take() == nil)
	f.announce(announcement("vm-1", 2))
	is.True(f.take() == nil) // an older announcement does not undo the leaving
}

func TestLateAnnouncementOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	f.register(announcement("vm-1", 7))
	held := f.take()
	rebooted := announcement("vm-1", 1)
	rebooted.Incarnation, rebooted.Address = "i2", "http://127.0.0.1:2"
	f.announce(rebooted)
	f.announce(announcement("vm-1", 8))
	slot := f.take()
	is.Equal(slot.Address, rebooted.Address) // the announcement from after the reboot still applies
	is.Equal(slot.Announcement, "i2/1")
	held.Release() // a slot of the earlier incarnation
	is.Equal(f.registry.FreeSlots("p"), 3)
}

// TestLateAnnouncementOfUnknownIncarnation checks that a late announcement of an incarnation that
// this daemon has never heard of, as after its own restart, does not keep the living one from
// being used until the registry forgets the VM.
func TestLateAnnouncementOfUnknownIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	living := announcement("vm-1", 1)
	living.Incarnation, living.Address = "i2", "http://127.0.0.1:2"
	f.register(living)
	f.announce(announcement("vm-1", 8)) // of i1, which ended before i2 was started
	for end := f.now.Add(MaxAnnouncementAge + 2*AnnounceInterval); f.now.Before(end); f.now = f.now.Add(AnnounceInterval) {
		living.Sequence++
		f.announce(living)
	}
	slot := f.take()
	is.True(slot != nil)
	is.Equal(slot.Announcement, living.Token())
	f.announce(announcement("vm-1", 9)) // another late one
	is.Equal(f.take().Announcement, living.Token())
}

func TestUnregisteredOrDrainingTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p", "other")
	f.announce(announcement("vm-1", 1))
	is.True(f.take() == nil) // not registered
	f.register(announcement("vm-1", 2))
	is.True(f.take() != nil)
	vm := f.machine.VM("vm-1")
	f.apply(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
		Vm: "vm-1", BaseRevision: vm.Revision, Owner: "move", MoveToPool: "other",
	}}})
	is.True(f.take() == nil) // draining
	answer, _, err := f.registry.Announce(announcement("vm-1", 3))
	is.NoErr(err)
	is.True(answer.Drain)
}

func TestMalformedAnnouncements(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	for _, change := range []func(*Announcement){
		func(a *Announcement) { a.VM = "" },
		func(a *Announcement) { a.Incarnation = "a/b" },
		func(a *Announcement) { a.Address = "file:///etc" },
		func(a *Announcement) { a.Slots = 1 << 30 },
	} {
		a := announcement("vm-1", 1)
		change(&a)
		_, _, err := f.registry.Announce(a)
		is.True(err != nil)
	}
}

// runWork dispatches work to a pool in which the VMs in failing fail everything. It
// returns how much of the second half of the work they got.
func (f *fixture) runWork(failing map[string]bool, count int) int {
	got := 0
	for i := range count {
		f.now = f.now.Add(10 * time.Millisecond)
		for vm := range f.registry.targets {
			a := announcement(vm, uint64(f.now.UnixNano()))
			f.announce(a)
		}
		slot := f.take()
		if slot == nil {
			continue
		}
		slot.Release()
		slot.Observe(failing[slot.VM])
		if failing[slot.VM] && i >= count/2 {
			got++
		}
	}
	return got
}

func TestEjectionOfTargetsThatFailEverything(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	for i := range 6 {
		f.register(announcement(fmt.Sprintf("vm-%d", i), 1))
	}
	failing := map[string]bool{"vm-1": true, "vm-2": true}
	got := f.runWork(failing, 1000)
	is.True(got < 20) // the two, a third of the pool, are ejected and get only probes
	f.runWork(nil, 2000)
	ejected := 0
	for _, report := range f.registry.Reports() {
		if report.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 0) // the probes re-admitted both
}

func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	failing := make(map[string]bool)
	for i := range 6 {
		name := fmt.Sprintf("vm-%d", i)
		f.register(announcement(name, 1))
		failing[name] = i < 4
	}
	f.runWork(failing, 1000)
	ejected := 0
	for _, report := range f.registry.Reports() {
		if report.Ejected {
			ejected++
		}
	}
	is.True(ejected <= 2) // a third of the pool at most
}

func TestWholePoolFailingEjectsNone(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p")
	failing := make(map[string]bool)
	for i := range 6 {
		name := fmt.Sprintf("vm-%d", i)
		f.register(announcement(name, 1))
		failing[name] = true
	}
	f.runWork(failing, 500)
	for _, report := range f.registry.Reports() {
		is.True(!report.Ejected) // no single target is worse than the others
	}
}

// TestAnnouncedPort checks that addresses with an invalid port are refused.
func TestAnnouncedPort(t *testing.T) {
	for address, valid := range map[string]bool{
		"http://127.0.0.1:1": true, "http://127.0.0.1": true, "http://127.0.0.1:65535": true,
		"http://127.0.0.1:0": false, "http://127.0.0.1:65536": false, "http://127.0.0.1:-1": false,
	} {
		a := announcement("vm-1", 1)
		a.Address = address
		if err := a.validate(); (err == nil) != valid {
			t.Errorf("%s: %v", address, err)
		}
	}
}
