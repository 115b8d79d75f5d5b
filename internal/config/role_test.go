package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const roleBounds = `bounds:
  lease_ttl: 6s
  announce_interval: 1500ms
  shutdown_grace: 6s
  vm_move: 1.5s
  vm_maintenance: 2s
`

const coreSettings = `role: core
name: core-a-1
zone: zone-a
data_folder: /data/core
listen:
  control: 10.1.0.26:8345
  peers: 10.1.0.26:7000
seeds: ["10.1.0.26:8345", "10.2.0.17:8345"]
peer_port: 7000
found: true
trust_peer_network: true
platform_address: 10.200.0.82:8344
` + roleBounds

// TestRoleSettings checks that the settings of a core daemon are read and that peer_port
// replaces the ports of the seeds.
func TestRoleSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseRoleSettings("f", []byte(coreSettings))
	is.NoErr(err)
	is.Equal(s.Seeds, []string{"10.1.0.26:7000", "10.2.0.17:7000"})
	is.Equal(s.Bounds.LeaseTTL.String(), "6s")
	is.True(s.Bootstrap && s.TrustPeerNetwork)
	is.True(!s.Admission.RefuseLate) // refusing jobs for load must be asked for
	s, err = ParseRoleSettings("f", []byte(coreSettings+"admission: {refuse_late: true}\n"))
	is.NoErr(err)
	is.True(s.Admission.RefuseLate)
	is.True(!s.Bounds.Evacuates()) // unless the settings ask for it
	s, err = ParseRoleSettings("f", []byte(coreSettings+"  evacuation: 5s\nzones: [\"zone-a\", \"zone-b\"]\n"))
	is.NoErr(err)
	is.True(s.Bounds.Evacuates())
	is.Equal(s.Zones, []string{"zone-a", "zone-b"})
	is.True(!s.Learning.Keep && !s.Pools.ShareShortage) // both must be asked for
	s, err = ParseRoleSettings("f", []byte(coreSettings+"learning:\n  keep: true\n  quantiles: true\n  placement: true\n"))
	is.NoErr(err)
	is.True(s.Learning.Keep && s.Learning.Quantiles && s.Learning.Placement)
}

// TestRoleSettingsFaults checks that every fault is reported with its field.
func TestRoleSettingsFaults(t *testing.T) {
	for _, test := range []struct{ name, from, to, field string }{
		{"unknown field", "found: true", "fond: true", "fond"},
		{"unknown role", "role: core", "role: cure", "role"},
		{"no name", "name: core-a-1\n", "", "name"},
		{"no data folder", "data_folder: /data/core\n", "", "data_folder"},
		{"control without a port", "control: 10.1.0.26:8345", "control: 10.1.0.26", "listen.control"},
		{"seed with a host name", `"10.2.0.17:8345"`, `"core.example:8345"`, "seeds[1]"},
		{"no seeds", `seeds: ["10.1.0.26:8345", "10.2.0.17:8345"]`, "seeds: []", "seeds"},
		{"no peer port", "peer_port: 7000\n", "", "peer_port"},
		{"peer network not trusted", "trust_peer_network: true", "trust_peer_network: false", "trust_peer_network"},
		{"bound of zero", "lease_ttl: 6s", "lease_ttl: 0s", "bounds.lease_ttl"},
		{"bound without a unit", "shutdown_grace: 6s", "shutdown_grace: 6", "shutdown_grace"},
		{"no VM move time", "  vm_move: 1.5s\n", "", "bounds.vm_move"},
		{"edge without callers", "role: core", "role: edge", "listen.callers"},
		{"unknown admission", "found: true", "found: true\nadmission: {refuse: true}", "admission.refuse"},
		{"negative descriptors of the process", "found: true", "found: true\ndescriptors: -1", "descriptors"},
		{"negative memory", "found: true", "found: true\nmemory_mb: -1", "memory_mb"},
		{"negative evacuation", "bounds:\n", "bounds:\n  evacuation: -1s\n", "bounds.evacuation"},
		{"zone without a name", "zone: zone-a\n", "zone: zone-a\nzones: [\"\"]\n", "zones[0]"},
		{"memory share that is no number", "found: true", "found: true\nintake: {memory_share: .nan}", "intake.memory_share"},
		{"memory share above the runtime's limit", "found: true", "found: true\nintake: {memory_share: 0.5}", "intake.memory_share"},
		{"negative descriptors", "found: true", "found: true\nintake: {reserved_descriptors: -1}", "intake.reserved_descriptors"},
		{"negative rate", "found: true", "found: true\nintake: {min_rate: -1}", "intake.min_rate"},
		{"short window", "found: true", "found: true\nintake: {progress_window: 1ms}", "intake.progress_window"},
		{"short write timeout", "found: true", "found: true\nintake: {write_timeout: 1ms}", "intake.write_timeout"},
		{"api without a port", "listen:\n", "listen:\n  api: 10.1.0.26\n", "listen.api"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(coreSettings, test.from, test.to, 1)
			if text == coreSettings {
				t.Fatal("the text to replace is not in the settings")
			}
			_, err := ParseRoleSettings("f", []byte(text))
			if err == nil || !strings.Contains(err.Error(), test.field) && !strings.Contains(err.Error(), "line") {
				t.Errorf("got %v, want a fault of %s", err, test.field)
			}
		})
	}
}

// FuzzRoleSettings checks that arbitrary text is parsed or refused without a panic, and
// that settings without seeds are always refused.
func FuzzRoleSettings(f *testing.F) {
	f.Add(coreSettings)
	f.Add("role: edge\n")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := ParseRoleSettings("f", []byte(text)); err == nil && len(s.Seeds) == 0 {
			t.Fatal("settings without seeds were accepted")
		}
	})
}
