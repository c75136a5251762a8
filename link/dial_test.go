package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// unresponsiveAddress returns an address at which SYN packets get no answer, as on a
// host that is powered off: the accept queue of its listener is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the accept queue is not full")
	return ""
}

// Guards against a dial to a powered-off host that waits until the kernel retransmits
// the SYN, although the host may be back earlier.
func TestDialToUnresponsiveHostTimesOut(t *testing.T) {
	is := is.New(t)
	address := unresponsiveAddress(t)
	began := time.Now()
	_, err := Dial(t.Context(), NewHTTPClient(nil), "ws", address, wire.Hello{Process: "c"}, newRecorder())
	is.True(err != nil)
	is.True(time.Since(began) < time.Second)
}
