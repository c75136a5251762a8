package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.f.Close() }
