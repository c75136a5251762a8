package ledger

import "time"

// What the parts of a submission take in the memory of the control leader besides their texts, in
// bytes. Other control processes have no tasks for items and take less.
const (
	// submissionHeldBytes is for a submission.
	submissionHeldBytes = 2 << 10
	// openItemHeldBytes is for an item without a result: the item, its entries in the indexes, and
	// its task and group, which the leader keeps until the result is recorded.
	openItemHeldBytes = 1 << 10
	// listedItemHeldBytes is for an item with a result.
	listedItemHeldBytes = 512
	// headerHeldBytes is for a header.
	headerHeldBytes = 64
	// partHeldBytes is for a part of a text.
	partHeldBytes = 48
)

// Held is the memory that submissions take, in bytes.
type Held struct {
	Total    int // with the texts of results
	Requests int // without them
	Account  int // of Requests, what the submissions of one client account take
}

// Plus returns the sum.
func (h Held) Plus(o Held) Held {
	return Held{h.Total + o.Total, h.Requests + o.Requests, h.Account + o.Account}
}

// HeldBytes returns the memory in bytes that the submission takes once it is accepted, without
// results.
func (s *Submission) HeldBytes() int {
	n := submissionHeldBytes + len(s.ID) + len(s.Host) + len(s.Path) + len(s.Model) + len(s.Account)
	for i := range s.Items {
		n += s.Items[i].heldBytes() + openItemHeldBytes
	}
	return n
}

// heldBytes returns the size of the item's texts.
func (i *Item) heldBytes() int {
	n := len(i.ID) + len(i.Path) + len(i.Group) + len(i.Body)
	for _, h := range i.Headers {
		n += len(h.Name) + len(h.Value) + headerHeldBytes
	}
	return n + i.Reward.Size()
}

// heldBytes returns the size of the result's texts.
func (r *Result) heldBytes() int { return len(r.Score) + textHeldBytes(r.Parts) }

func (p *Partial) heldBytes() int { return textHeldBytes(p.Parts) + partHeldBytes }

func textHeldBytes(parts [][]byte) int {
	n := 0
	for _, part := range parts {
		n += len(part) + partHeldBytes
	}
	return n
}

// requestBytes returns the memory that the submission takes without the texts of its results.
func (state *submissionState) requestBytes() int {
	return state.Submission.HeldBytes() + len(state.Results)*(listedItemHeldBytes-openItemHeldBytes)
}

// addText adds n bytes to what the texts of a submission take.
func (s *Submissions) addText(state *submissionState, n int) {
	state.textHeld += n
	s.held += n
}

// countRequests counts what a submission takes without the texts of its results.
func (s *Submissions) countRequests(state *submissionState) {
	s.setRequests(state, state.requestBytes())
}

// setRequests sets what a submission takes without the texts of its results, 0 if it is forgotten.
func (s *Submissions) setRequests(state *submissionState, bytes int) {
	n := bytes - state.requestsHeld
	state.requestsHeld = bytes
	account := state.Submission.Account
	s.held += n
	s.requestsHeld += n
	if s.heldByAccount[account] += n; s.heldByAccount[account] == 0 {
		delete(s.heldByAccount, account)
	}
}

// setPartial replaces the partial text of an item; nil removes it.
func (s *Submissions) setPartial(item string, p *Partial) {
	if old := s.partial[item]; old != nil {
		if state := s.byID[old.ForSubmission]; state != nil {
			s.addText(state, -old.heldBytes())
		}
		delete(s.partial, item)
	}
	if p == nil {
		return
	}
	s.partial[item] = p
	if state := s.byID[p.ForSubmission]; state != nil {
		s.addText(state, p.heldBytes())
	}
}

// countHeld sets what the submissions take after a snapshot has replaced them.
func (s *Submissions) countHeld() {
	s.held, s.requestsHeld, s.heldByAccount = 0, 0, make(map[string]int)
	for _, state := range s.byID {
		s.countRequests(state)
		for i := range state.Results {
			s.addText(state, state.Results[i].heldBytes())
		}
	}
	for _, p := range s.partial {
		if state := s.byID[p.ForSubmission]; state != nil {
			s.addText(state, p.heldBytes())
		}
	}
}

// Held returns what all known submissions take, and the requests of a client account. It follows from
// the replicated state, so every control process has the same.
func (s *Submissions) Held(account string) Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Held{Total: s.held, Requests: s.requestsHeld, Account: s.heldByAccount[account]}
}

// NextExpiry returns when the first of the submissions that Expired will return with keep is due,
// or false if there is none.
func (s *Submissions) NextExpiry(keep time.Duration) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.byID {
		if due := state.since.Add(keep); state.closed() && (!ok || due.Before(at)) {
			at, ok = due, true
		}
	}
	return at, ok
}

// closed reports whether the submission has ended or is complete.
func (state *submissionState) closed() bool {
	return state.Ended || len(state.Results) == len(state.Submission.Items)
}
