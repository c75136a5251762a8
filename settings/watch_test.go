package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change of the settings file that Watch does not detect.
func TestWatchFindsEachChange(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string, at time.Time) {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		is.NoErr(os.Chtimes(path, at, at))
	}
	start := time.Now()
	write("a", start)
	w := NewWatch(path)
	is.True(!w.Changed())
	write("b", start.Add(time.Second)) // in place, same length
	is.True(w.Changed())
	is.True(!w.Changed())
	write("longer", start.Add(time.Second)) // same modification time
	is.True(w.Changed())
	is.NoErr(os.Remove(path))
	is.True(!w.Changed())
	write("longer", start.Add(2*time.Second)) // recreated with the same text
	is.True(w.Changed())
}
