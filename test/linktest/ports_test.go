package linktest

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestFreePort takes more ports than a block holds and expects no duplicate. Two
// listeners of one test would get the same address if a port were returned twice, as
// can happen when the system picks a port and it is closed before use.
func TestFreePort(t *testing.T) {
	is := is.New(t)
	seen := make(map[int]bool)
	for range 3 * blockSize {
		port := FreePort(t, "127.0.0.1", "127.0.0.2")
		is.True(!seen[port])       // each port is returned once
		is.True(port < 32768)      // below the ports of outgoing connections
		is.True(port >= firstPort) // above the system's ports
		seen[port] = true
	}
}

// TestFreePortTaken expects FreePort to skip a port that is in use on one of two addresses.
func TestFreePortTaken(t *testing.T) {
	is := is.New(t)
	port := FreePort(t)
	taken, err := net.Listen("tcp", loopback("127.0.0.2", port+1))
	is.NoErr(err)
	defer taken.Close()
	is.True(FreePort(t, "127.0.0.1", "127.0.0.2") != port+1)
}
