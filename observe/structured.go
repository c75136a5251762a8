package observe

import (
	"fmt"
	"io"
	"maps"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

const (
	// logLines bounds the lines that wait to be written: some seconds of a busy
	// process.
	logLines = 4096
	// dropReport is the time between two lines about lost ones.
	dropReport = time.Second
)

// NewStructured returns an observer that logs one JSON object a line to out, with
// the name of the host. A writer that blocks holds nobody up: lines that find no
// room are counted and left out.
func NewStructured(level, host string, out io.Writer) *Observer {
	o := New(level)
	w := newBoundedWriter(out)
	o.Log.SetFormatter(&prefixJSON{host: host, inner: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	o.Log.SetOutput(w)
	o.Registry.MustRegister(w.lost)
	return o
}

// prefixJSON writes the part before the message, as prefixFormatter does.
type prefixJSON struct {
	host  string
	inner logrus.JSONFormatter
}

// Format implements logrus.Formatter.
func (f *prefixJSON) Format(e *logrus.Entry) ([]byte, error) {
	changed := *e
	if part, ok := e.Data[partField].(string); ok {
		changed.Message = part + ": " + e.Message
	}
	changed.Data = maps.Clone(e.Data)
	delete(changed.Data, partField)
	if f.host != "" {
		changed.Data["host"] = f.host
	}
	return f.inner.Format(&changed)
}

// boundedWriter hands lines to a goroutine that writes them.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	lost    prometheus.Counter
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{
		lines: make(chan []byte, logLines),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_log_lines_lost_total", Help: "Log lines that were left out because the writer was too slow.",
		}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.lost.Inc()
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
