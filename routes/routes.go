// Package routes defines the manifest of a deployment, which maps requests to services,
// and looks up the route of a request. It performs no I/O and keeps no global state.
package routes

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"

	"merlinhall/accounts"
)

// Manifest is one version of the routing configuration. It is encoded as CBOR under
// its field names, as are the types in it, so the fields must keep their names.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts are the client accounts. If there are none, requests need no key.
	Accounts []accounts.Account
	// AccountsKnown is set if the process that decoded Raw knows accounts. An older one
	// leaves Accounts empty whatever the text says.
	AccountsKnown bool
	// Raw is the text as sent by the operator. Reads return it unchanged.
	Raw []byte
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Repeatable is set if requests may run more than once. A repeatable stream may
	// be resumed on another target after its last event.
	Repeatable bool
	// Stream is set if responses are event streams, which are forwarded as they
	// arrive.
	Stream bool
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Batch is set if the route accepts submissions of many requests that run later.
	Batch bool
	// SingleVersion is set if each text must come from a single weight version.
	SingleVersion bool
	Timeout       time.Duration // maximum time that a request waits for its response
	Goal          time.Duration // response-time objective
	Priority      int           // 0 is the most urgent
	Shares        []Share
	// MaxAttempts limits the targets that one request runs on, and the failed runs of
	// an item of a submission.
	MaxAttempts int
	Due         time.Duration // time from submission until all its results are due
	ItemTTL     time.Duration // time after which an item may be given up
}

// Share is the share of a route's requests that a service receives: its weight in relation to
// those of the other services of the route. With weight 0 it receives none.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of targets.
type Service struct {
	Name  string
	Slots int // concurrent requests per engine; 0 if not specified
}

// Limits are the limits on client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable routing table.
type Table struct {
	manifest *Manifest
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	accounts *accounts.Registry
}

// Newer reports whether m replaces the manifest other, which may be nil: its version is
// higher, or it has the accounts that other lacks.
func (m *Manifest) Newer(other *Manifest) bool {
	return other == nil || m.Version > other.Version || m.Version == other.Version && m.AccountsKnown && !other.AccountsKnown
}

// NewTable returns the routing table of a valid manifest.
func NewTable(m *Manifest) *Table {
	t := &Table{manifest: m, byHost: make(map[string][]*Route), services: make(map[string]*Service)}
	// Check has refused lists with an error.
	t.accounts, _ = accounts.NewRegistry(m.Accounts)
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

// Manifest returns the manifest from which the table was built.
func (t *Table) Manifest() *Manifest { return t.manifest }

// Accounts returns the client accounts, or nil if the deployment has none.
func (t *Table) Accounts() *accounts.Registry { return t.accounts }

// AnonymousBatch reports whether a host has a route that takes submissions without a key.
func (t *Table) AnonymousBatch(host string) bool {
	return slices.ContainsFunc(t.byHost[host], func(r *Route) bool { return r.Batch && r.Anonymous })
}

// Find returns the route of the host whose prefix is the longest one that matches
// path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// LongestStream returns the longest time limit of a route whose streams may be resumed.
func (t *Table) LongestStream() time.Duration {
	longest := time.Duration(0)
	for i := range t.manifest.Routes {
		if r := &t.manifest.Routes[i]; r.Stream && r.Repeatable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Serves reports whether requests of the route may go to the service: its share is above 0.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Choose returns the service for a request. It hashes the request id, so the same id
// always gets the same service.
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
