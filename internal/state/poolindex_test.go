package state

import (
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirering/internal/state/statepb"
)

// checkPoolIndex compares the index and budget of each pool with the VMs and documents.
func checkPoolIndex(t interface{ Fatalf(string, ...any) }, m *Machine) {
	indexed := 0
	for pool, names := range m.poolVMs {
		for name := range names {
			indexed++
			if vm := m.vms[name]; vm == nil || vm.Pool != pool {
				t.Fatalf("VM %s is indexed in pool %s, state has %v", name, pool, vm)
			}
		}
	}
	if indexed != len(m.vms) {
		t.Fatalf("%d VMs are indexed, state has %d", indexed, len(m.vms))
	}
	for pool := range m.pools {
		least := uint32(0)
		for _, doc := range m.documents {
			for _, budget := range doc.Budgets {
				if budget.Pool == pool {
					least = max(least, budget.MinAvailableVms)
				}
			}
		}
		if m.budget(pool) != least {
			t.Fatalf("budget of pool %s is %d, documents say %d", pool, m.budget(pool), least)
		}
	}
}

// TestPoolIndexIsDerived moves VMs through pools at random; after each command and
// after a restore the index must match the state.
func TestPoolIndexIsDerived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		m := New()
		for index := uint64(1); index <= 120; index++ {
			data, err := proto.Marshal(randomFleetCommand(r, m))
			if err != nil {
				t.Fatal(err)
			}
			m.Apply(index, data)
			checkPoolIndex(t, m)
		}
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		checkPoolIndex(t, restored)
	})
}

func randomFleetCommand(r *rand.Rand, m *Machine) *statepb.Command {
	pool := fmt.Sprintf("p%d", r.Intn(3))
	name := fmt.Sprintf("v%d", r.Intn(6))
	revision := m.vms[name].GetRevision()
	switch r.Intn(7) {
	case 0:
		return &statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{
			Pool: &statepb.Pool{Name: pool}, BaseRevision: m.pools[pool].GetRevision(),
		}}}
	case 1:
		return &statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{
			Vm: &statepb.VM{Name: name, Pool: pool, Slots: 1, Address: "http://127.0.0.1:1", Incarnation: fmt.Sprint(r.Intn(3))},
		}}}
	case 2:
		return &statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
			Vm: name, BaseRevision: revision, Owner: "move", Reason: "test", MoveToPool: pool,
		}}}
	case 3:
		phase := statepb.VMPhase(1 + r.Intn(5))
		return &statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: &statepb.AdvanceVM{
			Vm: name, BaseRevision: revision, Phase: phase,
		}}}
	case 4:
		return &statepb.Command{Body: &statepb.Command_MoveVm{MoveVm: &statepb.MoveVM{
			Vm: name, BaseRevision: revision, ToPool: m.vms[name].GetMoveToPool(),
		}}}
	case 5:
		return &statepb.Command{Body: &statepb.Command_RemoveVm{RemoveVm: &statepb.RemoveVM{Vm: name, BaseRevision: revision}}}
	}
	team := fmt.Sprintf("t%d", r.Intn(2))
	return &statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		BaseRevision: m.documents[team].GetRevision(),
		Document: &statepb.TeamDocument{
			Team: team, ShareWeight: 1, UpperLimitUnits: 1,
			Budgets: []*statepb.AvailabilityBudget{{Pool: pool, MinAvailableVms: uint32(r.Intn(3))}},
		},
	}}}
}
