package memory

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// zeros is a reader without end.
type zeros struct{ read int64 }

func (z *zeros) Read(p []byte) (int, error) {
	z.read += int64(len(p))
	return len(p), nil
}

func TestBodiesAreReadWhole(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	b := NewBudget(8 << 20)
	for range 100 {
		l := b.Lease()
		body := make([]byte, random.IntN(3*smallBytes))
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		length := []int64{-1, int64(len(body)), 0, 1 << 40}[random.IntN(4)] // also lengths that are not true
		got, err := l.ReadAll(iotest.HalfReader(bytes.NewReader(body)), length)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
		is.True(b.Used() <= max(0, growth*int64(len(body))))
		l.Close()
		l.Close()
		is.Equal(b.Used(), int64(0))
	}
}

// A process must not hold more than the budget, however many bodies arrive at once, and what
// a failed one took must be free for the next.
func TestBodiesBeyondTheBudgetFail(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 << 20)
	first, second := b.Lease(), b.Lease()
	_, err := first.ReadAll(io.LimitReader(&zeros{}, 3<<20), 3<<20)
	is.NoErr(err)
	held := b.Used()
	var without zeros
	_, err = second.ReadAll(&without, -1)
	is.True(errors.Is(err, ErrExhausted))
	is.True(without.read <= 2<<20) // ends as soon as the budget is used up
	is.Equal(b.Used(), held)
	_, err = second.ReadAll(strings.NewReader(strings.Repeat("a", smallBytes-1)), -1)
	is.NoErr(err) // a small body passes while large ones use the budget
	first.Close()
	_, err = second.ReadAll(io.LimitReader(&zeros{}, 3<<20), 3<<20)
	is.NoErr(err)
	second.Close()
	is.Equal(b.Used(), int64(0))
	_, err = second.ReadAll(io.LimitReader(&zeros{}, 3<<20), 3<<20)
	is.True(err != nil) // an attempt that ends after its request holds nothing
	is.Equal(b.Used(), int64(0))
}

// A body that breaks off gives back what it held.
func TestBrokenBodyHoldsNothing(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 << 20)
	l := b.Lease()
	broken := io.MultiReader(io.LimitReader(&zeros{}, 1<<20), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := l.ReadAll(broken, 2<<20)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(b.Used(), int64(0))
}

// The buffer of a stream holds no more than the event that is being received.
func TestBufferOfAStream(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	l := b.Lease()
	buffer := l.Buffer()
	chunk := make([]byte, 4<<10)
	for range 64 {
		is.NoErr(buffer.Append(chunk))
	}
	is.True(b.Used() > 0)
	buffer.Consume(len(buffer.Bytes))
	is.Equal(b.Used(), int64(0))
	is.NoErr(buffer.Append([]byte("abc")))
	buffer.Consume(1)
	is.Equal(string(buffer.Bytes), "bc")
	var err error
	for err == nil {
		err = buffer.Append(chunk)
	}
	is.True(errors.Is(err, ErrExhausted))
	is.True(b.Used() <= 1<<20)
	l.Close()
	buffer.Release() // after the lease: counted once
	is.Equal(b.Used(), int64(0))
}

// Guards against bodies that are below the size of a small one each and use up the memory
// together, and against small ones that fail because of large ones.
func TestSmallBodiesShareABudgetOfTheirOwn(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8 << 20)
	var leases []*Lease
	var err error
	for err == nil {
		l := b.Lease()
		_, err = l.ReadAll(io.LimitReader(&zeros{}, smallBytes-1), -1)
		leases = append(leases, l)
		is.True(len(leases) <= (8<<20)/smallDivisor/smallBytes+1)
	}
	is.True(errors.Is(err, ErrExhausted))
	is.Equal(b.Used(), int64(0))
	for _, l := range leases {
		l.Close()
	}
	is.Equal(b.small.used.Load(), int64(0))
	l := b.Lease()
	_, err = l.ReadAll(io.LimitReader(&zeros{}, smallBytes-1), -1)
	is.NoErr(err)
	l.Close()
}

// Guards against bodies that are refused without the holders of the memory being asked to give way.
func TestExhaustedBudgetIsReported(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	reports := 0
	b.OnExhausted = func() { reports++ }
	first, second := b.Lease(), b.Lease()
	defer first.Close()
	defer second.Close()
	_, err := first.ReadAll(bytes.NewReader(make([]byte, 700<<10)), 700<<10)
	is.NoErr(err)
	is.Equal(reports, 0)
	_, err = second.ReadAll(bytes.NewReader(make([]byte, 700<<10)), 700<<10)
	is.True(errors.Is(err, ErrExhausted))
	is.Equal(reports, 1)
}
