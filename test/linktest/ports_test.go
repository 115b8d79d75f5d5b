package linktest

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestFreePort draws more ports than a block holds: a port that the system
// chooses and that is closed again can come back at the next draw, and two
// listeners of one test then want the same address.
func TestFreePort(t *testing.T) {
	is := is.New(t)
	seen := make(map[int]bool)
	for range 3 * blockSize {
		port := FreePort(t, "127.0.0.1", "127.0.0.2")
		is.True(!seen[port])       // each port is given once
		is.True(port < 32768)      // below the ports of outgoing connections
		is.True(port >= firstPort) // above those of the system
		seen[port] = true
	}
}

// TestFreePortTaken has the next port taken at one of two addresses.
func TestFreePortTaken(t *testing.T) {
	is := is.New(t)
	port := FreePort(t)
	taken, err := net.Listen("tcp", loopback("127.0.0.2", port+1))
	is.NoErr(err)
	defer taken.Close()
	is.True(FreePort(t, "127.0.0.1", "127.0.0.2") != port+1)
}
