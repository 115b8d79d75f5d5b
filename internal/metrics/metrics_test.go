package metrics

import (
	"bufio"
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"
)

var seriesLine = regexp.MustCompile(
	`^([a-zA-Z_:][a-zA-Z0-9_:]*)(\{[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\\n]|\\["\\n])*"(?:,[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\\n]|\\["\\n])*")*\})? ([-+0-9.e]+|NaN)$`)

// parse checks the text format and returns the value of each series by its name and labels.
func parse(t *testing.T, text string) map[string]string {
	t.Helper()
	series := make(map[string]string)
	families := make(map[string]bool)
	current, helped := "", ""
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		line := scanner.Text()
		if rest, ok := strings.CutPrefix(line, "# HELP "); ok {
			helped, _, _ = strings.Cut(rest, " ")
			continue
		}
		if rest, ok := strings.CutPrefix(line, "# TYPE "); ok {
			current, _, _ = strings.Cut(rest, " ")
			if families[current] || helped != current {
				t.Fatalf("family %s is given twice or without HELP", current)
			}
			families[current] = true
			continue
		}
		match := seriesLine.FindStringSubmatch(line)
		if match == nil || !strings.HasPrefix(match[1], current) {
			t.Fatalf("line %q is not a series of family %q", line, current)
		}
		if _, ok := series[match[1]+match[2]]; ok {
			t.Fatalf("series %s is given twice", match[1]+match[2])
		}
		series[match[1]+match[2]] = match[3]
	}
	return series
}

func TestTextFormat(t *testing.T) {
	is := is.New(t)
	registry := gometrics.NewRegistry()
	name := Name("request_us", L("team", "kita"), L("class", "urgent"))
	histogram := gometrics.GetOrRegisterHistogram(name, registry, gometrics.NewUniformSample(10))
	for i := range 10 {
		histogram.Update(int64(i))
	}
	gometrics.GetOrRegisterCounter(Name("requests", L("team", "a\\b\"c\nd")), registry).Inc(3)
	gometrics.GetOrRegisterCounter("requests;team=kita", registry).Inc(4)
	var out bytes.Buffer
	is.NoErr(Write(&out, registry, []Gauge{{Name: Name("vms", L("pool", "p=;x")), Value: 2}, {Name: "leading", Value: 1}}))
	series := parse(t, out.String())
	is.Equal(series[`sapphirering_request_us_count{team="kita",class="urgent"}`], "10")
	is.Equal(series[`sapphirering_request_us_sum{team="kita",class="urgent"}`], "45")
	is.Equal(series[`sapphirering_requests_total{team="kita"}`], "4")
	is.Equal(series[`sapphirering_requests_total{team="a\\b\"c\nd"}`], "3")
	is.Equal(series[`sapphirering_vms{pool="p__x"}`], "2")
	is.Equal(series[`sapphirering_leading`], "1")
	is.True(strings.Contains(out.String(), "# TYPE sapphirering_request_us summary\n"))
}

func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	gauges := make([]Gauge, MaxSeries+5)
	for i := range gauges {
		gauges[i] = Gauge{Name: Name("vms", L("pool", fmt.Sprint(i)))}
	}
	var out bytes.Buffer
	is.NoErr(Write(&out, gometrics.NewRegistry(), gauges))
	is.Equal(parse(t, out.String())["sapphirering_metrics_series_dropped"], "5")
}

func TestSeriesOfDeletedTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	registry := gometrics.NewRegistry()
	for i := range 1000 {
		gometrics.GetOrRegisterCounter(Name("requests", L("team", fmt.Sprint("t", i))), registry).Inc(1)
	}
	gometrics.GetOrRegisterCounter("other", registry).Inc(1)
	Prune(registry, func(team string) bool { return team == "t7" })
	left := 0
	registry.Each(func(string, any) { left++ })
	is.Equal(left, 2) // t7 and the series without a team
}
