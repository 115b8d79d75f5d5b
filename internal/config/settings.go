// Package config reads and checks the daemon's settings and the teams'
// documents. Both are strict YAML: unknown fields are errors.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"gopkg.in/yaml.v3"
)

// MaxFileBytes bounds settings and documents.
const MaxFileBytes = 1 << 20

// Duration is a time span written as in "4s" or "150ms".
type Duration struct{ time.Duration }

// UnmarshalYAML reads the text form.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration such as \"4s\"", node.Line, node.Value)
	}
	d.Duration = parsed
	return nil
}

// MarshalYAML writes the text form.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// Listen holds the daemon's own addresses.
type Listen struct {
	// Callers takes requests and jobs.
	Callers string `yaml:"callers"`
	// Targets takes announcements.
	Targets string `yaml:"targets"`
	// Operators takes operator commands and serves metrics and health.
	Operators string `yaml:"operators"`
	// Peers takes links of other daemons.
	Peers string `yaml:"peers"`
}

// TLS names the files for mutual TLS between daemons.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Settings configure one daemon.
type Settings struct {
	// Name of the entry VM, unique in the cluster.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// DataFolder holds durable state; empty for daemons that never vote.
	DataFolder string `yaml:"data_folder"`
	// Voter asks to take part in agreement.
	Voter  bool   `yaml:"voter"`
	Listen Listen `yaml:"listen"`
	// AdvertisePeers is the address that other daemons dial; defaults to listen.peers.
	AdvertisePeers string `yaml:"advertise_peers"`
	// Seeds are peer addresses of daemons that may know the leader.
	Seeds []string `yaml:"seeds"`
	// PeerAddresses overrides the address to dial, by advertised address.
	PeerAddresses map[string]string `yaml:"peer_addresses"`
	// OperatorKeyFile holds the first operator key; mode 0600.
	OperatorKeyFile string `yaml:"operator_key_file"`
	TLS             *TLS   `yaml:"tls"`
	// Tick is the unit of election and heartbeat timeouts.
	Tick Duration `yaml:"tick"`
	// SessionLease is how long a daemon may serve keyed work after its last renewal was sent.
	SessionLease Duration `yaml:"session_lease"`
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout Duration `yaml:"shutdown_timeout"`
	// PlatformURL is the base URL of the platform that reboots VMs; empty for none.
	PlatformURL string `yaml:"platform_url"`
}

const (
	defaultTick            = 50 * time.Millisecond
	defaultSessionLease    = 4 * time.Second
	defaultShutdownTimeout = 150 * time.Second
	minSessionLease        = 500 * time.Millisecond
	maxSessionLease        = 10 * time.Second
	minTick                = 5 * time.Millisecond
	maxTick                = time.Second
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := ParseSettings(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > MaxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, at most %d are allowed", path, info.Size(), MaxFileBytes)
	}
	return os.ReadFile(path)
}

// ParseSettings reads and checks settings.
func ParseSettings(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := decodeStrict(data, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeStrict decodes exactly one YAML document without unknown fields.
func decodeStrict(data []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("yaml: %w", err)
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return errors.New("yaml: more than one document")
	}
	return nil
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
	if s.ShutdownTimeout.Duration == 0 {
		s.ShutdownTimeout.Duration = defaultShutdownTimeout
	}
}

// Validate checks every field and names the first that is wrong.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return errors.New("name: is required")
	}
	if s.Zone == "" {
		return errors.New("zone: is required")
	}
	if s.Voter && s.DataFolder == "" {
		return errors.New("data_folder: is required for a voter")
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if s.Tick.Duration < minTick || s.Tick.Duration > maxTick {
		return fmt.Errorf("tick: %s is not within %s and %s", s.Tick, minTick, maxTick)
	}
	if s.SessionLease.Duration < minSessionLease || s.SessionLease.Duration > maxSessionLease {
		return fmt.Errorf("session_lease: %s is not within %s and %s", s.SessionLease, minSessionLease, maxSessionLease)
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	addresses := []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.targets", s.Listen.Targets},
		{"listen.operators", s.Listen.Operators}, {"listen.peers", s.Listen.Peers},
		{"advertise_peers", s.AdvertisePeers},
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address.value)
		if err != nil {
			return fmt.Errorf("%s: %q is not host:port", address.field, address.value)
		}
		ip := net.ParseIP(host)
		if ip == nil {
			return fmt.Errorf("%s: %q is not an IP number", address.field, host)
		}
		if s.TLS == nil && address.field == "listen.peers" && !ip.IsLoopback() {
			return errors.New("tls: is required unless all peer addresses are loopback")
		}
	}
	return nil
}
