package linktest

import (
	"fmt"
	"net"
	"sync"
	"testing"
)

// The ports lie below the range from which the system picks the local ports of
// outgoing connections (from 32768), so that no connection takes a port between
// its choice and its use.
const (
	firstPort  = 10_000
	blockSize  = 200
	blockCount = 100
)

// portBlock is the range of ports that this process hands out. The process listens
// on the first port of its block until it ends, so that test programs that run at
// the same time never share a block.
var portBlock struct {
	sync.Mutex
	listeners []net.Listener
	next      int
	end       int
}

// claimBlock takes the first block that no other process holds.
func claimBlock() error {
	for n := range blockCount {
		first := firstPort + n*blockSize
		listener, err := net.Listen("tcp", loopback("127.0.0.1", first))
		if err != nil {
			continue
		}
		portBlock.listeners = append(portBlock.listeners, listener)
		portBlock.next, portBlock.end = first+1, first+blockSize
		return nil
	}
	return fmt.Errorf("all %d blocks of ports are in use", blockCount)
}

// FreePort returns a port that is free on all given loopback addresses, or on
// 127.0.0.1 if none is given. No port is returned twice.
func FreePort(t testing.TB, ips ...string) int {
	t.Helper()
	if len(ips) == 0 {
		ips = []string{"127.0.0.1"}
	}
	portBlock.Lock()
	defer portBlock.Unlock()
	for {
		if portBlock.next == portBlock.end {
			if err := claimBlock(); err != nil {
				t.Fatal(err)
			}
		}
		port := portBlock.next
		portBlock.next++
		if isFree(port, ips) {
			return port
		}
	}
}

// FreeAddress returns an address on 127.0.0.1 with a free port.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return loopback("127.0.0.1", FreePort(t))
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp", loopback(ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func loopback(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
