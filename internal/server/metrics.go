package server

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
)

// metricsHandler writes the process's counters and histograms as text.
func metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		err := metrics.Write(w, gometrics.DefaultRegistry, metrics.ProcessGauges())
		if err != nil {
			event.MetricsFailed.Emit(event.Err(err))
		}
	})
}
