package harness

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Machine is a VM of the stand-in platform.
type Machine struct {
	Name, Pool, Zone string
	Labels           []string
	Capacity         Resources

	state  string
	target *Target
	fence  uint64
	// upkeeps holds the waves whose upkeep the machine has had.
	upkeeps []uint64
}

// Platform lists machines, moves them between pools and does their upkeep.
type Platform struct {
	mu       sync.Mutex
	record   *Record
	fleet    *Fleet
	machines []*Machine
	waves    map[uint64][]string
	standby  map[string]bool
	server   *http.Server
}

// NewPlatform starts the platform. The pools in standby hold machines that are off.
func NewPlatform(in *Installation, fleet *Fleet, standby ...string) (*Platform, error) {
	p := &Platform{record: in.Record, fleet: fleet, waves: make(map[uint64][]string), standby: make(map[string]bool)}
	for _, pool := range standby {
		p.standby[pool] = true
	}
	listener, err := in.PlatformListener()
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.move)
	mux.HandleFunc("POST /machine-upkeep", p.upkeep)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// Add adds a machine and starts a target on it.
func (p *Platform) Add(name, pool, zone string, labels []string, capacity Resources) (*Machine, error) {
	m := &Machine{Name: name, Pool: pool, Zone: zone, Labels: labels, Capacity: capacity, state: "up"}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines = append(p.machines, m)
	return m, p.boot(m)
}

// boot starts a target on a machine, unless its pool is in standby.
func (p *Platform) boot(m *Machine) error {
	m.state = "up"
	if p.standby[m.Pool] {
		return nil
	}
	target, err := p.fleet.Start(m.Name, m.Pool, m.Zone, m.Labels, m.Capacity)
	m.target = target
	return err
}

// DeclareWave tells the platform which machines a wave holds.
func (p *Platform) DeclareWave(cohort uint64, machines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waves[cohort] = machines
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := []map[string]any{}
	for _, m := range p.machines {
		entry := map[string]any{
			"machine": m.Name, "pool": m.Pool, "state": m.state, "zone": m.Zone, "labels": m.Labels, "capacity": m.Capacity, "id": "",
		}
		if m.target != nil {
			entry["id"] = m.target.ID
		}
		machines = append(machines, entry)
	}
	answer(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": ""})
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Cohort  uint64 `json:"cohort"`
}

// ordered decodes an order and returns its machine, or nil after it has answered.
func (p *Platform) ordered(w http.ResponseWriter, r *http.Request) (*Machine, machineOrder) {
	var in machineOrder
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, in
	}
	at := slices.IndexFunc(p.machines, func(m *Machine) bool { return m.Name == in.Machine })
	if at < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return nil, in
	}
	m := p.machines[at]
	fence, _ := strconv.ParseUint(r.Header.Get("X-Sapphirering-Fencing-Token"), 10, 64)
	if fence < m.fence {
		answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return nil, in
	}
	m.fence = fence
	return m, in
}

func (p *Platform) move(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, in := p.ordered(w, r)
	switch {
	case m == nil:
		return
	case m.Pool == in.Pool:
		w.WriteHeader(http.StatusOK)
		return
	case m.state != "up":
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	p.record.Add("platform: %s moves from %s to %s", m.Name, m.Pool, in.Pool)
	m.Pool = in.Pool
	p.away(m, "moving", MoveTime)
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) upkeep(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, in := p.ordered(w, r)
	switch {
	case m == nil:
		return
	case slices.Contains(m.upkeeps, in.Cohort):
		w.WriteHeader(http.StatusOK)
		return
	case !slices.Contains(p.waves[in.Cohort], m.Name):
		answer(w, http.StatusConflict, map[string]any{"reason": "wave"})
		return
	case m.state != "up":
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	p.record.Add("platform: upkeep of %s begins, wave %d", m.Name, in.Cohort)
	m.upkeeps = append(m.upkeeps, in.Cohort)
	p.away(m, "upkeep", UpkeepTime)
	w.WriteHeader(http.StatusOK)
}

// away ends the target on a machine; a new one starts after the given time.
func (p *Platform) away(m *Machine, state string, length time.Duration) {
	m.state = state
	if m.target != nil {
		m.target.SetState(Gone)
		m.target = nil
	}
	time.AfterFunc(length, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.record.Add("platform: %s is back", m.Name)
		if err := p.boot(m); err != nil {
			p.record.Add("platform: %s does not boot: %v", m.Name, err)
		}
	})
}
