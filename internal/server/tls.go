package server

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"sapphirering/internal/config"
)

// loadServerTLS loads the certificate and key of a listener; the result is nil without
// settings.
func loadServerTLS(field string, s *config.ServerTLS) (*tls.Config, error) {
	if s == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", field, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}

// loadTLS loads the certificates and key for mutual TLS; both results are nil without
// settings.
func loadTLS(s *config.TLS) (client, server *tls.Config, err error) {
	if s == nil {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("tls: %w", err)
	}
	data, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("tls.authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, fmt.Errorf("tls.authority: %s holds no certificate", s.Authority)
	}
	certificates := []tls.Certificate{certificate}
	client = &tls.Config{Certificates: certificates, RootCAs: pool, MinVersion: tls.VersionTLS13}
	server = &tls.Config{
		Certificates: certificates, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	return client, server, nil
}
