package linktest

import (
	"fmt"
	"net"
	"sync"
	"testing"
)

// Ports come from below the range from which the system picks the local ports
// of outgoing connections (from 32768), so that no connection takes one between
// its choice and its use.
const (
	firstPort  = 10_000
	blockSize  = 200
	blockCount = 100
)

// block is the run of ports that this process hands out. Its first port is
// listened on until the process ends, so that test programs that run
// side by side never share a block.
var block struct {
	sync.Mutex
	claims []net.Listener
	next   int
	end    int
}

// claimBlock takes the first block that no other process holds.
func claimBlock() error {
	for n := range blockCount {
		first := firstPort + n*blockSize
		claim, err := net.Listen("tcp", loopback("127.0.0.1", first))
		if err != nil {
			continue
		}
		block.claims = append(block.claims, claim)
		block.next, block.end = first+1, first+blockSize
		return nil
	}
	return fmt.Errorf("all %d blocks of ports are taken", blockCount)
}

// FreePort returns a port that nothing listens on at any of the loopback
// addresses given, at 127.0.0.1 if none is. No port is returned twice.
func FreePort(t testing.TB, ips ...string) int {
	t.Helper()
	if len(ips) == 0 {
		ips = []string{"127.0.0.1"}
	}
	block.Lock()
	defer block.Unlock()
	for {
		if block.next == block.end {
			if err := claimBlock(); err != nil {
				t.Fatal(err)
			}
		}
		port := block.next
		block.next++
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
