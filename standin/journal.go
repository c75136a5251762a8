package standin

import (
	"encoding/json"
	"io"
	"time"
)

// JournalEvent is what a stand-in saw.
type JournalEvent string

// Events of a journal.
const (
	JournalBegin JournalEvent = "begin" // a request arrived
	JournalRun   JournalEvent = "run"   // it ran
	JournalToken JournalEvent = "token" // a token is about to be sent
)

// JournalLine is one line of a journal, which outlives a kill of the stand-in.
// Request is unique in the journal together with Boot.
type JournalLine struct {
	At      int64        `json:"at"`   // Unix time in milliseconds
	Boot    int64        `json:"boot"` // start of the stand-in
	Event   JournalEvent `json:"event"`
	Request uint64       `json:"request"`
	// The rest of the line depends on the event.
	CallID  string `json:"call_id,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`
	Prompt  string `json:"prompt,omitempty"`
	Seed    int64  `json:"seed,omitempty"`
	Index   int    `json:"index,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// journal writes JournalLines. A nil journal writes nothing. Its owner's mutex
// protects it.
type journal struct {
	out    io.Writer
	boot   int64
	serial uint64
}

// WriteJournal makes the stand-in write what it sees to out, each line with one
// Write call.
func (r *recorder) WriteJournal(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal = &journal{out: out, boot: time.Now().UnixMilli()}
}

func (j *journal) begin(p *RequestRecord) {
	if j == nil {
		return
	}
	j.serial++
	p.serial = j.serial
	j.write(JournalLine{
		Event:   JournalBegin,
		Request: p.serial,
		CallID:  p.CallID,
		Method:  p.Method,
		Path:    p.Path,
		Prompt:  p.Prompt,
		Seed:    p.Seed,
	})
}

func (j *journal) write(line JournalLine) {
	if j == nil {
		return
	}
	line.At = time.Now().UnixMilli()
	line.Boot = j.boot
	text, _ := json.Marshal(line)
	_, _ = j.out.Write(append(text, '\n'))
}
