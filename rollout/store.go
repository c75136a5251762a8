package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/storage"
	"merlinhall/wire"
)

const (
	bodySuffix   = ".body"
	bodyFileMode = 0o666 // before the umask
	// writeErrPause is the time after a failed write in which the store refuses others.
	writeErrPause = time.Second
)

// ErrNoBody is returned for a body of which the store has no intact copy.
var ErrNoBody = eris.New("rollout: no intact copy of the body")

// Store keeps bodies as files in one directory. The file name contains the SHA-256
// of the body, so a truncated or modified file is detected when it is read.
type Store struct {
	dir string

	writeMu sync.Mutex // held during a write and its sync

	mu      sync.Mutex
	present map[wire.BodyKey]bool
	// writeErr is the failed write or sync after which the store refuses further writes
	// until writeErrUntil. A sync is never repeated, because the page cache may have dropped
	// the data; the next write makes a new file.
	writeErr      error
	writeErrUntil time.Time
	now           func() time.Time // replaced by tests
	// skipDigest disables the check of a body when it is read, for tests.
	skipDigest bool
}

// OpenStore opens the store at dir, creates it when needed and removes files
// that are incomplete or damaged.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, eris.Wrap(err, "rollout: create body store")
	}
	s := &Store{dir: dir, present: map[wire.BodyKey]bool{}, now: time.Now}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "rollout: read body store")
	}
	for _, e := range entries {
		key, ok := parseBodyName(e.Name())
		if !ok {
			if strings.HasSuffix(e.Name(), storage.TempSuffix) {
				_ = os.Remove(filepath.Join(dir, e.Name()))
			}
			continue
		}
		if _, err := s.Get(key); err == nil {
			s.present[key] = true
		}
	}
	return s, nil
}

func bodyName(k wire.BodyKey) string {
	return fmt.Sprintf("%s-%d-%d-%d-%s%s", hex.EncodeToString([]byte(k.Trainer)), k.Step, k.Group, k.Round, k.Digest, bodySuffix)
}

func parseBodyName(name string) (wire.BodyKey, bool) {
	parts := strings.Split(strings.TrimSuffix(name, bodySuffix), "-")
	if !strings.HasSuffix(name, bodySuffix) || len(parts) != 5 || len(parts[4]) != 2*sha256.Size {
		return wire.BodyKey{}, false
	}
	trainer, err1 := hex.DecodeString(parts[0])
	step, err2 := strconv.ParseUint(parts[1], 10, 64)
	group, err3 := strconv.Atoi(parts[2])
	round, err4 := strconv.ParseUint(parts[3], 10, 32)
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return wire.BodyKey{}, false
	}
	return wire.BodyKey{Trainer: string(trainer), Step: step, Group: group, Round: uint32(round), Digest: parts[4]}, true
}

// Put writes and syncs a body. It returns nil only when the body is durable.
func (s *Store) Put(key wire.BodyKey, data []byte) error {
	if digestOf(data) != key.Digest {
		return eris.Errorf("rollout: body %s has another digest", bodyName(key))
	}
	if s.Has(key) {
		if _, err := s.Get(key); err == nil {
			return nil
		}
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.Err(); err != nil {
		return err
	}
	err := storage.ReplaceFile(filepath.Join(s.dir, bodyName(key)), data, bodyFileMode)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.writeErr, s.writeErrUntil = eris.Wrap(err, "rollout: write body"), s.now().Add(writeErrPause)
		return s.writeErr
	}
	s.present[key] = true
	return nil
}

// Get returns the bytes of a body. A file whose digest does not match is
// removed. The error is ErrNoBody when there is no intact copy.
func (s *Store) Get(key wire.BodyKey) ([]byte, error) {
	name := filepath.Join(s.dir, bodyName(key))
	data, err := os.ReadFile(name)
	if err == nil && (s.skipDigest || digestOf(data) == key.Digest) {
		return data, nil
	}
	s.mu.Lock()
	delete(s.present, key)
	s.mu.Unlock()
	if err == nil {
		_ = os.Remove(name)
	}
	return nil, ErrNoBody
}

// Has reports whether the store has a copy of a body. The copy may still turn out to
// be corrupted when it is read.
func (s *Store) Has(key wire.BodyKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present[key]
}

// Delete removes a body. The directory is not synced: a file that reappears after a
// crash is deleted again with the unused bodies.
func (s *Store) Delete(key wire.BodyKey) {
	s.mu.Lock()
	delete(s.present, key)
	s.mu.Unlock()
	_ = os.Remove(filepath.Join(s.dir, bodyName(key)))
}

// Keys returns the keys of all stored bodies.
func (s *Store) Keys() []wire.BodyKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]wire.BodyKey, 0, len(s.present))
	for k := range s.present {
		keys = append(keys, k)
	}
	return keys
}

// Err returns the error for which the store refuses writes now, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.now().Before(s.writeErrUntil) {
		s.writeErr = nil
	}
	return s.writeErr
}
