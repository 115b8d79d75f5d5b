package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"sapphirering/internal/wire/wirepb"
)

const (
	peerQueue     = 4096
	snapshotQueue = 1
	redialDelay   = 100 * time.Millisecond
	// replicaDeadline bounds the write of one message, snapshotDeadline that of a snapshot.
	replicaDeadline  = 3 * time.Second
	snapshotDeadline = 30 * time.Second
)

// Peers sends replica messages. Each member has a stream for snapshots and one
// for all else, each with its own goroutine, so that neither a slow member nor
// a large snapshot delays heartbeats.
type Peers struct {
	dialer    *Dialer
	clusterID string
	self      string

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	id        string
	address   string
	queue     chan *wirepb.ReplicaMessage
	snapshots chan *wirepb.ReplicaMessage
	cancel    context.CancelFunc
}

// queueFor returns the queue that carries the message.
func (p *peer) queueFor(m *wirepb.ReplicaMessage) chan *wirepb.ReplicaMessage {
	if m.Type == wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT {
		return p.snapshots
	}
	return p.queue
}

// NewPeers makes a sender for the member self.
func NewPeers(dialer *Dialer, clusterID, self string) *Peers {
	return &Peers{dialer: dialer, clusterID: clusterID, self: self, peers: make(map[string]*peer)}
}

// Send queues messages; a full queue drops them and the agreement resends.
func (p *Peers) Send(messages []*wirepb.ReplicaMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range messages {
		peer := p.peers[m.To]
		if peer == nil {
			continue
		}
		select {
		case peer.queueFor(m) <- m:
		default:
		}
	}
}

// SetMembership starts and ends senders so that there is one per other member.
func (p *Peers) SetMembership(m *wirepb.Membership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[string]string)
	for _, member := range m.GetMembers() {
		if member.Id != p.self {
			wanted[member.Id] = member.Address
		}
	}
	for id, peer := range p.peers {
		if wanted[id] != peer.address {
			peer.cancel()
			delete(p.peers, id)
		}
	}
	for id, address := range wanted {
		if p.peers[id] == nil {
			p.start(id, address)
		}
	}
}

func (p *Peers) start(id, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	peer := &peer{
		id: id, address: address, cancel: cancel,
		queue:     make(chan *wirepb.ReplicaMessage, peerQueue),
		snapshots: make(chan *wirepb.ReplicaMessage, snapshotQueue),
	}
	p.peers[id] = peer
	go p.run(ctx, peer, peer.queue, replicaDeadline)
	go p.run(ctx, peer, peer.snapshots, snapshotDeadline)
}

// run sends a queue; after a failure it drops what is queued and dials again.
func (p *Peers) run(ctx context.Context, peer *peer, queue chan *wirepb.ReplicaMessage, deadline time.Duration) {
	var stream net.Conn
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if stream == nil {
				stream = p.open(ctx, peer, queue)
			}
			if stream == nil {
				continue
			}
			if err := send(stream, m, deadline); err != nil {
				stream.Close()
				stream = nil
			}
		}
	}
}

func send(stream net.Conn, m *wirepb.ReplicaMessage, deadline time.Duration) error {
	if err := stream.SetWriteDeadline(time.Now().Add(deadline)); err != nil {
		return err
	}
	return WriteFrame(stream, m)
}

// open dials; after a failure it waits and drops what was queued meanwhile.
func (p *Peers) open(ctx context.Context, peer *peer, queue chan *wirepb.ReplicaMessage) net.Conn {
	stream, err := p.dialer.Open(ctx, peer.address, &wirepb.Hello{
		ClusterId: p.clusterID, FromMember: p.self, ToMember: peer.id, Kind: wirepb.StreamKind_STREAM_KIND_REPLICA,
	})
	if err == nil {
		go closeWithPeer(stream)
		return stream
	}
	select {
	case <-time.After(redialDelay):
	case <-ctx.Done():
	}
	for range len(queue) {
		<-queue
	}
	return nil
}

// closeWithPeer closes a stream that the receiver closed. It sends nothing, so
// that a read ends only then; writes would go on unseen until the window is full.
func closeWithPeer(stream net.Conn) {
	var b [1]byte
	stream.Read(b[:])
	stream.Close()
}

// Close ends every sender.
func (p *Peers) Close() { p.SetMembership(nil) }

// ServeReplica delivers every message of a replica stream.
func ServeReplica(stream net.Conn, deliver func(*wirepb.ReplicaMessage)) {
	for {
		m := new(wirepb.ReplicaMessage)
		if err := ReadFrame(stream, m, MaxFrameBytes); err != nil {
			noteFrameError("replica message", stream, err)
			return
		}
		deliver(m)
	}
}
