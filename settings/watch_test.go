package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a settings file whose change is missed without a signal.
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
	write("b", start.Add(time.Second)) // in place, of the same length
	is.True(w.Changed())
	is.True(!w.Changed())
	write("longer", start.Add(time.Second)) // within one tick of the file system's clock
	is.True(w.Changed())
	is.NoErr(os.Remove(path))
	is.True(!w.Changed())
	write("longer", start.Add(2*time.Second)) // replaced by the same text
	is.True(w.Changed())
}
