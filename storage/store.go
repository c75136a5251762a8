// Package storage persists the term, vote, log and snapshots of one replica in a
// data directory. Data that a method reports as saved has been synced.
package storage

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/consensus"
	"merlinhall/wire"
)

// ErrFailed is wrapped by every error of Save, from the first failed write or sync
// on. The disk contents are then unknown, so the directory must be closed and opened again.
var ErrFailed = eris.New("storage: an earlier write or sync failed")

// ErrClosed is returned by Save after Close.
var ErrClosed = eris.New("storage: the store is closed")

// identity is the first record of a log file. A later one in the file, written when the
// group changes, replaces it.
type identity struct {
	ID       uint64         `cbor:"1,keyasint"`
	Group    uint64         `cbor:"2,keyasint"`
	Base     consensus.Base `cbor:"3,keyasint"`
	Snapshot uint64         `cbor:"4,keyasint"` // index of the snapshot file, 0 for none
}

// Store is an open data directory. Apart from WriteSnapshot, its methods must be
// called from one goroutine.
type Store struct {
	fs             FS
	release        func()
	identity       identity
	state          consensus.HardState
	lastIndex      uint64
	generation     uint64
	file           File
	batch          uint64
	buffer         []byte
	failed         error
	syncs          uint64
	newestSnapshot atomic.Uint64 // index of the newest snapshot file
	// OnSync, if set, is called with the duration of each sync of the log.
	OnSync func(time.Duration)
}

// Open locks and reads a data directory. If the directory holds no log, newID
// provides its random id, and it belongs to no group yet. Errors wrap ErrLocked,
// ErrCorrupt or the error of the file system.
func Open(fs FS, newID func() uint64) (*Store, consensus.Recovered, error) {
	release, err := fs.Lock()
	if err != nil {
		return nil, consensus.Recovered{}, err
	}
	s := &Store{fs: fs, release: release}
	recovered, err := s.recover(newID)
	if err != nil {
		s.Close()
		return nil, consensus.Recovered{}, err
	}
	return s, recovered, nil
}

// HasLog reports whether the directory holds the log of a replica.
func HasLog(fs FS) (bool, error) {
	names, err := fs.List()
	return newestLog(names) > 0, err
}

// recover reads the newest log file and copies it to a new one. After an earlier
// failed sync, the data read may exist only in the page cache; the new file is
// therefore synced before any of its contents are used.
func (s *Store) recover(newID func() uint64) (consensus.Recovered, error) {
	var r consensus.Recovered
	names, err := s.fs.List()
	if err != nil {
		return r, eris.Wrap(err, "storage")
	}
	s.generation = newestLog(names)
	if s.generation == 0 {
		s.identity = identity{ID: newID()}
		err = s.rewrite(nil)
	} else {
		err = s.readLog(&r)
	}
	if err != nil {
		return r, err
	}
	return r, s.removeObsolete()
}

// readLog replays the newest log file and copies its complete batches to the next
// generation.
func (s *Store) readLog(r *consensus.Recovered) error {
	name := logName(s.generation)
	b, err := s.fs.ReadFile(name)
	if err != nil {
		return eris.Wrap(err, "storage")
	}
	records, end, err := parseLog(name, b)
	if err != nil {
		return err
	}
	if len(records) == 0 || records[0].kind != recordIdentity {
		return eris.Wrapf(ErrCorrupt, "%s: no identity record", name)
	}
	for _, rec := range records {
		if err := s.replay(rec, r); err != nil {
			return eris.Wrapf(err, "%s", name)
		}
	}
	r.Group = s.identity.Group
	r.State = s.state
	r.Base = s.identity.Base
	if s.identity.Snapshot != 0 {
		if r.Snapshot, err = s.readSnapshot(s.identity.Snapshot); err != nil {
			return err
		}
	}
	s.batch = records[len(records)-1].batch
	return s.copyLog(b[:end])
}

// copyLog starts a new log file with b, the encoded complete batches.
func (s *Store) copyLog(b []byte) error {
	return s.startLog(func() error {
		s.buffer = b
		return s.flushBuffer()
	})
}

func (s *Store) replay(rec record, r *consensus.Recovered) error {
	switch rec.kind {
	case recordIdentity:
		if err := wire.Unmarshal(rec.payload, &s.identity); err != nil {
			return eris.Wrap(ErrCorrupt, err.Error())
		}
		s.lastIndex = max(s.lastIndex, s.identity.Base.Index)
	case recordState:
		if err := wire.Unmarshal(rec.payload, &s.state); err != nil {
			return eris.Wrap(ErrCorrupt, err.Error())
		}
	case recordEntry:
		return s.replayEntry(rec.payload, r)
	}
	return nil
}

// replayEntry adds an entry to the log. An entry whose index is already in the log
// replaces all entries from that index on.
func (s *Store) replayEntry(payload []byte, r *consensus.Recovered) error {
	var e consensus.Entry
	if err := wire.Unmarshal(payload, &e); err != nil {
		return eris.Wrap(ErrCorrupt, err.Error())
	}
	base := s.identity.Base.Index
	if e.Index <= base || e.Index > base+uint64(len(r.Entries))+1 {
		return eris.Wrapf(ErrCorrupt, "entry %d does not follow entry %d", e.Index, base+uint64(len(r.Entries)))
	}
	r.Entries = append(r.Entries[:e.Index-base-1], e)
	s.lastIndex = e.Index
	return nil
}

// ID returns the random id of the data directory.
func (s *Store) ID() uint64 { return s.identity.ID }

// Durable returns the state that has been synced.
func (s *Store) Durable() consensus.Durable {
	return consensus.Durable{Group: s.identity.Group, State: s.state, Last: s.lastIndex}
}

// Syncs returns the number of syncs of log files since Open.
func (s *Store) Syncs() uint64 { return s.syncs }

// Save writes and syncs the part of out that must be persisted. An error wraps
// ErrFailed, and every later call fails as well. After Close, it is ErrClosed unless a
// write had failed before.
func (s *Store) Save(out *consensus.Output) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.save(out); err != nil {
		s.failed = eris.Wrap(ErrFailed, err.Error())
		return s.failed
	}
	return nil
}

func (s *Store) save(out *consensus.Output) error {
	id := s.identity
	if out.Group != 0 {
		id.Group = out.Group
	}
	state := s.state
	if out.State != nil {
		state = *out.State
	}
	last := s.lastIndex
	if len(out.Append) > 0 {
		last = out.Append[len(out.Append)-1].Index
	}
	if out.Install != nil || out.Compacted != nil {
		return s.saveSnapshot(out, id, state, last)
	}
	s.beginBatch()
	if out.Group != 0 {
		s.addRecord(recordIdentity, id)
	}
	if out.State != nil {
		s.addRecord(recordState, state)
	}
	for i := range out.Append {
		s.addRecord(recordEntry, &out.Append[i])
	}
	if err := s.commitBatch(); err != nil {
		return err
	}
	s.identity, s.state, s.lastIndex = id, state, last
	return nil
}

// saveSnapshot writes the snapshot file, unless WriteSnapshot has done so, and then
// starts a new log file that refers to it.
func (s *Store) saveSnapshot(out *consensus.Output, id identity, state consensus.HardState, last uint64) error {
	snapshot, entries := out.Install, []consensus.Entry(nil)
	if out.Compacted != nil {
		snapshot, entries = &out.Compacted.Snapshot, out.Compacted.Entries
		id.Base = out.Compacted.Base
	} else {
		id.Base = consensus.Base{Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members}
		if len(out.Append) == 0 {
			last = snapshot.Index
		}
	}
	if s.newestSnapshot.Load() != snapshot.Index || out.Install != nil {
		encode := func(w io.Writer) error {
			_, err := w.Write(snapshot.Data)
			return err
		}
		if _, err := s.WriteSnapshot(snapshot, encode); err != nil {
			return err
		}
	}
	id.Snapshot = snapshot.Index
	s.identity, s.state = id, state
	all := append(append([]consensus.Entry(nil), entries...), out.Append...)
	if err := s.rewrite(all); err != nil {
		return err
	}
	s.lastIndex = last
	return s.removeObsolete()
}

func (s *Store) beginBatch() {
	s.batch++
	s.buffer = s.buffer[:0]
}

func (s *Store) addRecord(kind recordType, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		// All record types can be encoded, so this is a programming error.
		panic(fmt.Sprintf("invariant broken: %T cannot be encoded: %v", v, err))
	}
	s.buffer = appendRecord(s.buffer, s.batch, kind, b)
}

// commitBatch ends the batch, then writes and syncs it.
func (s *Store) commitBatch() error {
	s.buffer = appendRecord(s.buffer, s.batch, recordEnd, []byte{endPayload})
	return s.flushBuffer()
}

// flushBuffer writes and syncs the buffer.
func (s *Store) flushBuffer() error {
	if _, err := s.file.Write(s.buffer); err != nil {
		return eris.Wrap(err, "write")
	}
	s.syncs++
	began := time.Now()
	if err := s.file.Sync(); err != nil {
		return eris.Wrap(err, "sync")
	}
	if s.OnSync != nil {
		s.OnSync(time.Since(began))
	}
	return nil
}

// rewrite starts a new log file with the current identity and state.
func (s *Store) rewrite(entries []consensus.Entry) error {
	return s.startLog(func() error {
		s.batch = 0
		s.beginBatch()
		s.addRecord(recordIdentity, s.identity)
		s.addRecord(recordState, s.state)
		for i := range entries {
			s.addRecord(recordEntry, &entries[i])
		}
		return s.commitBatch()
	})
}

// startLog switches to a new log file. write must write and sync its first batches.
func (s *Store) startLog(write func() error) error {
	name := logName(s.generation + 1)
	f, err := s.fs.Create(name + TempSuffix)
	if err != nil {
		return eris.Wrap(err, "storage")
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = f
	if err := write(); err != nil {
		return eris.Wrapf(err, "storage: %s", name)
	}
	s.buffer = nil // released: it held the complete log, many times the size of a batch
	if err := s.publish(name); err != nil {
		return err
	}
	s.generation++
	return nil
}

// publish renames a synced temporary file to its final name.
func (s *Store) publish(name string) error {
	if err := s.fs.Rename(name+TempSuffix, name); err != nil {
		return eris.Wrap(err, "storage")
	}
	return eris.Wrap(s.fs.SyncDir(), "storage")
}

const (
	// snapshotBufferBytes is the size of one write to a snapshot file. It is bounded
	// so that other goroutines can run between writes.
	snapshotBufferBytes = 256 << 10
	snapshotSumBytes    = 4 // checksum of the preceding bytes, at the end of a snapshot file
)

// WriteSnapshot writes and syncs a snapshot file with the state that encode writes,
// and returns the size of the state. It may run concurrently with Save. A later
// Save with the compaction makes the log refer to the snapshot; until then Open
// removes the file.
func (s *Store) WriteSnapshot(snapshot *consensus.Snapshot, encode func(w io.Writer) error) (uint64, error) {
	meta := *snapshot
	meta.Data = nil
	head, err := wire.Marshal(&meta)
	if err != nil {
		return 0, err
	}
	name := snapshotName(snapshot.Index)
	f, err := s.fs.Create(name + TempSuffix)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	size, err := writeWithChecksum(f, wire.EncodeParts(head), encode)
	if err != nil {
		return 0, eris.Wrapf(err, "write %s", name)
	}
	if err := f.Sync(); err != nil {
		return 0, eris.Wrapf(err, "sync %s", name)
	}
	if err := s.publish(name); err != nil {
		return 0, err
	}
	s.newestSnapshot.Store(snapshot.Index)
	return size, nil
}

// writeWithChecksum writes head, the output of encode and the checksum of both. It
// returns the size of the output of encode.
func writeWithChecksum(f io.Writer, head []byte, encode func(w io.Writer) error) (uint64, error) {
	sum := crc32.New(castagnoli)
	var size byteCounter
	buffered := bufio.NewWriterSize(f, snapshotBufferBytes)
	if _, err := io.MultiWriter(buffered, sum).Write(head); err != nil {
		return 0, err
	}
	if err := encode(io.MultiWriter(buffered, sum, &size)); err != nil {
		return 0, err
	}
	if _, err := buffered.Write(binary.LittleEndian.AppendUint32(nil, sum.Sum32())); err != nil {
		return 0, err
	}
	return uint64(size), buffered.Flush()
}

// byteCounter is an io.Writer that counts bytes.
type byteCounter uint64

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// SnapshotIndex returns the index of the newest snapshot, or 0 if there is none.
func (s *Store) SnapshotIndex() uint64 { return s.identity.Snapshot }

// ReadState returns n bytes of the newest snapshot's state, starting at offset.
func (s *Store) ReadState(offset, n uint64) ([]byte, error) {
	name := snapshotName(s.identity.Snapshot)
	b, err := s.fs.ReadPart(name, 0, binary.MaxVarintLen64)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", name)
	}
	length, prefix := binary.Uvarint(b)
	if prefix <= 0 {
		return nil, eris.Wrapf(ErrCorrupt, "%s: invalid header length", name)
	}
	b, err = s.fs.ReadPart(name, uint64(prefix)+length+offset, n)
	if err == nil && uint64(len(b)) < n {
		err = eris.Wrapf(ErrCorrupt, "%d of %d bytes", len(b), n)
	}
	return b, eris.Wrapf(err, "read %s", name)
}

func (s *Store) readSnapshot(index uint64) (consensus.Snapshot, error) {
	var snapshot consensus.Snapshot
	name := snapshotName(index)
	b, err := s.fs.ReadFile(name)
	if err != nil {
		return snapshot, eris.Wrapf(ErrCorrupt, "%s: %v", name, err)
	}
	end := len(b) - snapshotSumBytes
	if end < 0 || crc32.Checksum(b[:end], castagnoli) != binary.LittleEndian.Uint32(b[end:]) {
		return snapshot, eris.Wrapf(ErrCorrupt, "%s: checksum mismatch", name)
	}
	length, n := binary.Uvarint(b[:end])
	if n <= 0 || length > uint64(end-n) {
		return snapshot, eris.Wrapf(ErrCorrupt, "%s: invalid header length", name)
	}
	if err := wire.Unmarshal(b[n:n+int(length)], &snapshot); err != nil {
		return snapshot, eris.Wrapf(ErrCorrupt, "%s: %v", name, err)
	}
	snapshot.Data = b[n+int(length) : end]
	return snapshot, nil
}

// removeObsolete removes all log and snapshot files other than the current ones,
// including temporary ones.
func (s *Store) removeObsolete() error {
	names, err := s.fs.List()
	if err != nil {
		return eris.Wrap(err, "storage")
	}
	for _, name := range names {
		if !s.isObsolete(name) {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return eris.Wrap(err, "storage")
		}
	}
	return nil
}

func (s *Store) isObsolete(name string) bool {
	switch {
	case strings.HasPrefix(name, logPrefix):
		return name != logName(s.generation)
	case strings.HasPrefix(name, snapshotPrefix):
		return name != snapshotName(s.identity.Snapshot)
	}
	return false
}

// Close closes the log and unlocks the directory. It needs no sync, because Save
// has synced all data.
func (s *Store) Close() {
	if s.file != nil {
		_ = s.file.Close()
	}
	if s.release != nil {
		s.release()
		s.release = nil
	}
	if s.failed == nil {
		s.failed = ErrClosed
	}
}

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%016d", logPrefix, generation) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, index) }

// newestLog returns the highest generation of a published log file, or 0 if there
// is none. Temporary files do not count.
func newestLog(names []string) uint64 {
	generations := []uint64{0}
	for _, name := range names {
		number, ok := strings.CutPrefix(name, logPrefix)
		if !ok {
			continue
		}
		if g, err := strconv.ParseUint(number, 10, 64); err == nil {
			generations = append(generations, g)
		}
	}
	sort.Slice(generations, func(i, j int) bool { return generations[i] > generations[j] })
	return generations[0]
}
