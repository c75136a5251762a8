// Package routes holds the manifest of a deployment, which says how requests are
// routed to services, and chooses the route of a request. It is pure.
package routes

import (
	"hash/fnv"
	"sort"
	"strings"
	"time"
)

// Manifest is one version of the routing configuration.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Raw is the text as the operator sent it; a reader gets it back unchanged.
	Raw []byte
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Repeatable requests may run more than once; a stream that is repeatable may go
	// on after its last event at another target.
	Repeatable bool
	// Stream answers are events, which are passed on as they come.
	Stream bool
	// Batch routes take submissions of many requests that run later.
	Batch bool
	// SingleVersion texts come from one weight version only.
	SingleVersion bool
	Timeout       time.Duration // longest time that a request is kept waiting
	Goal          time.Duration // response-time objective
	Priority      int           // 0 is the most urgent
	Shares        []Share
	// MaxAttempts bounds the targets that one request runs on, and the failed
	// runs of an item of a submission.
	MaxAttempts int
	Due         time.Duration // all results of a submission, after it was submitted
	ItemTTL     time.Duration // after which an item may be given up
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of targets.
type Service struct {
	Name  string
	Slots int // requests that an engine runs at once; 0 when not stated
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds the route of a request. It is immutable.
type Table struct {
	manifest *Manifest
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
}

// NewTable indexes a valid manifest.
func NewTable(m *Manifest) *Table {
	t := &Table{manifest: m, byHost: make(map[string][]*Route), services: make(map[string]*Service)}
	for i := range m.Routes {
		r := &m.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range m.Services {
		t.services[m.Services[i].Name] = &m.Services[i]
	}
	return t
}

// Manifest returns the manifest that the table was made from.
func (t *Table) Manifest() *Manifest { return t.manifest }

// Find returns the route with the longest prefix of path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Choose returns the service that a request of the route goes to. The same
// request id always gets the same service.
func (r *Route) Choose(requestID string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	at := int(h.Sum32() % uint32(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}
