package linktest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const certificateValidity = time.Hour

// Authority is a certificate authority that signs certificates for 127.0.0.1.
type Authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(certificateValidity), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

// issue returns a new certificate and its key.
func (a *Authority) issue() (der []byte, key *ecdsa.PrivateKey) {
	a.t.Helper()
	key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(certificateValidity), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der, key
}

// Config returns a configuration for mutual TLS with a new certificate signed by a.
// It accepts peers whose certificates are signed by trusted.
func (a *Authority) Config(trusted *Authority) *tls.Config {
	a.t.Helper()
	der, key := a.issue()
	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// Files holds the paths of the PEM files of one daemon.
type Files struct{ Certificate, Key, Authority string }

// Files writes a new certificate signed by a, its key, and the certificate of trusted into the folder.
func (a *Authority) Files(folder, name string, trusted *Authority) Files {
	a.t.Helper()
	der, key := a.issue()
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{
		Certificate: a.write(filepath.Join(folder, name+".pem"), "CERTIFICATE", der),
		Key:         a.write(filepath.Join(folder, name+".key"), "PRIVATE KEY", private),
		Authority:   a.write(filepath.Join(folder, name+"-authority.pem"), "CERTIFICATE", trusted.certificate.Raw),
	}
}

func (a *Authority) write(path, kind string, der []byte) string {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}
