// Package intake limits what the connections that a process accepts may use: one budget of memory
// and one of descriptors are shared by all its listeners.
package intake

import (
	"errors"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sapphirering/internal/policy/eviction"
)

const (
	// connBytes is charged for each open connection: the buffers and the goroutine of net/http and
	// the kernel's structures.
	connBytes = 16 << 10
	// evictShare is the part of a budget that is freed at once when it is exhausted, so that the
	// connections need not be sorted for each one that arrives.
	evictShare = 32
	// defaultMemoryShare leaves most of a process's memory to its state, to decoded requests and
	// to garbage: the Go runtime's limit is 0.6 of the memory.
	defaultMemoryShare = 0.25
	// runtimeShare is the part of a process's memory that the Go runtime's limit is set to.
	runtimeShare = 0.6
	// unlimitedMemory is the memory that a process without any limit is taken to have.
	unlimitedMemory = 1 << 30
	// unknownDescriptors is the usual limit of open files of a process.
	unknownDescriptors = 1024

	defaultMinRate        = 1 << 10
	defaultProgressWindow = 10 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	sweepInterval         = time.Second
	// shortTime is how long connections are closed after an answer once the descriptors were used
	// up: connections that always have a request running cannot be closed in any other way.
	shortTime = time.Second
)

var (
	// ErrNoRoom is returned when a request's memory cannot be granted. Nothing of the request ran.
	ErrNoRoom = errors.New("no memory is left for this request, try again later")
	// ErrClosed is returned for a connection that was closed to free its memory or descriptor, or
	// because it was too slow. Nothing of its request ran.
	ErrClosed = errors.New("connection was closed to make room")
)

// Settings are the limits of a process. Zero values stand for the defaults.
type Settings struct {
	// MemoryBytes is the memory of the process; MemoryShare is the part of it for connections.
	MemoryBytes int64
	MemoryShare float64
	// Descriptors is the number of files that the process may have open; 0 for what the system reports.
	Descriptors int
	// ReservedDescriptors are kept for the process's own files and connections, but at most four
	// fifths of all.
	ReservedDescriptors int
	// MinRate is the least number of bytes a second that a header or a body must bring on average
	// over each ProgressWindow.
	MinRate        int
	ProgressWindow time.Duration
	// WriteTimeout is how long 64 KiB of an answer may take.
	WriteTimeout time.Duration
}

func (s *Settings) setDefaults() {
	if s.MemoryBytes == 0 {
		s.MemoryBytes = unlimitedMemory
		if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
			s.MemoryBytes = int64(float64(limit) / runtimeShare)
		}
	}
	if s.MemoryShare == 0 {
		s.MemoryShare = defaultMemoryShare
	}
	if s.MinRate == 0 {
		s.MinRate = defaultMinRate
	}
	if s.ProgressWindow == 0 {
		s.ProgressWindow = defaultProgressWindow
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = defaultWriteTimeout
	}
}

// Budget is what the accepted connections of a process may use together.
type Budget struct {
	settings    Settings
	memory      int64
	connections int
	began       time.Time
	stop        chan struct{}
	stopOnce    sync.Once

	// shortUntil is until when connections are closed after their present answer.
	shortUntil atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	held  int64
}

// New returns the budget of this process and starts to check the progress of its connections.
func New(s Settings) *Budget {
	s.setDefaults()
	descriptors := s.Descriptors
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	b := &Budget{
		settings: s, memory: int64(float64(s.MemoryBytes) * s.MemoryShare),
		connections: max(1, descriptors-min(s.ReservedDescriptors, descriptors*4/5)),
		began:       time.Now(), stop: make(chan struct{}), conns: make(map[*Conn]struct{}),
	}
	go b.run()
	return b
}

// systemDescriptors returns the limit of open files that the system reports.
func systemDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Close ends the checks of progress.
func (b *Budget) Close() { b.stopOnce.Do(func() { close(b.stop) }) }

func (b *Budget) run() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.sweep()
		}
	}
}

// now is the time since the budget was created.
func (b *Budget) now() time.Duration { return time.Since(b.began) }

// admit counts a new connection. It returns false if there is neither room nor a connection that
// may be closed for it.
func (b *Budget) admit(c *Conn) bool {
	b.mu.Lock()
	if len(b.conns) >= b.connections {
		b.shortUntil.Store(int64(b.now() + shortTime))
		b.evict(reasonDescriptors, func(holders []eviction.Holder) []int {
			return eviction.ForDescriptors(holders, max(1, b.connections/evictShare))
		})
	}
	if len(b.conns) >= b.connections {
		b.mu.Unlock()
		refused(reasonDescriptors, c, b.connections)
		return false
	}
	ok := b.makeRoom(connBytes, connBytes)
	if ok {
		b.conns[c] = struct{}{}
		b.held += connBytes
		c.held = connBytes
	}
	b.mu.Unlock()
	if !ok {
		refused(reasonMemory, c, b.connections)
	}
	return ok
}

// charge grants memory to a connection. It closes other connections, or refuses this one.
func (b *Budget) charge(c *Conn, bytes int64) error {
	b.mu.Lock()
	if _, open := b.conns[c]; !open {
		b.mu.Unlock()
		return ErrClosed
	}
	ok := b.makeRoom(bytes, c.held+bytes)
	// The connection itself may hold most for longest.
	_, open := b.conns[c]
	if open && ok {
		b.held += bytes
		c.held += bytes
	}
	b.mu.Unlock()
	switch {
	case !open:
		return ErrClosed
	case !ok:
		refused(reasonMemory, c, b.connections)
		return ErrNoRoom
	}
	return nil
}

// makeRoom closes connections until bytes are free for one that will then hold asks. The caller
// holds b.mu.
func (b *Budget) makeRoom(bytes, asks int64) bool {
	if b.held+bytes <= b.memory {
		return true
	}
	if bytes > b.memory {
		return false
	}
	need := b.held + bytes - b.memory
	b.evict(reasonMemory, func(holders []eviction.Holder) []int {
		return eviction.ForMemory(holders, max(need, b.memory/evictShare), asks)
	})
	return b.held+bytes <= b.memory
}

// evict closes the connections that choose picks. The caller holds b.mu.
func (b *Budget) evict(why reason, choose func([]eviction.Holder) []int) {
	now := b.now()
	conns, stages := make([]*Conn, 0, len(b.conns)), make([]int32, 0, len(b.conns))
	holders := make([]eviction.Holder, 0, len(b.conns))
	for c := range b.conns {
		h, stage := c.holder(now)
		conns, stages, holders = append(conns, c), append(stages, stage), append(holders, h)
	}
	for _, i := range choose(holders) {
		// A request that was passed on meanwhile is no longer closed.
		if c := conns[i]; c.stage.CompareAndSwap(stages[i], stageClosed) {
			b.forget(c)
			c.end(stages[i])
			closed(why, c, holders[i])
		}
	}
}

// holderOf describes a connection.
func (b *Budget) holderOf(c *Conn) eviction.Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, _ := c.holder(b.now())
	return h
}

// release returns memory of a connection to the budget.
func (b *Budget) release(c *Conn, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open {
		b.held -= bytes
		c.held -= bytes
	}
}

// remove no longer counts a connection.
func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open {
		b.forget(c)
	}
}

func (b *Budget) forget(c *Conn) {
	delete(b.conns, c)
	b.held -= c.held
	c.held = 0
}

// sweep closes connections whose header or body arrives too slowly.
func (b *Budget) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	least := int64(float64(b.settings.MinRate) * b.settings.ProgressWindow.Seconds())
	for c := range b.conns {
		stage := c.stage.Load()
		began := c.stageBegan.Load()
		// After its answer a connection may still bring the rest of a body that nothing has read.
		if stage != stageHeader && stage != stageBody && stage != stageAnswering {
			continue
		}
		received := c.received.Load()
		if c.windowOf != began {
			c.windowOf, c.windowBegan, c.windowBytes = began, now, received
			continue
		}
		if now-c.windowBegan < b.settings.ProgressWindow {
			continue
		}
		if received-c.windowBytes >= least {
			c.windowBegan, c.windowBytes = now, received
			continue
		}
		h, _ := c.holder(now)
		if c.stage.CompareAndSwap(stage, stageClosed) {
			b.forget(c)
			c.reset()
			closed(reasonSlow, c, h)
		}
	}
	updateGauges(b.held, len(b.conns))
}
