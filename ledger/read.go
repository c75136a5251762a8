package ledger

import (
	"slices"
	"sort"
	"time"
)

// Page is a range of a submission's results.
type Page struct {
	Total   int // number of items of the submission
	Next    int // position after the last result of the page
	Results []Result
}

// Page returns the results from position after on, about limit bytes at most but at least
// one result if there is one. changed is closed when there may be more; it is nil when
// there will be none. found is false for an unknown submission.
func (s *Submissions) Page(id string, after, limit int) (page Page, changed <-chan struct{}, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byID[id]
	if state == nil {
		return Page{}, nil, false
	}
	after = max(0, after)
	page = Page{Total: len(state.Submission.Items), Next: state.pageEnd(after, limit)}
	if page.Next > after {
		page.Results = slices.Clone(state.Results[after:page.Next])
	}
	return page, state.next(), true
}

// pageEnd returns the position after the last result of a page.
func (state *submissionState) pageEnd(after, limit int) int {
	size, at := 0, after
	for ; at < len(state.Results); at++ {
		size += expectedExpansion*state.Results[at].size() + resultOverheadBytes
		if size > limit && at > after {
			break
		}
	}
	return at
}

// next returns the channel that is closed at the next change, or nil when there will be no
// more results.
func (state *submissionState) next() <-chan struct{} {
	if state.Ended || len(state.Results) >= len(state.Submission.Items) {
		return nil
	}
	return state.changed
}

// size returns the compressed size of the text.
func (r *Result) size() int {
	n := 0
	for _, part := range r.Parts {
		n += len(part)
	}
	return n
}

// expectedExpansion is the expected ratio of the size of a text to its compressed size.
const expectedExpansion = 3

// resultOverheadBytes is the size of a result without its text.
const resultOverheadBytes = 200

// Body returns the body of an item that has no result yet, until the submission ends.
// known is false for an unknown submission.
func (s *Submissions) Body(id, item string) (body []byte, found, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byID[id]
	if state == nil {
		return nil, false, false
	}
	at, ok := state.itemIndex[item]
	_, recorded := state.resultIndex[item]
	if !ok || recorded || state.Ended {
		return nil, false, true
	}
	return state.Submission.Items[at].Body, true, true
}

// Has reports whether the submission is known.
func (s *Submissions) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id] != nil
}

// VisibleTo reports whether a client account may use a submission: it made it, or the
// submission belongs to no account. An unknown submission is visible.
func (s *Submissions) VisibleTo(account, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byID[id]
	return state == nil || state.Submission.Account == "" || state.Submission.Account == account
}

// Closed reports whether the submission has ended or is unknown, so that none of its items
// may run.
func (s *Submissions) Closed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byID[id]
	return state == nil || state.Ended
}

// Finished returns the result of an item whose text was completed in any known submission.
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
	Remaining  []Item      // items without a result
	// Again has the groups of which an earlier step had items; the trainer waits for all of them.
	// It must not be changed.
	Again map[string]bool
}

// Open returns the submissions that have not ended and have items without a result, oldest
// first.
func (s *Submissions) Open() []Open {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*submissionState
	for _, state := range s.byID {
		if !state.Ended && len(state.Results) < len(state.Submission.Items) {
			list = append(list, state)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Order < list[j].Order })
	out := make([]Open, 0, len(list))
	for _, state := range list {
		sub := state.Submission
		o := Open{Submission: &sub, Since: state.since, Again: state.groups.again}
		for _, item := range state.Submission.Items {
			if _, recorded := state.resultIndex[item.ID]; !recorded {
				o.Remaining = append(o.Remaining, item)
			}
		}
		out = append(out, o)
	}
	return out
}

// Expired returns the submissions that have ended or are complete and that this process
// has known for longer than keep.
func (s *Submissions) Expired(now time.Time, keep time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, state := range s.byID {
		if state.closed() && now.Sub(state.since) > keep {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Counts returns the number of known submissions, and how many of them Open would return.
func (s *Submissions) Counts() (known, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.byID {
		if !state.Ended && len(state.Results) < len(state.Submission.Items) {
			open++
		}
	}
	return len(s.byID), open
}
