package process

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/operator"
	"sapphirering/test/linktest"
)

// foreignChecks is how often the member list is checked for a foreign daemon.
const foreignChecks = 20

// authority signs certificates of daemons.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T, folder, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{certificate: certificate, key: key, file: filepath.Join(folder, name+".pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// tlsSettings issues a certificate to the daemon and returns its TLS settings.
func (a *authority) tlsSettings(t *testing.T, folder, name string) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificateFile, keyFile := filepath.Join(folder, name+".crt"), filepath.Join(folder, name+".key")
	writePEM(t, certificateFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER)
	return fmt.Sprintf("tls: {certificate: %q, key: %q, authority: %q}\noperator_tls: {certificate: %q, key: %q}\n",
		certificateFile, keyFile, a.file, certificateFile, keyFile)
}

// startWithTLS appends the TLS lines to the daemon's settings and starts it.
func (c *cluster) startWithTLS(n *node, lines string, bootstrap bool) {
	c.t.Helper()
	c.writeSettings(n, true)
	file, err := os.OpenFile(n.settingsFile, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.WriteString(lines); err != nil {
		c.t.Fatal(err)
	}
	n.start(bootstrap)
}

// TestOperateTLS runs daemons over mutual TLS. A daemon whose certificate another
// authority signed, and one without TLS, never become members.
func TestOperateTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := &cluster{t: t, folder: t.TempDir(), secrets: make(map[string]string)}
	c.keyFile = filepath.Join(c.folder, "operator.key")
	is.NoErr(os.WriteFile(c.keyFile, []byte(operatorKey), 0o600))
	own, foreign := newAuthority(t, c.folder, "own"), newAuthority(t, c.folder, "foreign")
	for _, name := range []string{"first", "second", "foreign", "plain"} {
		c.nodes = append(c.nodes, &node{
			t: t, name: name, zone: "a",
			callerAddress: linktest.FreeAddress(t), targetAddress: linktest.FreeAddress(t), operatorAddress: linktest.FreeAddress(t), peerAddress: linktest.FreeAddress(t),
		})
	}
	t.Cleanup(c.stop)
	c.startWithTLS(c.nodes[0], own.tlsSettings(t, c.folder, "first"), true)
	c.nodes[0].waitReady()
	c.startWithTLS(c.nodes[1], own.tlsSettings(t, c.folder, "second"), false)
	c.startWithTLS(c.nodes[2], foreign.tlsSettings(t, c.folder, "foreign"), false)
	c.startWithTLS(c.nodes[3], "", false)
	var status operator.StatusView
	ask := func(caFile string) error {
		cmd := exec.Command(toolBinary, "status", "-o", "json", "-timeout", "2s", "-ca-file", caFile,
			"-address", "https://"+c.nodes[0].operatorAddress, "-key-file", c.keyFile)
		out, err := cmd.Output()
		if err != nil {
			return err
		}
		return json.Unmarshal(out, &status)
	}
	is.True(ask(foreign.file) != nil) // the tool refuses a certificate of another authority
	eventually(t, startTimeout, "two voters", func() error {
		if err := ask(own.file); err != nil {
			return err
		}
		if len(status.Members) != 2 || !status.Members[0].Voter || !status.Members[1].Voter {
			return fmt.Errorf("members %v", status.Members)
		}
		return nil
	})
	for range foreignChecks {
		is.NoErr(ask(own.file))
		for _, m := range status.Members {
			is.True(m.Name == "first" || m.Name == "second") // only daemons with a certificate of the cluster's authority
		}
		time.Sleep(pollInterval)
	}
}
