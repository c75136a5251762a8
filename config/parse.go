package config

import (
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"merlinhall/accounts"
	"merlinhall/strict"
)

// document is the TOML representation of the configuration.
type document struct {
	Zone    []zoneDoc    `toml:"zone"`
	Service []serviceDoc `toml:"service"`
	Pool    []poolDoc    `toml:"pool"`
	Trainer []trainerDoc `toml:"trainer"`
	Account []accountDoc `toml:"account"`
	Limits  limitsDoc    `toml:"limits"`
}

type limitsDoc struct {
	RetryShare      *float64 `toml:"retry_share"`
	MaxEjectedShare *float64 `toml:"max_ejected_share"`
}

type zoneDoc struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

type accountDoc struct {
	Name string `toml:"name"`
	// KeyDigests are SHA-256 sums; the text does not contain the keys.
	KeyDigests []string `toml:"key_digests"`
	Priority   *int8    `toml:"priority"`
}

type targetDoc struct {
	Name        string `toml:"name"`
	Zone        string `toml:"zone"`
	Agent       string `toml:"agent"`
	Address     string `toml:"address"`
	ChecksFence bool   `toml:"checks_fence"`
	Role        string `toml:"role"`
}

type callDoc struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
	Idempotent *bool  `toml:"idempotent"`
}

type serviceDoc struct {
	Name        string           `toml:"name"`
	DependsOn   []string         `toml:"depends_on"`
	Deadline    *strict.Duration `toml:"deadline"`
	IdleTimeout *strict.Duration `toml:"idle_timeout"`
	Priority    int8             `toml:"priority"`
	Share       *float64         `toml:"share"`
	MaxInFlight *int             `toml:"max_in_flight"`
	Queue       *int             `toml:"queue"`
	Call        []callDoc        `toml:"call"`
	Target      []targetDoc      `toml:"target"`
	Anonymous   bool             `toml:"anonymous"`
	Accounts    []string         `toml:"accounts"`
}

type poolDoc struct {
	Name        string           `toml:"name"`
	Deadline    *strict.Duration `toml:"deadline"`
	IdleTimeout *strict.Duration `toml:"idle_timeout"`
	Priority    int8             `toml:"priority"`
	MaxInFlight *int             `toml:"max_in_flight"`
	Queue       *int             `toml:"queue"`
	Adapters    []string         `toml:"adapters"`
	WeightStore string           `toml:"weight_store"`
	Target      []targetDoc      `toml:"target"`
	Anonymous   bool             `toml:"anonymous"`
	Accounts    []string         `toml:"accounts"`
}

type trainerDoc struct {
	Name           string           `toml:"name"`
	Pools          []string         `toml:"pools"`
	StalenessBound *uint64          `toml:"staleness_bound"`
	GroupSize      int              `toml:"group_size"`
	Share          *float64         `toml:"share"`
	Scorer         string           `toml:"scorer"`
	Deadline       *strict.Duration `toml:"deadline"`
}

// Default values of optional keys.
const (
	defaultDeadline        = 10 * time.Second
	defaultIdleTimeout     = 5 * time.Second
	defaultSampleDeadline  = 10 * time.Minute
	defaultMaxInFlight     = 64
	defaultQueue           = 256
	defaultShare           = 1.0
	defaultRetryShare      = 0.1
	defaultMaxEjectedShare = 0.3
)

// Parse parses and checks a configuration text. file is the name used in errors. The
// error is a strict.Faults with all faults found.
func Parse(file string, text []byte) (*Config, error) {
	var doc document
	decoded := strict.Decode(file, text, &doc)
	if !decoded.Valid() {
		return nil, decoded.Err()
	}
	c := doc.build()
	newChecker(decoded, &doc, c).check()
	if !decoded.Valid() {
		return nil, decoded.Err()
	}
	return c, nil
}

// Load parses a text that control has accepted, without the checks of Parse. With 2,600
// targets the checks take three quarters of the parsing time, which every process
// would spend on each change. Keys from newer versions are ignored.
func Load(text []byte) (*Config, error) {
	var doc document
	if err := toml.Unmarshal(text, &doc); err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	return doc.build(), nil
}

func (d *document) build() *Config {
	c := &Config{
		Limits: Limits{
			RetryShare:      orDefault(d.Limits.RetryShare, defaultRetryShare),
			MaxEjectedShare: orDefault(d.Limits.MaxEjectedShare, defaultMaxEjectedShare),
		},
	}
	for _, z := range d.Zone {
		c.Zones = append(c.Zones, Zone(z))
	}
	for _, s := range d.Service {
		c.Services = append(c.Services, s.build())
	}
	for _, p := range d.Pool {
		c.Pools = append(c.Pools, p.build())
	}
	for _, t := range d.Trainer {
		c.Trainers = append(c.Trainers, t.build())
	}
	for _, a := range d.Account {
		c.Accounts = append(c.Accounts, a.build())
	}
	// The checks of Parse report what is wrong.
	c.registry, _ = accounts.NewRegistry(c.Accounts)
	return c
}

func (s serviceDoc) build() Service {
	calls := make([]Call, 0, len(s.Call))
	for _, c := range s.Call {
		calls = append(calls, Call{Method: c.Method, PathPrefix: c.PathPrefix, Idempotent: orDefault(c.Idempotent, false)})
	}
	return Service{
		Name:        s.Name,
		DependsOn:   s.DependsOn,
		Deadline:    durationOrDefault(s.Deadline, defaultDeadline),
		IdleTimeout: durationOrDefault(s.IdleTimeout, min(defaultIdleTimeout, durationOrDefault(s.Deadline, defaultDeadline))),
		Priority:    s.Priority,
		Share:       orDefault(s.Share, defaultShare),
		MaxInFlight: orDefault(s.MaxInFlight, defaultMaxInFlight),
		Queue:       orDefault(s.Queue, defaultQueue),
		Calls:       calls,
		Targets:     targets(s.Target),
		Access:      Access{s.Anonymous, s.Accounts},
	}
}

func (p poolDoc) build() Pool {
	return Pool{
		Name:        p.Name,
		Deadline:    durationOrDefault(p.Deadline, defaultDeadline),
		IdleTimeout: durationOrDefault(p.IdleTimeout, min(defaultIdleTimeout, durationOrDefault(p.Deadline, defaultDeadline))),
		Priority:    p.Priority,
		MaxInFlight: orDefault(p.MaxInFlight, defaultMaxInFlight),
		Queue:       orDefault(p.Queue, defaultQueue),
		Adapters:    p.Adapters,
		WeightStore: p.WeightStore,
		Targets:     targets(p.Target),
		Access:      Access{p.Anonymous, p.Accounts},
	}
}

func (t trainerDoc) build() Trainer {
	return Trainer{
		Name:           t.Name,
		Pools:          t.Pools,
		StalenessBound: orDefault(t.StalenessBound, 0),
		GroupSize:      t.GroupSize,
		Share:          orDefault(t.Share, defaultShare),
		Scorer:         t.Scorer,
		Deadline:       durationOrDefault(t.Deadline, defaultSampleDeadline),
	}
}

// build leaves out digests that are not valid, which the checks report.
func (a accountDoc) build() accounts.Account {
	out := accounts.Account{Name: a.Name}
	for _, text := range a.KeyDigests {
		if d, err := accounts.ParseDigest(text); err == nil {
			out.Keys = append(out.Keys, d)
		}
	}
	if a.Priority != nil {
		p := int(*a.Priority)
		out.Priority = &p
	}
	return out
}

func targets(docs []targetDoc) []Target {
	out := make([]Target, 0, len(docs))
	for _, t := range docs {
		out = append(out, Target(t))
	}
	return out
}

func orDefault[T any](v *T, fallback T) T {
	if v == nil {
		return fallback
	}
	return *v
}

func durationOrDefault(d *strict.Duration, fallback time.Duration) time.Duration {
	if d == nil {
		return fallback
	}
	return time.Duration(*d)
}
