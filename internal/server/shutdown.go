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
	// answerFlushTime is how long the sending of answers to other daemons may take after the
	// last forward is finished.
	answerFlushTime = 200 * time.Millisecond
)

// shutdown finishes the requests in flight before anything that they need ends. First the
// daemon reports that it is not ready and still takes requests until the balancer has left.
// Then it refuses new requests as not run, finishes those in flight, also those forwarded from
// other zones, and hands the leadership to another voter. The targets' listener stays open
// until the requests are finished, since dispatch needs announcements.
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
		event.ShutdownIncomplete.Emit(event.F("cut", d.entry.InFlight()))
	}
	d.shutdownServers(ctx)
	// Fails while units are in use: the units of work that was cut off must stay
	// reserved after this process ends.
	d.closeSession()
	d.handOverLeadership()
	time.Sleep(answerFlushTime)
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

// closeSession ends the session, so that its reservations are free at once.
func (d *Daemon) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), closeSessionTimeout)
	defer cancel()
	if err := d.holder.Close(ctx); err != nil {
		event.SessionCloseFailed.Emit(event.Err(err))
	}
}

// handOverLeadership lets another voter lead at once instead of after an election timeout.
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
