package driver

import gometrics "github.com/rcrowley/go-metrics"

// countStart counts the answer to a start call.
func countStart(r Refusal) {
	gometrics.GetOrRegisterCounter("driver_starts;answer="+r.String(), gometrics.DefaultRegistry).Inc(1)
}
