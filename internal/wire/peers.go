package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"sapphirering/internal/wire/wirepb"
)

const (
	peerQueue       = 4096
	redialDelay     = 100 * time.Millisecond
	replicaDeadline = 3 * time.Second
)

// Peers sends replica messages, one stream and one goroutine per member.
type Peers struct {
	dialer    *Dialer
	clusterID string
	self      string

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	address string
	queue   chan *wirepb.ReplicaMessage
	cancel  context.CancelFunc
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
		case peer.queue <- m:
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
	peer := &peer{address: address, queue: make(chan *wirepb.ReplicaMessage, peerQueue), cancel: cancel}
	p.peers[id] = peer
	go p.run(ctx, id, peer)
}

// run sends the queue; after a failure it drops what is queued and dials again.
func (p *Peers) run(ctx context.Context, id string, peer *peer) {
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
		case m := <-peer.queue:
			if stream == nil {
				stream = p.open(ctx, id, peer)
			}
			if stream == nil {
				continue
			}
			stream.SetWriteDeadline(time.Now().Add(replicaDeadline))
			if WriteFrame(stream, m) != nil {
				stream.Close()
				stream = nil
			}
		}
	}
}

func (p *Peers) open(ctx context.Context, id string, peer *peer) net.Conn {
	stream, err := p.dialer.Open(ctx, peer.address, &wirepb.Hello{
		ClusterId: p.clusterID, FromMember: p.self, ToMember: id, Kind: wirepb.StreamKind_STREAM_KIND_REPLICA,
	})
	if err == nil {
		return stream
	}
	time.Sleep(redialDelay)
	for range len(peer.queue) {
		<-peer.queue
	}
	return nil
}

// Close ends every sender.
func (p *Peers) Close() { p.SetMembership(nil) }

// ServeReplica delivers every message of a replica stream.
func ServeReplica(stream net.Conn, deliver func(*wirepb.ReplicaMessage)) {
	for {
		m := new(wirepb.ReplicaMessage)
		if ReadFrame(stream, m, MaxFrameBytes) != nil {
			return
		}
		deliver(m)
	}
}
