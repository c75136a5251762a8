package settings

import "time"

// Hosted is what a process that runs on a managed platform is told at its start.
type Hosted struct {
	Name string // of the host
	Zone string
	// Digest tells two versions of the settings apart.
	Digest string
	// Entry processes serve callers; Control processes hold the replicated state
	// and serve the operator.
	Entry   bool
	Control bool

	Callers  string // address for callers
	Ready    string // address for readiness questions
	Operator string // address for the operator and the trainers' versions
	Links    string // address for links between processes
	Metrics  string // address for metrics, on the loopback interface when the host has one

	// Seeds are link addresses of control processes.
	Seeds   []string
	DataDir string
	// Founding is set when the whole deployment starts for the first time.
	Founding bool
	// HostFaults is how many hosts with a disk may be lost at one time.
	HostFaults int

	MemoryBytes int64
	// TargetList is the address of the platform's list of targets, which may be
	// asked TargetListRate times a second by all processes together.
	TargetList     string
	TargetListRate float64

	// FenceHold is the time in which two holders must not take turns in giving
	// orders to a target.
	FenceHold time.Duration
	// FencesChecked tells that targets refuse orders with a superseded fence.
	FencesChecked bool
	// KeepResults is how long results stay readable after their submission.
	KeepResults time.Duration
	// StopGrace is the time between the request to stop and the end by force.
	StopGrace time.Duration
}
