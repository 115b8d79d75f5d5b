package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sapphirering/internal/operator"
	"sapphirering/internal/target"
)

const (
	workersPerRack       = 4
	acceleratorCycle     = 3 // Workers have 0, 1 and 2 accelerators in turn.
	registerPollInterval = 50 * time.Millisecond
)

// fleet simulates workers that announce themselves, each over its own connections.
type fleet struct {
	cluster  *cluster
	interval time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	targets  int
	sent     atomic.Int64
	received atomic.Int64
	failed   atomic.Int64
}

func newFleet(c *cluster, interval time.Duration) *fleet {
	if interval == 0 {
		interval = target.AnnounceInterval
	}
	f := &fleet{cluster: c, interval: interval}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

func (f *fleet) stop() {
	f.cancel()
	f.running.Wait()
}

// grow starts workers and waits until all of them are registered in the state.
func (f *fleet) grow(to, pools int) error {
	for ; f.targets < to; f.targets++ {
		worker := f.newWorker(f.targets, pools)
		f.running.Go(worker.run)
	}
	return f.cluster.waitUntil("all workers are registered", func() error {
		var vms []operator.VMView
		if err := f.cluster.call(http.MethodGet, "/v1/vms", nil, &vms); err != nil {
			return err
		}
		if len(vms) != to {
			time.Sleep(registerPollInterval)
			return fmt.Errorf("%d of %d workers", len(vms), to)
		}
		return nil
	})
}

// worker announces itself to every entry VM of its zone.
type worker struct {
	fleet        *fleet
	announcement target.Announcement
	entries      []string
	client       *http.Client
}

func (f *fleet) newWorker(i, pools int) *worker {
	zones := make(map[string][]string)
	var order []string
	for _, d := range f.cluster.daemons {
		if zones[d.zone] == nil {
			order = append(order, d.zone)
		}
		zones[d.zone] = append(zones[d.zone], "http://"+d.targets+"/v1/announcements")
	}
	zone := order[i%len(order)]
	transport := &http.Transport{DialContext: f.dial}
	return &worker{
		fleet: f, entries: zones[zone], client: &http.Client{Transport: transport, Timeout: 2 * time.Second},
		announcement: target.Announcement{
			VM: fmt.Sprintf("worker-%d", i), Incarnation: fmt.Sprintf("i%d", time.Now().UnixNano()), Pool: poolName(i % pools),
			Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/len(order)/workersPerRack), Region: "r1",
			Address: fmt.Sprintf("http://127.0.0.1:%d", 1024+i), Slots: 8, Millicores: 16_000, MemoryMB: 64 << 10,
			Accelerators: uint32(i % acceleratorCycle),
		},
	}
}

func (w *worker) run() {
	defer w.client.CloseIdleConnections()
	// The first announcements are spread over one interval, as with independent workers.
	timer := time.NewTimer(rand.N(w.fleet.interval))
	defer timer.Stop()
	for {
		select {
		case <-w.fleet.ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(w.fleet.interval)
		w.announcement.Sequence++
		for _, entry := range w.entries {
			w.announce(entry)
		}
	}
}

func (w *worker) announce(entry string) {
	data, err := json.Marshal(w.announcement)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(w.fleet.ctx, http.MethodPost, entry, bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := w.client.Do(request)
	if err != nil {
		w.fleet.failed.Add(1)
		return
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		w.fleet.failed.Add(1)
	}
}

// dial returns a connection that counts its bytes in the fleet's totals.
func (f *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, fleet: f}, nil
}

type countedConn struct {
	net.Conn
	fleet *fleet
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.fleet.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.fleet.sent.Add(int64(n))
	return n, err
}
