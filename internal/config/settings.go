// Package config reads and checks the daemon's settings and the teams'
// documents. Both are strict YAML; every fault is reported with its file, line
// and field.
package config

import (
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"

	"sapphirering/internal/state"
)

// MaxFileBytes is the largest size of a file with settings, a document or operator keys.
const MaxFileBytes = 1 << 20

// Duration is a time span written with its unit, such as "4s" or "150ms".
type Duration struct{ time.Duration }

// UnmarshalYAML reads the text form.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := parseDuration(node)
	if err != nil {
		return fmt.Errorf("line %d: %w", node.Line, err)
	}
	d.Duration = parsed
	return nil
}

func parseDuration(node *yaml.Node) (time.Duration, error) {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil || node.Kind != yaml.ScalarNode {
		return 0, fmt.Errorf("want a time span with its unit such as \"4s\" or \"150ms\", got %s", nodeKind(node))
	}
	return parsed, nil
}

// MarshalYAML writes the text form.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	// Callers is for callers' requests and jobs.
	Callers string `yaml:"callers"`
	// Targets is for targets' announcements.
	Targets string `yaml:"targets"`
	// Operators is for operators' commands, metrics and health checks.
	Operators string `yaml:"operators"`
	// Peers is for connections from other daemons.
	Peers string `yaml:"peers"`
}

// TLS names the files for mutual TLS between daemons.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// ServerTLS names the files of a listener that presents a certificate.
type ServerTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Settings configure one daemon.
type Settings struct {
	// Name is the entry VM's name, unique in the cluster.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// DataFolder holds durable state; it may be empty for daemons that never vote.
	DataFolder string `yaml:"data_folder"`
	// Voter tells the daemon to ask for a vote in the consensus group.
	Voter  bool   `yaml:"voter"`
	Listen Listen `yaml:"listen"`
	// AdvertisePeers is the address that other daemons connect to; defaults to listen.peers.
	AdvertisePeers string `yaml:"advertise_peers"`
	// Seeds are peer addresses of daemons that may know the leader.
	Seeds []string `yaml:"seeds"`
	// PeerAddresses replaces the address to connect to, by advertised address.
	PeerAddresses map[string]string `yaml:"peer_addresses"`
	// OperatorKeyFile holds the operator keys; mode 0600.
	OperatorKeyFile string `yaml:"operator_key_file"`
	// OperatorTLS serves operators over TLS, so that their keys are never sent unencrypted.
	OperatorTLS *ServerTLS `yaml:"operator_tls"`
	TLS         *TLS       `yaml:"tls"`
	// Tick is the unit of election and heartbeat timeouts.
	Tick Duration `yaml:"tick"`
	// SessionLease is how long a daemon may serve work that needs a key after it sent
	// its last renewal.
	SessionLease Duration `yaml:"session_lease"`
	// ShutdownTimeout is the longest time of a graceful shutdown.
	ShutdownTimeout Duration `yaml:"shutdown_timeout"`
	// ShutdownDelay is how long a daemon still takes requests after it reports
	// itself not ready, so that the load balancer stops sending to it first.
	ShutdownDelay Duration `yaml:"shutdown_delay"`
	// PlatformURL is the base URL of the platform that reboots VMs; empty for none.
	PlatformURL string `yaml:"platform_url"`
	// MemoryMB is the memory that the budget of connections is a part of; 0 for the environment's
	// GOMEMLIMIT / 0.6, or 1 GiB without one.
	MemoryMB int `yaml:"memory_mb"`
	// Intake limits what accepted connections may use.
	Intake Intake `yaml:"intake"`
}

const (
	defaultTick            = 50 * time.Millisecond
	defaultSessionLease    = 4 * time.Second
	defaultShutdownTimeout = 150 * time.Second
	defaultShutdownDelay   = 2 * time.Second
	minShutdownDelay       = time.Millisecond
	maxShutdownDelay       = time.Minute
	minSessionLease        = 500 * time.Millisecond
	maxSessionLease        = 10 * time.Second
	minTick                = 5 * time.Millisecond
	maxTick                = time.Second
	minShutdownTimeout     = time.Second
	maxShutdownTimeout     = 10 * time.Minute
)

// LoadSettings reads and checks a settings file. All faults are returned together as
// FieldErrors.
func LoadSettings(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseSettings(path, data)
}

// ParseSettings reads and checks settings. All faults are returned together as FieldErrors.
func ParseSettings(data []byte) (*Settings, error) { return parseSettings("", data) }

func parseSettings(file string, data []byte) (*Settings, error) {
	s := new(Settings)
	src, err := decodeStrict(file, data, s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	s.validate(src)
	if err := src.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// readFile reads a file of at most MaxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if len(data) > MaxFileBytes {
		return nil, &FieldError{File: path, Reason: fmt.Sprintf("larger than %d bytes", MaxFileBytes)}
	}
	return data, nil
}

func (s *Settings) setDefaults() {
	if s.AdvertisePeers == "" {
		s.AdvertisePeers = s.Listen.Peers
	}
	if s.Tick.Duration == 0 {
		s.Tick.Duration = defaultTick
	}
	if s.SessionLease.Duration == 0 {
		s.SessionLease.Duration = defaultSessionLease
	}
	if s.ShutdownDelay.Duration == 0 {
		s.ShutdownDelay.Duration = defaultShutdownDelay
	}
	if s.ShutdownTimeout.Duration == 0 {
		s.ShutdownTimeout.Duration = defaultShutdownTimeout
	}
}

// validate checks every field and records each fault in src.
func (s *Settings) validate(src *source) {
	requireName(src, "name", s.Name)
	requireName(src, "zone", s.Zone)
	if s.Region != "" {
		requireName(src, "region", s.Region)
	}
	if s.Voter && s.DataFolder == "" {
		src.addFault("data_folder", "is required for a voter")
	}
	s.validateListeners(src)
	s.validatePeers(src)
	s.validateTLS(src)
	s.validateOperatorTLS(src)
	requireRange(src, "tick", s.Tick, minTick, maxTick)
	requireRange(src, "session_lease", s.SessionLease, minSessionLease, maxSessionLease)
	requireRange(src, "shutdown_delay", s.ShutdownDelay, minShutdownDelay, maxShutdownDelay)
	requireRange(src, "shutdown_timeout", s.ShutdownTimeout, minShutdownTimeout, maxShutdownTimeout)
	if s.PlatformURL != "" {
		requireURL(src, "platform_url", s.PlatformURL)
	}
	if s.MemoryMB < 0 {
		src.addFault("memory_mb", "%d is below 0", s.MemoryMB)
	}
	s.Intake.validate(src)
}

func (s *Settings) validateListeners(src *source) {
	seen := make(map[string]string)
	for _, listener := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.targets", s.Listen.Targets},
		{"listen.operators", s.Listen.Operators}, {"listen.peers", s.Listen.Peers},
	} {
		if !requireAddress(src, listener.field, listener.value) {
			continue
		}
		if other, ok := seen[listener.value]; ok {
			src.addFault(listener.field, "%q is the address of %s too", listener.value, other)
		}
		seen[listener.value] = listener.field
	}
}

func (s *Settings) validatePeers(src *source) {
	if s.AdvertisePeers != s.Listen.Peers && requireAddress(src, "advertise_peers", s.AdvertisePeers) {
		if host, _, _ := net.SplitHostPort(s.AdvertisePeers); net.ParseIP(host).IsUnspecified() {
			src.addFault("advertise_peers", "%q is not an address that other daemons can connect to", s.AdvertisePeers)
		}
	} else if host, _, _ := net.SplitHostPort(s.AdvertisePeers); host != "" && net.ParseIP(host).IsUnspecified() {
		src.addFault("advertise_peers", "is required when listen.peers is %q", s.Listen.Peers)
	}
	for i, seed := range s.Seeds {
		requireAddress(src, fmt.Sprintf("seeds[%d]", i), seed)
	}
	for from, to := range s.PeerAddresses {
		requireAddress(src, "peer_addresses."+from, to)
	}
}

// validateTLS requires mutual TLS between daemons unless every address is loopback.
func (s *Settings) validateTLS(src *source) {
	if s.TLS == nil {
		for _, address := range append([]string{s.Listen.Peers, s.AdvertisePeers}, s.Seeds...) {
			host, _, _ := net.SplitHostPort(address)
			if ip := net.ParseIP(host); ip != nil && !ip.IsLoopback() {
				src.addFault("tls", "is required unless all peer addresses are loopback; %s is not", address)
				return
			}
		}
		return
	}
	for _, file := range []struct{ field, value string }{
		{"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key}, {"tls.authority", s.TLS.Authority},
	} {
		if file.value == "" {
			src.addFault(file.field, "is required")
		}
	}
}

func (s *Settings) validateOperatorTLS(src *source) {
	if s.OperatorTLS == nil {
		return
	}
	if s.OperatorTLS.Certificate == "" {
		src.addFault("operator_tls.certificate", "is required")
	}
	if s.OperatorTLS.Key == "" {
		src.addFault("operator_tls.key", "is required")
	}
}

func requireName(src *source, field, value string) {
	switch {
	case value == "":
		src.addFault(field, "is required")
	case !state.ValidName(value):
		src.addFault(field, "%q is not a name: 1 to %d of a-z, 0-9, '-', '_' and '.'", value, state.MaxNameBytes)
	}
}

// requireAddress records a fault unless value is an IP address with a port, and reports
// whether it is one.
func requireAddress(src *source, field, value string) bool {
	if value == "" {
		src.addFault(field, "is required")
		return false
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		src.addFault(field, "%q is not host:port", value)
		return false
	}
	if net.ParseIP(host) == nil {
		src.addFault(field, "%q is not an IP address", host)
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		src.addFault(field, "%q is not a port from 1 to 65535", port)
		return false
	}
	return true
}

func requireRange(src *source, field string, value Duration, minimum, maximum time.Duration) {
	if value.Duration < minimum || value.Duration > maximum {
		src.addFault(field, "%s is not within %s and %s", value, minimum, maximum)
	}
}

func requireURL(src *source, field, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		src.addFault(field, "%q is not an http or https URL", value)
	}
}
