package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/clock"
	"sapphirering/internal/config"
	"sapphirering/internal/driver"
	"sapphirering/internal/event"
	"sapphirering/internal/fsys"
	"sapphirering/internal/intake"
	"sapphirering/internal/replica"
	"sapphirering/internal/replica/store"
	"sapphirering/internal/stepapi"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/internal/workflow"
	"sapphirering/internal/workflow/workflowpb"
)

const (
	// coreTickInterval times electionTicks gives an election timeout of 0.5 to 1 s.
	coreTickInterval = 50 * time.Millisecond
	// coreSnapshotEntries is the number of applied entries between snapshots; it bounds the
	// log kept in memory and on disk.
	coreSnapshotEntries = 1500
	coreSnapshotTail    = 500
	// slowSaveThreshold is ten times the duration of a save on the slowest healthy disk in
	// use.
	slowSaveThreshold = 90 * time.Millisecond
)

// errRemoved reports that this daemon is no longer a member: it was removed while it was
// unreachable, because a spare core daemon replaced it.
var errRemoved = errors.New("the member was removed from the cluster while it was unreachable")

// RunCore runs a core daemon until ctx ends; it calls onStart with each Core that it starts. A
// member that was removed while it was unreachable deletes its log, which no longer counts for
// any quorum, and joins as a new member.
func RunCore(ctx context.Context, s *config.RoleSettings, newAdapter NewAdapter, onStart func(*Core)) error {
	settings := *s
	for {
		c, err := NewCore(ctx, &settings, newAdapter)
		if err != nil {
			return err
		}
		onStart(c)
		if err = c.Run(ctx); !errors.Is(err, errRemoved) {
			return err
		}
		event.RemovedMemberRejoins.Emit(event.F("member", c.identity.MemberID))
		if err := store.Erase(fsys.OS, settings.DataFolder); err != nil {
			return fmt.Errorf("delete the log of a removed member: %w", err)
		}
		settings.Seeds, settings.Bootstrap = c.gateway.knownAddresses(), false
	}
}

// Core is a daemon that stores the replicated log and, while it leads, runs the driver of the
// targets.
type Core struct {
	settings   *config.RoleSettings
	adapter    Adapter
	log        *store.AppendLog
	machine    *workflow.Machine
	applied    *replica.AppliedTimes
	node       *replica.Node
	identity   store.Identity
	dialer     *wire.Dialer
	peers      *wire.Peers
	peerServer *wire.Server
	budget     *intake.Budget
	gateway    *Gateway
	collector  *collector
	clock      *clock.Estimator
	refusals   refusals
	servers    []*http.Server

	// membersAtJoin is the member list in the leader's answer to the join. It gives the
	// addresses of the other members until the log delivers the list.
	membersAtJoin *wirepb.Membership

	// zones holds the availability zones that members have told this daemon, by member id: the
	// list of a new cluster holds none.
	zones sync.Map
	// controls holds the addresses for announcements of the daemons that call this one while it leads.
	controls   controlAddresses
	leader     atomic.Pointer[string]
	membership atomic.Pointer[wirepb.Membership]
	driver     atomic.Pointer[driver.Driver]
	fatal      chan error

	background context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup

	leadMu     sync.Mutex
	cancelLead context.CancelFunc
}

// NewCore opens the data folder, founds or joins the cluster, and opens the listeners.
func NewCore(ctx context.Context, s *config.RoleSettings, newAdapter NewAdapter) (*Core, error) {
	c := &Core{
		settings: s, adapter: newAdapter(s), machine: workflow.New(), applied: replica.NewAppliedTimes(time.Now), dialer: &wire.Dialer{},
		clock: clock.New(time.Now), fatal: make(chan error, 1),
		budget: newBudget(s.Intake, s.MemoryMB, s.Descriptors, max(reservedByCore, reservedFiles+TargetConnections(s))),
	}
	c.background, c.cancel = context.WithCancel(context.Background())
	c.gateway = newGateway(c.dialer, s.Listen.Peers, s.Seeds)
	event.PeersTrusted.Emit()
	loaded, err := c.openDataFolder(ctx)
	if err != nil {
		return nil, err
	}
	// Opened only after the log is ready: a daemon that calls this one before that is refused
	// at once and tries the next address.
	listener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, fmt.Errorf("listen.peers: %w", err)
	}
	if err := c.startReplica(loaded); err != nil {
		return nil, err
	}
	c.gateway.serveLocal = c.serveLocal
	c.gateway.memberID = func() string { return c.identity.MemberID }
	c.gateway.zone, c.gateway.control = s.Zone, s.Listen.Control
	c.collector = newCollector(c.gateway, func() bool { return c.driver.Load() != nil })
	c.gateway.onRemoved = func() {
		select {
		case c.fatal <- errRemoved:
		default:
		}
	}
	c.peerServer = &wire.Server{
		Listener: intake.NewListener(listener, "listen.peers", c.budget), Handler: c.serveStream, Established: intake.Establish,
	}
	return c, c.listen()
}

// listen opens the listeners for targets, operators and metrics.
func (c *Core) listen() error {
	for _, service := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"listen.control", c.settings.Listen.Control, c.adapter.Control(c.collector)},
		{"listen.metrics", c.settings.Listen.Metrics, metricsHandler()},
		{"listen.api", c.settings.Listen.API, stepapi.New(c.gateway, c.settings.Bounds.Evacuates())},
	} {
		server, err := serveRole(c.budget, service.field, service.address, service.handler)
		if err != nil {
			return err
		}
		if server != nil {
			c.servers = append(c.servers, server)
		}
	}
	return nil
}

// openDataFolder opens the log, sets this daemon's identity and returns what is stored. With
// an empty folder, the daemon founds the cluster or joins it under a new identity.
func (c *Core) openDataFolder(ctx context.Context) (store.Loaded, error) {
	if err := os.MkdirAll(c.settings.DataFolder, 0o700); err != nil {
		return store.Loaded{}, fmt.Errorf("data_folder: %w", err)
	}
	log, err := openLogWaitingForSpace(ctx, c.settings.DataFolder)
	if err != nil {
		return store.Loaded{}, err
	}
	c.log = log
	c.log.OnDiskFull = func(err error) { event.DiskFull.Emit(event.Err(err)) }
	c.log.OnNoDescriptors = func(err error) { event.NoDescriptors.Emit(event.F("step", "save received snapshot"), event.Err(err)) }
	id, found, err := log.Identity()
	if err != nil {
		return store.Loaded{}, err
	}
	switch {
	case found && !hasLog(log):
		// The process ended between its join and the first append. It may have
		// voted in between, so it continues from its hard state.
		if err := c.join(ctx, id.MemberID); err != nil {
			return store.Loaded{}, err
		}
	case found:
		c.identity = id
	case c.settings.Bootstrap && slices.Contains(c.settings.Seeds, c.settings.Listen.Peers):
		if err := c.foundCluster(); err != nil {
			return store.Loaded{}, err
		}
	default:
		member := c.settings.Name + "-" + randomHex(4)
		event.IdentityCreated.Emit(event.F("member", member))
		if err := c.join(ctx, member); err != nil {
			return store.Loaded{}, err
		}
	}
	return log.Load()
}

// openLogWaitingForSpace opens the log. While the disk is full, it tries again.
func openLogWaitingForSpace(ctx context.Context, folder string) (*store.AppendLog, error) {
	for reported := false; ; reported = true {
		log, err := store.OpenAppend(folder)
		if err == nil || !errors.Is(err, syscall.ENOSPC) || ctx.Err() != nil {
			return log, err
		}
		if !reported {
			event.DiskFull.Emit(event.Err(err))
		}
		clock.Sleep(ctx, joinRetryDelay)
	}
}

// hasLog reports whether the folder holds a snapshot or entries.
func hasLog(log *store.AppendLog) bool {
	loaded, err := log.Load()
	return err == nil && (loaded.Snapshot != nil || len(loaded.Entries) > 0)
}

// foundCluster writes the founding member list. Every seed writes the same list, whatever the
// order in which they start, so that they form one cluster. The identity is written last:
// after a crash before that, the daemon founds the cluster again, and it has not voted yet.
func (c *Core) foundCluster() error {
	seeds := slices.Sorted(slices.Values(c.settings.Seeds))
	membership := &wirepb.Membership{}
	for _, seed := range seeds {
		membership.Members = append(membership.Members, &wirepb.Member{
			Id: founderID(seed), Name: seed, Address: seed, Durable: true, Role: wirepb.Role_ROLE_VOTER,
		})
	}
	empty, err := workflow.New().Snapshot()
	if err != nil {
		return err
	}
	if err := replica.BootstrapWithMembers(c.log, membership, empty); err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(strings.Join(seeds, ",")))
	c.identity = store.Identity{ClusterID: hex.EncodeToString(sum[:8]), MemberID: founderID(c.settings.Listen.Peers)}
	event.ClusterFounded.Emit(event.F("cluster", c.identity.ClusterID), event.F("members", strings.Join(seeds, ",")))
	return c.log.SetIdentity(c.identity)
}

func founderID(address string) string { return "founder-" + address }

// join asks the leader to add this daemon as a learner. It tries again until ctx ends.
func (c *Core) join(ctx context.Context, id string) error {
	member := &wirepb.Member{
		Id: id, Name: c.settings.Listen.Peers, Address: c.settings.Listen.Peers,
		Zone: c.settings.Zone, Durable: true,
	}
	failures := 0
	for {
		address := c.gateway.nextAddress()
		tryCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		response, _, err := c.dialer.Call(tryCtx, address, &wirepb.Hello{FromMember: member.Id}, &wirepb.CallRequest{
			Body: &wirepb.CallRequest_Join{Join: &wirepb.JoinRequest{Member: member, WantsVote: true}},
		})
		cancel()
		if err == nil {
			c.identity = store.Identity{ClusterID: response.GetJoin().ClusterId, MemberID: member.Id}
			c.membersAtJoin = response.GetJoin().Membership
			return c.log.SetIdentity(c.identity)
		}
		var refused *wire.CallError
		if errors.As(err, &refused) {
			c.gateway.learnFromRefusal(refused)
		} else {
			c.gateway.forgetLeader(address)
		}
		if failures++; failures%10 == 1 {
			event.JoinFailed.Emit(event.F("peer", address), event.F("failures", failures), event.Err(err))
		}
		clock.Sleep(ctx, joinRetryDelay)
		if ctx.Err() != nil {
			return fmt.Errorf("join: %w", ctx.Err())
		}
	}
}

func (c *Core) startReplica(loaded store.Loaded) error {
	incarnation := uint64(time.Now().UnixNano())
	c.peers = wire.NewPeers(c.dialer, c.identity.ClusterID, c.identity.MemberID)
	if c.membersAtJoin != nil {
		coreSender{c}.SetMembership(c.membersAtJoin)
	}
	node, err := replica.NewNode(replica.NodeConfig{
		Core: replica.Config{
			ID: c.identity.MemberID, Incarnation: incarnation, Durable: true, LeaderLease: true,
			ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: newRand(int64(incarnation)),
		},
		Machine: replica.WithAppliedTimes(c.machine, c.applied), Storage: c.log, Sender: coreSender{c}, TickInterval: coreTickInterval,
		SlowSaveThreshold: slowSaveThreshold, SnapshotEntries: coreSnapshotEntries, SnapshotTail: coreSnapshotTail,
		OnLeaderChange: c.onLeaderChange, ConfirmedReads: true,
		OnSlowDisk:         func(saved time.Duration) { event.LeaderDiskSlow.Emit(event.F("save", saved.String())) },
		OnSnapshotNotSaved: func(err error) { event.SnapshotNotSaved.Emit(event.Err(err)) },
		OnFatal: func(err error) {
			event.StorageFailed.Emit(event.Err(err))
			c.fatal <- err
		},
	}, loaded)
	if err != nil {
		return err
	}
	c.node = node
	return nil
}

// coreSender sends replica messages and stores the member list.
type coreSender struct{ c *Core }

func (s coreSender) Send(messages []*wirepb.ReplicaMessage) { s.c.peers.Send(messages) }

func (s coreSender) SetMembership(m *wirepb.Membership) {
	event.MembershipApplied.Emit(event.F("members", len(m.GetMembers())))
	s.c.membership.Store(m)
	s.c.peers.SetMembership(m)
}

// onLeaderChange starts the driver when this daemon becomes the leader and stops it when the
// leadership ends.
func (c *Core) onLeaderChange(leader string, term uint64) {
	c.leader.Store(&leader)
	event.LeaderChanged.Emit(event.F("leader", leader), event.F("term", term))
	c.leadMu.Lock()
	defer c.leadMu.Unlock()
	if c.cancelLead != nil {
		c.cancelLead()
		c.cancelLead = nil
		c.driver.Store(nil)
	}
	if leader != c.identity.MemberID {
		return
	}
	ctx, cancel := context.WithCancel(c.background)
	c.cancelLead = cancel
	c.running.Go(func() { c.lead(ctx, term) })
	keeper := newVoterKeeper(c.node, true, c.zoneOf)
	c.running.Go(func() { keeper.run(ctx, coreVoterInterval) })
}

// lead runs the driver for one term of leadership. It first waits for the lease, which this
// daemon holds only once it has applied everything that earlier leaders committed.
func (c *Core) lead(ctx context.Context, term uint64) {
	for !c.node.HoldsLease() {
		if clock.Sleep(ctx, leasePollInterval); ctx.Err() != nil {
			return
		}
	}
	status, err := c.node.Status(ctx)
	if err != nil {
		return
	}
	d := driver.New(driver.Config{
		FormerEpoch: status.FormerTerm,
		Machine:     c.machine, Log: coreLog{c}, Targets: c.adapter.Targets(), VMs: c.adapter.VMs(), Advice: c.adapter.Advice(),
		Limits: driverLimits(c.settings.Bounds, TargetConnections(c.settings)), Learning: driverLearning(c.settings.Learning), Epoch: term, Holder: c.settings.Name, Now: time.Now, AppliedAt: c.applied.At, NowMS: c.clock.NowMS,
		RefuseLate: c.settings.Admission.RefuseLate, ShareShortage: c.settings.Pools.ShareShortage,
		Zones: c.namedZones(),
	})
	c.leadMu.Lock()
	if ctx.Err() == nil {
		d.Prepare(ctx)
		c.driver.Store(d)
	}
	c.leadMu.Unlock()
	d.Run(ctx)
}

// namedZones returns the function that lists the availability zones that the settings and the members
// name, or nil if the settings do not ask for evacuations.
func (c *Core) namedZones() func() []string {
	if !c.settings.Bounds.Evacuates() {
		return nil
	}
	return func() []string {
		zones := append(slices.Clone(c.settings.Zones), c.settings.Zone)
		for _, member := range c.membership.Load().GetMembers() {
			if zone := c.zoneOf(member); zone != "" {
				zones = append(zones, zone)
			}
		}
		return zones
	}
}

func driverLearning(l config.LearningSettings) driver.Learning {
	return driver.Learning{Keep: l.Keep, Quantiles: l.Quantiles, Placement: l.Placement}
}

// leasePollInterval is the interval at which a new leader checks whether it holds the lease.
const leasePollInterval = 2 * time.Millisecond

func driverLimits(b config.PlatformBounds, connections int) driver.Limits {
	return driver.Limits{
		TargetConnections: connections,
		LeaseTTL:          b.LeaseTTL.Duration, AnnounceInterval: b.AnnounceInterval.Duration,
		VMMove: b.VMMove.Duration, VMMaintenance: b.VMMaintenance.Duration,
	}
}

// coreLog commits the driver's commands.
type coreLog struct{ c *Core }

// Commit proposes through this daemon's own log.
func (l coreLog) Commit(ctx context.Context, command *workflowpb.Command) (*workflow.Outcome, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("marshal command: %w", err)
	}
	outcome, err := l.c.node.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return outcome.(*workflow.Outcome), nil
}

// HoldsLease reports whether this daemon holds the lease, so that no other leader can act now.
func (l coreLog) HoldsLease() bool { return l.c.node.HoldsLease() }

// serveLocal serves a request if this daemon leads; the second result reports whether it does.
func (c *Core) serveLocal(ctx context.Context, r *workflowpb.Request) (*workflowpb.Response, bool) {
	d := c.driver.Load()
	if d == nil {
		return nil, false
	}
	if r.Operation == workflowpb.Operation_OPERATION_MEMBERS {
		if r.Member != "" && r.MemberZone != "" {
			c.zones.Store(r.Member, r.MemberZone)
		}
		c.controls.note(r.Member, r.MemberControl, time.Now())
		return c.memberList(ctx, r.Member), true
	}
	response := d.Serve(ctx, r)
	response.AnnounceAddress = c.settings.Listen.Control
	if response.CollectRepeats && r.Operation == workflowpb.Operation_OPERATION_ANNOUNCE {
		response.AnnounceAddress = c.controls.addressFor(r.Target.GetId(), c.settings.Listen.Control, time.Now())
	}
	return response, true
}

// zoneOf returns the availability zone of a member, empty if it is not known.
func (c *Core) zoneOf(member *wirepb.Member) string {
	if member.Zone != "" {
		return member.Zone
	}
	if zone, ok := c.zones.Load(member.Id); ok {
		return zone.(string)
	}
	return ""
}

// memberList returns the members' addresses and whether the member memberID was removed. A
// removal is reported only once it is committed and cannot be undone, since the member then
// deletes its log.
func (c *Core) memberList(ctx context.Context, memberID string) *workflowpb.Response {
	response := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_OK}
	if !c.node.HoldsLease() {
		response.Answer, response.Reason = workflowpb.Answer_ANSWER_NOT_READY, driver.ErrNoLease.Error()
	}
	response.CoreAddresses = c.memberAddresses()
	if memberID != "" && response.Answer == workflowpb.Answer_ANSWER_OK && replica.WasRemoved(c.membership.Load(), memberID) {
		status, err := c.node.Status(ctx)
		response.Removed = err == nil && status.MembershipCommitted && replica.WasRemoved(status.Membership, memberID)
	}
	return response
}

// memberAddresses returns the addresses of the members that this daemon knows.
func (c *Core) memberAddresses() []string {
	var addresses []string
	for _, member := range c.membership.Load().GetMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// serveStream serves one stream from another daemon.
func (c *Core) serveStream(hello *wirepb.Hello, stream net.Conn) {
	switch hello.Kind {
	case wirepb.StreamKind_STREAM_KIND_REPLICA:
		if hello.ClusterId != c.identity.ClusterID {
			event.WrongCluster.Emit(event.F("peer", hello.FromMember), event.F("cluster", hello.ClusterId))
			return
		}
		if hello.ToMember != c.identity.MemberID || !c.admits(hello.FromMember) {
			c.refusals.report(hello.FromMember)
			return
		}
		wire.ServeReplica(stream, c.node.Deliver)
	case wirepb.StreamKind_STREAM_KIND_CALL:
		wire.ServeCall(stream, c.serveCall)
	}
}

// admits reports whether replica streams of a member are served; see Daemon.admits.
func (c *Core) admits(member string) bool {
	list := c.membership.Load()
	if replica.WasRemoved(list, member) {
		return false
	}
	return c.driver.Load() == nil || replica.FindMember(list, member) != nil
}

func (c *Core) serveCall(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallResponse {
	switch body := request.Body.(type) {
	case *wirepb.CallRequest_Workflow:
		if response, isLeader := c.serveLocal(ctx, body.Workflow); isLeader {
			return &wirepb.CallResponse{Body: &wirepb.CallResponse_Workflow{Workflow: response}}
		}
		return c.notLeaderResponse()
	case *wirepb.CallRequest_Join:
		if c.driver.Load() == nil {
			return c.notLeaderResponse()
		}
		return c.serveJoin(ctx, body.Join)
	}
	return errorResponse(wirepb.ErrorCode_ERROR_CODE_INVALID, errors.New("call has no known body"))
}

func (c *Core) notLeaderResponse() *wirepb.CallResponse {
	response := errorResponse(wirepb.ErrorCode_ERROR_CODE_NOT_LEADER, replica.ErrNotLeader)
	response.MemberAddresses = c.memberAddresses()
	if id := c.leader.Load(); id != nil && *id != c.identity.MemberID {
		response.LeaderAddress = replica.FindMember(c.membership.Load(), *id).GetAddress()
	}
	return response
}

func (c *Core) serveJoin(ctx context.Context, join *wirepb.JoinRequest) *wirepb.CallResponse {
	if join.GetMember().GetId() == "" || join.Member.Address == "" {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_INVALID, errors.New("join: member id and address are required"))
	}
	membership, err := addLearner(ctx, c.node, join.Member, join.WantsVote)
	if err != nil {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE, err)
	}
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Join{Join: &wirepb.JoinResponse{
		ClusterId: c.identity.ClusterID, Membership: membership,
	}}}
}

// Requester returns the gateway, which sends requests to the leader as the daemon's own
// listeners do.
func (c *Core) Requester() Requester { return c.gateway }

// Reload takes over the seeds of changed settings.
func (c *Core) Reload(s *config.RoleSettings) { c.gateway.SetSeeds(s.Seeds) }

// Run serves until ctx ends, then hands over the leadership.
func (c *Core) Run(ctx context.Context) error {
	event.RoleStarted.Emit(event.F("role", c.settings.Role), event.F("member", c.identity.MemberID), event.F("zone", c.settings.Zone))
	go c.peerServer.Serve()
	go c.node.Run()
	go c.gateway.watch(c.background)
	go c.collector.run(c.background)
	var err error
	select {
	case <-ctx.Done():
		event.DaemonStopping.Emit()
		c.handOver()
	case err = <-c.fatal:
	}
	c.cancel()
	c.running.Wait()
	c.log.Interrupt()
	if err == nil || errors.Is(err, errRemoved) {
		c.node.Stop()
	}
	for _, server := range c.servers {
		server.Close()
	}
	c.peerServer.Close()
	c.peers.Close()
	c.dialer.Close()
	c.budget.Close()
	event.DaemonStopped.Emit()
	return errors.Join(err, c.log.Close())
}

// handOver transfers the leadership to another voter at once, then leaves time to answer the
// requests in flight.
func (c *Core) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for c.driver.Load() != nil && ctx.Err() == nil {
		if started, err := c.node.TransferLeadership(ctx); err != nil || !started {
			break
		}
		clock.Sleep(ctx, retryDelay)
	}
	for _, server := range c.servers {
		server.SetKeepAlivesEnabled(false)
	}
	clock.Sleep(ctx, answerFlushTime)
}
