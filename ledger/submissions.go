// Package ledger holds the replicated state of a hosted deployment: the manifest,
// the weight versions that trainers named, batch submissions with their results,
// and the hosts that are being emptied. Each part is a slice of the control state
// machine. Reads may come from any goroutine.
package ledger

import (
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Submission is a set of requests that a trainer hands over at once and that run
// later.
type Submission struct {
	ID    string `cbor:"1,keyasint"`
	Host  string `cbor:"2,keyasint"` // of the route
	Path  string `cbor:"3,keyasint"` // under the route's prefix
	Model string `cbor:"4,keyasint,omitempty"`
	Step  int    `cbor:"5,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may generate its texts.
	MinVersion uint64 `cbor:"6,keyasint,omitempty"`
	// WantedGroups is how many complete groups end the trainer's wait.
	WantedGroups int    `cbor:"7,keyasint,omitempty"`
	Items        []Item `cbor:"8,keyasint"`
	// Of the route, when the submission was accepted.
	SingleVersion bool          `cbor:"9,keyasint,omitempty"`
	MaxAttempts   int           `cbor:"10,keyasint,omitempty"`
	Due           time.Duration `cbor:"11,keyasint,omitempty"` // after acceptance
	ItemTTL       time.Duration `cbor:"12,keyasint,omitempty"` // after acceptance
}

// Item is one request of a submission.
type Item struct {
	ID      string        `cbor:"1,keyasint"`
	Path    string        `cbor:"2,keyasint"`
	Headers []wire.Header `cbor:"3,keyasint,omitempty"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	Tokens  int           `cbor:"5,keyasint,omitempty"` // prompt and most of the output
	Group   string        `cbor:"6,keyasint,omitempty"`
	Reward  *Reward       `cbor:"7,keyasint,omitempty"`
	// Length is the client's estimate of the output in tokens, 0 when unknown.
	Length int `cbor:"8,keyasint,omitempty"`
}

// Reward is the request that scores a complete text.
type Reward struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// Result is the end of an item.
type Result struct {
	Item     string   `cbor:"1,keyasint"`
	Failed   bool     `cbor:"2,keyasint,omitempty"`
	Parts    [][]byte `cbor:"3,keyasint,omitempty"` // packed parts of the text, see Text
	Versions []uint64 `cbor:"4,keyasint,omitempty"` // that generated the text
	Score    string   `cbor:"5,keyasint,omitempty"`
	// EventsBefore is how many events of the text are held already, in a command. Parts
	// has the rest.
	EventsBefore int `cbor:"6,keyasint,omitempty"`
}

// submissionsCommand is the body of a command; one field is set.
type submissionsCommand struct {
	Accept     *Submission `cbor:"1,keyasint,omitempty"`
	Submission string      `cbor:"2,keyasint,omitempty"` // the submission of Results or Progress
	Results    []Result    `cbor:"3,keyasint,omitempty"`
	Progress   []Progress  `cbor:"6,keyasint,omitempty"`
	End        string      `cbor:"4,keyasint,omitempty"`
	Forget     []string    `cbor:"5,keyasint,omitempty"`
}

// submissionState is a submission with its state.
type submissionState struct {
	Submission Submission `cbor:"1,keyasint"`
	Results    []Result   `cbor:"2,keyasint,omitempty"` // by position
	Ended      bool       `cbor:"3,keyasint,omitempty"`
	Order      uint64     `cbor:"4,keyasint"` // log index of the acceptance

	resultIndex map[string]int // item id to position
	itemIndex   map[string]int // item id to place in Submission.Items
	since       time.Time      // when this process learnt of it
	changed     chan struct{}  // closed at the next change
}

func (h *submissionState) buildIndex() {
	h.resultIndex = make(map[string]int, len(h.Submission.Items))
	for i, r := range h.Results {
		h.resultIndex[r.Item] = i
	}
	h.itemIndex = make(map[string]int, len(h.Submission.Items))
	for i := range h.Submission.Items {
		h.itemIndex[h.Submission.Items[i].ID] = i
	}
	h.since = time.Now()
	h.changed = make(chan struct{})
}

func (h *submissionState) notifyReaders() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// SubmissionChange tells a listener what a command did. One field is set.
type SubmissionChange struct {
	Accepted *Submission
	Recorded string // submission that got results
	Ended    string
}

// Submissions is the slice of batch submissions.
type Submissions struct {
	mu       sync.Mutex
	byID     map[string]*submissionState
	finished map[string]Result   // completed texts by item id, of all held submissions
	partial  map[string]*Partial // texts of items without a result, by item id
	onChange func(SubmissionChange)
}

// NewSubmissions returns an empty slice.
func NewSubmissions() *Submissions {
	return &Submissions{byID: make(map[string]*submissionState), finished: make(map[string]Result), partial: make(map[string]*Partial)}
}

// OnChange makes f hear of each change, from the applying goroutine. f must not
// block.
func (s *Submissions) OnChange(f func(SubmissionChange)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = f
}

// Name implements control.Slice.
func (s *Submissions) Name() string { return "submissions" }

// ErrTextMissing is the result of a command whose result goes on after a text that is
// not held. It must be sent with the whole text.
var ErrTextMissing = eris.New("ledger: the beginning of the text is not held")

// Apply implements control.Slice. The result is nil or an error.
func (s *Submissions) Apply(index, _ uint64, body []byte) any {
	var c submissionsCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: submissions")
	}
	s.mu.Lock()
	change, err := s.apply(index, &c)
	notify := s.onChange
	s.mu.Unlock()
	if change != nil && notify != nil {
		notify(*change)
	}
	if err != nil {
		return err
	}
	return nil
}

func (s *Submissions) apply(index uint64, c *submissionsCommand) (*SubmissionChange, error) {
	switch {
	case c.Accept != nil:
		return s.accept(index, c.Accept), nil
	case c.Submission != "":
		s.addProgress(c.Submission, c.Progress)
		return s.record(c.Submission, c.Results)
	case c.End != "":
		return s.end(c.End), nil
	}
	for _, id := range c.Forget {
		s.forget(id)
	}
	return nil, nil
}

func (s *Submissions) accept(index uint64, sub *Submission) *SubmissionChange {
	if s.byID[sub.ID] != nil {
		return nil
	}
	h := &submissionState{Submission: *sub, Order: index}
	h.buildIndex()
	s.byID[sub.ID] = h
	return &SubmissionChange{Accepted: &h.Submission}
}

// record appends results. An item that has a position keeps it.
func (s *Submissions) record(id string, results []Result) (change *SubmissionChange, err error) {
	h := s.byID[id]
	if h == nil || h.Ended {
		return nil, nil
	}
	added := false
	for _, r := range results {
		_, known := h.itemIndex[r.Item]
		if _, listed := h.resultIndex[r.Item]; listed || !known {
			continue
		}
		if !s.prependPartial(&r) {
			err = ErrTextMissing
			continue
		}
		r.EventsBefore = 0
		delete(s.partial, r.Item)
		h.resultIndex[r.Item] = len(h.Results)
		h.Results = append(h.Results, r)
		added = true
		if !r.Failed {
			s.finished[r.Item] = r
		}
	}
	if !added {
		return nil, err
	}
	h.notifyReaders()
	return &SubmissionChange{Recorded: id}, err
}

// end keeps the results and drops the bodies, which nobody may ask for any more.
func (s *Submissions) end(id string) *SubmissionChange {
	h := s.byID[id]
	if h == nil || h.Ended {
		return nil
	}
	h.Ended = true
	// A frozen state may still refer to the items.
	items := make([]Item, len(h.Submission.Items))
	for i, item := range h.Submission.Items {
		item.Body, item.Headers, item.Reward = nil, nil, nil
		items[i] = item
	}
	h.Submission.Items = items
	h.notifyReaders()
	return &SubmissionChange{Ended: id}
}

func (s *Submissions) forget(id string) {
	h := s.byID[id]
	if h == nil {
		return
	}
	delete(s.byID, id)
	for _, r := range h.Results {
		delete(s.finished, r.Item)
	}
	for _, item := range h.Submission.Items {
		if p := s.partial[item.ID]; p != nil && p.Submission == id {
			delete(s.partial, item.ID)
		}
	}
	h.notifyReaders()
}

const (
	// encodePause is left after each encodePiece bytes, so that on a part of a core
	// the log's heartbeats go on while a snapshot is made.
	encodePause      = 3 * time.Millisecond
	encodeChunkBytes = 512 << 10
)

// Snapshot implements control.Slice.
func (s *Submissions) Snapshot() ([]byte, error) {
	var parts [][]byte
	err := s.Freeze()(func(b []byte) error {
		parts = append(parts, b)
		return nil
	})
	return wire.Frame(parts...), err
}

// Freeze implements control.Freezer: a part of texts in progress, then one of each
// submission. What it refers to is never changed in place: results are only
// appended, items and partial texts are replaced.
func (s *Submissions) Freeze() func(part func(b []byte) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*submissionState, 0, len(s.byID))
	for _, h := range s.byID {
		list = append(list, &submissionState{Submission: h.Submission, Results: h.Results, Ended: h.Ended, Order: h.Order})
	}
	partial := maps.Clone(s.partial)
	return func(part func(b []byte) error) error {
		sort.Slice(list, func(i, j int) bool { return list[i].Order < list[j].Order })
		b, err := wire.Marshal(partial)
		if err == nil {
			err = part(b)
		}
		for encoded, i := 0, 0; err == nil && i < len(list); i++ {
			if b, err = wire.Marshal(list[i]); err == nil {
				err = part(b)
			}
			list[i] = nil
			if encoded += len(b); encoded > encodeChunkBytes {
				encoded = 0
				time.Sleep(encodePause)
			}
		}
		return err
	}
}

// Restore implements control.Slice.
func (s *Submissions) Restore(snapshot []byte) error {
	parts, err := wire.Unframe(snapshot)
	if err != nil {
		return err
	}
	return s.RestoreParts(parts)
}

// RestoreParts implements control.Freezer.
func (s *Submissions) RestoreParts(parts [][]byte) error {
	if len(parts) == 0 {
		return eris.Wrap(wire.ErrMalformed, "ledger: submissions without a first part")
	}
	partial := make(map[string]*Partial)
	if err := wire.Unmarshal(parts[0], &partial); err != nil {
		return err
	}
	var list []*submissionState
	for _, part := range parts[1:] {
		h := new(submissionState)
		if err := wire.Unmarshal(part, h); err != nil {
			return err
		}
		list = append(list, h)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.byID {
		h.notifyReaders()
	}
	s.byID = make(map[string]*submissionState, len(list))
	s.finished = make(map[string]Result)
	s.partial = partial
	for _, h := range list {
		h.buildIndex()
		s.byID[h.Submission.ID] = h
		for _, r := range h.Results {
			if !r.Failed {
				s.finished[r.Item] = r
			}
		}
	}
	return nil
}

// Commands.

// AcceptCommand returns the command that accepts a submission.
func AcceptCommand(sub *Submission) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Accept: sub})
}

// RecordCommand returns the command that lists results.
func RecordCommand(submission string, results ...Result) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Submission: submission, Results: results})
}

// ProgressCommand returns the command that keeps parts of texts.
func ProgressCommand(submission string, list []Progress) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Submission: submission, Progress: list})
}

// EndCommand returns the command that ends a submission.
func EndCommand(submission string) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{End: submission})
}

// ForgetCommand returns the command that drops submissions.
func ForgetCommand(submissions []string) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Forget: submissions})
}
