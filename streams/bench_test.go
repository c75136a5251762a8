package streams

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"

	"merlinhall/ledger"
	"merlinhall/wire"
)

// BenchmarkLeader is the leader's time for one message with the streams that a process begins,
// without the network and the log: what it decodes, commits and applies.
func BenchmarkLeader(b *testing.B) {
	for _, perAsk := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(perAsk, " streams"), func(b *testing.B) {
			records := ledger.NewStreams()
			l := NewLeader(LeaderOptions{Ledger: records, MemoryBytes: 1 << 40, Log: quiet(), Propose: func(_ context.Context, body []byte) error {
				_ = records.Apply(1, 1, body)
				return nil
			}})
			n := uint64(0)
			for b.Loop() {
				in := Ask{}
				for range perAsk {
					n++
					in.Begun = append(in.Begun, ledger.StreamBeginning{Key: binary.BigEndian.AppendUint64(make([]byte, 8), n), Software: v1, Try: 1})
				}
				body, err := wire.Marshal(&in)
				if err != nil {
					b.Fatal(err)
				}
				var got Ask
				if err := wire.Unmarshal(body, &got); err != nil {
					b.Fatal(err)
				}
				if !l.Handle(b.Context(), &got).Recorded {
					b.Fatal("not recorded")
				}
				if n%(1<<17) == 0 {
					records = ledger.NewStreams()
					l.o.Ledger = records
				}
			}
		})
	}
}

// BenchmarkSnapshot is the time for the snapshot of 100,000 records.
func BenchmarkSnapshot(b *testing.B) {
	records := ledger.NewStreams()
	for n := range uint64(1000) {
		var begun []ledger.StreamBeginning
		for i := range uint64(100) {
			begun = append(begun, ledger.StreamBeginning{Key: binary.BigEndian.AppendUint64(make([]byte, 8), n*100+i), Software: v1, Try: 1})
		}
		command, err := ledger.StreamsBegunCommand(begun)
		if err != nil {
			b.Fatal(err)
		}
		records.Apply(n, 1, command)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := records.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
