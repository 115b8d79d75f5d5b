package config

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// Roles of a daemon that serves jobs of steps on a platform.
const (
	// RoleCore keeps the log; its leader drives targets and the platform.
	RoleCore = "core"
	// RoleEdge takes callers' requests and keeps nothing.
	RoleEdge = "edge"
)

// RoleListen holds the addresses of a daemon with a role.
type RoleListen struct {
	// Callers takes callers' requests (edge).
	Callers string `yaml:"callers"`
	// Health answers the balancer (edge).
	Health string `yaml:"health"`
	// Control takes targets' announcements and operators' orders (core).
	Control string `yaml:"control"`
	// Peers takes links of other daemons (core).
	Peers string `yaml:"peers"`
	// API serves the product's own interface; empty for none.
	API string `yaml:"api"`
	// Metrics serves counters and histograms as text; empty for none.
	Metrics string `yaml:"metrics"`
}

// PlatformBounds are what targets and the platform promise or ask for.
type PlatformBounds struct {
	// LeaseTTL is the longest lease that targets grant.
	LeaseTTL Duration `yaml:"lease_ttl"`
	// AnnounceInterval is how often targets announce themselves.
	AnnounceInterval Duration `yaml:"announce_interval"`
	// ShutdownGrace is the time from the signal to the kill.
	ShutdownGrace Duration `yaml:"shutdown_grace"`
	// VMMove is how long a VM is away when it moves to another pool, and
	// VMMaintenance how long for its maintenance.
	VMMove        Duration `yaml:"vm_move"`
	VMMaintenance Duration `yaml:"vm_maintenance"`
}

// RoleSettings configure a daemon with a role.
type RoleSettings struct {
	Role   string `yaml:"role"`
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// DataFolder holds the log (core).
	DataFolder string     `yaml:"data_folder"`
	Listen     RoleListen `yaml:"listen"`
	// Seeds are addresses of core daemons; PeerPort replaces their ports, since
	// the peers' port is the same on all VMs.
	Seeds    []string `yaml:"seeds"`
	PeerPort uint16   `yaml:"peer_port"`
	// Bootstrap tells a core daemon that is one of the seeds and has an empty data
	// folder to found the cluster together with the other seeds.
	Bootstrap bool `yaml:"found"`
	// TrustPeerNetwork allows links between daemons without TLS.
	TrustPeerNetwork bool `yaml:"trust_peer_network"`
	// PlatformAddress takes orders for VMs (core); AdviceAddress says which
	// targets may run a step.
	PlatformAddress string         `yaml:"platform_address"`
	AdviceAddress   string         `yaml:"advice_address"`
	Bounds          PlatformBounds `yaml:"bounds"`
	// MemoryMB is the memory limit of the process; 0 for none.
	MemoryMB int `yaml:"memory_mb"`
}

// Longest time that a bound may have.
const maxBound = time.Hour

// LoadRoleSettings reads and checks a settings file. A FieldErrors lists every fault.
func LoadRoleSettings(path string) (*RoleSettings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRoleSettings(path, data)
}

// ParseRoleSettings reads and checks settings; file is named in its errors.
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
		src.addField("role", "%q is neither %q nor %q", s.Role, RoleCore, RoleEdge)
	}
	if s.Listen.API != "" {
		requireAddress(src, "listen.api", s.Listen.API)
	}
	if s.Listen.Metrics != "" {
		requireAddress(src, "listen.metrics", s.Listen.Metrics)
	}
	if s.PeerPort == 0 {
		src.addField("peer_port", "is required")
	}
	if len(s.Seeds) == 0 {
		src.addField("seeds", "at least one is required")
	}
	for i, seed := range s.Seeds {
		requireAddress(src, fmt.Sprintf("seeds[%d]", i), seed)
	}
	if !s.TrustPeerNetwork {
		src.addField("trust_peer_network", "must be true: roles link without TLS")
	}
	if s.MemoryMB < 0 {
		src.addField("memory_mb", "%d is below 0", s.MemoryMB)
	}
	s.Bounds.validate(src)
}

func (s *RoleSettings) validateCore(src *source) {
	requireAddress(src, "listen.control", s.Listen.Control)
	requireAddress(src, "listen.peers", s.Listen.Peers)
	if s.DataFolder == "" {
		src.addField("data_folder", "is required for role %q", RoleCore)
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
}
