package ledger

import (
	"sort"
	"time"
)

// Page is a part of a submission's results.
type Page struct {
	Total   int // items of the submission
	Next    int // position after the last result of the page
	Results []Result
}

// Page returns the results from position after on, at least one if there is one
// and about limit bytes at most. changed is closed when there may be more; it is
// nil when there will be none. found is false for an unknown submission.
func (s *Submissions) Page(id string, after, limit int) (page Page, changed <-chan struct{}, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byID[id]
	if h == nil {
		return Page{}, nil, false
	}
	after = max(0, after)
	page = Page{Total: len(h.Submission.Items), Next: after}
	size := 0
	for at := after; at < len(h.Results); at++ {
		r := h.Results[at]
		size += expectedExpansion*r.size() + resultOverheadBytes
		if size > limit && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, r)
		page.Next = at + 1
	}
	if !h.Ended && len(h.Results) < page.Total {
		changed = h.changed
	}
	return page, changed, true
}

// size returns the packed size of the text.
func (r *Result) size() int {
	n := 0
	for _, part := range r.Parts {
		n += len(part)
	}
	return n
}

// expectedExpansion is how much longer than its packed form a text may be expected to
// be.
const expectedExpansion = 3

// resultOverheadBytes is what a result takes beside its text.
const resultOverheadBytes = 200

// Body returns the body of an item that has no result yet, until the submission
// ends. known is false for an unknown submission.
func (s *Submissions) Body(id, item string) (body []byte, found, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byID[id]
	if h == nil {
		return nil, false, false
	}
	at, ok := h.itemIndex[item]
	_, listed := h.resultIndex[item]
	if !ok || listed || h.Ended {
		return nil, false, true
	}
	return h.Submission.Items[at].Body, true, true
}

// Has reports whether a submission is held.
func (s *Submissions) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id] != nil
}

// Finished returns the completed text of an item of an earlier submission.
func (s *Submissions) Finished(item string) (Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.finished[item]
	return r, ok
}

// Open is a submission with items that have no result.
type Open struct {
	Submission *Submission // must not be changed
	Since      time.Time   // when this process learnt of it
	Remaining  []Item
}

// Open returns the submissions that have not ended, oldest first.
func (s *Submissions) Open() []Open {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*submissionState
	for _, h := range s.byID {
		if !h.Ended && len(h.Results) < len(h.Submission.Items) {
			list = append(list, h)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Order < list[j].Order })
	out := make([]Open, 0, len(list))
	for _, h := range list {
		sub := h.Submission
		o := Open{Submission: &sub, Since: h.since}
		for _, item := range h.Submission.Items {
			if _, listed := h.resultIndex[item.ID]; !listed {
				o.Remaining = append(o.Remaining, item)
			}
		}
		out = append(out, o)
	}
	return out
}

// Expired returns the submissions that this process has known for longer than
// keep and that have ended or are complete.
func (s *Submissions) Expired(now time.Time, keep time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, h := range s.byID {
		over := h.Ended || len(h.Results) == len(h.Submission.Items)
		if over && now.Sub(h.since) > keep {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Counts returns the number of submissions held, and of those that are open.
func (s *Submissions) Counts() (held, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.byID {
		if !h.Ended && len(h.Results) < len(h.Submission.Items) {
			open++
		}
	}
	return len(s.byID), open
}
