package netfault

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
)

const sent = "0123456789abcdef"

// receiveThrough sends bytes through a proxy with one kind of fault and returns what
// arrives, and how the connection ended.
func receiveThrough(t *testing.T, kind Kind) (string, error) {
	t.Helper()
	is := is.New(t)
	l := loopback.Listen(t)
	defer func() { _ = l.Close() }()
	// The fault of the first connection is on the way to the target if the seed is odd.
	p := StartProxy(t, l.Addr().String(), Plan{Seed: 1, Kinds: []Kind{kind}, First: 10, Bytes: 1, For: time.Microsecond})
	in, err := net.Dial("tcp", p.Address)
	is.NoErr(err)
	defer func() { _ = in.Close() }()
	out, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = out.Close() }()
	_, err = in.Write([]byte(sent))
	is.NoErr(err)
	if kind == Stall {
		is.NoErr(out.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	} else if err := in.(*net.TCPConn).CloseWrite(); kind != Reset {
		is.NoErr(err) // with Reset, the proxy may have reset the connection before
	}
	got, err := io.ReadAll(out)
	is.Equal(len(p.Strikes()), 1)
	return string(got), err
}

// Guards against a proxy that does something else than the plan says, with which every
// other test would pass.
func TestFaultsAreAtTheirByte(t *testing.T) {
	is := is.New(t)
	for kind, want := range map[Kind]string{
		Cut: sent[:10], Stall: sent[:10], Trickle: sent, Delay: sent, Double: sent + sent[10:],
	} {
		got, err := receiveThrough(t, kind)
		is.Equal(got, want)
		is.Equal(err != nil, kind == Stall)
	}
	got, err := receiveThrough(t, Flip)
	is.NoErr(err)
	is.Equal(len(got), len(sent))
	is.True(got != sent && got[:10] == sent[:10] && got[11:] == sent[11:])
	got, err = receiveThrough(t, Reset)
	is.True(err != nil && bytes.HasPrefix([]byte(sent[:10]), []byte(got)))
}

// Guards against a seed that does not repeat a failure.
func TestSeedFixesTheFaults(t *testing.T) {
	is := is.New(t)
	plan := Plan{Seed: 7, Kinds: []Kind{Cut, Flip, Delay}, Bytes: 1000, For: time.Second}
	different := false
	for stream := range uint64(50) {
		is.Equal(plan.Fault(stream), plan.Fault(stream))
		different = different || plan.Fault(stream) != plan.Fault(stream+1)
	}
	is.True(different)
}
