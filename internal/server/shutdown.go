package server

import (
	"context"
	"sync"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
)

const (
	handOverTimeout = 2 * time.Second
	// answerLinger is how long answers to other daemons may take to leave
	// after the last forward is finished.
	answerLinger = 200 * time.Millisecond
)

// shutdown finishes requests in flight before anything that they need ends:
// readiness turns first and the balancer leaves while requests are still
// taken; then new ones are refused as not run, those in flight finish, also
// the ones served for other zones, and leadership goes to another voter. The
// targets' listener stays open until then, since dispatch needs announcements.
func (d *Daemon) shutdown() {
	event.DaemonStopping.Emit()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout.Duration)
	defer cancel()
	d.entry.BeginShutdown()
	event.ShutdownDraining.Emit(event.F("delay", d.settings.ShutdownDelay))
	clock.Sleep(ctx, d.settings.ShutdownDelay.Duration)
	d.holder.SetLeaving()
	if d.entry.Drain(ctx) {
		event.ShutdownDrained.Emit()
	} else {
		event.ShutdownCut.Emit(event.F("cut", d.entry.InFlight()))
	}
	d.shutdownServers(ctx)
	// Fails while units are in use: what work that was cut off holds must
	// outlive this process.
	d.closeSession()
	d.handOverLeadership()
	time.Sleep(answerLinger)
	d.stop()
	event.DaemonStopped.Emit()
}

// shutdownServers closes the listeners once their connections are idle.
func (d *Daemon) shutdownServers(ctx context.Context) {
	var closing sync.WaitGroup
	for _, server := range d.servers {
		closing.Go(func() { server.Shutdown(ctx) })
	}
	closing.Wait()
}

// closeSession gives the session back, so that its reservations are free at once.
func (d *Daemon) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), closeSessionTimeout)
	defer cancel()
	if err := d.holder.Close(ctx); err != nil {
		event.SessionNotBack.Emit(event.Err(err))
	}
}

// handOverLeadership lets another voter lead at once instead of after a timeout.
func (d *Daemon) handOverLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for d.leader.isLocal() && ctx.Err() == nil {
		if started, err := d.node.TransferLeadership(ctx); err != nil || !started {
			return
		}
		time.Sleep(retryDelay)
	}
}
