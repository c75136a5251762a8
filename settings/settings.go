// Package settings reads the settings of one process.
package settings

import (
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

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
	// Open permits listeners on addresses other than loopback without TLS.
	Open    bool   `toml:"open"`
	Control []Peer `toml:"control"` // all control replicas
	Entries []Peer `toml:"entries"` // entries that agents may subscribe to
	TLS     TLS    `toml:"tls"`
	Auth    Auth   `toml:"auth"`
	Agent   Agent  `toml:"agent"`
	Hosts   Hosts  `toml:"hosts"`
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

// TLS names key files in PEM form.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Auth names files that hold bearer tokens.
type Auth struct {
	OperatorToken string `toml:"operator_token_file"`
	TrainerToken  string `toml:"trainer_token_file"`
}

// Agent describes the target beside an agent.
type Agent struct {
	Target  string `toml:"target"`
	Kind    string `toml:"kind"` // "engine" or "service"
	Address string `toml:"address"`
}

// Hosts is the platform's host list.
type Hosts struct {
	URL string `toml:"url"`
}

// Load reads the settings file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	var s Settings
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return &s, nil
}

// Has reports whether the process has the role.
func (s *Settings) Has(role wire.Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}
