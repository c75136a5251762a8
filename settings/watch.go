package settings

import (
	"os"
	"time"
)

// Watch detects changes of a file by its modification time and size, whether it is
// replaced or written in place.
type Watch struct {
	path     string
	lastSeen fileStamp
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// NewWatch returns a Watch that compares with the current state of the file. Create it
// before the file is read, so that no change is missed.
func NewWatch(path string) *Watch {
	w := &Watch{path: path}
	w.Changed()
	return w
}

// Changed reports whether the file has changed since the last call. It returns false
// if the file cannot be accessed, for instance while it is being replaced.
func (w *Watch) Changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	now := fileStamp{info.ModTime(), info.Size()}
	changed := now != w.lastSeen
	w.lastSeen = now
	return changed
}
