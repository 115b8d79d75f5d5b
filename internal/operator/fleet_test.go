package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// fleetFixture returns a fixture with a pool of three VMs, of which two must stay available.
func fleetFixture(t *testing.T) *fixture {
	f := newFixture(t)
	is := is.New(t)
	propose := func(command *statepb.Command) {
		outcome, err := f.cluster.Propose(t.Context(), command)
		is.NoErr(err)
		is.Equal(outcome.Code, statepb.Code_CODE_OK)
	}
	propose(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: "p"}}}})
	propose(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		Document: &statepb.TeamDocument{
			Team: "kita", ShareWeight: 1, UpperLimitUnits: 1,
			Budgets: []*statepb.AvailabilityBudget{{Pool: "p", MinAvailableVms: 2}},
		},
	}}})
	for i := range 3 {
		propose(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{
			Vm: &statepb.VM{Name: fmt.Sprintf("vm%d", i), Pool: "p", Zone: "a"},
		}}})
	}
	return f
}

func (f *fixture) vm(name string) VMView {
	_, _, recorder := f.do(http.MethodGet, "/v1/vms/"+name, "", "")
	var view VMView
	json.Unmarshal(recorder.Body.Bytes(), &view)
	return view
}

// TestInfeasibleWaveIsRefused checks that a wave that cannot finish by its deadline is refused
// with the reason and changes nothing, and that it can be forced.
func TestInfeasibleWaveIsRefused(t *testing.T) {
	is := is.New(t)
	f := fleetFixture(t)
	body := fmt.Sprintf(`{"pools":["p"],"deadline_unix_ms":%d`, time.Now().Add(6*time.Minute).UnixMilli())
	status, _, recorder := f.do(http.MethodPost, "/v1/waves/w/check", "", body+"}")
	is.Equal(status, http.StatusOK)
	var forecast ForecastView
	is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &forecast))
	is.Equal(forecast.VMs, 3)
	is.True(!forecast.Feasible)
	status, result, _ := f.do(http.MethodPut, "/v1/waves/w", state.NewID(), body+"}")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(result.Message, "cannot finish by the deadline because"))
	is.True(f.cluster.machine.Wave("w") == nil)
	id := state.NewID()
	for range 2 { // the resend gets the outcome of the first request
		status, _, _ = f.do(http.MethodPut, "/v1/waves/w", id, body+`,"force":true}`)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(len(f.cluster.machine.Wave("w").Vms), 3)
	status, _, _ = f.do(http.MethodDelete, "/v1/waves/w", state.NewID(), "")
	is.Equal(status, http.StatusOK)
	status, result, _ = f.do(http.MethodDelete, "/v1/waves/w", state.NewID(), "")
	is.Equal(status, http.StatusUnprocessableEntity) // the second cancellation is refused
	is.True(strings.Contains(result.Message, "CANCELLED already"))
}

// TestVMChangesAreBasedOnRevisions checks that of two drains based on the same revision the
// second gets a conflict with the revision in force, and that a drain beyond the availability
// budget is refused.
func TestVMChangesAreBasedOnRevisions(t *testing.T) {
	is := is.New(t)
	f := fleetFixture(t)
	drain := func(vm string, revision uint64) (int, Result) {
		status, result, _ := f.do(http.MethodPost, "/v1/vms/"+vm+"/drain", state.NewID(), fmt.Sprintf(`{"revision":%d}`, revision))
		return status, result
	}
	revision := f.vm("vm0").Revision
	status, _ := drain("vm0", revision)
	is.Equal(status, http.StatusOK)
	status, result := drain("vm0", revision)
	is.Equal(status, http.StatusConflict)
	is.Equal(result.Revision, f.vm("vm0").Revision)
	status, result = drain("vm1", f.vm("vm1").Revision)
	is.Equal(status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(result.Message, "availability budget"))
	status, _, _ = f.do(http.MethodPost, "/v1/vms/vm0/undrain", state.NewID(), fmt.Sprintf(`{"revision":%d}`, f.vm("vm0").Revision))
	is.Equal(status, http.StatusOK)
	is.Equal(f.vm("vm0").Phase, "active")
	status, _, _ = f.do(http.MethodDelete, "/v1/vms/vm0?revision=x", state.NewID(), "")
	is.Equal(status, http.StatusBadRequest)
}
