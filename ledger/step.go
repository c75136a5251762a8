package ledger

import (
	"cmp"
	"slices"
	"time"
)

// groupCount counts the complete groups of a submission: those of which all items have
// results, failed ones included. It follows from the items and the results, so it is the same
// in all replicas.
type groupCount struct {
	left     map[string]int // items without a result by group; complete groups have no entry
	complete int
	// again has the groups of which an earlier step had items. The trainer waits for all of them,
	// whichever other groups are complete; awaited is the number of those that are not.
	again   map[string]bool
	awaited int
}

func newGroupCount(state *submissionState) groupCount {
	c := groupCount{left: make(map[string]int)}
	for i := range state.Submission.Items {
		c.left[state.Submission.Items[i].Group]++
	}
	for i := range state.Results {
		if at, ok := state.itemIndex[state.Results[i].Item]; ok {
			c.take(state.Submission.Items[at].Group)
		}
	}
	return c
}

// take counts the first result of an item of a group.
func (c *groupCount) take(group string) {
	c.left[group]--
	if c.left[group] == 0 {
		delete(c.left, group)
		c.complete++
		if c.again[group] {
			c.awaited--
		}
	}
}

// setAgain notes which groups an earlier step had.
func (c *groupCount) setAgain(again map[string]bool) {
	c.again, c.awaited = again, 0
	for group := range again {
		if c.left[group] > 0 {
			c.awaited++
		}
	}
}

// groupsAgain returns the groups of a submission that have items of an earlier step of the same
// trainer, nil if there are none. More of them than the trainer waits for are no such groups: it
// could not wait for all.
func (s *Submissions) groupsAgain(state *submissionState) map[string]bool {
	sub := &state.Submission
	if sub.Model == "" || sub.WantedGroups <= 0 {
		return nil
	}
	var again map[string]bool
	for _, other := range s.byID {
		o := &other.Submission
		if o.Model != sub.Model || o.Account != sub.Account || o.Step >= sub.Step {
			continue
		}
		for i := range sub.Items {
			if _, ok := other.itemIndex[sub.Items[i].ID]; ok {
				if again == nil {
					again = make(map[string]bool)
				}
				again[sub.Items[i].Group] = true
			}
		}
	}
	if len(again) > sub.WantedGroups {
		return nil
	}
	return again
}

// firstRequest returns when this process learnt of the first submission of the step that a new
// submission is for: a trainer may submit a step again under another id.
func (s *Submissions) firstRequest(state *submissionState) time.Time {
	first := state.since
	sub := &state.Submission
	if sub.Model == "" || sub.Step == 0 {
		return first
	}
	for _, other := range s.byID {
		o := &other.Submission
		if o.Model == sub.Model && o.Step == sub.Step && o.Account == sub.Account && other.requestedAt.Before(first) {
			first = other.requestedAt
		}
	}
	return first
}

// Standing is what a reader of results may wait for.
type Standing struct {
	Wanted   int // complete groups that the trainer waits for, 0 if it names no number
	Complete int // complete groups by all results
	// Awaited is the number of groups from earlier steps that are not complete. The trainer waits
	// for these as well.
	Awaited int
	// Due is when the step is due, zero if that is not known.
	Due time.Time
	// Next is the position after the last result of the page, and Results the number of its
	// results.
	Next, Results int
	Full          bool // the page has no room for the results after it
}

// Standing returns what a reader of the page from position after on may wait for. limit, changed
// and found are as for Page.
func (s *Submissions) Standing(id string, after, limit int) (st Standing, changed <-chan struct{}, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byID[id]
	if state == nil {
		return Standing{}, nil, false
	}
	after = max(0, after)
	st = Standing{Wanted: state.Submission.WantedGroups, Complete: state.groups.complete, Awaited: state.groups.awaited, Next: state.pageEnd(after, limit)}
	st.Results, st.Full = st.Next-after, st.Next < len(state.Results)
	if state.Submission.Due > 0 && !state.requestedAt.IsZero() {
		st.Due = state.requestedAt.Add(state.Submission.Due)
	}
	return st, state.next(), true
}

// Step is a known submission for a step of a trainer.
type Step struct {
	Model string
	Step  int
	Since time.Time // when this process learnt of it
	Due   time.Duration
}

// Steps returns the known submissions for models, open or not, in the order of their acceptance.
func (s *Submissions) Steps() []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*submissionState, 0, len(s.byID))
	for _, state := range s.byID {
		if state.Submission.Model != "" {
			list = append(list, state)
		}
	}
	slices.SortFunc(list, func(a, b *submissionState) int { return cmp.Compare(a.Order, b.Order) })
	out := make([]Step, 0, len(list))
	for _, state := range list {
		sub := &state.Submission
		out = append(out, Step{Model: sub.Model, Step: sub.Step, Since: state.since, Due: sub.Due})
	}
	return out
}
