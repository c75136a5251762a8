// Package settings reads and checks the settings file of one process.
package settings

import (
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"merlinhall/strict"
	"merlinhall/wire"
)

// Settings holds the settings of one process.
type Settings struct {
	Name     string      `toml:"name"`
	Zone     string      `toml:"zone"`
	Roles    []wire.Role `toml:"roles"`
	DataDir  string      `toml:"data_dir"` // control only
	LogLevel string      `toml:"log_level"`
	Listen   Listen      `toml:"listen"`
	// Open permits listeners on non-loopback addresses without TLS and tokens.
	Open    bool   `toml:"open"`
	Control []Peer `toml:"control"` // all control replicas
	Entries []Peer `toml:"entries"` // entries that an agent may subscribe to
	TLS     TLS    `toml:"tls"`
	Auth    Auth   `toml:"auth"`
	Agent   Agent  `toml:"agent"`
	Hosts   Hosts  `toml:"hosts"`
	// DrainGrace is the time for which an entry that shuts down still accepts requests
	// after its readiness check fails, so that the platform's load balancer can stop
	// sending them.
	DrainGrace strict.Duration `toml:"drain_grace"`
	// DrainTimeout is the maximum wait for running requests at shutdown.
	DrainTimeout strict.Duration `toml:"drain_timeout"`
}

// Listen holds the listen addresses, each an IP address with a port.
type Listen struct {
	Callers string `toml:"callers"` // entry: HTTP for callers and trainers
	Links   string `toml:"links"`   // links from other processes
	Admin   string `toml:"admin"`   // administration API, metrics, health, dump
}

// Peer is another process of the deployment.
type Peer struct {
	Name  string `toml:"name"`
	Zone  string `toml:"zone"`
	Links string `toml:"links"` // link address
	Admin string `toml:"admin"` // administration address
}

// TLS holds the paths of PEM files. If all three are set, links use mutual TLS with
// certificates of the CA, and the other listeners serve TLS.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Configured reports whether all three files are set.
func (t TLS) Configured() bool { return t.Cert != "" && t.Key != "" && t.CA != "" }

// Auth holds the paths of files with bearer tokens.
type Auth struct {
	OperatorToken string `toml:"operator_token_file"`
	TrainerToken  string `toml:"trainer_token_file"`
}

// Kinds of targets.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Agent describes the target that the agent runs beside.
type Agent struct {
	Target  string `toml:"target"`
	Kind    string `toml:"kind"` // KindEngine or KindService
	Address string `toml:"address"`
}

// Hosts configures access to the platform's host list.
type Hosts struct {
	URL string `toml:"url"`
}

// Load reads and checks the settings file at path. If the file is readable but invalid,
// the error is a strict.Faults.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse parses and checks a settings text. file is the name used in errors.
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
