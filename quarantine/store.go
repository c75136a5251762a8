package quarantine

import (
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/storage"
	"merlinhall/wire"
)

const (
	storeFileName = "suspects"
	storeFileMode = 0o600
	storeDirMode  = 0o700
	// writeInterval is the shortest time between two writes.
	writeInterval = 200 * time.Millisecond
)

// store keeps records in a file, so that requests stay held back when all processes lose power
// together. Nothing else depends on the file: it may be missing or out of date.
type store struct {
	path    string // empty if there is no directory
	log     *logrus.Entry
	pending chan func() []wire.SuspectRequest
	done    chan struct{} // closed to end the writer
	ended   chan struct{} // closed when it has ended
}

// storedRecords is the content of the file.
type storedRecords struct {
	SavedMs  int64                 `cbor:"1,keyasint"` // Unix ms
	Suspects []wire.SuspectRequest `cbor:"2,keyasint,omitempty"`
}

func newStore(dir string, log *logrus.Entry) *store {
	s := &store{log: log, pending: make(chan func() []wire.SuspectRequest, 1), done: make(chan struct{}), ended: make(chan struct{})}
	if dir == "" {
		close(s.ended)
		return s
	}
	if err := os.MkdirAll(dir, storeDirMode); err != nil {
		log.Warnf("creating the directory for suspect requests failed; continuing without it: %v", err)
		close(s.ended)
		return s
	}
	s.path = filepath.Join(dir, storeFileName)
	go s.run()
	return s
}

func (s *store) run() {
	defer close(s.ended)
	for {
		select {
		case read := <-s.pending:
			s.write(read())
		case <-s.done:
			select {
			case read := <-s.pending:
				s.write(read())
			default:
			}
			return
		}
		select {
		case <-time.After(writeInterval):
		case <-s.done:
		}
	}
}

// close writes what has changed and ends the writer.
func (s *store) close() {
	close(s.done)
	<-s.ended
}

// save schedules a write of what read returns by then.
func (s *store) save(read func() []wire.SuspectRequest) {
	if s.path == "" {
		return
	}
	select {
	case s.pending <- read:
	default: // the write that waits reads later
	}
}

// load returns the records of the file, aged by the time since they were saved.
func (s *store) load(now time.Time) []wire.SuspectRequest {
	if s.path == "" {
		return nil
	}
	b, err := os.ReadFile(s.path)
	if os.IsNotExist(err) {
		return nil
	}
	var in storedRecords
	if err == nil {
		err = wire.Unmarshal(b, &in)
	}
	if err != nil {
		s.log.Warnf("ignoring the stored suspect requests: %v", err)
		return nil
	}
	// The clock of the host may have been set back.
	age := max(0, now.Sub(time.UnixMilli(in.SavedMs)))
	for i := range in.Suspects {
		m := &in.Suspects[i]
		m.ArrivedAge += age
		m.AnsweredAge += age
		for j := range m.Ends {
			m.Ends[j].SentAge += age
			m.Ends[j].Age += age
		}
	}
	return in.Suspects
}

// write replaces the file durably. A file without records is written only over one with some.
func (s *store) write(records []wire.SuspectRequest) {
	if len(records) == 0 {
		if _, err := os.Stat(s.path); os.IsNotExist(err) {
			return
		}
	}
	b, err := wire.Marshal(&storedRecords{SavedMs: time.Now().UnixMilli(), Suspects: records})
	if err == nil {
		err = storage.ReplaceFile(s.path, b, storeFileMode)
	}
	if err != nil {
		s.log.Infof("writing the suspect requests failed: %v", err)
	}
}
