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
	// hostsPeriod is the time between two readings of the host list. A leaving
	// target must get no new work within 3 s of the first sign.
	hostsPeriod = 500 * time.Millisecond
	hostsLimit  = 400 * time.Millisecond
	// maxHostsBytes bounds the host list; an entry takes about 50 bytes.
	maxHostsBytes = 4 << 20
	// liveReadings is how many readings in a row must list a leaving host as live
	// before its targets come back, because the list lags and may show old states.
	liveReadings = 4
)

// HostState is one entry of the platform's host list.
type HostState struct {
	Host  string `json:"host"`  // IP address
	State string `json:"state"` // "live"; all else means that the host leaves
}

const stateLive = "live"

// hostWatch decides from the host list and the applied state what must change.
// It does no I/O.
type hostWatch struct {
	live map[string]int // leaving hosts: readings in a row that list them as live
}

// plan returns the change that the host list asks for. list is nil when it could
// not be read; then only the targets of hosts already leaving are brought up to
// date. A host that is missing from the list keeps its state, because the list
// lags, and is forgotten when the configuration has none of its targets.
func (h *hostWatch) plan(list []HostState, state departureState, c *config.Config) changeDepartures {
	listed := make(map[string]string, len(list))
	for _, entry := range list {
		listed[entry.Host] = entry.State
	}
	targets := targetsByHost(c)
	var change changeDepartures
	leaving := make(map[string]leavingHost, len(state.Hosts))
	for _, old := range state.Hosts {
		leaving[old.Host] = old
		if h.returns(old.Host, listed, targets) {
			change.Back = append(change.Back, old.Host)
			continue
		}
		if !slices.Equal(old.Targets, targets[old.Host]) {
			change.Leaving = append(change.Leaving, leavingHost{Host: old.Host, Targets: targets[old.Host]})
		}
	}
	for _, host := range slices.Sorted(maps.Keys(listed)) {
		if _, known := leaving[host]; !known && listed[host] != stateLive && net.ParseIP(host) != nil {
			change.Leaving = append(change.Leaving, leavingHost{Host: host, Targets: targets[host]})
		}
	}
	change.Undrain = unknownTargets(state.Drained, c)
	return change
}

// returns reports whether a leaving host no longer leaves.
func (h *hostWatch) returns(host string, listed map[string]string, targets map[string][]string) bool {
	switch state, ok := listed[host]; {
	case !ok:
		delete(h.live, host)
		return len(listed) > 0 && len(targets[host]) == 0
	case state != stateLive:
		delete(h.live, host)
		return false
	}
	h.live[host]++
	if h.live[host] < liveReadings {
		return false
	}
	delete(h.live, host)
	return true
}

// unknownTargets returns the draining targets that are not configured any more.
func unknownTargets(drained map[string]wire.Fence, c *config.Config) []string {
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

// hostsOf returns the hosts that a target needs: its own and that of its agent.
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

func (c *changeDepartures) empty() bool {
	return len(c.Drain)+len(c.Undrain)+len(c.Leaving)+len(c.Back) == 0
}

// startHosts runs the duty that keeps departures in step with the host list and
// the configuration.
func (c *Control) startHosts() {
	watch := &hostWatch{live: make(map[string]int)}
	client := &http.Client{Timeout: hostsLimit}
	c.run(c.o.HostsPeriod, func() { c.followHosts(watch, client) })
}

// followHosts is one reading. It acts on the leader only; a change that fails is
// planned again with the next reading.
func (c *Control) followHosts(watch *hostWatch, client *http.Client) {
	w := c.o.Machine.World()
	if !c.o.Log.Status().Leading || w == nil || w.ConfigVersion == 0 {
		clear(watch.live)
		return
	}
	// The configuration may be newer than w; the change is void then.
	parsed := c.o.Machine.Config()
	if parsed == nil {
		return
	}
	list, err := c.readHosts(client)
	if err != nil {
		c.logf("host list cannot be read: %v", err)
	}
	change := watch.plan(list, c.o.Machine.departureState(), parsed)
	if change.empty() {
		return
	}
	change.IfConfig = w.ConfigVersion
	body, err := wire.Marshal(&change)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.done, callTimeout)
	defer cancel()
	if _, err := c.Propose(ctx, "departures", "", body); err != nil {
		c.logf("change of departures failed: %v", err)
	}
}

// readHosts reads the host list; it is nil without an error when there is none.
func (c *Control) readHosts(client *http.Client) ([]HostState, error) {
	if c.o.HostsURL == "" {
		return nil, nil
	}
	request, err := http.NewRequestWithContext(c.done, http.MethodGet, c.o.HostsURL, nil)
	if err != nil {
		return nil, eris.Wrap(err, "host list")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("host list: status %d", response.StatusCode)
	}
	var list []HostState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHostsBytes)).Decode(&list); err != nil {
		return nil, eris.Wrap(err, "host list")
	}
	return list, nil
}

// departureState returns a copy of the departures.
func (m *Machine) departureState() departureState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.copyState()
}
