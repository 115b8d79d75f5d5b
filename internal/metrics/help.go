package metrics

// help maps a metric's name, without prefix and "_total", to its HELP text.
var help = map[string]string{
	"requests":                   "Requests by team, class and outcome.",
	"request_us":                 "Time of requests from admission to the end of the answer, in microseconds.",
	"answers_dropped":            "Answers of targets dropped because they were late, truncated, too large or for another request.",
	"link_sent_bytes":            "Bytes sent on links to other daemons.",
	"link_received_bytes":        "Bytes received on links to other daemons.",
	"applied_index":              "Index of the last log entry applied on this VM.",
	"session_live":               "1 while this VM holds a session lease, 0 while it refuses work submitted with a team's key.",
	"session_renewed_age_ms":     "Time since the last successful renewal of the session was sent, in milliseconds.",
	"leading":                    "1 while this VM is the leader.",
	"documents":                  "Teams with a team document.",
	"keys":                       "Keys granted to callers.",
	"sessions":                   "Sessions by state.",
	"vms":                        "VMs by pool and phase.",
	"pool_available_vms":         "VMs of a pool that count as available.",
	"pool_min_available_vms":     "Largest availability budget declared for a pool.",
	"jobs":                       "Durable jobs by state.",
	"team_upper_limit":           "Upper limit of a team, in units.",
	"team_handed_out":            "Units of a team that are reserved by sessions or kept by VMs.",
	"gateway_request_us":         "Time of requests that this daemon forwards to the leader, by operation and answer, in microseconds.",
	"driver_jobs_done":           "Jobs that are done, by workspace, rate (as for driver_jobs_accepted) and whether they ended in time, late or too late to have worth.",
	"driver_jobs_accepted":       "Accepted jobs by workspace, within its rate (the weight in the catalogue) or beyond it.",
	"driver_jobs_refused_late":   "Jobs by workspace that were refused since their end would have had no worth.",
	"driver_starts":              "Calls that start tasks on targets, by the target's answer.",
	"driver_target_call_us":      "Time of calls to targets by call and outcome, in microseconds, without listing calls.",
	"driver_misdirected":         "Listing calls that another incarnation of a target answered than the one they were meant for, by what they carried.",
	"driver_ends_held":           "Ends whose confirmation waits, since a start of the task was sent again and may still take effect.",
	"driver_ends_missing":        "Runs that a target has listed as running and then lists no more, without an end.",
	"driver_commit_us":           "Time of the leader's commits by outcome, in microseconds.",
	"driver_round_us":            "Time of the rounds of the leader's driver by part, in microseconds.",
	"driver_work_core_ms":        "Processor time of ended jobs by outcome, in core milliseconds.",
	"driver_first_start_us":      "Time from a job's acceptance until a target has begun its first task, in microseconds.",
	"driver_job_us":              "Time from a job's acceptance to its end by outcome, in microseconds.",
	"metrics_series_dropped":     "Series left out of this scrape because it reached the limit.",
	"process_heap_bytes":         "Bytes of allocated heap objects.",
	"process_goroutines":         "Goroutines.",
	"driver_zone_moves":          "Long-running tasks stopped because their availability zone is evacuated.",
	"announcements":              "Announcements that targets sent to this core daemon, by how they were handled.",
	"driver_waiting_listings":    "Listing calls in progress that a target may answer later, at the leader.",
	"target_connections":         "Open connections to targets.",
	"target_connections_opened":  "Connections to targets that were opened.",
	"target_connections_evicted": "Idle connections to targets that were closed to make room for others.",
	"driver_learned_runs":        "Finished runs that run times were learned from, by queue; only the queues with the most.",
	"driver_learned_age_ms":      "Time since the last run that run times were learned from, by queue, in milliseconds.",
	"driver_learned_within":      "Share of the last runs that took no longer than the 0.9 quantile predicted for them, by queue.",
	"intake_closed":              "Connections closed to make room or for lack of progress, by reason and listener.",
	"intake_refused":             "Connections and requests refused for lack of memory or descriptors, by reason and listener.",
	"intake_memory_bytes":        "Memory charged to accepted connections, in bytes.",
	"intake_connections":         "Accepted connections that are open.",
}

// helpOf returns the HELP text of a metric, or a reference to the runbook if it has none.
func helpOf(base string) string {
	if text, ok := help[base]; ok {
		return text
	}
	return "See " + base + " in the metrics list of docs/RUNBOOK.md."
}
