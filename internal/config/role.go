package config

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// Roles of a daemon that serves jobs of steps on a platform.
const (
	// RoleCore stores the replicated log; the leader among the core daemons
	// controls targets and the platform.
	RoleCore = "core"
	// RoleEdge takes callers' requests and stores nothing.
	RoleEdge = "edge"
)

// RoleListen holds the addresses that a daemon with a role listens on.
type RoleListen struct {
	// Callers is for callers' requests (edge).
	Callers string `yaml:"callers"`
	// Health is for the load balancer's health checks (edge).
	Health string `yaml:"health"`
	// Control is for targets' announcements and operators' orders (core).
	Control string `yaml:"control"`
	// Peers is for connections from other daemons (core).
	Peers string `yaml:"peers"`
	// API is for this product's own HTTP interface; empty for none.
	API string `yaml:"api"`
	// Metrics is for counters and histograms as text; empty for none.
	Metrics string `yaml:"metrics"`
}

// PlatformBounds are the times that targets and the platform guarantee or require.
type PlatformBounds struct {
	// LeaseTTL is the longest lease that targets grant.
	LeaseTTL Duration `yaml:"lease_ttl"`
	// AnnounceInterval is how often targets announce themselves.
	AnnounceInterval Duration `yaml:"announce_interval"`
	// ShutdownGrace is the time from the termination signal to the kill.
	ShutdownGrace Duration `yaml:"shutdown_grace"`
	// VMMove is how long a VM is out of service when it moves to another pool,
	// and VMMaintenance how long during its maintenance.
	VMMove        Duration `yaml:"vm_move"`
	VMMaintenance Duration `yaml:"vm_maintenance"`
	// Evacuation is the time after the acknowledged order to evacuate an availability zone from which
	// on no task may be started there; 0 if zones are not evacuated.
	Evacuation Duration `yaml:"evacuation"`
}

// Admission sets which jobs a leader refuses although it could accept them.
type Admission struct {
	// RefuseLate refuses jobs that would certainly end after their end has lost all worth.
	RefuseLate bool `yaml:"refuse_late"`
}

// Evacuates reports whether operators may order the evacuation of availability zones.
func (b *PlatformBounds) Evacuates() bool { return b.Evacuation.Duration > 0 }

// LearningSettings switch the uses of what is learned from finished runs (core).
type LearningSettings struct {
	// Keep stores a summary in the replicated state and uses it after a change of leader; off if absent.
	Keep bool `yaml:"keep"`
	// Quantiles learns from runs that were cut off as from bounds, and uses quantiles of run times for copies
	// and stalls; off if absent.
	Quantiles bool `yaml:"quantiles"`
	// Placement avoids targets on which a task would be cut off or miss its objective; off if absent.
	Placement bool `yaml:"placement"`
}

// PoolSettings set how VMs are divided among pools (core).
type PoolSettings struct {
	// ShareShortage reduces the needs of all pools in proportion if they exceed the room of all VMs; off if absent.
	ShareShortage bool `yaml:"share_shortage"`
}

// RoleSettings configure a daemon with a role.
type RoleSettings struct {
	Role   string `yaml:"role"`
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones are the availability zones of the deployment (core).
	Zones []string `yaml:"zones"`
	// DataFolder holds the replicated log (core).
	DataFolder string     `yaml:"data_folder"`
	Listen     RoleListen `yaml:"listen"`
	// Seeds are addresses of core daemons. PeerPort replaces their ports, since
	// all VMs use the same port for peers.
	Seeds    []string `yaml:"seeds"`
	PeerPort uint16   `yaml:"peer_port"`
	// Bootstrap tells a core daemon that is one of the seeds and has an empty data
	// folder to create the cluster together with the other seeds.
	Bootstrap bool `yaml:"found"`
	// TrustPeerNetwork allows connections between daemons without TLS.
	TrustPeerNetwork bool `yaml:"trust_peer_network"`
	// PlatformAddress is where orders for VMs are sent (core); AdviceAddress
	// is asked which targets may run a step.
	PlatformAddress string         `yaml:"platform_address"`
	AdviceAddress   string         `yaml:"advice_address"`
	Bounds          PlatformBounds `yaml:"bounds"`
	Admission       Admission      `yaml:"admission"`
	// MemoryMB is the memory limit of the process; 0 for none.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors is the number of files that the process may have open; 0 for what the system reports.
	Descriptors int `yaml:"descriptors"`
	// Intake limits what accepted connections may use.
	Intake   Intake           `yaml:"intake"`
	Learning LearningSettings `yaml:"learning"`
	Pools    PoolSettings     `yaml:"pools"`
}

// maxBound is the longest time that PlatformBounds may hold.
const maxBound = time.Hour

// LoadRoleSettings reads and checks a settings file. All faults are returned together as
// FieldErrors.
func LoadRoleSettings(path string) (*RoleSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRoleSettings(path, data)
}

// ParseRoleSettings reads and checks settings; errors name them by file.
func ParseRoleSettings(file string, data []byte) (*RoleSettings, error) {
	s := new(RoleSettings)
	src, err := decodeStrict(file, data, s)
	if err != nil {
		return nil, err
	}
	s.validate(src)
	if err := src.err(); err != nil {
		return nil, err
	}
	for i, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, fmt.Errorf("seeds[%d]: %w", i, err)
		}
		s.Seeds[i] = net.JoinHostPort(host, strconv.Itoa(int(s.PeerPort)))
	}
	return s, nil
}

func (s *RoleSettings) validate(src *source) {
	requireName(src, "name", s.Name)
	requireName(src, "zone", s.Zone)
	switch s.Role {
	case RoleCore:
		s.validateCore(src)
	case RoleEdge:
		requireAddress(src, "listen.callers", s.Listen.Callers)
		requireAddress(src, "listen.health", s.Listen.Health)
	default:
		src.addFault("role", "%q is neither %q nor %q", s.Role, RoleCore, RoleEdge)
	}
	if s.Listen.API != "" {
		requireAddress(src, "listen.api", s.Listen.API)
	}
	if s.Listen.Metrics != "" {
		requireAddress(src, "listen.metrics", s.Listen.Metrics)
	}
	if s.PeerPort == 0 {
		src.addFault("peer_port", "is required")
	}
	if len(s.Seeds) == 0 {
		src.addFault("seeds", "at least one is required")
	}
	for i, seed := range s.Seeds {
		requireAddress(src, fmt.Sprintf("seeds[%d]", i), seed)
	}
	if !s.TrustPeerNetwork {
		src.addFault("trust_peer_network", "must be true: daemons with a role connect to each other without TLS")
	}
	for i, zone := range s.Zones {
		requireName(src, fmt.Sprintf("zones[%d]", i), zone)
	}
	if s.MemoryMB < 0 {
		src.addFault("memory_mb", "%d is below 0", s.MemoryMB)
	}
	if s.Descriptors < 0 {
		src.addFault("descriptors", "%d is below 0", s.Descriptors)
	}
	s.Intake.validate(src)
	s.Bounds.validate(src)
}

func (s *RoleSettings) validateCore(src *source) {
	requireAddress(src, "listen.control", s.Listen.Control)
	requireAddress(src, "listen.peers", s.Listen.Peers)
	if s.DataFolder == "" {
		src.addFault("data_folder", "is required for role %q", RoleCore)
	}
}

func (b *PlatformBounds) validate(src *source) {
	for _, bound := range []struct {
		field string
		value Duration
	}{
		{"lease_ttl", b.LeaseTTL}, {"announce_interval", b.AnnounceInterval}, {"shutdown_grace", b.ShutdownGrace},
		{"vm_move", b.VMMove}, {"vm_maintenance", b.VMMaintenance},
	} {
		requireRange(src, "bounds."+bound.field, bound.value, time.Millisecond, maxBound)
	}
	if b.Evacuation.Duration != 0 {
		requireRange(src, "bounds.evacuation", b.Evacuation, time.Millisecond, maxBound)
	}
}
