// Package metrics writes the go-metrics registry in the Prometheus text
// format. A registered name includes the labels: "name;label=value;label=value".
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// prefix is prepended to the name of every metric.
	prefix = "sapphirering_"
	// MaxSeries limits the series of one scrape; further series are counted, not written.
	MaxSeries = 50_000
)

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Label is the name and value of a label of a metric.
type Label struct{ Name, Value string }

// L returns a label.
func L(name, value string) Label { return Label{Name: name, Value: value} }

// Name returns the name under which a metric with labels is registered. In label
// values it replaces ";" and "=" by "_".
func Name(base string, labels ...Label) string {
	var b strings.Builder
	b.WriteString(base)
	for _, label := range labels {
		b.WriteByte(';')
		b.WriteString(label.Name)
		b.WriteByte('=')
		b.WriteString(strings.NewReplacer(";", "_", "=", "_").Replace(label.Value))
	}
	return b.String()
}

// Gauge is a value computed for one scrape.
type Gauge struct {
	Name  string
	Value float64
}

// ProcessGauges returns gauges of this process.
func ProcessGauges() []Gauge {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return []Gauge{
		{Name: "process_heap_bytes", Value: float64(memory.HeapAlloc)},
		{Name: "process_goroutines", Value: float64(runtime.NumGoroutine())},
	}
}

// family holds all series of one metric.
type family struct {
	name, kind, help string
	lines            []string
}

// writer groups series by family, as the text format requires.
type writer struct {
	families map[string]*family
	series   int
	dropped  int
}

// Write writes the metrics of the registry and the gauges.
func Write(out io.Writer, registry gometrics.Registry, gauges []Gauge) error {
	w := &writer{families: make(map[string]*family)}
	registry.Each(func(name string, metric any) { w.addMetric(name, metric) })
	for _, gauge := range gauges {
		base, labels := split(gauge.Name)
		w.add(base, base, "gauge", labels, fmt.Sprintf("%g", gauge.Value))
	}
	w.append("metrics_series_dropped", "metrics_series_dropped", "gauge", nil, fmt.Sprint(w.dropped))
	return w.flush(out)
}

func (w *writer) addMetric(name string, metric any) {
	base, labels := split(name)
	switch m := metric.(type) {
	case gometrics.Counter:
		w.add(base+"_total", base+"_total", "counter", labels, fmt.Sprint(m.Count()))
	case gometrics.Gauge:
		w.add(base, base, "gauge", labels, fmt.Sprint(m.Value()))
	case gometrics.GaugeFloat64:
		w.add(base, base, "gauge", labels, fmt.Sprintf("%g", m.Value()))
	case gometrics.Histogram:
		w.addHistogram(base, labels, m.Snapshot())
	}
}

func (w *writer) addHistogram(base string, labels []Label, snapshot gometrics.Histogram) {
	for i, value := range snapshot.Percentiles(quantiles) {
		quantile := L("quantile", fmt.Sprintf("%g", quantiles[i]))
		with := append(append([]Label(nil), labels...), quantile)
		w.add(base, base, "summary", with, fmt.Sprintf("%g", value))
	}
	w.add(base, base+"_sum", "summary", labels, fmt.Sprint(snapshot.Sum()))
	w.add(base, base+"_count", "summary", labels, fmt.Sprint(snapshot.Count()))
}

// add adds one series to a family unless MaxSeries is reached.
func (w *writer) add(familyName, name, kind string, labels []Label, value string) {
	if w.series >= MaxSeries {
		w.dropped++
		return
	}
	w.series++
	w.append(familyName, name, kind, labels, value)
}

// append adds a line to a family without counting it.
func (w *writer) append(familyName, name, kind string, labels []Label, value string) {
	f := w.families[familyName]
	if f == nil {
		f = &family{name: familyName, kind: kind, help: helpOf(strings.TrimSuffix(familyName, "_total"))}
		w.families[familyName] = f
	}
	f.lines = append(f.lines, prefix+name+braces(labels)+" "+value)
}

func (w *writer) flush(out io.Writer) error {
	names := make([]string, 0, len(w.families))
	for name := range w.families {
		names = append(names, name)
	}
	sort.Strings(names)
	buffered := bufio.NewWriter(out)
	for _, name := range names {
		f := w.families[name]
		fmt.Fprintf(buffered, "# HELP %s%s %s\n", prefix, f.name, f.help)
		fmt.Fprintf(buffered, "# TYPE %s%s %s\n", prefix, f.name, f.kind)
		sort.Strings(f.lines)
		for _, line := range f.lines {
			fmt.Fprintln(buffered, line)
		}
	}
	return buffered.Flush()
}

// split splits a registered name into the metric's name and its labels.
func split(name string) (base string, labels []Label) {
	parts := strings.Split(name, ";")
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		labels = append(labels, L(key, value))
	}
	return parts[0], labels
}

// escaper escapes label values.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// braces formats labels.
func braces(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	texts := make([]string, len(labels))
	for i, label := range labels {
		texts[i] = label.Name + `="` + escaper.Replace(label.Value) + `"`
	}
	return "{" + strings.Join(texts, ",") + "}"
}

// Prune unregisters every series with a "team" label that is no longer known, so
// that the registry does not grow with every team that ever existed.
func Prune(registry gometrics.Registry, known func(team string) bool) {
	var old []string
	registry.Each(func(name string, _ any) {
		_, labels := split(name)
		for _, label := range labels {
			if label.Name == "team" && label.Value != "" && !known(label.Value) {
				old = append(old, name)
				return
			}
		}
	})
	for _, name := range old {
		registry.Unregister(name)
	}
}
