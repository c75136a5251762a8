package storage

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"merlinhall/consensus"
)

func fixedID() uint64 { return 77 }

// faultyDir injects write and sync errors into a real directory.
type faultyDir struct {
	Dir
	syncErr, writeErr error
	syncs             int
}

type faultyFile struct {
	File
	dir *faultyDir
}

func (d *faultyDir) Create(name string) (File, error) {
	f, err := d.Dir.Create(name)
	return &faultyFile{f, d}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.dir.writeErr != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, f.dir.writeErr
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	f.dir.syncs++
	if f.dir.syncErr != nil {
		return f.dir.syncErr
	}
	return f.File.Sync()
}

func entry(index, term uint64, data string) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: []byte(data)}
}

// writeSampleLog saves five batches of two entries each and returns the path of the
// log file.
func writeSampleLog(t *testing.T, dir string) (path string) {
	is := is.New(t)
	s, _, err := Open(Dir(dir), fixedID)
	is.NoErr(err)
	defer s.Close()
	is.NoErr(s.Save(&consensus.Output{Group: 5, State: &consensus.HardState{Term: 2, Vote: 77}}))
	for i := uint64(1); i <= 10; i += 2 {
		data := strings.Repeat("x", int(i)*40)
		is.NoErr(s.Save(&consensus.Output{Append: []consensus.Entry{entry(i, 2, data), entry(i+1, 2, data)}}))
	}
	is.Equal(s.Durable(), consensus.Durable{Group: 5, State: consensus.HardState{Term: 2, Vote: 77}, Last: 10})
	return filepath.Join(dir, logName(s.generation))
}

// TestReopen guards against a log that changes when it is read back: the order of
// entries, overwritten entries, term, vote, identity and snapshots.
func TestReopen(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeSampleLog(t, dir)
	s, r, err := Open(Dir(dir), fixedID)
	is.NoErr(err)
	is.Equal(r.Group, uint64(5))
	is.Equal(r.State, consensus.HardState{Term: 2, Vote: 77})
	is.Equal(len(r.Entries), 10)
	is.NoErr(s.Save(&consensus.Output{Append: []consensus.Entry{entry(4, 3, "new")}}))
	members := []consensus.Member{{ID: 77, Name: "a"}}
	is.NoErr(s.Save(&consensus.Output{Compacted: &consensus.Compaction{
		Snapshot: consensus.Snapshot{Index: 3, Term: 2, Members: members, Data: []byte("state")},
		Base:     consensus.Base{Index: 2, Term: 2, Members: members},
		Entries:  []consensus.Entry{r.Entries[2], entry(4, 3, "new")},
	}, Append: []consensus.Entry{entry(5, 3, "five")}}))
	s.Close()
	s, r, err = Open(Dir(dir), fixedID)
	is.NoErr(err)
	is.Equal(r.Base, consensus.Base{Index: 2, Term: 2, Members: members})
	is.Equal(string(r.Snapshot.Data), "state")
	is.Equal(len(r.Entries), 3)
	is.Equal(r.Entries[1], entry(4, 3, "new"))
	is.Equal(s.Durable().Last, uint64(5))
	is.NoErr(s.Save(&consensus.Output{Install: &consensus.Snapshot{Index: 9, Term: 4, Members: members, Data: []byte("later")}}))
	s.Close()
	s, r, err = Open(Dir(dir), fixedID)
	is.NoErr(err)
	defer s.Close()
	is.Equal(len(r.Entries), 0)
	is.Equal(r.Base.Index, uint64(9))
	is.Equal(string(r.Snapshot.Data), "later")
	names, _ := Dir(dir).List()
	is.Equal(len(names), 3) // lock, log, snapshot
}

// Guards against a follower receiving a snapshot chunk with wrong bytes.
func TestStateIsReadInParts(t *testing.T) {
	is := is.New(t)
	s, _, err := Open(Dir(t.TempDir()), fixedID)
	is.NoErr(err)
	defer s.Close()
	state := make([]byte, 3*snapshotBufferBytes+7)
	for i := range state {
		state[i] = byte(i * 31 >> 3)
	}
	snapshot := consensus.Snapshot{Index: 3, Term: 2}
	size, err := s.WriteSnapshot(&snapshot, func(w io.Writer) error {
		for b := range slices.Chunk(state, 1000) {
			if _, err := w.Write(b); err != nil {
				return err
			}
		}
		return nil
	})
	is.NoErr(err)
	is.Equal(size, uint64(len(state)))
	is.Equal(s.SnapshotIndex(), uint64(0)) // the log does not refer to it yet
	is.NoErr(s.Save(&consensus.Output{Compacted: &consensus.Compaction{Snapshot: snapshot, Base: consensus.Base{Index: 3, Term: 2}}}))
	is.Equal(s.SnapshotIndex(), uint64(3))
	var got []byte
	for uint64(len(got)) < size {
		part, err := s.ReadState(uint64(len(got)), min(size-uint64(len(got)), 100_000))
		is.NoErr(err)
		got = append(got, part...)
	}
	is.True(bytes.Equal(got, state))
	_, err = s.ReadState(size, 100)
	is.True(errors.Is(err, ErrCorrupt)) // the trailing checksum is not part of the state
}

// Guards against losing the log, or being unable to append to it, after several
// consecutive restarts, each after a torn write.
func TestLogSurvivesRepeatedRestarts(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeSampleLog(t, dir)
	for i := range 5 {
		s, r, err := Open(Dir(dir), fixedID)
		is.NoErr(err)
		is.Equal(len(r.Entries), 10+i)
		is.NoErr(s.Save(&consensus.Output{Append: []consensus.Entry{entry(s.Durable().Last+1, 3, "more")}}))
		name := logName(s.generation)
		s.Close()
		path := filepath.Join(dir, name)
		whole, err := os.ReadFile(path)
		is.NoErr(err)
		torn := append(whole, whole[:headerBytes/2]...) // the start of a batch whose write was interrupted
		is.NoErr(os.WriteFile(path, torn, 0o600))
	}
}

// Guards against a torn last write that prevents the start of the replica or
// affects batches synced before it. The file is truncated at each byte of the last
// batch, and each of its sectors is zeroed as if it had not been written.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	path := writeSampleLog(t, t.TempDir())
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	begin := lastBatchOffset(t, whole)
	for cut := begin; cut < len(whole); cut++ {
		records, _, err := parseLog("log", whole[:cut])
		is.NoErr(err)
		is.Equal(countEntries(records), 8)
	}
	for sector := begin / sectorBytes * sectorBytes; sector < len(whole); sector += sectorBytes {
		torn := append([]byte(nil), whole...)
		clear(torn[max(sector, begin):min(sector+sectorBytes, len(whole))])
		records, _, err := parseLog("log", torn)
		is.NoErr(err)
		is.Equal(countEntries(records), 8)
	}
}

// Guards against corruption that is mistaken for a torn write, which would silently
// drop acknowledged entries. Each bit of the file is flipped in turn.
func TestFlippedBit(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := writeSampleLog(t, dir)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for i := range whole {
		for bit := range 8 {
			whole[i] ^= 1 << bit
			_, _, err := parseLog("log", whole)
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("bit %d of byte %d flipped: %v", bit, i, err)
			}
			whole[i] ^= 1 << bit
		}
	}
	whole[len(whole)/2] ^= 1
	is.NoErr(os.WriteFile(path, whole, fileMode))
	_, _, err = Open(Dir(dir), fixedID)
	is.True(errors.Is(err, ErrCorrupt))
	is.True(strings.Contains(err.Error(), "bad record at byte"))
}

// Guards against starting with an empty state when the snapshot is corrupt or
// missing.
func TestDamagedSnapshot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _, err := Open(Dir(dir), fixedID)
	is.NoErr(err)
	is.NoErr(s.Save(&consensus.Output{Install: &consensus.Snapshot{Index: 9, Term: 4, Data: []byte("later")}}))
	s.Close()
	path := filepath.Join(dir, snapshotName(9))
	b, err := os.ReadFile(path)
	is.NoErr(err)
	b[len(b)-1] ^= 4
	is.NoErr(os.WriteFile(path, b, fileMode))
	_, _, err = Open(Dir(dir), fixedID)
	is.True(errors.Is(err, ErrCorrupt))
	is.NoErr(os.Remove(path))
	_, _, err = Open(Dir(dir), fixedID)
	is.True(errors.Is(err, ErrCorrupt))
}

// Guards against writing again after a failed sync or a full disk: the kernel may
// report success for the next sync although the data was lost.
func TestNoWriteAfterFailedSyncOrFullDisk(t *testing.T) {
	for _, c := range []struct {
		name              string
		syncErr, writeErr error
	}{{"failed sync", syscall.EIO, nil}, {"full disk", nil, syscall.ENOSPC}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fs := &faultyDir{Dir: Dir(t.TempDir())}
			s, _, err := Open(fs, fixedID)
			is.NoErr(err)
			is.NoErr(s.Save(&consensus.Output{Append: []consensus.Entry{entry(1, 1, "a")}}))
			fs.syncErr, fs.writeErr = c.syncErr, c.writeErr
			is.True(errors.Is(s.Save(&consensus.Output{Append: []consensus.Entry{entry(2, 1, "b")}}), ErrFailed))
			is.Equal(s.Durable().Last, uint64(1))
			fs.syncErr, fs.writeErr = nil, nil
			syncs := fs.syncs
			is.True(errors.Is(s.Save(&consensus.Output{Append: []consensus.Entry{entry(2, 1, "b")}}), ErrFailed))
			is.Equal(fs.syncs, syncs)
			s.Close()
			s, r, err := Open(fs, fixedID)
			is.NoErr(err)
			defer s.Close()
			is.True(len(r.Entries) >= 1)
			is.Equal(r.Entries[0], entry(1, 1, "a"))
		})
	}
}

// Guards against a planned stop that reads as a failing disk, and against one that hides
// that the disk had failed.
func TestSaveAfterCloseIsNoFailedWrite(t *testing.T) {
	is := is.New(t)
	fs := &faultyDir{Dir: Dir(t.TempDir())}
	s, _, err := Open(fs, fixedID)
	is.NoErr(err)
	s.Close()
	err = s.Save(&consensus.Output{Append: []consensus.Entry{entry(1, 1, "a")}})
	is.True(errors.Is(err, ErrClosed))
	is.True(!errors.Is(err, ErrFailed))

	s, _, err = Open(fs, fixedID)
	is.NoErr(err)
	fs.syncErr = syscall.EIO
	is.True(errors.Is(s.Save(&consensus.Output{Append: []consensus.Entry{entry(1, 1, "a")}}), ErrFailed))
	s.Close()
	is.True(errors.Is(s.Save(&consensus.Output{Append: []consensus.Entry{entry(1, 1, "a")}}), ErrFailed))
}

// Guards against two processes that write to the same data directory.
func TestLock(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _, err := Open(Dir(dir), fixedID)
	is.NoErr(err)
	_, _, err = Open(Dir(dir), fixedID)
	is.True(errors.Is(err, ErrLocked))
	s.Close()
	s, _, err = Open(Dir(dir), fixedID)
	is.NoErr(err)
	s.Close()
}

func lastBatchOffset(t *testing.T, b []byte) int {
	begin, at := 0, 0
	for at < len(b) {
		r, size, ok := readRecord(b[at:])
		if !ok {
			t.Fatalf("bad record at %d", at)
		}
		at += size
		if r.kind == recordEnd && at < len(b) {
			begin = at
		}
	}
	return begin
}

func countEntries(records []record) int {
	n := 0
	for _, r := range records {
		if r.kind == recordEntry {
			n++
		}
	}
	return n
}
