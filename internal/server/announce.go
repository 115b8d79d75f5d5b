package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/intake"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

const (
	maxAnnouncementBytes = 64 << 10
	registerTimeout      = 3 * time.Second
	// registerRetryDelay is the wait after a failed registration before the same VM is
	// registered again.
	registerRetryDelay = 3 * time.Second
)

// announcer receives announcements and registers VMs that the state does not know.
type announcer struct {
	registry *target.Registry
	leader   *leaderClient

	mu sync.Mutex
	// registering holds the VMs whose registration is in progress or has just failed. Failed
	// ones stay for registerRetryDelay, so that announcements for a pool that does not exist
	// do not fill the log with refusals.
	registering map[string]bool
}

// ServeHTTP handles one announcement.
func (a *announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(registerTimeout))
	data, err := intake.ReadBody(r, r.Body, maxAnnouncementBytes)
	if err != nil {
		status := intake.Status(err)
		intake.SetRefusalHeaders(w, err)
		http.Error(w, "announcement: "+err.Error(), status)
		return
	}
	var announcement target.Announcement
	if err := json.Unmarshal(data, &announcement); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer, registered, err := a.registry.Announce(announcement)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !registered {
		a.register(announcement)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// register commits the VM in the background, unless it is already in registering.
func (a *announcer) register(announcement target.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.registering[announcement.VM] {
		return
	}
	if a.registering == nil {
		a.registering = make(map[string]bool)
	}
	a.registering[announcement.VM] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		if err := a.propose(ctx, announcement); err != nil {
			event.RegisterFailed.Emit(event.Err(err))
			time.Sleep(registerRetryDelay)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.registering, announcement.VM)
	}()
}

func (a *announcer) propose(ctx context.Context, v target.Announcement) error {
	outcome, err := a.leader.Propose(ctx, &statepb.Command{Body: &statepb.Command_AnnounceVm{
		AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
			Name: v.VM, Pool: v.Pool, Zone: v.Zone, Rack: v.Rack, Region: v.Region, Address: v.Address,
			Incarnation: v.Incarnation, Slots: v.Slots,
			Capacity: &statepb.Resources{
				Millicores: v.Millicores, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators,
			},
		}},
	}})
	if err != nil {
		return fmt.Errorf("register vm %s: %w", v.VM, err)
	}
	if outcome.Code != statepb.Code_CODE_OK {
		return fmt.Errorf("register vm %s: %s", v.VM, outcome.Message)
	}
	return nil
}
