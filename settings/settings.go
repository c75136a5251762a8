// Package settings reads the settings of one process.
package settings

import (
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/strict"
	"merlinhall/wire"
)

// Settings are the settings of one process.
type Settings struct {
	Name     string      `toml:"name"`
	Zone     string      `toml:"zone"`
	Roles    []wire.Role `toml:"roles"`
	DataDir  string      `toml:"data_dir"` // control only
	LogLevel string      `toml:"log_level"`
	Listen   Listen      `toml:"listen"`
	// Open permits listeners on addresses other than loopback without TLS and
	// tokens.
	Open    bool   `toml:"open"`
	Control []Peer `toml:"control"` // all control replicas
	Entries []Peer `toml:"entries"` // entries that agents may subscribe to
	TLS     TLS    `toml:"tls"`
	Auth    Auth   `toml:"auth"`
	Agent   Agent  `toml:"agent"`
	Hosts   Hosts  `toml:"hosts"`
	// DrainGrace is the time between the failing of readiness and the refusal of
	// new requests at an entry, in which the platform's balancer turns away.
	DrainGrace strict.Duration `toml:"drain_grace"`
	// DrainTimeout bounds the wait for running requests at shutdown.
	DrainTimeout strict.Duration `toml:"drain_timeout"`
}

// Listen holds the IP address and port of each listener.
type Listen struct {
	Callers string `toml:"callers"` // entry: HTTP for callers and trainers
	Links   string `toml:"links"`   // links from other processes
	Admin   string `toml:"admin"`   // administration API, metrics, health, dump
}

// Peer is another process of the system.
type Peer struct {
	Name  string `toml:"name"`
	Zone  string `toml:"zone"`
	Links string `toml:"links"` // link address
	Admin string `toml:"admin"` // administration address
}

// TLS names key files in PEM form. With all three set, links require a
// certificate of the CA from both sides, and the other listeners serve TLS.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Set reports whether TLS is configured.
func (t TLS) Set() bool { return t.Cert != "" && t.Key != "" && t.CA != "" }

// Auth names files that hold bearer tokens.
type Auth struct {
	OperatorToken string `toml:"operator_token_file"`
	TrainerToken  string `toml:"trainer_token_file"`
}

// Kinds of the target beside an agent.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Agent describes the target beside an agent.
type Agent struct {
	Target  string `toml:"target"`
	Kind    string `toml:"kind"` // KindEngine or KindService
	Address string `toml:"address"`
}

// Hosts is the platform's host list.
type Hosts struct {
	URL string `toml:"url"`
}

// Load reads and checks the settings file at path. The error is strict.Faults
// when the file can be read and has faults.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse checks settings text; file names it in errors.
func Parse(file string, text []byte) (*Settings, error) {
	var s Settings
	doc := strict.Decode(file, text, &s)
	if doc.Valid() {
		s.applyDefaults()
		(&checker{doc: doc, s: &s}).check()
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Has reports whether the process has the role.
func (s *Settings) Has(role wire.Role) bool { return slices.Contains(s.Roles, role) }

// Peers returns the other control replicas.
func (s *Settings) Peers() []Peer {
	var peers []Peer
	for _, p := range s.Control {
		if p.Name != s.Name {
			peers = append(peers, p)
		}
	}
	return peers
}
