package quarantine

import (
	"time"

	"merlinhall/wire"
)

// Ask is what a process tells and asks the control leader.
type Ask struct {
	Process string `cbor:"1,keyasint"`
	// Records are those that have changed at the process.
	Records []wire.SuspectRequest `cbor:"2,keyasint,omitempty"`
	Wants   []Want                `cbor:"3,keyasint,omitempty"`
	// Released are the keys of trials that have ended.
	Released [][]byte `cbor:"4,keyasint,omitempty"`
}

// Want is the wish to send a request under which targets have ended.
type Want struct {
	Key  []byte        `cbor:"1,keyasint"`
	Left time.Duration `cbor:"2,keyasint,omitempty"` // until the deadline of the request
}

// Answers are the leader's answers to the wants of an Ask, in their order.
type Answers struct {
	Answers []Answer `cbor:"1,keyasint,omitempty"`
	// Term is that of the leader. A leader of another term may not know the records that this
	// process has told.
	Term uint64 `cbor:"2,keyasint,omitempty"`
}

// Verdict is what the leader says of a request.
type Verdict int

// Verdicts.
const (
	Held Verdict = iota // not now
	Try                 // send it, once
	Busy                // not while another one with the key is being tried
	Free                // no target has ended under it since one has answered it
)

// Answer is the leader's answer to a Want.
type Answer struct {
	Verdict    Verdict       `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	Strikes    int           `cbor:"3,keyasint,omitempty"`
}

// message returns a record for another process. Its times are ages, as clocks differ.
func (r *record) message(now time.Duration, k Key) wire.SuspectRequest {
	m := wire.SuspectRequest{Key: k.bytes(), ArrivedAge: max(0, now-r.arrivedAt), Route: r.route, Request: r.request}
	if r.answered {
		m.Answered, m.AnsweredAge = true, max(0, now-r.answeredAt)
	}
	for _, e := range r.ends {
		m.Ends = append(m.Ends, wire.TargetEnd{Target: e.Target, SentAge: max(0, now-e.SentAt), Age: max(0, now-e.At)})
	}
	return m
}

// recordOf returns the record of a message that has arrived now, or false if it is none.
func recordOf(now time.Duration, m *wire.SuspectRequest) (Key, *record, bool) {
	k, ok := keyOfBytes(m.Key)
	if !ok || len(m.Ends) > maxEnds || m.ArrivedAge < 0 || m.AnsweredAge < 0 {
		return Key{}, nil, false
	}
	r := &record{answered: m.Answered, arrivedAt: now - m.ArrivedAge, route: m.Route, request: m.Request}
	if r.answered {
		r.answeredAt = now - m.AnsweredAge
	}
	for _, e := range m.Ends {
		if e.Age < 0 || e.SentAge < e.Age || e.Target == "" {
			return Key{}, nil, false
		}
		r.ends = append(r.ends, End{Target: e.Target, SentAt: now - e.SentAge, At: now - e.Age})
	}
	return k, r, true
}
