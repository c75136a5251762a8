package observe

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// logLines bounds the lines that wait to be written: some seconds of a busy
	// process.
	logLines = 4096
	// dropReport is the time between two lines about lost ones.
	dropReport = time.Second
)

// NewStructured returns an observer that logs one JSON object a line to out. A
// writer that blocks holds nobody up: lines that find no room are counted and
// left out.
func NewStructured(level string, out io.Writer) *Observer {
	o := New(level)
	o.Log.SetFormatter(&prefixJSON{})
	o.Log.SetOutput(newBoundedWriter(out))
	return o
}

// prefixJSON writes the part before the message, as prefixFormatter does.
type prefixJSON struct{ inner logrus.JSONFormatter }

// Format implements logrus.Formatter.
func (f *prefixJSON) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[partField].(string)
	if !ok {
		return f.inner.Format(e)
	}
	changed := *e
	changed.Message = part + ": " + e.Message
	return f.inner.Format(&changed)
}

// boundedWriter hands lines to a goroutine that writes them.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{lines: make(chan []byte, logLines)}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *boundedWriter) run(out io.Writer) {
	var reported time.Time
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if now := time.Now(); w.dropped.Load() > 0 && now.Sub(reported) > dropReport {
			reported = now
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"observe: lines were left out\",\"lines\":%d}\n", w.dropped.Swap(0))
		}
	}
}
