// Package server assembles a daemon from its components and runs it.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/config"
	"sapphirering/internal/control"
	"sapphirering/internal/entry"
	"sapphirering/internal/event"
	"sapphirering/internal/intake"
	"sapphirering/internal/operator"
	"sapphirering/internal/replica"
	"sapphirering/internal/replica/store"
	"sapphirering/internal/runner"
	"sapphirering/internal/session"
	"sapphirering/internal/state"
	"sapphirering/internal/target"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

const (
	electionTicks   = 10
	heartbeatTicks  = 3
	snapshotEntries = 10_000
	// snapshotTail is the number of entries kept before a snapshot, so that a voter that was
	// unreachable for a while catches up without the snapshot.
	snapshotTail = 5_000
	// catchUpTimeout bounds how long a new member delays its HTTP listeners.
	catchUpTimeout = 10 * time.Second

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
	// closeSessionTimeout includes the hand-over of running attempts to another entry VM.
	closeSessionTimeout = 5 * time.Second
)

// Daemon is an entry daemon: it serves callers, targets and operators and is a member of the
// cluster.
type Daemon struct {
	settings   *config.Settings
	identity   store.Identity
	store      *store.Store
	machine    *state.Machine
	node       *replica.Node
	peers      *wire.Peers
	dialer     *wire.Dialer
	peerServer *wire.Server
	budget     *intake.Budget
	leader     *leaderClient
	refusals   refusals
	// serveIndex is the index to apply before the HTTP listeners answer.
	serveIndex uint64
	holder     *session.Holder
	registry   *target.Registry
	entry      *entry.Server
	manager    *control.Manager
	client     *target.Client

	servers []*http.Server
	fatal   chan error

	background       context.Context
	cancelBackground context.CancelFunc
	running          sync.WaitGroup

	leadMu     sync.Mutex
	cancelLead context.CancelFunc
}

// Options are the command-line options of a daemon.
type Options struct {
	// Bootstrap creates a new cluster when the data folder is empty.
	Bootstrap bool
	// OperatorKeys are the keys that operators authenticate with.
	OperatorKeys []config.OperatorKey
}

// New opens the data folder, joins or creates the cluster, and returns a
// daemon that is ready to run.
func New(ctx context.Context, settings *config.Settings, options Options) (*Daemon, error) {
	d := &Daemon{
		settings: settings, fatal: make(chan error, 1), machine: state.New(),
		budget: newBudget(settings.Intake, settings.MemoryMB, 0, reservedByEntry),
	}
	d.background, d.cancelBackground = context.WithCancel(context.Background())
	clientTLS, serverTLS, err := loadTLS(settings.TLS)
	if err != nil {
		return nil, err
	}
	d.dialer = &wire.Dialer{TLS: clientTLS, Addresses: settings.PeerAddresses}
	start, st, err := openDataFolder(ctx, settings, options.Bootstrap, d.dialer)
	if err != nil {
		return nil, err
	}
	d.identity, d.store, d.serveIndex = start.identity, st, start.serveIndex
	if err := d.assemble(start); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.listen(serverTLS, options); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// assemble creates the components in the order of their dependencies.
func (d *Daemon) assemble(start startState) error {
	incarnation := uint64(time.Now().UnixNano())
	d.peers = wire.NewPeers(d.dialer, d.identity.ClusterID, d.identity.MemberID)
	d.leader = &leaderClient{
		dialer: d.dialer, clusterID: d.identity.ClusterID, self: d.identity.MemberID, clock: clock.New(time.Now),
		handle: d.handleCall,
	}
	if start.membersAtJoin != nil {
		memberSender{d}.SetMembership(start.membersAtJoin)
	}
	if err := d.startReplica(incarnation, start.loaded); err != nil {
		return err
	}
	d.leader.node = d.node
	d.registry = target.NewRegistry(d.machine, time.Now)
	d.client = target.NewClient()
	d.manager = control.NewManager(control.Config{
		Machine: d.machine, Log: d.leader, Lease: d.settings.SessionLease.Duration, Now: time.Now,
		NowMS:      d.leader.clock.NowMS,
		AskRelease: d.leader.AskRelease,
		Members:    func() []*wirepb.Member { return d.leader.membership.Load().GetMembers() },
		Platform:   newPlatform(d.settings.PlatformURL),
	})
	d.holder = session.NewHolder(session.Config{
		MemberID: d.identity.MemberID, Incarnation: incarnation, MemberName: d.settings.Name,
		Zone: d.settings.Zone, Lease: d.settings.SessionLease.Duration, Machine: d.machine,
		Leader: d.leader, Now: time.Now,
		Report: func(r *wirepb.RenewRequest) { r.Vms = d.registry.Reports() },
	})
	d.entry = entry.NewServer(entry.Config{
		Machine: d.machine, Holder: d.holder, Registry: d.registry, Client: d.client,
		Proposer: d.leader, Forward: newForwarder(d.leader, d.settings), Now: time.Now,
	})
	return nil
}

func (d *Daemon) startReplica(incarnation uint64, loaded store.Loaded) error {
	var storage replica.Storage
	if d.store != nil {
		storage = d.store
	}
	node, err := replica.NewNode(replica.NodeConfig{
		Core: replica.Config{
			ID: d.identity.MemberID, Incarnation: incarnation, Durable: d.store != nil,
			ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			Rand: newRand(int64(incarnation)),
		},
		Machine: d.machine, Storage: storage, Sender: memberSender{d}, TickInterval: d.settings.Tick.Duration,
		SnapshotEntries: snapshotEntries, SnapshotTail: snapshotTail, OnLeaderChange: d.onLeaderChange,
		OnFatal: func(err error) {
			event.StorageFailed.Emit(event.Err(err))
			d.fatal <- err
		},
	}, loaded)
	if err != nil {
		return err
	}
	d.node = node
	return nil
}

func newRand(seed int64) *rand.Rand { return rand.New(rand.NewSource(seed)) }

// memberSender sends replica messages and stores the member list for calls.
type memberSender struct{ d *Daemon }

func (s memberSender) Send(messages []*wirepb.ReplicaMessage) { s.d.peers.Send(messages) }

func (s memberSender) SetMembership(m *wirepb.Membership) {
	event.MembershipApplied.Emit(event.F("members", len(m.GetMembers())))
	s.d.leader.membership.Store(m)
	s.d.peers.SetMembership(m)
}

// onLeaderChange starts the control loops when this daemon becomes the leader and stops them
// when the leadership ends.
func (d *Daemon) onLeaderChange(leader string, term uint64) {
	d.leader.leader.Store(&leader)
	event.LeaderChanged.Emit(event.F("leader", leader), event.F("term", term))
	d.leadMu.Lock()
	defer d.leadMu.Unlock()
	if d.cancelLead != nil {
		d.cancelLead()
		d.cancelLead = nil
	}
	if leader != d.identity.MemberID {
		return
	}
	ctx, cancel := context.WithCancel(d.background)
	d.cancelLead = cancel
	d.running.Go(func() { d.manager.Run(ctx) })
	// Whether to replace a silent voter is left to an operator.
	keeper := newVoterKeeper(d.node, false, (*wirepb.Member).GetZone)
	d.running.Go(func() { keeper.run(ctx, daemonVoterInterval) })
}

// listen opens every listener, so that a wrong address fails at start-up.
func (d *Daemon) listen(peerTLS *tls.Config, options Options) error {
	peers, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	peers = intake.NewListener(peers, "listen.peers", d.budget)
	if peerTLS != nil {
		peers = tls.NewListener(peers, peerTLS)
	}
	d.peerServer = &wire.Server{Listener: peers, Handler: d.serveStream, Established: intake.Establish}
	api := operator.NewServer(operator.Config{
		Machine: d.machine, Cluster: d, Keys: options.OperatorKeys, Ready: d.entry.Ready,
	})
	operatorTLS, err := loadServerTLS("operator_tls", d.settings.OperatorTLS)
	if err != nil {
		return err
	}
	targets := http.NewServeMux()
	targets.Handle("POST /v1/announcements", &announcer{registry: d.registry, leader: d.leader})
	for _, service := range []struct {
		field, address string
		handler        http.Handler
		tls            *tls.Config
	}{
		{"listen.callers", d.settings.Listen.Callers, d.entry.Handler(), nil},
		{"listen.targets", d.settings.Listen.Targets, targets, nil},
		{"listen.operators", d.settings.Listen.Operators, api.Handler(), operatorTLS},
	} {
		if err := d.serveHTTP(service.field, service.address, service.handler, service.tls); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) serveHTTP(field, address string, handler http.Handler, tlsConfig *tls.Config) error {
	listener, err := listenHTTP(d.budget, field, address)
	if err != nil {
		return err
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	server := newHTTPServer(handler)
	d.servers = append(d.servers, server)
	go func() {
		d.waitCaughtUp()
		serve(server, field, listener)
	}()
	return nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	intake.Attach(server)
	return server
}

// serve serves a listener until the server is closed.
func serve(server *http.Server, field string, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		event.ListenerFailed.Emit(event.F("field", field), event.Err(err))
	}
}

// waitCaughtUp waits until this daemon has applied the index that was committed when it
// joined, for at most catchUpTimeout.
func (d *Daemon) waitCaughtUp() {
	ctx, cancel := context.WithTimeout(d.background, catchUpTimeout)
	defer cancel()
	if err := d.node.WaitApplied(ctx, d.serveIndex); err != nil {
		event.CatchUpSlow.Emit(event.Err(err))
	}
}

// Run serves until ctx ends, then shuts down gracefully. It returns the
// storage error that stopped the daemon, if any.
func (d *Daemon) Run(ctx context.Context) error {
	event.DaemonStarted.Emit(event.F("member", d.identity.MemberID), event.F("zone", d.settings.Zone))
	go d.peerServer.Serve()
	go d.node.Run()
	jobs := &runner.Runner{
		Machine: d.machine, Holder: d.holder, Registry: d.registry, Client: d.client, Proposer: d.leader,
	}
	d.running.Go(func() { d.holder.Run(d.background) })
	d.running.Go(func() { jobs.Run(d.background) })
	d.running.Go(func() { d.entry.Run(d.background) })
	select {
	case <-ctx.Done():
		d.shutdown()
		return nil
	case err := <-d.fatal:
		d.Close()
		return err
	}
}

func (d *Daemon) stop() {
	d.cancelBackground()
	d.running.Wait()
	d.node.Stop()
	d.Close()
}

// Close closes the listeners, the connections to other daemons and the data folder.
func (d *Daemon) Close() {
	d.cancelBackground()
	for _, server := range d.servers {
		server.Close()
	}
	if d.peerServer != nil {
		d.peerServer.Close()
	}
	if d.peers != nil {
		d.peers.Close()
	}
	d.dialer.Close()
	d.budget.Close()
	if d.store != nil {
		d.store.Close()
	}
}
