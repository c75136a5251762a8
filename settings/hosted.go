package settings

import "time"

// HostedSettings holds the settings that a process on a managed platform receives when
// it starts.
type HostedSettings struct {
	Name string // host name
	Zone string
	// Digest identifies a version of the settings.
	Digest string
	// Entry is set if the process serves callers, Control if it holds the replicated
	// state and serves operators.
	Entry   bool
	Control bool

	Callers  string // listen address for callers
	Ready    string // listen address for readiness checks
	Operator string // listen address for operators and for trainers' weight versions
	Links    string // listen address for links between processes
	Metrics  string // listen address for metrics, on the loopback interface if the host has one

	// Seeds lists link addresses of control processes.
	Seeds   []string
	DataDir string
	// FirstStart is set when the deployment starts for the first time.
	FirstStart bool
	// HostFaults is the number of simultaneous losses of hosts with a disk to tolerate.
	HostFaults int
	// CatchUpTime is how long a host still counts as lost after it is back or its
	// replacement has started. Another host may be lost then.
	CatchUpTime time.Duration

	MemoryBytes int64
	// TargetList is the address of the platform's list of targets. TargetListRate is its
	// rate limit in requests per second, shared by all processes.
	TargetList     string
	TargetListRate float64
	// TargetListLag is how much later than a target joins the list may show it.
	TargetListLag time.Duration

	// OrderHoldTime is the interval within which orders of two order holders to the same
	// target must not interleave.
	OrderHoldTime time.Duration
	// FencesChecked is set if targets refuse orders with an outdated fencing token.
	FencesChecked bool
	// UsageWindow is the length of the windows in which usage is counted by client account, 0
	// if it is not. ReportUsage is set if the platform wants reports of it.
	UsageWindow time.Duration
	ReportUsage bool
	// CancelTime is the time after the end of a submission from which none of its requests
	// may reach a target.
	CancelTime time.Duration
	// DrainTime is how long a target that leaves accepts requests after the list has shown
	// that, 0 if it is not known.
	DrainTime time.Duration
	// ResultRetention is how long results stay readable after their submission.
	ResultRetention time.Duration
	// StopGrace is the time between the request to stop and forced termination.
	StopGrace time.Duration
	// CPUShare is the share of a core that the process may use, 0 if it is not known.
	CPUShare float64
	// MaxFiles is the number of file descriptors that the process may have, 0 if it is not
	// known.
	MaxFiles int
	// ZoneRoundTrip is the round trip between zones, in addition to that within one, and
	// ZoneByteCost the cost of a byte between zones, see package locality.
	ZoneRoundTrip time.Duration
	ZoneByteCost  float64
	Features      Features
	Clients       ClientLimits
}

// ClientLimits bound what clients may hold in a process. A field that is 0 stands for its
// default. The limits of a manifest take precedence over the first three at the callers' listener.
type ClientLimits struct {
	HeaderBytes int           // maximum size of a request header
	HeaderTime  time.Duration // maximum time to receive one
	Idle        time.Duration // time after which an idle connection is closed
	MemoryBytes int64         // for connections and headers of all listeners
	Connections int           // of all listeners
	StallTime   time.Duration // without progress, after which a connection may give way to another
	Grace       time.Duration // in which a body may have any rate and a response may stand still
	BodyRate    int64         // bytes a second that a body must have after Grace
}

// Features are decisions that a deployment turns on. With all of them off, the process decides
// as versions without them did.
type Features struct {
	// SharedAdmission has requests that exceed the capacity of their service queued and refused
	// by client account, by all processes together.
	SharedAdmission bool
	// StepOrder has the steps of trainers that are behind their schedule run first.
	StepOrder bool
	// Locality decides by the use of each zone which share of the requests leaves it.
	Locality bool
	// MeasuredCapacity weights targets by their measured speed where they differ.
	MeasuredCapacity bool
}
