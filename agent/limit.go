package agent

import (
	"net/http"
	"sync/atomic"
	"time"

	"merlinhall/boottime"
	"merlinhall/ratelimit"
)

// HeaderRequestLimit is the header of responses in which a target in need names the requests a
// second, a decimal number, that it takes. Reads of its state and orders are not counted.
const HeaderRequestLimit = "Merlinhall-Request-Limit"

// limitNamed reports what a response said about the limit of the target.
type limitNamed struct{ reading ratelimit.Reading }

// limitTransport is a transport that reports the limits that responses name.
type limitTransport struct {
	http.RoundTripper
	target string
	post   func(any) bool
	named  atomic.Bool // a response has named a limit
}

// RoundTrip implements http.RoundTripper.
func (t *limitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sentAt := boottime.Now()
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	perSecond, word := ratelimit.Parse(response.Header.Values(HeaderRequestLimit))
	ended := word == ratelimit.Unlimited && response.StatusCode == http.StatusOK && t.named.Load()
	if word == ratelimit.Limited || ended {
		t.named.Store(true)
		t.post(limitNamed{ratelimit.Reading{
			Target: t.target, Limited: word == ratelimit.Limited, PerSecond: perSecond, SentAt: sentAt, At: boottime.Now(),
		}})
	}
	return response, nil
}

// handleLimit takes what a response said about the limit of the target.
func (a *Agent) handleLimit(m limitNamed) {
	if !a.limits.Note(m.reading.At, m.reading) {
		return
	}
	held, _ := a.limits.Reading(m.reading.Target)
	a.table.SetLimit(now(), held.PerSecond, held.Limited)
	a.log.Infof("limit of the target: limited %v, %v requests a second", held.Limited, held.PerSecond)
}

// clock returns the table's time for the pace of the target's limit.
func (t *table) clock() time.Duration { return time.Duration(t.now) * time.Millisecond }

// SetLimit sets the limit of the target in requests a second, or that it has none. The agent is
// the only process that speaks to the target, so it keeps the limit alone.
func (t *table) SetLimit(now int64, perSecond float64, limited bool) {
	t.now = max(t.now, now)
	switch {
	case !limited:
		t.limit = nil
	case t.limit == nil:
		t.limit = ratelimit.NewPace(t.clock(), 0, perSecond)
	default:
		t.limit.SetLimit(t.clock(), 0, perSecond)
	}
}
