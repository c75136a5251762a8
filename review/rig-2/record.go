package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// close writes the verdict and returns the exit code.
func (r *record) close() int {
	if len(r.broken) > 0 {
		r.line("verdict: the rule was broken")
		_ = r.file.Close()
		return 1
	}
	r.line("verdict: the rule held")
	_ = r.file.Close()
	return 0
}
