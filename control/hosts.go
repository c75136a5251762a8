package control

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/wire"
)

const (
	// hostListPeriod is the polling period of the host list. New work for a target
	// must stop within 3 s after its host is first listed as leaving.
	hostListPeriod  = 500 * time.Millisecond
	hostListTimeout = 400 * time.Millisecond
	// maxHostListBytes is the maximum size of the host list. An entry takes about
	// 50 bytes.
	maxHostListBytes = 4 << 20
	// maxHostListHeaderBytes is that of its header. The default of net/http is 10 MB.
	maxHostListHeaderBytes = 64 << 10
	// minLiveReadings is the number of consecutive polls that must list a leaving host
	// as live before its targets return. The list lags and may show outdated states.
	minLiveReadings = 4
)

// HostState is one entry of the platform's host list.
type HostState struct {
	Host  string `json:"host"`  // IP address
	State string `json:"state"` // "live"; any other value means that the host is leaving
}

const hostStateLive = "live"

// departurePlanner computes the changes needed to bring the departures in line with the
// host list. It does no I/O.
type departurePlanner struct {
	liveReadings map[string]int // number of consecutive polls that list a leaving host as live
}

// plan returns the command that applies the host list. If the list could not be read,
// list is nil, and only the targets of hosts that are already leaving are updated. A
// host that is missing from the list keeps its state, because the list lags, and is
// removed once the configuration has no targets on it.
func (h *departurePlanner) plan(list []HostState, state departureState, c *config.Config) departuresCommand {
	listed := make(map[string]string, len(list))
	for _, entry := range list {
		listed[entry.Host] = entry.State
	}
	targets := targetsByHost(c)
	var change departuresCommand
	leaving := make(map[string]leavingHost, len(state.Hosts))
	for _, old := range state.Hosts {
		leaving[old.Host] = old
		if h.noLongerLeaving(old.Host, listed, targets) {
			change.Returned = append(change.Returned, old.Host)
			continue
		}
		if !slices.Equal(old.Targets, targets[old.Host]) {
			change.Leaving = append(change.Leaving, leavingHost{Host: old.Host, Targets: targets[old.Host]})
		}
	}
	for _, host := range slices.Sorted(maps.Keys(listed)) {
		if _, known := leaving[host]; !known && listed[host] != hostStateLive && net.ParseIP(host) != nil {
			change.Leaving = append(change.Leaving, leavingHost{Host: host, Targets: targets[host]})
		}
	}
	change.Undrain = unconfiguredTargets(state.Drained, c)
	return change
}

// noLongerLeaving reports whether a leaving host is to be removed from the leaving hosts.
func (h *departurePlanner) noLongerLeaving(host string, listed map[string]string, targets map[string][]string) bool {
	switch state, ok := listed[host]; {
	case !ok:
		delete(h.liveReadings, host)
		return len(listed) > 0 && len(targets[host]) == 0
	case state != hostStateLive:
		delete(h.liveReadings, host)
		return false
	}
	h.liveReadings[host]++
	if h.liveReadings[host] < minLiveReadings {
		return false
	}
	delete(h.liveReadings, host)
	return true
}

// unconfiguredTargets returns the draining targets that are no longer configured.
func unconfiguredTargets(drained map[string]wire.Fence, c *config.Config) []string {
	if len(drained) == 0 {
		return nil
	}
	known := make(map[string]bool)
	for _, t := range targetsOf(c) {
		known[t.Name] = true
	}
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(drained)) {
		if !known[name] {
			gone = append(gone, name)
		}
	}
	return gone
}

// targetsByHost maps each host to the sorted names of the targets on it.
func targetsByHost(c *config.Config) map[string][]string {
	byHost := make(map[string][]string)
	for _, t := range targetsOf(c) {
		for _, host := range hostsOf(t) {
			byHost[host] = append(byHost[host], t.Name)
		}
	}
	for host := range byHost {
		slices.Sort(byHost[host])
	}
	return byHost
}

// hostsOf returns the hosts that a target depends on: its own and its agent's.
func hostsOf(t config.Target) []string {
	var hosts []string
	for _, address := range []string{t.Address, t.Agent} {
		host, _, err := net.SplitHostPort(address)
		if err == nil && host != "" && !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (c *departuresCommand) empty() bool {
	return len(c.Drain)+len(c.Undrain)+len(c.Leaving)+len(c.Returned) == 0
}

func newHostListClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHostListHeaderBytes
	return &http.Client{Timeout: hostListTimeout, Transport: transport}
}

// startHostReconciler starts the loop that reconciles the departures with the host list
// and the configuration.
func (c *Control) startHostReconciler() {
	planner := &departurePlanner{liveReadings: make(map[string]int)}
	client := newHostListClient()
	c.runEvery(c.options.HostsPeriod, func() { c.reconcileHosts(planner, client) })
}

// reconcileHosts reads the host list once and proposes the resulting change. It runs on
// the leader only. A change that fails is planned again at the next poll.
func (c *Control) reconcileHosts(planner *departurePlanner, client *http.Client) {
	state := c.options.Machine.ClusterState()
	if !c.options.Log.Status().Leading || state == nil || state.ConfigVersion == 0 {
		clear(planner.liveReadings)
		return
	}
	// The parsed configuration may be newer than the cluster state. The change is then
	// refused.
	parsed := c.options.Machine.Config()
	if parsed == nil {
		return
	}
	list, err := c.fetchHostList(client)
	if err != nil {
		c.logf("failed to read the host list: %v", err)
	}
	change := planner.plan(list, c.options.Machine.departureState(), parsed)
	if change.empty() {
		return
	}
	change.IfConfigVersion = state.ConfigVersion
	body, err := wire.Marshal(&change)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.runCtx, callTimeout)
	defer cancel()
	if _, err := c.Propose(ctx, "departures", "", body); err != nil {
		c.logf("failed to update departures: %v", err)
	}
}

// fetchHostList returns the host list. If no HostsURL is set, it returns nil and no
// error.
func (c *Control) fetchHostList(client *http.Client) ([]HostState, error) {
	if c.options.HostsURL == "" {
		return nil, nil
	}
	request, err := http.NewRequestWithContext(c.runCtx, http.MethodGet, c.options.HostsURL, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create host list request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "get host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("get host list: unexpected status %d", response.StatusCode)
	}
	var list []HostState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHostListBytes)).Decode(&list); err != nil {
		return nil, eris.Wrap(err, "decode host list")
	}
	return list, nil
}

// departureState returns a copy of the departures state.
func (m *StateMachine) departureState() departureState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.copyState()
}
