package directory

import (
	"time"

	"merlinhall/wire"
)

// maxListGap is the time without a reading of the list after which it is not known which software
// was listed meanwhile. A leader that changes or a list that cannot be read makes shorter ones.
const maxListGap = 5 * time.Second

// MaxSoleAge is the age up to which the last reading of the list says what software a service has
// now. A target of another one may have joined since.
const MaxSoleAge = time.Second

// history knows since when the list shows a single software for a service. It is guarded by the
// mutex of its Directory.
type history struct {
	readAt   time.Time // of the last reading
	services map[string]soleSoftware
}

// soleSoftware is the only software of the targets of a service, leaving ones included.
type soleSoftware struct {
	software wire.Software // the zero value if there are several
	since    time.Time
}

// read takes a reading of the list. targets is nil if the list has not changed.
func (h *history) read(readAt time.Time, targets []wire.TargetEntry) {
	if readAt.Sub(h.readAt) > maxListGap {
		for service, s := range h.services {
			s.since = readAt
			h.services[service] = s
		}
	}
	if readAt.After(h.readAt) {
		h.readAt = readAt
	}
	if targets == nil {
		return
	}
	now := make(map[string]wire.Software)
	for i := range targets {
		t := &targets[i]
		software := t.Software()
		if other, ok := now[t.Service]; ok && other != software {
			software = wire.Software{}
		}
		now[t.Service] = software
	}
	if h.services == nil {
		h.services = make(map[string]soleSoftware)
	}
	for service, software := range now {
		if h.services[service].software != software || !software.Known() {
			h.services[service] = soleSoftware{software, readAt}
		}
	}
}

// Sole returns the software of a service if all readings of the list within at least the given
// time have shown no other one, of ready or of leaving targets, and the last one is at most
// MaxSoleAge old. Targets that have joined since, or within the lag of the list before, are not
// known: for a stream that began before some moment the answer holds if it is asked later than the
// lag and MaxSoleAge after that.
func (d *Directory) Sole(now time.Time, service string, atLeast time.Duration) (wire.Software, bool) {
	return d.soleSince(now, service, atLeast, MaxSoleAge)
}

// MayBeSole reports whether Sole can have an answer once the list has been read again.
func (d *Directory) MayBeSole(now time.Time, service string, atLeast time.Duration) bool {
	_, ok := d.soleSince(now, service, atLeast, maxListGap)
	return ok
}

func (d *Directory) soleSince(now time.Time, service string, atLeast, maxAge time.Duration) (wire.Software, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.history.services[service]
	if !s.software.Known() || now.Sub(d.history.readAt) > maxAge || now.Sub(s.since) < atLeast {
		return wire.Software{}, false
	}
	return s.software, true
}
