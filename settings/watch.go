package settings

import (
	"os"
	"time"
)

// Watch finds out that a file was written since it was last read. A file that is
// replaced or written in place counts alike.
type Watch struct {
	path     string
	lastSeen fileStamp
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// NewWatch returns a watch of the file as it is now. It must be made before the
// file is read, so that no change is missed.
func NewWatch(path string) *Watch {
	w := &Watch{path: path}
	w.Changed()
	return w
}

// Changed reports whether the file was written since the last call. A file that
// cannot be looked at, as in the middle of a replacement, has not changed yet.
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
