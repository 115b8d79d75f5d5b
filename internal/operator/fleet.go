package operator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"sapphirering/internal/control"
	"sapphirering/internal/policy/maintenance"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// defaultCycle is how long a VM is expected to be out of service, for the drain and the
// reboot together.
const defaultCycle = 5 * time.Minute

// PoolView is the JSON form of a pool; Revision is what a change is based on.
type PoolView struct {
	Name            string `json:"name"`
	Spare           bool   `json:"spare"`
	Revision        uint64 `json:"revision"`
	MinAvailableVMs uint32 `json:"min_available_vms,omitempty"`
	AvailableVMs    uint32 `json:"available_vms,omitempty"`
}

// VMView is the JSON form of a VM.
type VMView struct {
	Name           string `json:"name"`
	Pool           string `json:"pool"`
	Zone           string `json:"zone"`
	Rack           string `json:"rack"`
	Phase          string `json:"phase"`
	Owner          string `json:"owner,omitempty"`
	Reason         string `json:"reason,omitempty"`
	MoveToPool     string `json:"move_to_pool,omitempty"`
	LentFrom       string `json:"lent_from,omitempty"`
	Slots          uint32 `json:"slots"`
	Revision       uint64 `json:"revision"`
	LastMaintained int64  `json:"last_maintained_unix_ms"`
}

// VMChange asks to drain one VM, to end its drain, or to move it to another pool.
type VMChange struct {
	// Revision is the VM's revision that the change is based on.
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason,omitempty"`
	// ToPool is the destination of a move.
	ToPool string `json:"to_pool,omitempty"`
}

// WaveRequest declares a wave or asks whether it is feasible.
type WaveRequest struct {
	VMs   []string `json:"vms,omitempty"`
	Pools []string `json:"pools,omitempty"`
	Racks []string `json:"racks,omitempty"`
	Zones []string `json:"zones,omitempty"`
	// MaintainedBefore selects VMs whose last maintenance was earlier, in Unix milliseconds.
	MaintainedBefore int64  `json:"maintained_before_unix_ms,omitempty"`
	Canary           uint32 `json:"canary,omitempty"`
	MaxParallel      uint32 `json:"max_parallel,omitempty"`
	StopAfter        uint32 `json:"stop_after_failures,omitempty"`
	Deadline         int64  `json:"deadline_unix_ms,omitempty"`
	Action           string `json:"action,omitempty"`
	// CycleMS is how long one VM is expected to be out of service, in milliseconds.
	CycleMS int64 `json:"cycle_ms,omitempty"`
	// Force declares the wave even if it cannot finish by its deadline.
	Force bool `json:"force,omitempty"`
}

// WaveView is the JSON form of a wave.
type WaveView struct {
	ID       string   `json:"id"`
	Phase    string   `json:"phase"`
	Reason   string   `json:"reason,omitempty"`
	VMs      []string `json:"vms"`
	Out      []string `json:"out,omitempty"`
	Done     []string `json:"done,omitempty"`
	Failed   []string `json:"failed,omitempty"`
	Deadline int64    `json:"deadline_unix_ms,omitempty"`
	Declared int64    `json:"declared_unix_ms"`
	Action   string   `json:"action,omitempty"`
	Revision uint64   `json:"revision"`
}

// ForecastView tells whether a wave can finish by its deadline.
type ForecastView struct {
	VMs      int    `json:"vms"`
	Feasible bool   `json:"feasible"`
	Rounds   int    `json:"rounds"`
	Finish   int64  `json:"finish_unix_ms,omitempty"`
	Reason   string `json:"reason"`
}

// DueView tells by when a VM is due for maintenance.
type DueView struct {
	VM      string `json:"vm"`
	Pool    string `json:"pool"`
	Due     int64  `json:"due_unix_ms"`
	Overdue bool   `json:"overdue"`
}

func (s *Server) routeFleet(v1 *mux.Router) {
	v1.HandleFunc("/pools", s.listPools).Methods(http.MethodGet)
	v1.HandleFunc("/pools/{pool}", s.putPool).Methods(http.MethodPut)
	v1.HandleFunc("/pools/{pool}", s.deletePool).Methods(http.MethodDelete)
	v1.HandleFunc("/vms", s.listVMs).Methods(http.MethodGet)
	v1.HandleFunc("/vms/{vm}", s.getVM).Methods(http.MethodGet)
	v1.HandleFunc("/vms/{vm}", s.removeVM).Methods(http.MethodDelete)
	v1.HandleFunc("/vms/{vm}/drain", s.drainVM).Methods(http.MethodPost)
	v1.HandleFunc("/vms/{vm}/undrain", s.undrainVM).Methods(http.MethodPost)
	v1.HandleFunc("/waves", s.listWaves).Methods(http.MethodGet)
	v1.HandleFunc("/waves/{wave}", s.getWave).Methods(http.MethodGet)
	v1.HandleFunc("/waves/{wave}", s.declareWave).Methods(http.MethodPut)
	v1.HandleFunc("/waves/{wave}", s.cancelWave).Methods(http.MethodDelete)
	v1.HandleFunc("/waves/{wave}/check", s.checkWave).Methods(http.MethodPost)
	v1.HandleFunc("/due", s.listDue).Methods(http.MethodGet)
}

func (s *Server) listPools(w http.ResponseWriter, _ *http.Request) {
	views := []PoolView{}
	for _, pool := range s.cfg.Machine.Pools() {
		minAvailable, available := s.cfg.Machine.Budget(pool.Name)
		views = append(views, PoolView{
			Name: pool.Name, Spare: pool.Spare, Revision: pool.Revision, MinAvailableVMs: minAvailable, AvailableVMs: available,
		})
	}
	writeJSON(w, http.StatusOK, views)
}

func (s *Server) putPool(w http.ResponseWriter, r *http.Request) {
	var view PoolView
	if !readBody(w, r, &view) {
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{
		Pool: &statepb.Pool{Name: mux.Vars(r)["pool"], Spare: view.Spare}, BaseRevision: view.Revision,
	}}})
}

// queryRevision reads the revision that a deletion is based on.
func queryRevision(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeInvalid(w, "revision: %v", err)
	}
	return revision, err == nil
}

func (s *Server) deletePool(w http.ResponseWriter, r *http.Request) {
	revision, ok := queryRevision(w, r)
	if !ok {
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_DeletePool{
		DeletePool: &statepb.DeletePool{Name: mux.Vars(r)["pool"], BaseRevision: revision},
	}})
}

// PhaseName returns the name of a phase in JSON and metrics.
func PhaseName(phase statepb.VMPhase) string {
	return strings.ToLower(strings.TrimPrefix(phase.String(), "VM_PHASE_"))
}

func viewVM(vm *statepb.VM) VMView {
	return VMView{
		Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Phase: PhaseName(vm.Phase),
		Owner: vm.DrainOwner, Reason: vm.DrainReason, MoveToPool: vm.MoveToPool, LentFrom: vm.LentFrom,
		Slots: vm.Slots, Revision: vm.Revision, LastMaintained: vm.LastMaintainedUnixMs,
	}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	views := []VMView{}
	for _, vm := range s.cfg.Machine.VMs() {
		views = append(views, viewVM(vm))
	}
	writeJSON(w, http.StatusOK, views)
}

func (s *Server) getVM(w http.ResponseWriter, r *http.Request) {
	vm := s.cfg.Machine.VM(mux.Vars(r)["vm"])
	if vm == nil {
		writeJSON(w, http.StatusNotFound, Result{Code: codeNotFound, Message: "vm does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, viewVM(vm))
}

// drainVM drains a VM; if the request names a pool, the VM moves there afterwards.
func (s *Server) drainVM(w http.ResponseWriter, r *http.Request) {
	var change VMChange
	if !readBody(w, r, &change) {
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
		Vm: mux.Vars(r)["vm"], BaseRevision: change.Revision, Owner: state.OperatorDrainOwner(actorOf(r.Context())),
		Reason: change.Reason, MoveToPool: change.ToPool,
	}}})
}

func (s *Server) undrainVM(w http.ResponseWriter, r *http.Request) {
	var change VMChange
	if !readBody(w, r, &change) {
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: &statepb.AdvanceVM{
		Vm: mux.Vars(r)["vm"], BaseRevision: change.Revision, Phase: statepb.VMPhase_VM_PHASE_ACTIVE, Reason: change.Reason,
	}}})
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	revision, ok := queryRevision(w, r)
	if !ok {
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_RemoveVm{
		RemoveVm: &statepb.RemoveVM{Vm: mux.Vars(r)["vm"], BaseRevision: revision},
	}})
}

func (s *Server) viewWave(wave *statepb.Wave) WaveView {
	view := WaveView{
		ID: wave.Id, Phase: strings.ToLower(strings.TrimPrefix(wave.Phase.String(), "WAVE_PHASE_")), Reason: wave.Reason,
		VMs: wave.Vms, Done: wave.DoneVms, Failed: wave.FailedVms, Deadline: wave.DeadlineUnixMs,
		Declared: wave.DeclaredUnixMs, Action: wave.Action, Revision: wave.Revision,
	}
	for _, vm := range s.cfg.Machine.VMs() {
		if vm.DrainOwner == state.WaveDrainOwner(wave.Id) {
			view.Out = append(view.Out, vm.Name)
		}
	}
	return view
}

func (s *Server) listWaves(w http.ResponseWriter, _ *http.Request) {
	views := []WaveView{}
	for _, wave := range s.cfg.Machine.Waves() {
		views = append(views, s.viewWave(wave))
	}
	writeJSON(w, http.StatusOK, views)
}

func (s *Server) getWave(w http.ResponseWriter, r *http.Request) {
	wave := s.cfg.Machine.Wave(mux.Vars(r)["wave"])
	if wave == nil {
		writeJSON(w, http.StatusNotFound, Result{Code: codeNotFound, Message: "wave does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, s.viewWave(wave))
}

func (q *WaveRequest) proto(id string) *statepb.Wave {
	wave := &statepb.Wave{
		Id: id, Vms: q.VMs, MaxParallelVms: q.MaxParallel, CanaryVms: q.Canary,
		StopAfterFailures: q.StopAfter, DeadlineUnixMs: q.Deadline, Action: q.Action,
	}
	if len(q.Pools)+len(q.Racks)+len(q.Zones) > 0 || q.MaintainedBefore != 0 {
		wave.Selector = &statepb.WaveSelector{
			Pools: q.Pools, Racks: q.Racks, Zones: q.Zones, MaintainedBeforeUnixMs: q.MaintainedBefore,
		}
	}
	return wave
}

// forecast simulates the maintenance policy on this daemon's committed state.
func (s *Server) forecast(id string, q *WaveRequest) ForecastView {
	wave := q.proto(id)
	wave.Vms = state.SelectVMs(wave, s.cfg.Machine.VMs())
	cycle := time.Duration(q.CycleMS) * time.Millisecond
	if cycle <= 0 {
		cycle = defaultCycle
	}
	snapshot := control.MaintenanceSnapshot(s.cfg.Machine, time.Now())
	f := maintenance.Predict(snapshot, control.MaintenanceWave(wave), cycle, s.lendableVMs(snapshot))
	view := ForecastView{VMs: len(wave.Vms), Feasible: f.Feasible, Rounds: f.Rounds, Reason: f.Reason}
	if !f.Finish.IsZero() {
		view.Finish = f.Finish.UnixMilli()
	}
	return view
}

// lendableVMs counts the VMs that spare pools could lend.
func (s *Server) lendableVMs(snapshot maintenance.Snapshot) int {
	lendable := 0
	allowed := maintenance.AllowedDisruptions(snapshot.VMs, snapshot.Budgets)
	for _, pool := range s.cfg.Machine.Pools() {
		if pool.Spare {
			lendable += allowed[pool.Name]
		}
	}
	return lendable
}

func (s *Server) checkWave(w http.ResponseWriter, r *http.Request) {
	var request WaveRequest
	if !readBody(w, r, &request) {
		return
	}
	writeJSON(w, http.StatusOK, s.forecast(mux.Vars(r)["wave"], &request))
}

// declareWave refuses a wave that cannot finish by its deadline unless it is forced. A resend
// for a wave that is already declared is not checked again.
func (s *Server) declareWave(w http.ResponseWriter, r *http.Request) {
	var request WaveRequest
	if !readBody(w, r, &request) {
		return
	}
	id := mux.Vars(r)["wave"]
	if s.cfg.Machine.Wave(id) == nil && !request.Force && request.Deadline != 0 {
		if f := s.forecast(id, &request); !f.Feasible && f.VMs > 0 {
			message := fmt.Sprintf("%s; declare it with force to start it anyway", f.Reason)
			writeJSON(w, http.StatusUnprocessableEntity, Result{Code: "refused", Message: message})
			return
		}
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_DeclareWave{
		DeclareWave: &statepb.DeclareWave{Wave: request.proto(id)},
	}})
}

func (s *Server) cancelWave(w http.ResponseWriter, r *http.Request) {
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_EndWave{EndWave: &statepb.EndWave{
		Wave: mux.Vars(r)["wave"], Phase: statepb.WavePhase_WAVE_PHASE_CANCELLED,
		Reason: "cancelled by " + actorOf(r.Context()),
	}}})
}

func (s *Server) listDue(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	views := []DueView{}
	for _, due := range maintenance.Due(control.MaintenanceSnapshot(s.cfg.Machine, now).VMs) {
		views = append(views, DueView{
			VM: due.VM.Name, Pool: due.VM.Pool, Due: due.Due.UnixMilli(), Overdue: now.After(due.Due),
		})
	}
	writeJSON(w, http.StatusOK, views)
}
