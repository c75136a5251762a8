package main

import (
	"fmt"
	"strings"
)

// Sizes of two years ahead.
const (
	nodes               = 370.0
	replicas            = 2600.0
	requestsPerSec      = 6600.0
	tokensPerSec        = 2.1e6
	samplesPerStep      = 6 * 1024.0
	stepSeconds         = 21 * 60.0
	groupSize           = 8.0
	configChangesPerSec = 3100.0 / 86400
	restartsPerSec      = 640.0 / 86400
	controlReplicas     = 5.0
	requestTableIDs     = 65536.0
	linksPerEntry       = 48.0 // maxLinks of package entry
	framesPerLink       = 1.8  // a load report a second one way, a heartbeat each 1.25 s the other
	idleProcessMB       = 25.0 // MB resident of an idle process, make path
	bytesPerSample      = 32e3 // 8,000 tokens of four bytes
)

// Limits of control for one node.
const (
	corePercentLimit = 1.0 // percent
	memoryLimitMB    = 256.0
	bytesPerSecLimit = 4096.0
)

// roleCost is the cost of control at one role.
type roleCost struct {
	role, state, messages string
	core, memory, bytes   float64
	// dedicatedHosts marks a role on hosts of its own, to which the limits of a node do
	// not apply; at most seven hosts may be set aside.
	dedicatedHosts bool
}

func (s *slopes) roleCosts() []roleCost {
	linksPerAgent := nodes * linksPerEntry / replicas
	groups := samplesPerStep / groupSize / stepSeconds
	commits := configChangesPerSec + 3*groups // a commit, a draw and an acknowledgement at most for each group
	load := s.atLargestSize("loadCPU") / 1e6 * configChangesPerSec * 100
	config := 3 * s.atLargestSize("textBytes") / 1e6
	children := nodes / controlReplicas
	// nodeBytes and nodeCore are those of one entry and its seven agents, so they
	// bound what one process spends.
	return []roleCost{
		{
			role:     "entry",
			state:    fmt.Sprintf("configuration, %.0f links, view of their targets", linksPerEntry),
			messages: fmt.Sprintf("%.0f heartbeats and load reports a second", linksPerEntry*framesPerLink),
			core:     linksPerEntry*s.highest("linkCore") + s.highest("nodeCore") + load,
			memory:   idleProcessMB + linksPerEntry*s.highest("linkMemory")/1e6 + config,
			bytes:    linksPerEntry*s.highest("linkBytes") + s.highest("nodeBytes"),
		},
		{
			role:     "agent",
			state:    fmt.Sprintf("configuration, %.1f links, up to %.0f request ids", linksPerAgent, requestTableIDs),
			messages: fmt.Sprintf("%.0f heartbeats and load reports a second", linksPerAgent*framesPerLink),
			core:     linksPerAgent*s.highest("linkCore") + s.highest("nodeCore")/8 + load,
			memory:   idleProcessMB + linksPerAgent*s.highest("linkMemory")/1e6 + config + requestTableIDs*s.highest("tableEntry")/1e6,
			bytes:    linksPerAgent*s.highest("linkBytes") + s.highest("nodeBytes")/8,
		},
		{
			role:           "control leader",
			dedicatedHosts: true,
			state:          "configuration and history, ledgers of 6 trainers, bodies of unacknowledged samples on disk",
			messages:       fmt.Sprintf("%.2f commits, %.1f samples, %.0f digests a second", commits, samplesPerStep/stepSeconds, children),
			core:           (nodes+controlReplicas)*s.highest("linkCore") + load + commits*s.highest("commit")/1e4 + samplesPerStep/stepSeconds*s.highest("planner")/1e7,
			memory:         idleProcessMB + (nodes+controlReplicas)*s.highest("linkMemory")/1e6 + config,
			bytes:          (nodes+controlReplicas)*s.highest("linkBytes") + children*s.highest("changeBytes")*configChangesPerSec + restartsPerSec*s.atLargestSize("textPacked"),
		},
		{
			role:           "control follower",
			dedicatedHosts: true,
			state:          "as the leader",
			messages:       fmt.Sprintf("%.2f appends, %.0f digests a second", commits, children),
			core:           (nodes+controlReplicas)*s.highest("linkCore") + load + commits*s.highest("commit")/1e4,
			memory:         idleProcessMB + (nodes+controlReplicas)*s.highest("linkMemory")/1e6 + config,
			bytes:          (nodes+controlReplicas)*s.highest("linkBytes") + children*s.highest("changeBytes")*configChangesPerSec + restartsPerSec*s.atLargestSize("textPacked"),
		},
	}
}

func (s *slopes) rolesTable() string {
	var b strings.Builder
	b.WriteString("| role | state | messages | core (≤ 1%) | memory (≤ 256 MB) | bytes a second (≤ 4,096) | met |\n|---|---|---|---|---|---|---|\n")
	for _, r := range s.roleCosts() {
		fmt.Fprintf(&b, "| %s | %s | %s | %.2f%% | %.0f MB | %.0f | %s |\n", r.role, r.state, r.messages, r.core, r.memory, r.bytes, limitsMet(r))
	}
	entryTokens := tokensPerSec / nodes
	agentTokens := tokensPerSec / replicas
	fmt.Fprintf(&b, "\nBeside control, the peak load costs an entry %.0f requests and %.0f tokens a second (%.1f%% of a core at the measured rate), and an agent %.1f requests and %.0f tokens a second (%.2f%% of a core). Sample bodies cost the leader about %.0f KB a second towards the other replicas at %.0f KB a sample.\n",
		requestsPerSec/nodes, entryTokens, 100*entryTokens/s.lowest("entryToken"),
		requestsPerSec/replicas, agentTokens, 100*agentTokens/s.lowest("agentToken"),
		samplesPerStep/stepSeconds*bytesPerSample*(controlReplicas-1)/1e3, bytesPerSample/1e3)
	return b.String()
}

func limitsMet(r roleCost) string {
	if r.dedicatedHosts {
		return fmt.Sprintf("set aside, %.0f of at most 7 hosts", controlReplicas)
	}
	var over []string
	if r.core > corePercentLimit {
		over = append(over, "core")
	}
	if r.memory > memoryLimitMB {
		over = append(over, "memory")
	}
	if r.bytes > bytesPerSecLimit {
		over = append(over, "bytes")
	}
	if len(over) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(over, ", ")
}
