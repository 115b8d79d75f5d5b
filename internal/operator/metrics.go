package operator

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the histogram quantiles that /metrics prints.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// serveMetrics prints every metric in the Prometheus text format. Names carry
// their labels as "name;label=value;…".
func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	gometrics.DefaultRegistry.Each(func(name string, metric any) {
		lines = append(lines, metricLines(name, metric)...)
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

func metricLines(name string, metric any) []string {
	base, labels := splitName(name)
	switch m := metric.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s_total%s %d", base, braces(labels), m.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s%s %d", base, braces(labels), m.Value())}
	case gometrics.Histogram:
		snapshot := m.Snapshot()
		lines := []string{
			fmt.Sprintf("%s_count%s %d", base, braces(labels), snapshot.Count()),
			fmt.Sprintf("%s_sum%s %d", base, braces(labels), snapshot.Sum()),
		}
		for i, value := range snapshot.Percentiles(quantiles) {
			with := append(append([]string(nil), labels...), fmt.Sprintf("quantile=\"%g\"", quantiles[i]))
			lines = append(lines, fmt.Sprintf("%s%s %g", base, braces(with), value))
		}
		return lines
	}
	return nil
}

func splitName(name string) (base string, labels []string) {
	parts := strings.Split(name, ";")
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		labels = append(labels, fmt.Sprintf("%s=%q", key, value))
	}
	return "sapphirering_" + parts[0], labels
}

func braces(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}
