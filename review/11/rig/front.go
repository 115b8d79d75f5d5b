package main

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// front is a proxy before one executor. It can hold calls that start a work unit on their way.
type front struct {
	record *record
	inner  string

	mu sync.Mutex
	// holds is the number of starts that are still to be held.
	holds int
	held  [][]byte
}

func newFront(r *record, addr string) (*front, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	p := &front{record: r, inner: net.JoinHostPort(host, strconv.Itoa(freePort(host)))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// hold keeps the next n starts.
func (p *front) hold(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds = n
}

func (p *front) heldCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

func (p *front) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.inner)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(in, out)
		in.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if err != nil {
			return
		}
		if p.takes(buffer[:n]) {
			// The caller sees a channel without an answer.
			_, _ = io.Copy(io.Discard, in)
			return
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// takes reports whether the bytes are a call that is held.
func (p *front) takes(data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds == 0 || !bytes.HasPrefix(data, []byte("POST /run-start ")) {
		return false
	}
	p.holds--
	p.held = append(p.held, bytes.Clone(data))
	p.record.add("proxy      holds a start on its way to %s", p.inner)
	return true
}

// deliver passes the held calls on as soon as the executor listens.
func (p *front) deliver(within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(time.Millisecond) {
		out, err := net.Dial("tcp", p.inner)
		if err != nil {
			continue
		}
		defer out.Close()
		p.mu.Lock()
		held := p.held
		p.held = nil
		p.mu.Unlock()
		for _, data := range held {
			if _, err := out.Write(data); err != nil {
				return false
			}
		}
		p.record.add("proxy      passes the start on to %s", p.inner)
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = out.Read(make([]byte, 4096))
		return true
	}
	return false
}
