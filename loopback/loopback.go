// Package loopback gives tests loopback addresses on which every port is free. A port
// that the system chose and a test released may go to any other process, or to an
// outgoing connection, before the test listens on it again.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
)

// Blocks of addresses are 127.64.0.0/24 to 127.127.255.0/24, which no deployment of
// ours uses.
const (
	firstNet   = 64
	blocks     = 64 << 8
	perBlock   = 250
	guardPort  = 7000
	guardIndex = 254
)

// An allocator owns the blocks whose guard addresses it listens on.
type allocator struct {
	mu     sync.Mutex
	guards []net.Listener // one a block, open until the process ends
	block  int
	used   int // addresses given out of block
}

var process allocator

// Host returns a loopback address that no other caller of Host gets, in this process or
// another, while this process runs. The test fails if no block of addresses is left.
func Host(t testing.TB) string {
	t.Helper()
	host, err := process.host()
	if err != nil {
		t.Fatal(err)
	}
	return host
}

// Listen listens on a free port of an address that Host returns.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(Host(t), "0"))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (a *allocator) host() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.guards) == 0 || a.used == perBlock {
		if err := a.claim(); err != nil {
			return "", err
		}
	}
	a.used++
	return address(a.block, a.used), nil
}

// claim takes the first block from the process id on that no process has.
func (a *allocator) claim() error {
	for i := range blocks {
		block := (os.Getpid() + i) % blocks
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(block, guardIndex), guardPort))
		if err != nil {
			continue
		}
		a.guards, a.block, a.used = append(a.guards, l), block, 0
		return nil
	}
	return eris.New("loopback: every block of addresses is in use")
}

func address(block, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNet+block>>8, block&255, index)
}
