// Package netfault gives tests TCP connections with faults at chosen bytes: a proxy between
// two processes, and a server that answers HTTP requests. A seed fixes which connection or
// answer has which fault at which byte, so that a failure is repeated by its seed.
package netfault

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Kind is what happens at a byte.
type Kind string

// Kinds of faults.
const (
	None    Kind = "none"
	Cut     Kind = "cut"     // both connections are closed
	Reset   Kind = "reset"   // both connections are reset
	Stall   Kind = "stall"   // nothing passes any more, and the connection stays open
	Trickle Kind = "trickle" // bytes pass one at a time from here on
	Flip    Kind = "flip"    // one bit is another
	Double  Kind = "double"  // what is sent next is sent twice
	Delay   Kind = "delay"   // a pause
)

// Fault is a fault at one byte of a direction of a connection, or of an answer.
type Fault struct {
	Kind Kind
	At   int64
	Bit  uint8         // of a Flip
	For  time.Duration // of a Delay, and the time between two bytes of a Trickle
}

func (f Fault) String() string { return fmt.Sprintf("%s at byte %d", f.Kind, f.At) }

// Plan draws faults.
type Plan struct {
	Seed  uint64
	Kinds []Kind
	// First and Bytes bound the byte of a fault: [First, First+Bytes).
	First, Bytes int64
	// For is the longest Delay, and the time between two bytes of a Trickle.
	For time.Duration
	// Answers limits the faults of a proxy to the direction towards the client.
	Answers bool
}

// Fault returns the fault of the stream with a number. It depends on nothing else.
func (p Plan) Fault(stream uint64) Fault {
	rng := rand.New(rand.NewPCG(p.Seed, stream))
	f := Fault{Kind: p.Kinds[rng.IntN(len(p.Kinds))], At: p.First + rng.Int64N(p.Bytes), Bit: uint8(rng.UintN(8)), For: p.For}
	if f.Kind == Delay && p.For > 0 {
		f.For = time.Duration(rng.Int64N(int64(p.For)))
	}
	return f
}

// writer passes bytes on to conn with one fault.
type writer struct {
	conn  net.Conn
	fault Fault
	at    int64 // number of bytes that were written
	done  <-chan struct{}
	// end ends the connections of this stream; reset tells how.
	end func(reset bool)
	// struck is called when the fault occurs.
	struck func(Fault)
}

// write passes b on. It returns false after the end of the stream.
func (w *writer) write(b []byte) bool {
	k := w.fault.At - w.at
	w.at += int64(len(b))
	if w.fault.Kind == None || k < 0 || k >= int64(len(b)) {
		if k < 0 && w.fault.Kind == Trickle {
			return w.trickle(b)
		}
		return w.send(b)
	}
	w.struck(w.fault)
	if w.fault.Kind == Flip {
		b = append([]byte(nil), b...)
		b[k] ^= 1 << w.fault.Bit
		return w.send(b)
	}
	return w.send(b[:k]) && w.strike(b[k:])
}

// strike passes on the bytes from the fault on.
func (w *writer) strike(b []byte) bool {
	switch w.fault.Kind {
	case Cut, Reset:
		w.end(w.fault.Kind == Reset)
		return false
	case Stall:
		<-w.done
		return false
	case Trickle:
		return w.trickle(b)
	case Double:
		return w.send(slices.Concat(b, b))
	case Delay:
		return w.wait(w.fault.For) && w.send(b)
	}
	return w.send(b)
}

func (w *writer) trickle(b []byte) bool {
	for i := range b {
		if !w.send(b[i:i+1]) || !w.wait(w.fault.For) {
			return false
		}
	}
	return true
}

func (w *writer) send(b []byte) bool {
	_, err := w.conn.Write(b)
	return err == nil
}

func (w *writer) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.done:
		return false
	}
}

func closeConn(c net.Conn, reset bool) {
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Seeds returns the seeds in text, a list of numbers and ranges such as "1-8,40", or those
// of the environment variable MERLINHALL_NET_SEEDS.
func Seeds(t testing.TB, text string) []uint64 {
	t.Helper()
	return SeedList(t, "MERLINHALL_NET_SEEDS", text)
}

// SeedList returns the seeds in an environment variable, or those in text if it is not set.
func SeedList(t testing.TB, variable, text string) []uint64 {
	t.Helper()
	if set := os.Getenv(variable); set != "" {
		text = set
	}
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, found := strings.Cut(part, "-")
		if !found {
			last = first
		}
		a, errA := strconv.ParseUint(first, 10, 64)
		b, errB := strconv.ParseUint(last, 10, 64)
		if errA != nil || errB != nil {
			t.Fatalf("%s %q is not a list of seeds and ranges", variable, text)
		}
		for ; a <= b; a++ {
			seeds = append(seeds, a)
		}
	}
	return seeds
}
