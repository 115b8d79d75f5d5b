package operator

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/entry"
	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// serveMetrics writes every metric in the Prometheus text format. It first removes
// the series of teams that have no document any more.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.Prune(gometrics.DefaultRegistry, func(team string) bool { return s.cfg.Machine.Document(team) != nil })
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	gauges := append(s.localGauges(), stateGauges(s.cfg.Machine)...)
	if err := metrics.Write(w, gometrics.DefaultRegistry, gauges); err != nil {
		event.MetricsFailed.Emit(event.Err(err))
	}
}

// localGauges returns the gauges of this entry VM.
func (s *Server) localGauges() []metrics.Gauge {
	local := s.cfg.Cluster.Local()
	return append(metrics.ProcessGauges(), []metrics.Gauge{
		{Name: "applied_index", Value: float64(local.AppliedIndex)},
		{Name: "session_live", Value: boolValue(local.SessionLive)},
		{Name: "session_renewed_age_ms", Value: float64(local.RenewedAge.Milliseconds())},
		{Name: "leading", Value: boolValue(local.Leading)},
	}...)
}

func boolValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// stateGauges returns the gauges of the committed state.
func stateGauges(m *state.Machine) []metrics.Gauge {
	documents := m.Documents()
	gauges := []metrics.Gauge{
		{Name: "documents", Value: float64(len(documents))},
		{Name: "keys", Value: float64(len(m.Keys()))},
	}
	for _, doc := range documents {
		team := metrics.L("team", doc.Team)
		gauges = append(gauges,
			metrics.Gauge{Name: metrics.Name("team_upper_limit", team), Value: float64(doc.UpperLimitUnits)},
			metrics.Gauge{Name: metrics.Name("team_handed_out", team), Value: float64(m.AllocatedUnits(doc.Team))})
	}
	for _, pool := range m.Pools() {
		minAvailable, available := m.Budget(pool.Name)
		label := metrics.L("pool", pool.Name)
		gauges = append(gauges,
			metrics.Gauge{Name: metrics.Name("pool_min_available_vms", label), Value: float64(minAvailable)},
			metrics.Gauge{Name: metrics.Name("pool_available_vms", label), Value: float64(available)})
	}
	gauges = append(gauges, countByLabels("vms", m.VMs(), func(vm *statepb.VM) []metrics.Label {
		return []metrics.Label{metrics.L("pool", vm.Pool), metrics.L("phase", PhaseName(vm.Phase))}
	})...)
	gauges = append(gauges, countByLabels("sessions", m.Sessions(), func(session *statepb.Session) []metrics.Label {
		return []metrics.Label{metrics.L("state", sessionState(session))}
	})...)
	return append(gauges, countByLabels("jobs", m.Jobs(), func(job *statepb.Job) []metrics.Label {
		return []metrics.Label{metrics.L("state", entry.StateName(job.State))}
	})...)
}

// countByLabels returns one gauge for each combination of labels, with the number of items.
func countByLabels[T any](name string, items []T, labels func(T) []metrics.Label) []metrics.Gauge {
	totals := make(map[string]float64)
	for _, item := range items {
		totals[metrics.Name(name, labels(item)...)]++
	}
	gauges := make([]metrics.Gauge, 0, len(totals))
	for full, total := range totals {
		gauges = append(gauges, metrics.Gauge{Name: full, Value: total})
	}
	return gauges
}
