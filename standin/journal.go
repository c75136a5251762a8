package standin

import (
	"encoding/json"
	"io"
	"time"
)

// JournalEvent is the kind of a journal line.
type JournalEvent string

// Kinds of journal lines.
const (
	JournalBegin JournalEvent = "begin" // a request was received
	JournalRun   JournalEvent = "run"   // the request started to execute
	JournalToken JournalEvent = "token" // a token of its response is about to be sent
)

// JournalLine is one line of a journal. A journal survives a kill of its stand-in;
// Boot and Request together identify a request across restarts.
type JournalLine struct {
	At      int64        `json:"at"`   // Unix time in milliseconds
	Boot    int64        `json:"boot"` // Unix time in milliseconds at which the journal was opened
	Event   JournalEvent `json:"event"`
	Request uint64       `json:"request"`
	// The fields below depend on the event.
	CallID  string `json:"call_id,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`
	Account string `json:"account,omitempty"`
	KeySeen bool   `json:"key_seen,omitempty"`
	Prompt  string `json:"prompt,omitempty"`
	Seed    int64  `json:"seed,omitempty"`
	Index   int    `json:"index,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// journal writes JournalLines. A nil journal writes nothing. It is protected by the
// mutex of the recorder.
type journal struct {
	out    io.Writer
	boot   int64
	serial uint64
}

// WriteJournal makes the stand-in write a journal to out, with one Write call per
// line.
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
		Account: p.Account,
		KeySeen: p.KeySeen,
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
