package streams

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/wire"
)

// Guards against messages of other processes that end the leader's or are recorded although they
// are invalid.
func FuzzAsk(f *testing.F) {
	key := make([]byte, ledger.StreamKeyBytes)
	for _, in := range []Ask{
		{}, {Begun: []ledger.StreamBeginning{{Key: key, Software: wire.Software{Service: "s", Version: "v"}, Try: 1}}},
		{Keys: [][]byte{key, nil, key[:3]}}, {Begun: []ledger.StreamBeginning{{Try: -1}}},
	} {
		b, err := wire.Marshal(&in)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, b []byte) {
		var in Ask
		if wire.Unmarshal(b, &in) != nil {
			return
		}
		records := ledger.NewStreams()
		l := NewLeader(LeaderOptions{Ledger: records, MemoryBytes: 1 << 20, Log: logrus.NewEntry(log), Propose: func(_ context.Context, body []byte) error {
			if err, ok := records.Apply(1, 1, body).(error); ok {
				t.Fatal(err)
			}
			return nil
		}})
		out := l.Handle(t.Context(), &in)
		if len(out.Found) != len(in.Keys) {
			t.Fatalf("%d answers to %d questions", len(out.Found), len(in.Keys))
		}
		snapshot, err := records.Snapshot()
		if err == nil {
			err = ledger.NewStreams().Restore(snapshot)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a snapshot that ends the process that restores it.
func FuzzSnapshot(f *testing.F) {
	s := ledger.NewStreams()
	command, err := ledger.StreamsBegunCommand([]ledger.StreamBeginning{{Key: make([]byte, ledger.StreamKeyBytes), Software: wire.Software{Service: "s"}, Try: 2}})
	if err != nil {
		f.Fatal(err)
	}
	s.Apply(1, 1, command)
	b, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := ledger.NewStreams()
		if s.Restore(b) != nil {
			return
		}
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
