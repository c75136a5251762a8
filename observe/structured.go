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
	// logQueueLines is the capacity of the queue of lines to be written. It holds the
	// lines of a busy process for some seconds.
	logQueueLines = 4096
	// dropReportInterval is the minimum interval of reports of dropped lines.
	dropReportInterval = time.Second
)

// NewStructured returns an observer that logs to out in JSON, one object per line,
// with the name of the host. A slow writer does not block logging: lines that exceed
// the queue are dropped and counted.
func NewStructured(level, host string, out io.Writer) *Observer {
	o := New(level)
	w := newBoundedWriter(out)
	o.Log.SetFormatter(&jsonPrefixFormatter{host: host, inner: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	o.Log.SetOutput(w)
	o.Registry.MustRegister(w.lost)
	return o
}

// jsonPrefixFormatter writes JSON with the part as a prefix of the message, like
// prefixFormatter.
type jsonPrefixFormatter struct {
	host  string
	inner logrus.JSONFormatter
}

// Format implements logrus.Formatter.
func (f *jsonPrefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
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

// boundedWriter writes lines from a goroutine with a bounded queue.
type boundedWriter struct {
	lines      chan []byte
	unreported atomic.Uint64      // lines dropped or not written since the last report
	lost       prometheus.Counter // all lines dropped because the queue was full
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{
		lines: make(chan []byte, logQueueLines),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinhall_log_lines_lost_total", Help: "Log lines that were left out because the writer was too slow.",
		}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks; lines that exceed the queue are dropped.
func (w *boundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.unreported.Add(1)
		w.lost.Inc()
	}
	return len(line), nil
}

func (w *boundedWriter) run(out io.Writer) {
	var reported time.Time
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			w.unreported.Add(1)
		}
		if now := time.Now(); w.unreported.Load() > 0 && now.Sub(reported) > dropReportInterval {
			reported = now
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"observe: lines were left out\",\"lines\":%d}\n", w.unreported.Swap(0))
		}
	}
}
