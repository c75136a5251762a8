// Package config parses and checks the configuration: the single text in which
// operators define zones, services, model pools and trainers.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"merlinhall/accounts"
)

// Config is a parsed configuration.
type Config struct {
	Zones    []Zone
	Services []Service
	Pools    []Pool
	Trainers []Trainer
	// Accounts are the client accounts. If there are none, callers need no key.
	Accounts []accounts.Account
	Limits   Limits

	registry *accounts.Registry
}

// Registry returns the client accounts, or nil if there are none.
func (c *Config) Registry() *accounts.Registry { return c.registry }

// Access says which callers may use a service or pool.
type Access struct {
	Anonymous bool     // callers need no key
	Accounts  []string // that may use it; empty stands for all
}

// Allows reports whether an account may use the service or pool.
func (a Access) Allows(account string) bool {
	return len(a.Accounts) == 0 || slices.Contains(a.Accounts, account)
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
}

// Limits are limits that apply to all services.
type Limits struct {
	// RetryShare is the maximum share of requests that may be retries.
	RetryShare float64
	// MaxEjectedShare is the maximum share of a service's targets that may be ejected
	// because of failures.
	MaxEjectedShare float64
}

// Service is a plain HTTP service.
type Service struct {
	Name        string
	DependsOn   []string // names of the services and pools that this service calls
	Deadline    time.Duration
	IdleTimeout time.Duration
	Priority    int8
	Share       float64 // weight of its calls to pools relative to other callers
	MaxInFlight int     // concurrent requests per target
	Queue       int     // queued requests per entry
	Calls       []Call
	Targets     []Target
	Access      Access
}

// Call states whether matching calls are idempotent, that is, may be repeated.
type Call struct {
	Method     string
	PathPrefix string
	Idempotent bool
}

// Pool is a set of model engines that serve the same weights.
type Pool struct {
	Name        string
	Deadline    time.Duration
	IdleTimeout time.Duration
	Priority    int8
	MaxInFlight int
	Queue       int
	Adapters    []string
	Targets     []Target
	// WeightStore is the address of the store that holds the pool's weights.
	WeightStore string
	Access      Access
}

// Target is a back end and the agent that runs beside it.
type Target struct {
	Name    string
	Zone    string
	Agent   string // link address of the agent
	Address string // address of the target itself
	// ChecksFence is set if the target refuses orders with an outdated fencing token.
	ChecksFence bool
	// Role is the role of an engine: "prefill", "decode" or "both".
	Role string
}

// Trainer is a trainer that draws samples from pools.
type Trainer struct {
	Name           string
	Pools          []string
	StalenessBound uint64 // maximum age of a sample in weight versions
	GroupSize      int
	Share          float64
	Scorer         string // service that scores samples
	Deadline       time.Duration
}

// Digest returns the SHA-256 of a configuration text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Service returns the plain service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Trainer returns the trainer with the given name, or nil.
func (c *Config) Trainer(name string) *Trainer {
	for i := range c.Trainers {
		if c.Trainers[i].Name == name {
			return &c.Trainers[i]
		}
	}
	return nil
}

// Idempotent reports whether a call may be repeated. The matching Call with the longest
// path prefix decides; without a match, the HTTP method does.
func (s *Service) Idempotent(method, path string) bool {
	best := -1
	idempotent := idempotentMethod(method)
	for _, c := range s.Calls {
		if c.matches(method, path) && len(c.PathPrefix) > best {
			best = len(c.PathPrefix)
			idempotent = c.Idempotent
		}
	}
	return idempotent
}

func (c Call) matches(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	return len(path) >= len(c.PathPrefix) && path[:len(c.PathPrefix)] == c.PathPrefix
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
