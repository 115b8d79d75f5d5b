package driver

import gometrics "github.com/rcrowley/go-metrics"

// counters are the driver's counts, registered under the process's registry.
type counters struct{}

// start counts the answer to a start call.
func (counters) start(r Refusal) {
	gometrics.GetOrRegisterCounter("driver_starts;answer="+r.String(), gometrics.DefaultRegistry).Inc(1)
}
