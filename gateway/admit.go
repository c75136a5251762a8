package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/accounts"
	"merlinhall/hub"
	"merlinhall/routes"
)

// Admission is what a request is allowed.
type Admission struct {
	Route   *routes.Route
	Account *accounts.Account // nil if the request has none
	// Accounts is set if the deployment has client accounts, so that keys are not for
	// targets.
	Accounts bool
}

// Admit returns the route and the client account of a request, or its result if it is
// refused. It does not need the body. key is the key that the client sent, or empty.
func (g *Gateway) Admit(ctx context.Context, id, host, path, key string) (Admission, *Result) {
	table, failure := g.table(id, key)
	if failure != nil {
		return Admission{}, failure
	}
	var admitted Admission
	table, verdict := g.judge(ctx, table, key, func(t *routes.Table) (v accounts.Verdict) {
		admitted, v = admit(t, host, path, key)
		return v
	})
	switch {
	case admitted.Route == nil:
		result := Result{Outcome: NoRoute, Reason: "no route"}
		g.record("route", id, time.Now(), result, logrus.Fields{"authority": host, "path": path, "version": table.Manifest().Version})
		return Admission{}, &result
	case verdict != accounts.Admitted:
		return Admission{}, g.noAccess(id, key, verdict, table)
	}
	return admitted, nil
}

// admit finds the route of a request and what its key is worth there. Without a route the
// verdict is Admitted.
func admit(table *routes.Table, host, path, key string) (Admission, accounts.Verdict) {
	a := Admission{Route: table.Find(host, path), Accounts: table.Accounts() != nil}
	verdict := accounts.Admitted
	if a.Route != nil {
		a.Account, verdict = table.Accounts().Admit(key, a.Route.Anonymous)
	}
	return a, verdict
}

// Identify returns the client of a call that concerns a submission, or the result of the
// call if it is refused.
func (g *Gateway) Identify(ctx context.Context, id, host, key string) (hub.Caller, *Result) {
	table, failure := g.table(id, key)
	if failure != nil {
		return hub.Caller{}, failure
	}
	var account *accounts.Account
	table, verdict := g.judge(ctx, table, key, func(t *routes.Table) (v accounts.Verdict) {
		account, v = t.Accounts().Admit(key, t.AnonymousBatch(host))
		return v
	})
	switch {
	case verdict != accounts.Admitted:
		return hub.Caller{}, g.noAccess(id, key, verdict, table)
	case account != nil:
		return hub.Caller{Account: account.Name}, nil
	}
	return hub.Caller{}, nil
}

// table returns the routes in force, or the result of a request that cannot be judged yet.
func (g *Gateway) table(id, key string) (*routes.Table, *Result) {
	table := g.client.Table()
	result := Result{Outcome: NotRun, RetryAfter: retryAfterNoManifest}
	switch {
	case table == nil:
		result.Reason = "no manifest is known yet"
	case key != "" && !table.Manifest().AccountsKnown:
		// It came from an older process that passes no accounts on.
		result.Reason = "the client accounts are not known yet"
	default:
		return table, nil
	}
	g.record("route", id, time.Now(), result, nil)
	return nil, &result
}

// judge returns the verdict on a request and the routes that it was made from. Before it
// refuses a key that may be newer than the routes known here, it asks for newer ones and
// decides again.
func (g *Gateway) judge(ctx context.Context, table *routes.Table, key string, decide func(*routes.Table) accounts.Verdict) (*routes.Table, accounts.Verdict) {
	verdict := decide(table)
	if verdict != accounts.KeyUnknown || g.unknown.Has(time.Now(), key) || !g.client.Refresh(ctx) {
		return table, verdict
	}
	table = g.client.Table()
	verdict = decide(table)
	if verdict == accounts.KeyUnknown {
		g.unknown.Add(time.Now(), key)
	}
	return table, verdict
}

func (g *Gateway) noAccess(id, key string, verdict accounts.Verdict, table *routes.Table) *Result {
	result := Result{Outcome: NoAccess, Reason: "the key is missing"}
	fields := logrus.Fields{"version": table.Manifest().Version}
	if verdict == accounts.KeyUnknown {
		result.Reason = "no client account has the key"
		fields["key_digest"] = accounts.DigestOf(key).String()
	}
	g.record("route", id, time.Now(), result, fields)
	return &result
}
