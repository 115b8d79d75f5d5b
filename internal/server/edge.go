package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/stepapi"
	"sapphirering/internal/wire"
)

const (
	// balancerLeaves is how long after readiness turned the balancer may still
	// send new connections: two looks, one a second.
	balancerLeaves = 2200 * time.Millisecond
	// shutdownMargin is kept free before the kill that follows the signal.
	shutdownMargin = 500 * time.Millisecond
)

// Edge is a daemon that takes callers' requests and keeps nothing.
type Edge struct {
	settings *config.RoleSettings
	gateway  *Gateway
	dialer   *wire.Dialer
	leaving  atomic.Bool
	servers  []*http.Server
}

// NewEdge opens the listeners of an edge daemon.
func NewEdge(s *config.RoleSettings, newAdapter NewAdapter) (*Edge, error) {
	e := &Edge{settings: s, dialer: &wire.Dialer{}}
	e.gateway = newGateway(e.dialer, s.Name, s.Seeds)
	adapter := newAdapter(s)
	for _, service := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"listen.callers", s.Listen.Callers, e.closeUnready(adapter.Callers(e.gateway))},
		{"listen.health", s.Listen.Health, adapter.Health(e.ready)},
		{"listen.metrics", s.Listen.Metrics, metricsHandler()},
		{"listen.api", s.Listen.API, stepapi.New(e.gateway)},
	} {
		server, err := serveRole(service.field, service.address, service.handler)
		if err != nil {
			return nil, err
		}
		if server != nil {
			e.servers = append(e.servers, server)
		}
	}
	return e, nil
}

// ready reports whether the balancer should send connections here.
func (e *Edge) ready() bool { return !e.leaving.Load() && e.gateway.Connected() }

// closeUnready asks callers to come back on a new connection, which the balancer
// takes elsewhere, while this daemon is not ready.
func (e *Edge) closeUnready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Reload takes changed settings.
func (e *Edge) Reload(s *config.RoleSettings) { e.gateway.SetSeeds(s.Seeds) }

// Run serves until ctx ends, then lets the balancer leave and finishes what
// is in flight.
func (e *Edge) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.gateway.watch(background)
	<-ctx.Done()
	event.DaemonStopping.Emit()
	e.leaving.Store(true)
	for _, server := range e.servers {
		// Answers from here on ask callers to take their next request elsewhere.
		server.SetKeepAlivesEnabled(false)
	}
	grace := e.settings.Bounds.ShutdownGrace.Duration - shutdownMargin
	stop, cancelStop := context.WithTimeout(background, max(grace, shutdownMargin))
	defer cancelStop()
	clock.Sleep(stop, min(balancerLeaves, grace))
	for _, server := range e.servers {
		if err := server.Shutdown(stop); err != nil {
			event.ShutdownIncomplete.Emit(event.Err(err))
		}
	}
	event.DaemonStopped.Emit()
	return nil
}

// serveRole opens a listener and serves it; nil without an address.
func serveRole(field, address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", field, err)
	}
	server := newHTTPServer(handler)
	go serve(server, field, &limitListener{Listener: listener, field: field, limit: maxConnections})
	return server, nil
}
