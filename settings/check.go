package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/strict"
	"merlinhall/wire"
)

const (
	defaultLogLevel     = "info"
	defaultDrainGrace   = strict.Duration(1 * time.Second)
	defaultDrainTimeout = strict.Duration(30 * time.Second)
	maxControlReplicas  = 7
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (s *Settings) applyDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	if s.DrainGrace == 0 {
		s.DrainGrace = defaultDrainGrace
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = defaultDrainTimeout
	}
}

type checker struct {
	doc *strict.Document
	s   *Settings
}

func (k *checker) check() {
	k.checkIdentity()
	k.checkRoles()
	k.checkListeners()
	k.checkPeers("control", k.s.Control)
	k.checkPeers("entries", k.s.Entries)
	k.checkTLS()
	k.checkFile("auth.operator_token_file", k.s.Auth.OperatorToken)
	k.checkFile("auth.trainer_token_file", k.s.Auth.TrainerToken)
}

func (k *checker) checkIdentity() {
	if !namePattern.MatchString(k.s.Name) {
		k.doc.Report("name", fmt.Sprintf("%q is not a name", k.s.Name), "use 1 to 63 lower-case letters, digits, dots, hyphens or underscores")
	}
	if k.s.Zone == "" {
		k.doc.Report("zone", "the availability zone is missing", "write the zone of this host")
	}
	if _, err := logrus.ParseLevel(k.s.LogLevel); err != nil {
		k.doc.Report("log_level", fmt.Sprintf("%q is not a level", k.s.LogLevel), `write "debug", "info", "warn" or "error"`)
	}
	if k.s.DrainTimeout < 0 {
		k.doc.Report("drain_timeout", "the time is negative", `write a time such as "30s"`)
	}
	if k.s.DrainGrace < 0 {
		k.doc.Report("drain_grace", "the time is negative", `write a time such as "1s"`)
	}
}

func (k *checker) checkRoles() {
	if len(k.s.Roles) == 0 {
		k.doc.Report("roles", "the process has no role", `write roles = ["entry"], ["control"] or ["agent"]`)
	}
	for i, role := range k.s.Roles {
		switch role {
		case wire.RoleControl:
			k.checkControl()
		case wire.RoleEntry:
			k.checkRequired("listen.callers", k.s.Listen.Callers, "an entry")
			k.checkHasUpstream()
		case wire.RoleAgent:
			k.checkAgent()
		default:
			k.doc.Report(fmt.Sprintf("roles[%d]", i), fmt.Sprintf("%q is not a role", role), `write "entry", "control" or "agent"`)
		}
	}
}

func (k *checker) checkControl() {
	k.checkRequired("data_dir", k.s.DataDir, "a control replica")
	k.checkRequired("listen.links", k.s.Listen.Links, "a control replica")
	k.checkRequired("listen.admin", k.s.Listen.Admin, "a control replica")
	if len(k.s.Control) > maxControlReplicas {
		k.doc.Report("control", fmt.Sprintf("%d control replicas are listed", len(k.s.Control)), fmt.Sprintf("list at most %d", maxControlReplicas))
	}
	for _, p := range k.s.Control {
		if p.Name == k.s.Name {
			return
		}
	}
	k.doc.Report("control", fmt.Sprintf("this process, %q, is not among the control replicas", k.s.Name), "add a [[control]] with its name")
}

func (k *checker) checkAgent() {
	k.checkRequired("listen.links", k.s.Listen.Links, "an agent")
	k.checkRequired("agent.target", k.s.Agent.Target, "an agent")
	if k.s.Agent.Kind != KindEngine && k.s.Agent.Kind != KindService {
		k.doc.Report("agent.kind", fmt.Sprintf("%q is not a kind of target", k.s.Agent.Kind), `write "engine" or "service"`)
	}
	k.checkAddress("agent.address", k.s.Agent.Address)
	k.checkHasUpstream()
}

func (k *checker) checkHasUpstream() {
	if len(k.s.Control) == 0 && len(k.s.Entries) == 0 {
		k.doc.Report("control", "no control replica is listed", "add a [[control]] with name and links for each")
	}
}

func (k *checker) checkRequired(key, value, who string) {
	if value == "" {
		k.doc.Report(key, "the value is missing", "set it; "+who+" requires it")
	}
}

func (k *checker) checkListeners() {
	k.checkListener("listen.callers", k.s.Listen.Callers, k.s.Auth.TrainerToken != "")
	k.checkListener("listen.links", k.s.Listen.Links, true)
	k.checkListener("listen.admin", k.s.Listen.Admin, k.s.Auth.OperatorToken != "")
}

// checkListener reports a listener that is reachable from other hosts without TLS or
// without a token, unless the settings allow open listeners.
func (k *checker) checkListener(key, address string, hasToken bool) {
	if address == "" {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		k.doc.Report(key, fmt.Sprintf("%q is not an IP address with a port", address), `write one such as "10.0.0.7:7000"`)
		return
	}
	if parsed.Addr().IsLoopback() || k.s.Open {
		return
	}
	if !k.s.TLS.Configured() {
		k.doc.Report(key, fmt.Sprintf("%s is not a loopback address and there is no TLS", address), "set [tls] cert, key and ca, or write open = true to allow unauthenticated access")
	}
	if !hasToken {
		k.doc.Report(key, fmt.Sprintf("%s is not a loopback address and there is no token", address), "set the token file in [auth], or write open = true to allow unauthenticated access")
	}
}

func (k *checker) checkPeers(key string, peers []Peer) {
	seen := make(map[string]bool)
	for i, p := range peers {
		path := fmt.Sprintf("%s[%d]", key, i)
		if !namePattern.MatchString(p.Name) {
			k.doc.Report(path+".name", fmt.Sprintf("%q is not a name", p.Name), "write the name of that process")
		}
		if seen[p.Name] {
			k.doc.Report(path+".name", fmt.Sprintf("%q is listed twice", p.Name), "remove one")
		}
		seen[p.Name] = true
		k.checkAddress(path+".links", p.Links)
		if p.Admin != "" {
			k.checkAddress(path+".admin", p.Admin)
		}
	}
}

func (k *checker) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		k.doc.Report(key, fmt.Sprintf("%q is not an IP address with a port", address), `write one such as "10.0.0.7:7000"`)
	}
}

func (k *checker) checkTLS() {
	t := k.s.TLS
	if t == (TLS{}) {
		return
	}
	if !t.Configured() {
		k.doc.Report("tls", "only some of cert, key and ca are set", "set all three")
	}
	k.checkFile("tls.cert", t.Cert)
	k.checkFile("tls.key", t.Key)
	k.checkFile("tls.ca", t.CA)
}

func (k *checker) checkFile(key, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		k.doc.Report(key, err.Error(), "name a file that this process can read")
		return
	}
	_ = f.Close()
}
