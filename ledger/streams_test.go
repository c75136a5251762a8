package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func streamKey(n int) StreamKey { return StreamKey(fmt.Appendf(nil, "%016d", n)) }

func beginning(n int, version string, try int) StreamBeginning {
	key := streamKey(n)
	return StreamBeginning{Key: key[:], Software: wire.Software{Service: "s", Version: version}, Try: try}
}

func applyStreams(t *testing.T, s *Streams, expire bool, begun ...StreamBeginning) {
	t.Helper()
	command, err := StreamsBegunCommand(begun)
	if expire {
		command, err = ExpireStreamsCommand()
	}
	if err != nil {
		t.Fatal(err)
	}
	if result := s.Apply(1, 1, command); result != nil {
		t.Fatal(result)
	}
}

func (s *Streams) version(n int) string {
	software, _ := s.Find(streamKey(n))
	return software.Version
}

// Guards against a record of an earlier target of an attempt that replaces that of a later one,
// and against one of two streams under the same key that goes on at the software of the other.
func TestRecordOfTheLastTryCounts(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	applyStreams(t, s, false, beginning(1, "v1", 1), beginning(2, "v1", 1), beginning(3, "v1", 1))
	applyStreams(t, s, false, beginning(1, "v2", 2), beginning(2, "v1", 1), beginning(3, "v2", 1))
	applyStreams(t, s, false, beginning(1, "v1", 1)) // late
	is.Equal(s.version(1), "v2")
	is.Equal(s.version(2), "v1") // the same, told again
	is.Equal(s.version(3), "")   // two streams
	applyStreams(t, s, false, beginning(3, "v2", 1))
	is.Equal(s.version(3), "")
}

// Guards against records that are dropped too early, or never.
func TestRecordsOutliveOneExpiry(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	applyStreams(t, s, false, beginning(1, "v1", 1))
	applyStreams(t, s, true)
	is.Equal(s.version(1), "v1")
	applyStreams(t, s, false, beginning(2, "v2", 1))
	applyStreams(t, s, true)
	is.Equal(s.version(1), "")
	is.Equal(s.version(2), "v2")
	applyStreams(t, s, true)
	current, former := s.Counts()
	is.Equal(current+former, 0)
	is.Equal(len(s.software), 0)
}

// Guards against records that a replica loses with a snapshot, and against snapshots that differ
// between replicas.
func TestStreamsSurviveASnapshot(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	is.True(s.Unused())
	for n := range 100 {
		applyStreams(t, s, n == 50, beginning(n, fmt.Sprint("v", n%3), 1+n%2))
	}
	applyStreams(t, s, false, beginning(99, "other", 2))
	snapshot, err := s.Snapshot()
	is.NoErr(err)
	restored := NewStreams()
	is.NoErr(restored.Restore(snapshot))
	again, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(again, snapshot)
	for n := range 100 {
		is.Equal(restored.version(n), s.version(n))
	}
	is.Equal(restored.version(99), "")
	is.Equal(restored.version(98), "v2")
	is.True(restored.Restore(snapshot[:len(snapshot)/2]) != nil)
	is.Equal(restored.version(98), "v2") // a snapshot that cannot be read changes nothing
}

// Guards against records with an invalid key or without software, which would be found.
func TestInvalidBeginningsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	applyStreams(t, s, false, StreamBeginning{Key: []byte("short"), Software: wire.Software{Service: "s"}}, StreamBeginning{Key: make([]byte, StreamKeyBytes)})
	current, _ := s.Counts()
	is.Equal(current, 0)
	_, isError := s.Apply(1, 1, []byte{0xff}).(error)
	is.True(isError)
}
