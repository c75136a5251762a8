package carrier

import (
	"context"
	"net/http"
	"time"

	"merlinhall/forward"
	"merlinhall/ledger"
	"merlinhall/routes"
	"merlinhall/upstream"
)

// Targets reaches the engines and reward services for a carrier.
type Targets interface {
	// Generate sends an item to an engine and passes the events of its text to out, from
	// the event with the number first on. It returns when the response has ended.
	Generate(ctx context.Context, to upstream.Address, request *upstream.Request, out Generated, first int, rule VersionRule) ReadEnd
	// Score sends the reward call of a text. It asks wanted before each time that the call
	// is sent.
	Score(ctx context.Context, reward *ledger.Reward, wanted func() bool) RewardEnd
}

// HTTPTargets implements Targets over HTTP.
type HTTPTargets struct {
	Forwarder *forward.Forwarder
	Protocol  Protocol
	// Routes returns the routes in force, or nil before the first manifest.
	Routes func() *routes.Table
}

// Generate implements Targets.
func (t HTTPTargets) Generate(ctx context.Context, to upstream.Address, request *upstream.Request, out Generated, first int, rule VersionRule) ReadEnd {
	return generate(ctx, t.Forwarder.Pool, t.Protocol, to, request, out, first, rule)
}

// RewardEnd is the outcome of a reward call.
type RewardEnd struct {
	Score       string
	Failures    int
	MaxFailures int    // number of failures after which the route of the call lets the item be given up
	Manifest    uint64 // version of the manifest that MaxFailures comes from
	Reason      string
	Target      string
	Status      int
	Attempts    []forward.AttemptEnd
	RetryAfter  time.Duration // when there is room for a call that was not made
}

// leadsTo reports whether the routes in force still let a reward call go to a service. A call may
// wait for a target for seconds, and the next one goes by the new routes.
func (t HTTPTargets) leadsTo(reward *ledger.Reward, service string) bool {
	route := t.Routes().Find(reward.Host, reward.Path)
	return route != nil && route.Serves(service)
}

// rewardTimeout bounds a reward call whose route allows more.
const rewardTimeout = 3 * time.Second

// Score implements Targets.
func (t HTTPTargets) Score(ctx context.Context, reward *ledger.Reward, wanted func() bool) RewardEnd {
	var route *routes.Route
	table := t.Routes()
	if table != nil {
		route = table.Find(reward.Host, reward.Path)
	}
	if route == nil {
		return RewardEnd{Reason: "no route to the reward service"}
	}
	service := route.Choose(reward.ID)
	result := t.Forwarder.Do(ctx, &forward.Request{
		Request: upstream.Request{
			ID: reward.ID, Kind: upstream.KindReward, Method: http.MethodPost, URI: reward.Path, Host: reward.Host, Body: reward.Body,
			Header: t.Protocol.RewardHeaders(reward.ID),
		},
		Route:      route,
		Background: true,
		Wanted:     func() bool { return wanted() && t.leadsTo(reward, service) },
		Deadline:   time.Now().Add(min(route.Timeout, rewardTimeout)),
	})
	end := RewardEnd{
		Failures: result.Failures, MaxFailures: max(1, route.MaxAttempts), Manifest: table.Manifest().Version,
		Reason: result.Reason, Target: result.Target, Status: result.Status, Attempts: result.Ends, RetryAfter: result.RetryAfter,
	}
	if result.Outcome == forward.OutcomeAnswered && result.Status >= 200 && result.Status < 300 {
		end.Score = t.Protocol.Score(result.Header)
	} else if result.Outcome == forward.OutcomeAnswered {
		end.Reason = http.StatusText(result.Status)
	}
	return end
}
