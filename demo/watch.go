package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	watchPeriod  = 100 * time.Millisecond
	watchTimeout = 400 * time.Millisecond
	// stoppedAfter is the time without a successful poll after which a process counts
	// as stopped.
	stoppedAfter = time.Second
)

// Observation is the configuration version that a process reported at a point
// in time.
type Observation struct {
	At      int64  `json:"at"` // Unix time in milliseconds
	Process string `json:"process"`
	Version uint64 `json:"version"`
}

// AcceptRecord is one line of accepted.jsonl: a configuration version and the time at
// which its acceptance was confirmed to the operator.
type AcceptRecord struct {
	At      int64  `json:"at"` // Unix time in milliseconds
	Version uint64 `json:"version"`
}

// Watch polls the configuration version of every process until ctx is done. It writes
// one Observation as JSON per line to out.
func Watch(ctx context.Context, client *http.Client, scheme string, out io.Writer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, address := range adminAddresses() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			watchProcess(ctx, client, name, scheme+"://"+address, func(s Observation) {
				line, _ := json.Marshal(s)
				mu.Lock()
				defer mu.Unlock()
				_, _ = out.Write(append(line, '\n'))
			})
		}()
	}
	wg.Wait()
}

func adminAddresses() map[string]string {
	addresses := make(map[string]string)
	for name, ip := range processIPs() {
		addresses[name] = fmt.Sprintf("%s:%d", ip, portAdmin)
	}
	return addresses
}

func watchProcess(ctx context.Context, client *http.Client, name, url string, report func(Observation)) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if version, ok := fetchConfigVersion(ctx, client, url); ok {
			report(Observation{At: time.Now().UnixMilli(), Process: name, Version: version})
		}
	}
}

// maxStateBytes bounds the cluster state of a process.
const maxStateBytes = 16 << 20

func fetchConfigVersion(ctx context.Context, client *http.Client, url string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/world", nil)
	if err != nil {
		return 0, false
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var clusterState struct {
		ConfigVersion uint64 `json:"config_version"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&clusterState) != nil {
		return 0, false
	}
	return clusterState.ConfigVersion, clusterState.ConfigVersion > 0
}

// summarizeObservations returns how often a process reported an older version than
// before, and the longest time in milliseconds from the acceptance of a version until
// a running process reported it.
func summarizeObservations(observations []Observation, accepted []AcceptRecord) (reverts int, inForceMs int64) {
	byProcess := make(map[string][]Observation)
	for _, s := range observations {
		byProcess[s.Process] = append(byProcess[s.Process], s)
	}
	for _, seen := range byProcess {
		reverts += countReverts(seen)
		for _, a := range accepted {
			inForceMs = max(inForceMs, timeToVersion(seen, a))
		}
	}
	return reverts, inForceMs
}

func countReverts(seen []Observation) int {
	reverts := 0
	for i := 1; i < len(seen); i++ {
		if seen[i].Version < seen[i-1].Version {
			reverts++
		}
	}
	return reverts
}

// timeToVersion returns the time from the acceptance of a version until the process
// reported it, in milliseconds. For a process that was stopped in between, the time
// counts from its first observation after the stop. It returns 0 if the process never
// reported the version.
func timeToVersion(seen []Observation, a AcceptRecord) int64 {
	from := a.At
	previous := a.At
	for _, s := range seen {
		if s.At < a.At {
			continue
		}
		if s.At-previous > stoppedAfter.Milliseconds() {
			from = s.At
		}
		previous = s.At
		if s.Version >= a.Version {
			return s.At - from
		}
	}
	return 0
}
