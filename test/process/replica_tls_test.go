package process

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// linkAuthority signs certificates of daemons.
type linkAuthority struct {
	t           *testing.T
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newLinkAuthority(t *testing.T) *linkAuthority {
	t.Helper()
	a := &linkAuthority{t: t, folder: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *linkAuthority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *linkAuthority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// settings returns the tls settings of a daemon that trusts trusted.
func (a *linkAuthority) settings(name string, trusted *linkAuthority) string {
	a.t.Helper()
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return fmt.Sprintf("tls: {certificate: %q, key: %q, authority: %q}\n",
		a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "PRIVATE KEY", private),
		filepath.Join(trusted.folder, "authority.pem"))
}

// TestReplicaTLS forms a cluster over mutual TLS; a daemon whose certificate
// another authority signed cannot join.
func TestReplicaTLS(t *testing.T) {
	is := is.New(t)
	ours, theirs := newLinkAuthority(t), newLinkAuthority(t)
	c := &cluster{t: t, folder: t.TempDir(), secrets: make(map[string]string)}
	c.keyFile = filepath.Join(c.folder, "operator.key")
	is.NoErr(os.WriteFile(c.keyFile, []byte(operatorKey), 0o600))
	for i, zone := range []string{"a", "b", "c", "foreign"} {
		c.nodes = append(c.nodes, &node{
			t: t, name: fmt.Sprintf("entry-%s%d", zone, i+1), zone: zone,
			callers: freePort(t), targets: freePort(t), operator: freePort(t), peers: freePort(t),
		})
	}
	foreign := c.nodes[3]
	for i, n := range c.nodes {
		c.writeSettings(n, true)
		signer := ours
		if n == foreign {
			signer = theirs
		}
		settings, err := os.ReadFile(n.settings)
		is.NoErr(err)
		is.NoErr(os.WriteFile(n.settings, append(settings, signer.settings(n.name, ours)...), 0o600))
		n.start(i == 0)
		if i == 0 {
			n.waitReady()
		}
	}
	t.Cleanup(c.stop)
	c.waitVoters(c.nodes[0], 3)
	c.commitPool(c.nodes[:3], "over-tls")
	for _, n := range c.nodes[:3] {
		c.hasPools(n, []string{"over-tls"})
	}
	view, err := c.leaderView(c.nodes[0])
	is.NoErr(err)
	is.Equal(len(view.Members), 3)
	log, err := os.ReadFile(foreign.settings + ".log")
	is.NoErr(err)
	is.True(strings.Contains(string(log), "event=2003")) // its joins fail
}
