package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/intake"
	"sapphirering/internal/stepapi"
	"sapphirering/internal/wire"
)

const (
	// balancerDrainTime is how long the balancer may still send new connections after this
	// daemon reports that it is not ready: two health checks, one per second.
	balancerDrainTime = 2200 * time.Millisecond
	// shutdownMargin is kept free before the end of the grace period, when the process is
	// killed.
	shutdownMargin = 500 * time.Millisecond
)

// Edge is a daemon that takes callers' requests and stores nothing.
type Edge struct {
	settings *config.RoleSettings
	gateway  *Gateway
	dialer   *wire.Dialer
	budget   *intake.Budget
	leaving  atomic.Bool
	servers  []*http.Server
}

// NewEdge opens the listeners of an edge daemon.
func NewEdge(s *config.RoleSettings, newAdapter NewAdapter) (*Edge, error) {
	e := &Edge{settings: s, dialer: &wire.Dialer{}, budget: newBudget(s.Intake, s.MemoryMB, s.Descriptors, reservedByEdge)}
	e.gateway = newGateway(e.dialer, s.Name, s.Seeds)
	adapter := newAdapter(s)
	for _, service := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"listen.callers", s.Listen.Callers, e.closeWhileNotReady(adapter.Callers(e.gateway))},
		{"listen.health", s.Listen.Health, adapter.Health(e.ready)},
		{"listen.metrics", s.Listen.Metrics, metricsHandler()},
		{"listen.api", s.Listen.API, stepapi.New(e.gateway, s.Bounds.Evacuates())},
	} {
		server, err := serveRole(e.budget, service.field, service.address, service.handler)
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

// closeWhileNotReady tells callers to close the connection while this daemon is not ready, so
// that the balancer sends their next connection to another daemon.
func (e *Edge) closeWhileNotReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Reload takes over the seeds of changed settings.
func (e *Edge) Reload(s *config.RoleSettings) { e.gateway.SetSeeds(s.Seeds) }

// Run serves until ctx ends. It then reports that it is not ready, waits until the balancer
// sends no more connections, and finishes the requests in flight.
func (e *Edge) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.gateway.watch(background)
	<-ctx.Done()
	event.DaemonStopping.Emit()
	e.leaving.Store(true)
	for _, server := range e.servers {
		// Responses from now on close the connection, so that callers send their next request
		// to another daemon.
		server.SetKeepAlivesEnabled(false)
	}
	grace := e.settings.Bounds.ShutdownGrace.Duration - shutdownMargin
	shutdownCtx, cancelShutdown := context.WithTimeout(background, max(grace, shutdownMargin))
	defer cancelShutdown()
	clock.Sleep(shutdownCtx, min(balancerDrainTime, grace))
	for _, server := range e.servers {
		if err := server.Shutdown(shutdownCtx); err != nil {
			event.ShutdownIncomplete.Emit(event.Err(err))
		}
	}
	e.budget.Close()
	event.DaemonStopped.Emit()
	return nil
}

// serveRole opens a listener and serves it; it returns nil if the address is empty.
func serveRole(budget *intake.Budget, field, address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := listenHTTP(budget, field, address)
	if err != nil {
		return nil, err
	}
	server := newHTTPServer(handler)
	go serve(server, field, listener)
	return server, nil
}
