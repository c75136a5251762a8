// Package ledger contains the replicated state of a hosted deployment: the routing
// manifest, the weight versions that trainers announced, batch submissions with their
// results, and the hosts that are being retired. Each of them is a slice of the control
// state machine. Reads are safe from any goroutine.
package ledger

import (
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// Submission is a set of requests that a trainer submits at once and that run later.
type Submission struct {
	ID    string `cbor:"1,keyasint"`
	Host  string `cbor:"2,keyasint"` // of the route
	Path  string `cbor:"3,keyasint"` // under the route's prefix
	Model string `cbor:"4,keyasint,omitempty"`
	Step  int    `cbor:"5,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may generate its texts.
	MinVersion uint64 `cbor:"6,keyasint,omitempty"`
	// WantedGroups is the number of complete groups that the trainer waits for.
	WantedGroups int    `cbor:"7,keyasint,omitempty"`
	Items        []Item `cbor:"8,keyasint"`
	// SingleVersion and the fields below are taken from the route when the submission is
	// accepted.
	SingleVersion bool          `cbor:"9,keyasint,omitempty"`
	MaxAttempts   int           `cbor:"10,keyasint,omitempty"`
	Due           time.Duration `cbor:"11,keyasint,omitempty"` // after acceptance
	ItemTTL       time.Duration `cbor:"12,keyasint,omitempty"` // after acceptance
	// Account is the client account that made the submission, or empty.
	Account string `cbor:"13,keyasint,omitempty"`
}

// Item is one request of a submission.
type Item struct {
	ID      string        `cbor:"1,keyasint"`
	Path    string        `cbor:"2,keyasint"`
	Headers []wire.Header `cbor:"3,keyasint,omitempty"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	Tokens  int           `cbor:"5,keyasint,omitempty"` // bound on prompt and output together
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

// Result is the outcome of an item.
type Result struct {
	Item     string   `cbor:"1,keyasint"`
	Failed   bool     `cbor:"2,keyasint,omitempty"`
	Parts    [][]byte `cbor:"3,keyasint,omitempty"` // compressed parts of the text, see Text
	Versions []uint64 `cbor:"4,keyasint,omitempty"` // that generated the text
	Score    string   `cbor:"5,keyasint,omitempty"`
	// PartialEvents is the number of events that the ledger already has of the text. Parts
	// contains those after them. It is set in commands only.
	PartialEvents int `cbor:"6,keyasint,omitempty"`
	// Lineage is that of the partial text which Parts continue. It is set in commands only.
	Lineage uint64 `cbor:"7,keyasint,omitempty"`
}

// submissionsCommand is the body of a command. Exactly one operation is set.
type submissionsCommand struct {
	Accept        *Submission `cbor:"1,keyasint,omitempty"`
	ForSubmission string      `cbor:"2,keyasint,omitempty"` // the one that Results or Progress belong to
	Results       []Result    `cbor:"3,keyasint,omitempty"`
	Progress      []Progress  `cbor:"6,keyasint,omitempty"`
	End           string      `cbor:"4,keyasint,omitempty"`
	Forget        []string    `cbor:"5,keyasint,omitempty"`
	Additions     []Addition  `cbor:"7,keyasint,omitempty"`
}

// Addition is what one command adds to one submission.
type Addition struct {
	Submission string     `cbor:"1,keyasint"`
	Results    []Result   `cbor:"2,keyasint,omitempty"`
	Progress   []Progress `cbor:"3,keyasint,omitempty"`
}

// submissionState is a submission with its results.
type submissionState struct {
	Submission Submission `cbor:"1,keyasint"`
	Results    []Result   `cbor:"2,keyasint,omitempty"` // in the order in which they were recorded
	Ended      bool       `cbor:"3,keyasint,omitempty"`
	Order      uint64     `cbor:"4,keyasint"` // log index of the acceptance

	resultIndex map[string]int // item id to index in Results
	itemIndex   map[string]int // item id to index in Submission.Items
	since       time.Time      // when this process learnt of it
	changed     chan struct{}  // closed at the next change
	groups      groupCount
	// requestsHeld and textHeld are the memory that it takes without the texts of its results, and
	// that of these texts.
	requestsHeld, textHeld int
	// requestedAt is when this process learnt of the first submission of the step, zero if
	// that was from a snapshot.
	requestedAt time.Time
}

func (state *submissionState) buildIndex() {
	state.resultIndex = make(map[string]int, len(state.Submission.Items))
	for i, r := range state.Results {
		state.resultIndex[r.Item] = i
	}
	state.itemIndex = make(map[string]int, len(state.Submission.Items))
	for i := range state.Submission.Items {
		state.itemIndex[state.Submission.Items[i].ID] = i
	}
	state.groups = newGroupCount(state)
	state.since = time.Now()
	state.changed = make(chan struct{})
}

// notifyReaders wakes the readers that wait for a change.
func (state *submissionState) notifyReaders() {
	close(state.changed)
	state.changed = make(chan struct{})
}

// SubmissionChange describes the effect of a command. One field is set.
type SubmissionChange struct {
	Accepted *Submission
	Recorded string // submission that got results
	Ended    string // submission that ended
}

// Submissions is the slice of batch submissions.
type Submissions struct {
	mu       sync.Mutex
	byID     map[string]*submissionState
	finished map[string]Result   // completed texts of all known submissions, by item id
	partial  map[string]*Partial // partial texts of items without a result, by item id
	onChange func(SubmissionChange)

	// held is the memory that the submissions take, requestsHeld the part without the texts of
	// results, which heldByAccount has by client account.
	held, requestsHeld int
	heldByAccount      map[string]int
}

// NewSubmissions returns an empty slice.
func NewSubmissions() *Submissions {
	return &Submissions{byID: make(map[string]*submissionState), finished: make(map[string]Result), partial: make(map[string]*Partial), heldByAccount: make(map[string]int)}
}

// OnChange sets f to be called with each change, from the goroutine that applies it. f
// must not block.
func (s *Submissions) OnChange(f func(SubmissionChange)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = f
}

// Name implements control.Slice.
func (s *Submissions) Name() string { return "submissions" }

// ErrTextMissing is the outcome of a command with a result whose text continues a partial
// text that the ledger does not have. The result must be sent again with the complete
// text.
var ErrTextMissing = eris.New("ledger: the partial text that the result continues is missing")

// MissingTextError names the items whose results were not recorded for ErrTextMissing, which
// it wraps. All others of the command were.
type MissingTextError struct{ Items []string }

// Error implements error.
func (e *MissingTextError) Error() string {
	return fmt.Sprintf("%v, %d items", ErrTextMissing, len(e.Items))
}

// Unwrap returns ErrTextMissing.
func (*MissingTextError) Unwrap() error { return ErrTextMissing }

// Apply implements control.Slice. The result is nil or an error.
func (s *Submissions) Apply(index, _ uint64, body []byte) any {
	var c submissionsCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "ledger: submissions")
	}
	if err := s.update(func() ([]SubmissionChange, error) { return s.apply(index, &c) }); err != nil {
		return err
	}
	return nil
}

// update changes the state and announces the changes once s.mu is released.
func (s *Submissions) update(change func() ([]SubmissionChange, error)) error {
	s.mu.Lock()
	changes, err := change()
	notify := s.onChange
	s.mu.Unlock()
	if notify != nil {
		for _, c := range changes {
			notify(c)
		}
	}
	return err
}

// acceptUploaded accepts a submission that has arrived in parts.
func (s *Submissions) acceptUploaded(index uint64, sub *Submission) error {
	return s.update(func() ([]SubmissionChange, error) { return s.accept(index, sub), nil })
}

func (s *Submissions) apply(index uint64, c *submissionsCommand) ([]SubmissionChange, error) {
	switch {
	case c.Accept != nil:
		return s.accept(index, c.Accept), nil
	case len(c.Additions) > 0:
		return s.add(c.Additions)
	case c.ForSubmission != "": // written by versions before Additions
		return s.add([]Addition{{c.ForSubmission, c.Results, c.Progress}})
	case c.End != "":
		return s.end(c.End), nil
	}
	for _, id := range c.Forget {
		s.forget(id)
	}
	return nil, nil
}

// add applies additions in order. Those that it can't apply stop no others.
func (s *Submissions) add(list []Addition) (changes []SubmissionChange, err error) {
	var missing []string
	for _, a := range list {
		s.addProgress(a.Submission, a.Progress)
		added, without := s.record(a.Submission, a.Results)
		if added {
			changes = append(changes, SubmissionChange{Recorded: a.Submission})
		}
		missing = append(missing, without...)
	}
	if len(missing) > 0 {
		return changes, &MissingTextError{missing}
	}
	return changes, nil
}

func (s *Submissions) accept(index uint64, sub *Submission) []SubmissionChange {
	if s.byID[sub.ID] != nil {
		return nil
	}
	state := &submissionState{Submission: *sub, Order: index}
	state.buildIndex()
	state.requestedAt = s.firstRequest(state)
	state.groups.setAgain(s.groupsAgain(state))
	s.byID[sub.ID] = state
	s.countRequests(state)
	return []SubmissionChange{{Accepted: &state.Submission}}
}

// record appends results. An item that already has a result keeps it and its position.
// missing lists the items whose results continue a text that the ledger does not have.
func (s *Submissions) record(id string, results []Result) (added bool, missing []string) {
	state := s.byID[id]
	if state == nil || state.Ended {
		return false, nil
	}
	for _, r := range results {
		at, known := state.itemIndex[r.Item]
		if _, recorded := state.resultIndex[r.Item]; recorded || !known {
			continue
		}
		if !s.prependPartial(&r) {
			missing = append(missing, r.Item)
			continue
		}
		r.PartialEvents, r.Lineage = 0, 0
		s.setPartial(r.Item, nil)
		s.addText(state, r.heldBytes())
		s.setRequests(state, state.requestsHeld+listedItemHeldBytes-openItemHeldBytes)
		state.resultIndex[r.Item] = len(state.Results)
		state.Results = append(state.Results, r)
		state.groups.take(state.Submission.Items[at].Group)
		added = true
		if !r.Failed {
			s.finished[r.Item] = r
		}
	}
	if added {
		if state.closed() {
			s.dropRequests(state)
		}
		state.notifyReaders()
	}
	return added, missing
}

// end closes a submission. It keeps the results.
func (s *Submissions) end(id string) []SubmissionChange {
	state := s.byID[id]
	if state == nil || state.Ended {
		return nil
	}
	state.Ended = true
	s.dropRequests(state)
	state.notifyReaders()
	return []SubmissionChange{{Ended: id}}
}

// dropRequests drops what only runs of the items of a closed submission need.
func (s *Submissions) dropRequests(state *submissionState) {
	// A state captured by Freeze may still refer to the old items.
	items := make([]Item, len(state.Submission.Items))
	for i, item := range state.Submission.Items {
		item.Body, item.Headers, item.Reward = nil, nil, nil
		items[i] = item
	}
	state.Submission.Items = items
	s.countRequests(state)
}

// forget removes a submission with its results and partial texts.
func (s *Submissions) forget(id string) {
	state := s.byID[id]
	if state == nil {
		return
	}
	for _, r := range state.Results {
		delete(s.finished, r.Item)
	}
	for _, item := range state.Submission.Items {
		if p := s.partial[item.ID]; p != nil && p.ForSubmission == id {
			s.setPartial(item.ID, nil)
		}
	}
	s.addText(state, -state.textHeld)
	s.setRequests(state, 0)
	delete(s.byID, id)
	state.notifyReaders()
}

const (
	// encodePause is the pause after each encodeChunkBytes of a snapshot, so that
	// heartbeats of the log are still sent in time on a host with a fraction of a core.
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
	return wire.EncodeParts(parts...), err
}

// Freeze implements control.Freezer. The first part contains the partial texts, each
// further part one submission. Nothing that the captured state refers to is changed in
// place: results are only appended, items and partial texts are replaced.
func (s *Submissions) Freeze() func(part func(b []byte) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*submissionState, 0, len(s.byID))
	for _, state := range s.byID {
		list = append(list, &submissionState{Submission: state.Submission, Results: state.Results, Ended: state.Ended, Order: state.Order})
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
	parts, err := wire.DecodeParts(snapshot)
	if err != nil {
		return err
	}
	return s.RestoreParts(parts)
}

// RestoreParts implements control.Freezer.
func (s *Submissions) RestoreParts(parts [][]byte) error {
	if len(parts) == 0 {
		return eris.Wrap(wire.ErrMalformed, "ledger: submissions snapshot has no first part")
	}
	partial := make(map[string]*Partial)
	if err := wire.Unmarshal(parts[0], &partial); err != nil {
		return err
	}
	var list []*submissionState
	for _, part := range parts[1:] {
		state := new(submissionState)
		if err := wire.Unmarshal(part, state); err != nil {
			return err
		}
		list = append(list, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.byID {
		state.notifyReaders()
	}
	s.byID = make(map[string]*submissionState, len(list))
	s.finished = make(map[string]Result)
	s.partial = partial
	for _, state := range list {
		state.buildIndex()
		s.byID[state.Submission.ID] = state
		for _, r := range state.Results {
			if !r.Failed {
				s.finished[r.Item] = r
			}
		}
	}
	for _, state := range list {
		state.groups.setAgain(s.groupsAgain(state))
	}
	s.countHeld()
	return nil
}

// Commands.

// AcceptCommand returns the command that accepts a submission.
func AcceptCommand(sub *Submission) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Accept: sub})
}

// RecordCommand returns the command that records results of one submission.
func RecordCommand(submission string, results ...Result) ([]byte, error) {
	return AddCommand([]Addition{{Submission: submission, Results: results}})
}

// ProgressCommand returns the command that adds to partial texts of one submission.
func ProgressCommand(submission string, list []Progress) ([]byte, error) {
	return AddCommand([]Addition{{Submission: submission, Progress: list}})
}

// AddCommand returns the command that makes additions to several submissions.
func AddCommand(list []Addition) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Additions: list})
}

// EndCommand returns the command that ends a submission.
func EndCommand(submission string) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{End: submission})
}

// ForgetCommand returns the command that removes submissions.
func ForgetCommand(submissions []string) ([]byte, error) {
	return wire.Marshal(&submissionsCommand{Forget: submissions})
}
