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
	// watchGap is the time without an answer after which a process counts as
	// stopped.
	watchGap = time.Second
)

// Sighting is the configuration version that a process held at a time.
type Sighting struct {
	At      int64  `json:"at"` // Unix time in milliseconds
	Process string `json:"process"`
	Version uint64 `json:"version"`
}

// Accepted is the time at which the operator was told that a version is
// accepted.
type Accepted struct {
	At      int64  `json:"at"` // Unix time in milliseconds
	Version uint64 `json:"version"`
}

// Watch polls the configuration version of every process and writes one Sighting
// as JSON a line until ctx ends.
func Watch(ctx context.Context, client *http.Client, scheme string, out io.Writer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, address := range adminAddresses() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			watchProcess(ctx, client, name, scheme+"://"+address, func(s Sighting) {
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

func watchProcess(ctx context.Context, client *http.Client, name, url string, report func(Sighting)) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if version, ok := heldVersion(ctx, client, url); ok {
			report(Sighting{At: time.Now().UnixMilli(), Process: name, Version: version})
		}
	}
}

func heldVersion(ctx context.Context, client *http.Client, url string) (uint64, bool) {
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
	var world struct {
		ConfigVersion uint64 `json:"config_version"`
	}
	if json.NewDecoder(resp.Body).Decode(&world) != nil {
		return 0, false
	}
	return world.ConfigVersion, world.ConfigVersion > 0
}

// judgeConfig returns how often a process went back to an older version, and the
// longest time from acceptance until every running process held a version.
func judgeConfig(sightings []Sighting, accepted []Accepted) (reverts int, inForceMs int64) {
	byProcess := make(map[string][]Sighting)
	for _, s := range sightings {
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

func countReverts(seen []Sighting) int {
	reverts := 0
	for i := 1; i < len(seen); i++ {
		if seen[i].Version < seen[i-1].Version {
			reverts++
		}
	}
	return reverts
}

// timeToVersion returns the time until the process held the version. For a
// process that was stopped it counts from the first sighting after the stop.
func timeToVersion(seen []Sighting, a Accepted) int64 {
	from := a.At
	previous := a.At
	for _, s := range seen {
		if s.At < a.At {
			continue
		}
		if s.At-previous > watchGap.Milliseconds() {
			from = s.At
		}
		previous = s.At
		if s.Version >= a.Version {
			return s.At - from
		}
	}
	return 0
}
