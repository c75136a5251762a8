// Package observe provides the observability of a process: metrics, logs, health
// endpoints and the state dump.
package observe

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Observer collects the metrics, logs, readiness checks and state dumps of a process.
type Observer struct {
	Registry *prometheus.Registry
	Log      *logrus.Logger

	panics      *prometheus.CounterVec // by part
	ready       atomic.Bool
	mu          sync.Mutex
	dumps       map[string]func() any
	readyChecks map[string]func() error
}

// New returns an observer that logs at level ("debug", "info", "warn", "error").
// An unknown level means "info".
func New(level string) *Observer {
	log := logrus.New()
	log.SetFormatter(&prefixFormatter{inner: logrus.TextFormatter{DisableColors: true, FullTimestamp: true}})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	panics := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_panics_total", Help: "Requests, messages and calls that an unexpected error ended, by part.",
	}, []string{"part"})
	registry.MustRegister(panics)
	return &Observer{
		Registry:    registry,
		panics:      panics,
		Log:         log,
		dumps:       make(map[string]func() any),
		readyChecks: make(map[string]func() error),
	}
}

// Logger returns a logger that prefixes each message with the name of the part of the
// process and a colon.
func (o *Observer) Logger(part string) *logrus.Entry {
	return o.Log.WithField(partField, part)
}

const partField = "part"

// prefixFormatter writes the part as a prefix of the message instead of as a field.
type prefixFormatter struct{ inner logrus.TextFormatter }

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[partField].(string)
	if !ok {
		return f.inner.Format(e)
	}
	changed := *e
	changed.Message = part + ": " + e.Message
	changed.Data = make(logrus.Fields, len(e.Data))
	for key, value := range e.Data {
		if key != partField {
			changed.Data[key] = value
		}
	}
	return f.inner.Format(&changed)
}

// AddDump adds a part to the state dump. f returns a value that can be encoded as
// JSON; it is called from HTTP goroutines.
func (o *Observer) AddDump(part string, f func() any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dumps[part] = f
}

// AddReadyCheck adds a readiness check. f returns nil if the part is ready, and
// otherwise the reason why it is not.
func (o *Observer) AddReadyCheck(part string, f func() error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readyChecks[part] = f
}

// SetReady sets whether the process can be ready at all: it is false while the process
// starts or drains. The readiness checks apply in addition.
func (o *Observer) SetReady(ready bool) { o.ready.Store(ready) }

// Attach registers the handlers of /metrics, /healthz, /readyz and /dump on mux.
func (o *Observer) Attach(mux *http.ServeMux) {
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", o.serveReady)
	mux.HandleFunc("GET /dump", o.serveDump)
}

func (o *Observer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := o.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Ready returns nil if the process is ready, and otherwise the reason why it is not.
func (o *Observer) Ready() error {
	if !o.ready.Load() {
		return eris.New("draining or starting")
	}
	for part, check := range o.readyChecksCopy() {
		if err := check(); err != nil {
			return eris.New(part + ": " + err.Error())
		}
	}
	return nil
}

func (o *Observer) readyChecksCopy() map[string]func() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	checks := make(map[string]func() error, len(o.readyChecks))
	for part, check := range o.readyChecks {
		checks[part] = check
	}
	return checks
}

func (o *Observer) serveDump(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	parts := make(map[string]func() any, len(o.dumps))
	for part, f := range o.dumps {
		parts[part] = f
	}
	o.mu.Unlock()
	state := make(map[string]any, len(parts))
	for part, f := range parts {
		state[part] = f()
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(state)
}
