package ratelimit

import (
	"time"

	"github.com/sirupsen/logrus"
)

// logInterval is how often the requests to a target with a limit are logged.
const logInterval = time.Second

// Sent notes that a request is sent to a target. Those to targets with a limit are counted.
func (k *Keeper) Sent(target string, u Use) {
	if !k.Targets()[target] {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	perSecond, since, limited := k.book.Limit(target)
	if !limited {
		return
	}
	now := k.o.Clock()
	t := k.tally(k.tallies, target)
	t.Add(now, u)
	k.sent.WithLabelValues(u.String()).Inc()
	if now-k.loggedAt[target] < logInterval || !k.lines.Allow(time.Now()) {
		return
	}
	k.loggedAt[target] = now
	fields := logrus.Fields{
		"target": target, "limit": perSecond, "known_ms": (now - since).Milliseconds(), "sent_4s": t.Total(now),
		"granted_4s": k.tally(k.granted, target).Total(now), "leads": k.term != 0,
	}
	for use, n := range t.Counts(now) {
		fields["sent_4s_"+use.String()] = n
	}
	k.o.Log.WithFields(fields).Info("requests to a target with a limit")
}

// tally returns the tally of a target. The caller holds k.mu.
func (k *Keeper) tally(of map[string]*Tally, target string) *Tally {
	t := of[target]
	if t == nil {
		t = new(Tally)
		of[target] = t
	}
	return t
}

// Dump returns the limits known for the state dump.
func (k *Keeper) Dump() any {
	type line struct {
		Target    string         `json:"target"`
		PerSecond float64        `json:"per_second"`
		KnownMs   int64          `json:"known_ms"`
		Sent      map[string]int `json:"sent_4s"`
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	out := []line{}
	for _, r := range k.book.Readings() {
		perSecond, since, ok := k.book.Limit(r.Target)
		if !ok {
			continue
		}
		l := line{Target: r.Target, PerSecond: perSecond, KnownMs: (now - since).Milliseconds(), Sent: make(map[string]int)}
		if t := k.tallies[r.Target]; t != nil {
			for use, n := range t.Counts(now) {
				l.Sent[use.String()] = n
			}
		}
		out = append(out, l)
	}
	return out
}
