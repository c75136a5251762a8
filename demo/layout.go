// Package demo implements the demo, a complete system on one host. It writes the
// settings and configurations, watches the processes, and checks the run against the
// records of the stand-ins. Each process listens on its own loopback address.
package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"merlinhall/accounts"
)

// Ports; processes of a kind share them, because each has its own IP address.
const (
	portLinks   = 7000
	portAdmin   = 7001
	portCallers = 8080
	portTarget  = 8100
	portStore   = 9000
)

// Names of the services in the demo.
const (
	serviceName = "budget-svc"
	scorerName  = "score-svc"
)

// callers are the client accounts of the demo, one for each caller. demo/run.sh gives each
// caller the key of its account.
var callers = []string{"buyers", "reviewers"}

// callerKey returns the key of a caller's account.
func callerKey(name string) string { return "demo-key-" + name }

// Sizes of a trainer's step, and its staleness bound in versions.
const (
	promptsPerStep = 8
	groupSize      = 4
	samplesPerStep = promptsPerStep * groupSize
	stalenessBound = 2
)

// target describes a target and its agent.
type target struct {
	name          string
	kind          string // "engine" or "service"
	poolOrService string // name of the pool or service
	zone          string
	agentIP       string
	ip            string
}

// process is a control or entry process.
type process struct {
	name string
	ip   string
	zone string
}

var zones = []string{"bole", "kirkos", "yeka", "lideta"}

var controls = []process{
	{"control-1", "127.0.1.1", "bole"},
	{"control-2", "127.0.1.2", "kirkos"},
	{"control-3", "127.0.1.3", "yeka"},
}

var entries = []process{
	{"entry-1", "127.0.2.1", "bole"},
	{"entry-2", "127.0.2.2", "lideta"},
}

// trainer is a trainer and the pool whose weights it publishes.
type trainer struct {
	name string
	pool string
}

var trainers = []trainer{{"approver", "policy-lm"}, {"auditor", "audit-lm"}}

func targets() []target {
	var out []target
	add := func(name, kind, group, zone string) {
		n := len(out) + 1
		out = append(out, target{name, kind, group, zone, fmt.Sprintf("127.0.3.%d", n), fmt.Sprintf("127.0.4.%d", n)})
	}
	for i := range 4 {
		add(fmt.Sprintf("policy-lm-%d", i), "engine", "policy-lm", zones[i])
	}
	for i := range 2 {
		add(fmt.Sprintf("audit-lm-%d", i), "engine", "audit-lm", zones[i])
	}
	add("budget-svc-0", "service", serviceName, "yeka")
	add("budget-svc-1", "service", serviceName, "lideta")
	add("score-svc-0", "service", scorerName, "bole")
	return out
}

const storeIP = "127.0.5.1"

// WriteFiles writes settings, configurations and the list of processes to dir. If tls
// is set, it also writes keys and tokens, and the settings refer to them.
func WriteFiles(dir string, tls bool) error {
	for _, sub := range []string{"settings", "data", "record", "log"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return eris.Wrap(err, "demo")
		}
	}
	files := map[string]string{
		"config-1.toml": configuration("10s"),
		"config-2.toml": configuration("12s"),
		"config-3.toml": configuration("15s"),
		"processes":     processList(dir),
	}
	for _, p := range controls {
		files["settings/"+p.name+".toml"] = controlSettings(dir, p) + keySettings(dir, p.name, tls)
	}
	for _, p := range entries {
		files["settings/"+p.name+".toml"] = entrySettings(p) + keySettings(dir, p.name, tls)
	}
	for _, t := range targets() {
		files["settings/agent-"+t.name+".toml"] = agentSettings(t) + keySettings(dir, "agent-"+t.name, tls)
	}
	if tls {
		if err := writeKeys(dir); err != nil {
			return err
		}
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return eris.Wrap(err, "demo")
		}
	}
	return nil
}

// keySettings returns the TLS and authentication settings of a process.
func keySettings(dir, name string, tls bool) string {
	if !tls {
		return ""
	}
	return fmt.Sprintf("[tls]\ncert = %q\nkey = %q\nca = %q\n[auth]\noperator_token_file = %q\ntrainer_token_file = %q\n",
		certPath(dir, name), keyPath(dir, name), filepath.Join(dir, caFile),
		filepath.Join(dir, operatorTokenFile), filepath.Join(dir, trainerTokenFile))
}

func writeControlPeers(b *strings.Builder) {
	for _, p := range controls {
		fmt.Fprintf(b, "[[control]]\nname = %q\nzone = %q\nlinks = \"%s:%d\"\nadmin = \"%s:%d\"\n", p.name, p.zone, p.ip, portLinks, p.ip, portAdmin)
	}
}

func controlSettings(dir string, p process) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nzone = %q\nroles = [\"control\"]\ndata_dir = %q\n", p.name, p.zone, filepath.Join(dir, "data", p.name))
	fmt.Fprintf(&b, "[listen]\nlinks = \"%s:%d\"\nadmin = \"%s:%d\"\n", p.ip, portLinks, p.ip, portAdmin)
	writeControlPeers(&b)
	return b.String()
}

func entrySettings(p process) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nzone = %q\nroles = [\"entry\"]\n", p.name, p.zone)
	fmt.Fprintf(&b, "[listen]\ncallers = \"%s:%d\"\nlinks = \"%s:%d\"\nadmin = \"%s:%d\"\n", p.ip, portCallers, p.ip, portLinks, p.ip, portAdmin)
	writeControlPeers(&b)
	return b.String()
}

func agentSettings(t target) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"agent-%s\"\nzone = %q\nroles = [\"agent\"]\n", t.name, t.zone)
	fmt.Fprintf(&b, "[listen]\nlinks = \"%s:%d\"\nadmin = \"%s:%d\"\n", t.agentIP, portLinks, t.agentIP, portAdmin)
	fmt.Fprintf(&b, "[agent]\ntarget = %q\nkind = %q\naddress = \"%s:%d\"\n", t.name, t.kind, t.ip, portTarget)
	writeControlPeers(&b)
	for _, p := range entries {
		fmt.Fprintf(&b, "[[entries]]\nname = %q\nzone = %q\nlinks = \"%s:%d\"\n", p.name, p.zone, p.ip, portLinks)
	}
	return b.String()
}

func configuration(deadline string) string {
	var b strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = \"addis\"\n\n", z)
	}
	for _, t := range trainers {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\ndeadline = \"30s\"\nweight_store = \"%s:%d\"\n", t.pool, storeIP, portStore)
		writeTargets(&b, "pool", t.pool)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\ndepends_on = [\"policy-lm\"]\ndeadline = %q\n", serviceName, deadline)
	b.WriteString("[[service.call]]\nmethod = \"POST\"\npath_prefix = \"/check\"\nidempotent = false\n")
	writeTargets(&b, "service", serviceName)
	fmt.Fprintf(&b, "[[service]]\nname = %q\n[[service.call]]\nmethod = \"POST\"\npath_prefix = \"/\"\nidempotent = true\n", scorerName)
	writeTargets(&b, "service", scorerName)
	for _, t := range trainers {
		fmt.Fprintf(&b, "[[trainer]]\nname = %q\npools = [%q]\nstaleness_bound = %d\ngroup_size = %d\nscorer = %q\n\n", t.name, t.pool, stalenessBound, groupSize, scorerName)
	}
	for _, name := range callers {
		digest := accounts.DigestOf(callerKey(name))
		fmt.Fprintf(&b, "[[account]]\nname = %q\nkey_digests = [\"%x\"]\n\n", name, digest[:])
	}
	return b.String()
}

func writeTargets(b *strings.Builder, table, poolOrService string) {
	for _, t := range targets() {
		if t.poolOrService != poolOrService {
			continue
		}
		fmt.Fprintf(b, "[[%s.target]]\nname = %q\nzone = %q\nagent = \"%s:%d\"\naddress = \"%s:%d\"\n", table, t.name, t.zone, t.agentIP, portLinks, t.ip, portTarget)
		if t.name == "policy-lm-0" || t.name == "audit-lm-0" {
			b.WriteString("checks_fence = true\n")
		}
	}
	b.WriteString("\n")
}

// processList returns one line per process with its name and its command line.
// demo/run.sh starts the processes from it.
func processList(dir string) string {
	var b strings.Builder
	record := func(name string) string { return filepath.Join(dir, "record", name+".jsonl") }
	fmt.Fprintf(&b, "store merlinhall standin store --listen %s:%d\n", storeIP, portStore)
	for _, t := range targets() {
		flags := ""
		if t.name == "policy-lm-0" || t.name == "audit-lm-0" {
			flags = " --checks-fence"
		}
		kind := t.kind
		switch {
		case t.poolOrService == scorerName:
			kind = "scorer"
		case kind == "service":
			flags = " --name " + t.name // is in its answers
		}
		fmt.Fprintf(&b, "%s merlinhall standin %s --listen %s:%d --record %s%s\n", t.name, kind, t.ip, portTarget, record(t.name), flags)
	}
	daemon := func(name string) {
		fmt.Fprintf(&b, "%s merlinhalld --settings %s\n", name, filepath.Join(dir, "settings", name+".toml"))
	}
	for _, p := range controls {
		daemon(p.name)
	}
	for _, t := range targets() {
		daemon("agent-" + t.name)
	}
	for _, p := range entries {
		daemon(p.name)
	}
	return b.String()
}
