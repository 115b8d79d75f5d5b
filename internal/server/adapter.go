package server

import (
	"context"
	"net/http"

	"sapphirering/internal/config"
	"sapphirering/internal/driver"
	"sapphirering/internal/workflow/workflowpb"
)

// Requester sends requests to the leader.
type Requester interface {
	Do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response
}

// Adapter translates between a platform's protocols and this system's requests.
type Adapter interface {
	// Callers serves callers' requests.
	Callers(requester Requester) http.Handler
	// Control serves targets' announcements and operators' requests.
	Control(requester Requester) http.Handler
	// Health answers the balancer's health checks.
	Health(ready func() bool) http.Handler
	// Targets returns the client that calls targets.
	Targets() driver.TargetClient
	// Advice returns the client of the service that says which targets may run a step; nil if
	// there is no such service.
	Advice() driver.AdviceClient
	// VMs returns the client of the platform that owns the VMs.
	VMs() driver.VMClient
}

// NewAdapter creates the adapter for a daemon's settings.
type NewAdapter func(s *config.RoleSettings) Adapter
