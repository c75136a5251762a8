package observe

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

func (w *slowWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// Guards against logging that waits for a blocked writer, and against lines that are
// dropped without a report.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	log := NewStructured("info", "host-1", w).Logger("part")
	began := time.Now()
	for i := range 3 * logQueueLines {
		log.WithField("n", i).Info("a line")
	}
	is.True(time.Since(began) < 5*time.Second)
	close(w.release)
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(w.text(), "lines were left out") {
			break
		}
	}
	lines := strings.Count(w.text(), "\n")
	is.True(lines <= logQueueLines+3) // the queued lines and the reports of dropped ones
	is.True(strings.Contains(w.text(), "lines were left out"))
}

func TestLinesAreObjectsWithHostPartAndTime(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	NewStructured("info", "host-1", w).Logger("part").WithField("request", "r").Info("ended")
	for until := time.Now().Add(5 * time.Second); w.text() == "" && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(w.text()), &line))
	is.Equal(line["host"], "host-1")
	is.Equal(line["msg"], "part: ended")
	is.Equal(line["request"], "r")
	_, err := time.Parse(time.RFC3339Nano, line["time"].(string))
	is.NoErr(err)
}
