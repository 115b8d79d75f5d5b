package server

import (
	"fmt"
	"net"

	"sapphirering/internal/config"
	"sapphirering/internal/intake"
)

// Descriptors kept for the process's own files and connections.
const (
	// reservedByCore suffices for a leader's three connections to each of 350 targets, its log,
	// snapshots, links and calls to the platform. A process with many descriptors keeps as many back as
	// it may open to targets (TargetConnections), and reservedFiles.
	reservedByCore = 1536
	reservedFiles  = 200
	// reservedByEdge suffices for links to core daemons.
	reservedByEdge = 256
	// reservedByEntry suffices for the connections of a daemon without a role to its targets.
	reservedByEntry = 1024
)

// newBudget returns the budget of the connections that this process accepts.
func newBudget(s config.Intake, memoryMB, descriptors, reserved int) *intake.Budget {
	if s.ReservedDescriptors > 0 {
		reserved = s.ReservedDescriptors
	}
	return intake.New(intake.Settings{
		MemoryBytes: int64(memoryMB) << 20, MemoryShare: s.MemoryShare, Descriptors: descriptorLimit(descriptors), ReservedDescriptors: reserved,
		MinRate: s.MinRate, ProgressWindow: s.ProgressWindow.Duration, WriteTimeout: s.WriteTimeout.Duration,
	})
}

// listenHTTP opens a listener whose connections are charged to the budget.
func listenHTTP(budget *intake.Budget, field, address string) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", field, err)
	}
	listener := intake.NewListener(inner, field, budget)
	if err := listener.LimitSocketBuffers(); err != nil {
		inner.Close()
		return nil, fmt.Errorf("%s: limit socket buffers: %w", field, err)
	}
	return listener, nil
}
