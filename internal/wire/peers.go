package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"sapphirering/internal/wire/wirepb"
)

const (
	messageQueueSize  = 4096
	snapshotQueueSize = 1
	redialDelay       = 100 * time.Millisecond
	// messageWriteTimeout bounds the write of one message, snapshotWriteTimeout that of a snapshot.
	messageWriteTimeout  = 3 * time.Second
	snapshotWriteTimeout = 30 * time.Second
)

// Peers sends Raft messages to the other members. Each member has a stream for
// snapshots and one for all other messages, each with its own goroutine, so
// that neither a slow member nor a large snapshot delays heartbeats.
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

// NewPeers returns Peers that send for the member self.
func NewPeers(dialer *Dialer, clusterID, self string) *Peers {
	return &Peers{dialer: dialer, clusterID: clusterID, self: self, peers: make(map[string]*peer)}
}

// Send queues messages. It drops those whose queue is full: Raft sends them again.
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

// SetMembership starts and stops senders, so that each other member has one.
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
			p.startPeer(id, address)
		}
	}
}

func (p *Peers) startPeer(id, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	peer := &peer{
		id: id, address: address, cancel: cancel,
		queue:     make(chan *wirepb.ReplicaMessage, messageQueueSize),
		snapshots: make(chan *wirepb.ReplicaMessage, snapshotQueueSize),
	}
	p.peers[id] = peer
	go p.sendQueue(ctx, peer, peer.queue, messageWriteTimeout)
	go p.sendQueue(ctx, peer, peer.snapshots, snapshotWriteTimeout)
}

// sendQueue sends the messages of a queue. After a failed write it opens a new
// stream for the next message.
func (p *Peers) sendQueue(ctx context.Context, peer *peer, queue chan *wirepb.ReplicaMessage, writeTimeout time.Duration) {
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
				stream = p.openStream(ctx, peer, queue)
			}
			if stream == nil {
				continue
			}
			if err := writeMessage(stream, m, writeTimeout); err != nil {
				stream.Close()
				stream = nil
			}
		}
	}
}

func writeMessage(stream net.Conn, m *wirepb.ReplicaMessage, writeTimeout time.Duration) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return WriteFrame(stream, m)
}

// openStream opens a stream to the peer. After a failure it waits for
// redialDelay and drops the messages that are queued by then.
func (p *Peers) openStream(ctx context.Context, peer *peer, queue chan *wirepb.ReplicaMessage) net.Conn {
	stream, err := p.dialer.Open(ctx, peer.address, &wirepb.Hello{
		ClusterId: p.clusterID, FromMember: p.self, ToMember: peer.id, Kind: wirepb.StreamKind_STREAM_KIND_REPLICA,
	})
	if err == nil {
		go closeWhenPeerCloses(stream)
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

// closeWhenPeerCloses closes the stream when the receiver has closed it. The
// receiver sends nothing, so the read returns only then. Without it, writes
// would succeed unnoticed until the stream's send window is full.
func closeWhenPeerCloses(stream net.Conn) {
	var b [1]byte
	stream.Read(b[:])
	stream.Close()
}

// Close stops every sender.
func (p *Peers) Close() { p.SetMembership(nil) }

// ServeReplica delivers every Raft message of a replica stream until the stream ends.
func ServeReplica(stream net.Conn, deliver func(*wirepb.ReplicaMessage)) {
	for {
		m := new(wirepb.ReplicaMessage)
		if err := ReadFrame(stream, m, MaxFrameBytes); err != nil {
			reportProtocolError("replica message", stream, err)
			return
		}
		deliver(m)
	}
}
