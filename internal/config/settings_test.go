package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodSettings = `name: entry-a1
zone: a
region: north
voter: true
data_folder: /var/lib/sapphirering
listen:
  callers: 127.0.0.1:8001
  targets: 127.0.0.1:8002
  operators: 127.0.0.1:8003
  peers: 127.0.0.1:8004
seeds: ["127.0.0.1:9004"]
session_lease: 2s
`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings([]byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.AdvertisePeers, s.Listen.Peers)
	is.Equal(s.Tick.Duration, defaultTick)
}

// faultCase replaces from by to in valid text and says which fault must be reported.
type faultCase struct {
	name, from, to string
	line           int
	field, reason  string
}

func checkFaults(t *testing.T, good string, parse func([]byte) error, faults []faultCase) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(good, f.from)) // the text to replace is there
			err := parse([]byte(strings.Replace(good, f.from, f.to, 1)))
			var found FieldErrors
			is.True(errors.As(err, &found)) // the error is a FieldErrors
			is.Equal(found[0].Line, f.line)
			is.Equal(found[0].Field, f.field)
			is.True(strings.Contains(found[0].Reason, f.reason)) // the reason is named
		})
	}
}

func TestSettingsFaultsNameLineAndField(t *testing.T) {
	parse := func(data []byte) error {
		_, err := ParseSettings(data)
		return err
	}
	checkFaults(t, goodSettings, parse, []faultCase{
		{"unknown field", "region: north", "regoin: north", 3, "regoin", "unknown field"},
		{"unknown nested field", "targets:", "target:", 8, "listen.target", "unknown field"},
		{"field given twice", "region: north", "zone: b", 3, "zone", "given twice, first on line 2"},
		{"missing field", "zone: a\n", "", 0, "zone", "is required"},
		{"bad name", "name: entry-a1", "name: Entry A1", 1, "name", "is not a name"},
		{"wrong type", "voter: true", "voter: 3", 4, "voter", "true or false"},
		{"list for fields", "listen:\n", "listen: []\nx:\n", 6, "listen", "want fields, got a list"},
		{"no unit", "session_lease: 2s", "session_lease: 2", 12, "session_lease", "unit"},
		{"wrong unit", "session_lease: 2s", "session_lease: 2 weeks", 12, "session_lease", "unit"},
		{"out of range", "session_lease: 2s", "session_lease: 2m", 12, "session_lease", "not within"},
		{"host name", "callers: 127.0.0.1:8001", "callers: localhost:8001", 7, "listen.callers", "not an IP address"},
		{"bad port", "127.0.0.1:8001", "127.0.0.1:80001", 7, "listen.callers", "not a port"},
		{"address given twice", "127.0.0.1:8001", "127.0.0.1:8002", 8, "listen.targets", "listen.callers too"},
		{"bad seed", `"127.0.0.1:9004"`, `"127.0.0.1:9004", "seed"`, 11, "seeds[1]", "not host:port"},
		{"voter without data folder", "data_folder: /var/lib/sapphirering\n", "", 0, "data_folder", "required for a voter"},
		{"no TLS outside loopback", "peers: 127.0.0.1:8004", "peers: 10.0.0.1:8004", 0, "tls", "is required"},
		{"wildcard peers", "peers: 127.0.0.1:8004", "peers: 0.0.0.0:8004\ntls: {certificate: c, key: k, authority: a}", 0,
			"advertise_peers", "is required when"},
		{"no TLS key", "region: north", "tls: {certificate: c, authority: a}", 3, "tls.key", "is required"},
		{"no operator TLS key", "region: north", "operator_tls: {certificate: c}", 3, "operator_tls.key", "is required"},
		{"bad platform URL", "region: north", "platform_url: ftp://x", 3, "platform_url", "not an http"},
		{"alias", "region: north", "region: &x north", 3, "region", "aliases"},
		{"merge key", "region: north", "<<: {region: north}", 3, "", "plain names"},
		{"no value", "region: north", "region:", 3, "region", "has no value"},
		{"number for text", "region: north", "region: 7", 3, "region", "quotes"},
		{"two documents", "session_lease: 2s\n", "---\n", 0, "", "more than one"},
	})
}

func TestEveryFaultIsReported(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := strings.NewReplacer("zone: a", "zone: A", "voter: true", "voter: maybe", "8001", "x").Replace(goodSettings)
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(text, "maybe", "true", 1)), 0o600))
	_, err := LoadSettings(path)
	is.True(err != nil)
	lines := strings.Split(err.Error(), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0], path+":2: zone: "))
	is.True(strings.HasPrefix(lines[1], path+":7: listen.callers: "))
}

func TestOversizedSettingsFileIsRefused(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, make([]byte, MaxFileBytes+1), 0o600))
	_, err := LoadSettings(path)
	is.True(err != nil && strings.Contains(err.Error(), "larger than"))
}

func TestAliasBombIsRefused(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	b.WriteString("a0: &a0 [x]\n")
	for i := 1; i < 60; i++ {
		b.WriteString("a: &a [*a0, *a0, *a0, *a0, *a0, *a0]\n")
	}
	_, err := ParseSettings([]byte(b.String()))
	is.True(err != nil)
	_, err = ParseSettings([]byte("listen: " + strings.Repeat("[", 5000) + strings.Repeat("]", 5000)))
	is.True(err != nil)
}

// TestRunbookSettingsAreValid parses the complete settings file that the runbook shows.
func TestRunbookSettingsAreValid(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/RUNBOOK.md")
	is.NoErr(err)
	_, rest, ok := strings.Cut(string(page), "\n       name: entry-a1\n")
	is.True(ok) // the runbook contains the settings
	text := "name: entry-a1\n"
	for _, line := range strings.Split(rest, "\n") {
		indented, ok := strings.CutPrefix(line, "       ")
		if !ok {
			break
		}
		text += indented + "\n"
	}
	s, err := ParseSettings([]byte(text))
	is.NoErr(err)
	is.Equal(s.Listen.Peers, "10.0.1.1:8004")
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("listen: {callers: 1, <<: [a]}\nseeds: [[]]\n"))
	f.Add([]byte("---\n# nothing\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		if err == nil && (s.Name == "" || s.Listen.Peers == "") {
			t.Fatalf("accepted without required fields: %q", data)
		}
	})
}
