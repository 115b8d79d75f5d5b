package server

import (
	"context"
	"net/http"

	"sapphirering/internal/config"
	"sapphirering/internal/driver"
	"sapphirering/internal/workflow/workflowpb"
)

// Requester brings requests to the leader.
type Requester interface {
	Do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response
}

// Adapter translates between a platform's protocols and the product's calls.
type Adapter interface {
	// Callers serves callers' requests.
	Callers(requester Requester) http.Handler
	// Control serves targets' announcements and operators' orders.
	Control(requester Requester) http.Handler
	// Health answers the balancer.
	Health(ready func() bool) http.Handler
	// Targets calls targets.
	Targets() driver.TargetClient
	// Advice says which targets may run a step; nil without such a service.
	Advice() driver.AdviceClient
	// VMs calls the platform that owns the VMs.
	VMs() driver.VMClient
}

// NewAdapter makes the adapter for a daemon's settings.
type NewAdapter func(s *config.RoleSettings) Adapter
