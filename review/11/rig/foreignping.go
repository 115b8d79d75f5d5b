package main

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { plays["foreign-ping"] = foreignPing }

// foreignPing sends one ping of another writer on the machine of an executor that works. It lacks fields, and
// one of its fields has another type.
func foreignPing(r *rig) (bool, error) {
	const executors, workMs = 7, 12_000
	if err := r.prepare(executors, 3, main1); err != nil {
		return false, err
	}
	id := jobID(1)
	job := jobBody{Spec: work{WorkMs: workMs}.spec(), Phases: []phase{{Count: executors - 1, CPU: 4000, MemMb: 1024, EstMs: workMs, AntiAffinity: 1}}}
	if !r.caller.submit(prefix, id, job, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	if !r.waitFor(10*time.Second, func(f *fleet) bool { return f.startsOf(id) == executors-1 }) {
		return false, errors.New("the job did not start")
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		machine := ""
		r.fleet.mu.Lock()
		for _, e := range r.fleet.executors {
			if machine == "" && len(e.running) > 0 {
				machine = e.machine
			}
		}
		r.fleet.mu.Unlock()
		// Neither version, seq, labels nor tsMs, and slots is a string.
		ping := map[string]any{
			"service": service, "addr": net.JoinHostPort(loopback(99), strconv.Itoa(freePort(loopback(99)))), "zone": "z1", "slots": "eight",
			"state": "ready", "capacity": map[string]int64{"cpu": 4000, "memMb": 8192}, "born": time.Now().UnixMilli(), "machine": machine,
		}
		client := &http.Client{Timeout: time.Second}
		_, err := postJSON(client, "http://"+r.cluster.control[0]+"/instances/agent-7f3a91c2/heartbeat", ping)
		r.record.say("one ping of another writer names the machine %s and lacks fields; refused: %v", machine, err)
	}
	state := ""
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && state != "complete" && state != "failed"; time.Sleep(time.Second) {
		_, state = r.caller.state(prefix, id)
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for _, line := range r.fleet.twice {
		r.record.say("at the same time, %s", line)
	}
	r.record.say("job is %s; %d work units ran twice at the same time on executors that are up", state, len(r.fleet.twice))
	return len(r.fleet.twice) > 0, nil
}
