package main

import (
	"fmt"
	"strings"
)

// Projected sizes and loads in two years.
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
	framesPerLink       = 1.8  // per second: one load report in one direction, a heartbeat every 1.25 s in the other
	idleProcessMB       = 25.0 // resident memory, as reported by make path
	bytesPerSample      = 32e3 // 8,000 tokens of 4 bytes
)

// Limits of the control plane's cost on a node. limitsMet applies them to each role.
const (
	corePercentLimit = 1.0
	memoryLimitMB    = 256.0
	bytesPerSecLimit = 4096.0
)

// roleCost is the cost of the control plane in a process of one role.
type roleCost struct {
	role, state, messages string
	core, memory, bytes   float64
	// dedicatedHosts is set for a role that runs on hosts of its own, to which the limits
	// of a node do not apply. At most seven hosts may be dedicated.
	dedicatedHosts bool
}

func (s *slopes) roleCosts() []roleCost {
	linksPerAgent := nodes * linksPerEntry / replicas
	groupsPerSec := samplesPerStep / groupSize / stepSeconds
	commitsPerSec := configChangesPerSec + 3*groupsPerSec // at most a commit, a draw and an acknowledgement per group
	configLoadCore := s.atLargestSize("loadCPU") / 1e6 * configChangesPerSec * 100
	configMB := 3 * s.atLargestSize("textBytes") / 1e6
	childrenPerReplica := nodes / controlReplicas
	// nodeBytes and nodeCore cover an entry and its seven agents. They are an upper bound
	// for the entry; an agent is charged one eighth.
	return []roleCost{
		{
			role:     "entry",
			state:    fmt.Sprintf("configuration, %.0f links, view of their targets", linksPerEntry),
			messages: fmt.Sprintf("%.0f heartbeats and load reports a second", linksPerEntry*framesPerLink),
			core:     linksPerEntry*s.highest("linkCore") + s.highest("nodeCore") + configLoadCore,
			memory:   idleProcessMB + linksPerEntry*s.highest("linkMemory")/1e6 + configMB,
			bytes:    linksPerEntry*s.highest("linkBytes") + s.highest("nodeBytes"),
		},
		{
			role:     "agent",
			state:    fmt.Sprintf("configuration, %.1f links, up to %.0f request ids", linksPerAgent, requestTableIDs),
			messages: fmt.Sprintf("%.0f heartbeats and load reports a second", linksPerAgent*framesPerLink),
			core:     linksPerAgent*s.highest("linkCore") + s.highest("nodeCore")/8 + configLoadCore,
			memory:   idleProcessMB + linksPerAgent*s.highest("linkMemory")/1e6 + configMB + requestTableIDs*s.highest("tableEntry")/1e6,
			bytes:    linksPerAgent*s.highest("linkBytes") + s.highest("nodeBytes")/8,
		},
		{
			role:           "control leader",
			dedicatedHosts: true,
			state:          "configuration and history, ledgers of 6 trainers, bodies of unacknowledged samples on disk",
			messages:       fmt.Sprintf("%.2f commits, %.1f samples, %.0f digests a second", commitsPerSec, samplesPerStep/stepSeconds, childrenPerReplica),
			core:           (nodes+controlReplicas)*s.highest("linkCore") + configLoadCore + commitsPerSec*s.highest("commit")/1e4 + samplesPerStep/stepSeconds*s.highest("planner")/1e7,
			memory:         idleProcessMB + (nodes+controlReplicas)*s.highest("linkMemory")/1e6 + configMB,
			bytes:          (nodes+controlReplicas)*s.highest("linkBytes") + childrenPerReplica*s.highest("changeBytes")*configChangesPerSec + restartsPerSec*s.atLargestSize("textPacked"),
		},
		{
			role:           "control follower",
			dedicatedHosts: true,
			state:          "as the leader",
			messages:       fmt.Sprintf("%.2f appends, %.0f digests a second", commitsPerSec, childrenPerReplica),
			core:           (nodes+controlReplicas)*s.highest("linkCore") + configLoadCore + commitsPerSec*s.highest("commit")/1e4,
			memory:         idleProcessMB + (nodes+controlReplicas)*s.highest("linkMemory")/1e6 + configMB,
			bytes:          (nodes+controlReplicas)*s.highest("linkBytes") + childrenPerReplica*s.highest("changeBytes")*configChangesPerSec + restartsPerSec*s.atLargestSize("textPacked"),
		},
	}
}

// rolesTable returns the costs by role as a Markdown table, followed by a sentence on
// the cost of the peak load.
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

// limitsMet returns the table's last column: whether the limits are met, or which are
// exceeded.
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
