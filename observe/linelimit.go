package observe

import (
	"sync"
	"time"
)

// maxLinesPerSecond is the number of lines that a LineLimit allows in a second.
const maxLinesPerSecond = 50

// LineLimit limits log lines that come with each request. It is safe for concurrent use.
type LineLimit struct {
	mu     sync.Mutex
	second int64
	count  int
}

// Allow reports whether another line may be logged at the time now, and counts it.
func (l *LineLimit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= maxLinesPerSecond
}
