package config

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"sort"
	"strings"
	"time"

	"merlinhall/strict"
)

// namePattern restricts names to what is safe in URLs, file names and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// reservedNames are the first path segments of a process's own endpoints. On the callers'
// listener, /v1/completions and the API for trainers would take precedence over the paths
// of a service named v1. The other listeners use the rest.
var reservedNames = map[string]bool{"v1": true, "metrics": true, "healthz": true, "readyz": true, "dump": true, "link": true}

// maxDuration is the maximum deadline, equal to agent.MaxDeadline. It limits how long the
// request tables of agents must keep request ids.
const maxDuration = time.Hour

// checker checks values and the references between them, after the text has been
// decoded without faults.
type checker struct {
	doc     *strict.Document
	raw     *document
	config  *Config
	zones   map[string]bool
	callees map[string]bool   // services and pools
	targets map[string]string // target name to its key
	agents  map[string]string // agent address to the key of its target
	// accounts are the names of the client accounts.
	accounts map[string]bool
}

func newChecker(doc *strict.Document, raw *document, c *Config) *checker {
	return &checker{
		doc:     doc,
		raw:     raw,
		config:  c,
		zones:   make(map[string]bool),
		callees: make(map[string]bool),
		targets: make(map[string]string),
		agents:  make(map[string]string),

		accounts: make(map[string]bool),
	}
}

func (k *checker) check() {
	k.checkLimits()
	k.checkZones()
	k.collectNames()
	k.checkAccounts()
	for i := range k.config.Services {
		k.checkService(i)
	}
	for i := range k.config.Pools {
		k.checkPool(i)
	}
	k.checkTrainers()
	k.checkCycles()
}

func (k *checker) checkLimits() {
	k.checkRange("limits.retry_share", k.config.Limits.RetryShare, 0, 1)
	k.checkRange("limits.max_ejected_share", k.config.Limits.MaxEjectedShare, 0, 0.9)
}

func (k *checker) checkZones() {
	for i, z := range k.config.Zones {
		key := fmt.Sprintf("zone[%d]", i)
		k.define(k.zones, key, "zone", z.Name)
	}
	if len(k.config.Zones) == 0 {
		k.doc.Report("zone", "no zone is defined", "add a [[zone]] with a name")
	}
}

func (k *checker) collectNames() {
	for i, s := range k.config.Services {
		k.collectName(fmt.Sprintf("service[%d]", i), s.Name)
	}
	for i, p := range k.config.Pools {
		k.collectName(fmt.Sprintf("pool[%d]", i), p.Name)
	}
}

func (k *checker) collectName(key, name string) {
	if reservedNames[name] {
		k.doc.Report(key+".name", fmt.Sprintf("%q is reserved", name), "choose another name")
	}
	k.define(k.callees, key, "service or pool", name)
}

// define checks the name of a thing of which each may be defined once, and notes it.
func (k *checker) define(defined map[string]bool, key, what, name string) {
	k.checkName(key, name)
	if defined[name] {
		k.reportDuplicate(key, what, name)
	}
	defined[name] = true
}

func (k *checker) checkService(i int) {
	s := &k.config.Services[i]
	key := fmt.Sprintf("service[%d]", i)
	for j, dependency := range s.DependsOn {
		if !k.callees[dependency] {
			k.reportUndefined(fmt.Sprintf("%s.depends_on[%d]", key, j), "service or pool", dependency, sortedNames(k.callees))
		}
	}
	if s.Share <= 0 {
		k.doc.Report(key+".share", fmt.Sprintf("%v is not above 0", s.Share), "write a number above 0")
	}
	k.checkBounds(key, s.Deadline, s.IdleTimeout, s.MaxInFlight, s.Queue)
	k.checkCalls(key, i)
	k.checkTargets(key, s.Targets, false)
	k.checkAccess(key, s.Access)
}

func (k *checker) checkPool(i int) {
	p := &k.config.Pools[i]
	key := fmt.Sprintf("pool[%d]", i)
	k.checkBounds(key, p.Deadline, p.IdleTimeout, p.MaxInFlight, p.Queue)
	if p.WeightStore != "" {
		k.checkAddress(key+".weight_store", p.WeightStore)
	}
	seen := make(map[string]bool)
	for j, adapter := range p.Adapters {
		if seen[adapter] {
			k.reportDuplicate(fmt.Sprintf("%s.adapters[%d]", key, j), "adapter", adapter)
		}
		seen[adapter] = true
	}
	k.checkTargets(key, p.Targets, true)
	k.checkAccess(key, p.Access)
}

func (k *checker) checkBounds(key string, deadline, idle time.Duration, inFlight, queue int) {
	if deadline <= 0 || deadline > maxDuration {
		k.doc.Report(key+".deadline", fmt.Sprintf("%s is out of range", deadline), fmt.Sprintf("write a time above 0 and up to %s", maxDuration))
	}
	if idle <= 0 || idle > maxDuration {
		k.doc.Report(key+".idle_timeout", fmt.Sprintf("%s is out of range", idle), fmt.Sprintf("write a time above 0 and up to %s", maxDuration))
	}
	if idle > deadline {
		k.doc.Report(key+".idle_timeout", fmt.Sprintf("%s is above the deadline of %s and can never be reached", idle, deadline), "write a time up to the deadline")
	}
	if inFlight < 1 {
		k.doc.Report(key+".max_in_flight", fmt.Sprintf("%d is not above 0", inFlight), "write a whole number above 0")
	}
	if queue < 0 {
		k.doc.Report(key+".queue", fmt.Sprintf("%d is negative", queue), "write 0 or more")
	}
}

func (k *checker) checkCalls(key string, i int) {
	seen := make(map[string]bool)
	for j, c := range k.raw.Service[i].Call {
		callKey := fmt.Sprintf("%s.call[%d]", key, j)
		if c.Idempotent == nil {
			k.doc.Report(callKey+".idempotent", "it is not stated whether the call may be repeated", "write idempotent = true or false")
		}
		if c.Method != "" && !knownMethod(c.Method) {
			k.doc.Report(callKey+".method", fmt.Sprintf("%q is not an HTTP method", c.Method), "write a method in capitals, such as POST")
		}
		if c.PathPrefix != "" && !strings.HasPrefix(c.PathPrefix, "/") {
			k.doc.Report(callKey+".path_prefix", fmt.Sprintf("%q does not start with /", c.PathPrefix), "write a path that starts with /")
		}
		id := c.Method + " " + c.PathPrefix
		if seen[id] {
			k.reportDuplicate(callKey, "call", id)
		}
		seen[id] = true
	}
}

func knownMethod(method string) bool {
	return idempotentMethod(method) || method == http.MethodPost || method == http.MethodPatch
}

func (k *checker) checkTargets(key string, targets []Target, engine bool) {
	if len(targets) == 0 {
		k.doc.Report(key+".target", "there is no target", "add a target")
	}
	for i, t := range targets {
		k.checkTarget(fmt.Sprintf("%s.target[%d]", key, i), t, engine)
	}
}

func (k *checker) checkTarget(key string, t Target, engine bool) {
	k.checkName(key, t.Name)
	if first, taken := k.targets[t.Name]; taken {
		k.doc.Report(key+".name", fmt.Sprintf("target %q is already %s", t.Name, first), "choose another name")
	}
	k.targets[t.Name] = key
	if !k.zones[t.Zone] {
		k.reportUndefined(key+".zone", "zone", t.Zone, sortedNames(k.zones))
	}
	k.checkAddress(key+".agent", t.Agent)
	k.checkAddress(key+".address", t.Address)
	if first, taken := k.agents[t.Agent]; taken {
		k.doc.Report(key+".agent", fmt.Sprintf("address %s is already the agent of %s", t.Agent, first), "give each target an agent of its own")
	}
	k.agents[t.Agent] = key
	switch {
	case t.Role == "" || engine && (t.Role == "prefill" || t.Role == "decode" || t.Role == "both"):
	case engine:
		k.doc.Report(key+".role", fmt.Sprintf("%q is not a role", t.Role), `write "prefill", "decode" or "both"`)
	default:
		k.doc.Report(key+".role", "a plain service has no role", "remove it")
	}
}

func (k *checker) checkTrainers() {
	seen := make(map[string]bool)
	for i, t := range k.config.Trainers {
		key := fmt.Sprintf("trainer[%d]", i)
		k.define(seen, key, "trainer", t.Name)
		k.checkTrainer(key, i)
	}
}

func (k *checker) checkTrainer(key string, i int) {
	t := &k.config.Trainers[i]
	if len(t.Pools) == 0 {
		k.doc.Report(key+".pools", "the trainer draws from no pool", "name at least one pool")
	}
	for j, pool := range t.Pools {
		if k.config.Pool(pool) == nil {
			k.reportUndefined(fmt.Sprintf("%s.pools[%d]", key, j), "pool", pool, poolNames(k.config))
		}
	}
	if k.raw.Trainer[i].StalenessBound == nil {
		k.doc.Report(key+".staleness_bound", "the staleness bound is not stated", "write the number of versions that a sample may be old")
	}
	if t.GroupSize < 1 {
		k.doc.Report(key+".group_size", fmt.Sprintf("%d is not above 0", t.GroupSize), "write the number of samples of a group")
	}
	if t.Share <= 0 {
		k.doc.Report(key+".share", fmt.Sprintf("%v is not above 0", t.Share), "write a number above 0")
	}
	if t.Scorer != "" && k.config.Service(t.Scorer) == nil {
		k.reportUndefined(key+".scorer", "service", t.Scorer, serviceNames(k.config))
	}
	if t.Deadline <= 0 || t.Deadline > maxDuration {
		k.doc.Report(key+".deadline", fmt.Sprintf("%s is out of range", t.Deadline), fmt.Sprintf("write a time above 0 and up to %s", maxDuration))
	}
}

// checkCycles reports cycles in the dependencies between services.
func (k *checker) checkCycles() {
	const visiting, done = 1, 2
	state := make(map[string]int)
	var path []string
	var visit func(name string)
	visit = func(name string) {
		s := k.config.Service(name)
		if s == nil || state[name] == done {
			return
		}
		if state[name] == visiting {
			k.reportCycle(append(path, name))
			return
		}
		state[name] = visiting
		path = append(path, name)
		for _, dependency := range s.DependsOn {
			visit(dependency)
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range k.config.Services {
		visit(s.Name)
	}
}

func (k *checker) reportCycle(path []string) {
	last := path[len(path)-1]
	start := 0
	for path[start] != last {
		start++
	}
	for i, s := range k.config.Services {
		if s.Name == last {
			k.doc.Report(fmt.Sprintf("service[%d].depends_on", i), "the dependencies form a cycle: "+strings.Join(path[start:], " -> "), "remove one of them")
		}
	}
}

func (k *checker) checkName(key, name string) {
	if !namePattern.MatchString(name) {
		k.doc.Report(key+".name", fmt.Sprintf("%q is not a name", name), "use 1 to 63 lower-case letters, digits, dots, hyphens or underscores")
	}
}

func (k *checker) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		k.doc.Report(key, fmt.Sprintf("%q is not an IP address with a port", address), `write one such as "10.0.0.7:7100"`)
	}
}

func (k *checker) checkRange(key string, v, low, high float64) {
	if v < low || v > high {
		k.doc.Report(key, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("write a number from %v to %v", low, high))
	}
}

func (k *checker) reportDuplicate(key, what, name string) {
	k.doc.Report(key+".name", fmt.Sprintf("%s %q is defined twice", what, name), "remove or rename one")
}

func (k *checker) reportUndefined(key, what, name string, known []string) {
	k.doc.Report(key, fmt.Sprintf("%s %q is not defined", what, name), "define it or use one of: "+strings.Join(known, ", "))
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func poolNames(c *Config) []string {
	names := make([]string, 0, len(c.Pools))
	for _, p := range c.Pools {
		names = append(names, p.Name)
	}
	return names
}

func serviceNames(c *Config) []string {
	names := make([]string, 0, len(c.Services))
	for _, s := range c.Services {
		names = append(names, s.Name)
	}
	return names
}
