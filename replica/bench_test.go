package replica

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"testing"
	"time"

	"merlinhall/consensus"
	"merlinhall/storage"
)

const (
	benchCommandBytes = 256
	noSnapshots       = 1 << 40 // entries
)

// medianSyncTime returns the median time to append one record to a file on the
// benchmark's disk and sync it.
func medianSyncTime(b *testing.B) time.Duration {
	f, err := os.Create(filepath.Join(b.TempDir(), "sync"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var took []time.Duration
	for range 200 {
		start := time.Now()
		_, _ = f.Write(make([]byte, benchCommandBytes))
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(start))
	}
	return median(took)
}

func median(d []time.Duration) time.Duration {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[len(d)/2]
}

// BenchmarkCommit measures sequential proposals on three replicas that share one disk,
// relative to one sync of that disk.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{128, 1024, 8192} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchCommit(b, size) })
	}
}

func benchCommit(b *testing.B, size int) {
	c := newClusterWithSnapshots(b, noSnapshots, "a", "b", "c")
	c.propose("first")
	l := c.leader()
	before := medianSyncTime(b)
	command := make([]byte, size)
	var took []time.Duration
	for b.Loop() {
		start := time.Now()
		if _, _, err := l.Propose(b.Context(), command); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(start))
	}
	sync := (before + medianSyncTime(b)) / 2
	b.ReportMetric(float64(median(took).Microseconds()), "commit-µs")
	b.ReportMetric(float64(sync.Microseconds()), "sync-µs")
	b.ReportMetric(float64(median(took))/float64(sync), "commit/sync")
}

// BenchmarkCommitConcurrent measures how many proposals from 64 goroutines share one
// sync.
func BenchmarkCommitConcurrent(b *testing.B) {
	c := newClusterWithSnapshots(b, noSnapshots, "a", "b", "c")
	c.propose("first")
	l := c.leader()
	sync := medianSyncTime(b)
	syncs := l.core.store.Syncs()
	command := make([]byte, benchCommandBytes)
	b.ResetTimer()
	start := time.Now()
	concurrently(64, b.N, func() {
		if _, _, err := l.Propose(b.Context(), command); err != nil {
			b.Error(err)
		}
	})
	each := time.Since(start) / time.Duration(b.N)
	c.stop(l.Status().Name)
	b.ReportMetric(float64(b.N)/float64(l.core.store.Syncs()-syncs), "commits-per-sync")
	b.ReportMetric(float64(each)/float64(sync), "commit/sync")
}

func concurrently(workers, n int, f func()) {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < n; i += workers {
				f()
			}
		}()
	}
	wg.Wait()
}

// BenchmarkRecovery measures opening a data directory without a snapshot, for several
// lengths of the log.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []uint64{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			fs := storage.Dir(b.TempDir())
			store, _, err := storage.Open(fs, randomID)
			if err != nil {
				b.Fatal(err)
			}
			var entries []consensus.Entry
			for i := uint64(1); i <= n; i++ {
				entries = append(entries, consensus.Entry{Index: i, Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, benchCommandBytes)})
			}
			if err := store.Save(&consensus.Output{Group: 1, Append: entries}); err != nil {
				b.Fatal(err)
			}
			store.Close()
			for b.Loop() {
				store, r, err := storage.Open(fs, randomID)
				if err != nil || uint64(len(r.Entries)) != n {
					b.Fatal(len(r.Entries), err)
				}
				store.Close()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}
