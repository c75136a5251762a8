package admission

import "time"

// Demand is what a process reports to the control leader. All counts are totals of the last 5 s,
// so that a report replaces the one before.
type Demand struct {
	Process string `cbor:"1,keyasint"`
	Run     string `cbor:"2,keyasint"` // names one run of the process
	// Processes is the number of processes of the last answer, 0 if there was none.
	Processes int             `cbor:"3,keyasint,omitempty"`
	Services  []ServiceDemand `cbor:"4,keyasint,omitempty"`
}

// ServiceDemand is the demand for one service.
type ServiceDemand struct {
	Service       string `cbor:"1,keyasint"`
	Requests      int    `cbor:"2,keyasint,omitempty"` // of callers
	Background    int    `cbor:"3,keyasint,omitempty"`
	Queued        int    `cbor:"4,keyasint,omitempty"`
	Refused       int    `cbor:"5,keyasint,omitempty"` // by the process, without the refusals of targets
	Retries       int    `cbor:"6,keyasint,omitempty"` // and hedges
	RetriesWanted int    `cbor:"7,keyasint,omitempty"`
	// Places is the number of requests that the process may have in flight, 0 if it has no limit.
	Places float64 `cbor:"8,keyasint,omitempty"`
	// Applied is the sequence of the last answer that the process has taken its places from.
	Applied uint64 `cbor:"9,keyasint,omitempty"`
	// Seconds and BackgroundSeconds are the mean durations of requests, 0 if not known.
	Seconds           float64        `cbor:"10,keyasint,omitempty"`
	BackgroundSeconds float64        `cbor:"11,keyasint,omitempty"`
	Accounts          []AccountCount `cbor:"12,keyasint,omitempty"` // the largest ones
	NumAccounts       int            `cbor:"13,keyasint,omitempty"` // of all accounts with requests
}

// AccountCount is the number of requests of a client account.
type AccountCount struct {
	Account  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// Shares is the leader's answer to a Demand.
type Shares struct {
	// Processes is the number of processes that report.
	Processes int            `cbor:"1,keyasint,omitempty"`
	Services  []ServiceShare `cbor:"2,keyasint,omitempty"`
	// Interval is the least time until the next report.
	Interval time.Duration `cbor:"3,keyasint,omitempty"`
}

// ServiceShare is what a process gets of one service.
type ServiceShare struct {
	Service string `cbor:"1,keyasint"`
	// Retries is the number of retries and hedges that the process may make in 10 s.
	Retries float64 `cbor:"2,keyasint,omitempty"`
	// Places is the number of requests that it may have in flight; 0 leaves its limit as it is.
	Places   float64 `cbor:"3,keyasint,omitempty"`
	Sequence uint64  `cbor:"4,keyasint,omitempty"` // of the change of Places
	// Over are the accounts that exceed their fair share.
	Over []AccountShare `cbor:"5,keyasint,omitempty"`
}

// AccountShare is the part of an account's requests that is admitted.
type AccountShare struct {
	Account  string  `cbor:"1,keyasint"`
	Admitted float64 `cbor:"2,keyasint"`
}
