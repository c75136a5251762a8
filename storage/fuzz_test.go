package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"merlinhall/consensus"
	"merlinhall/wire"
)

// memoryDir is a directory in memory, so that inputs are not limited by syncs of the disk.
type memoryDir map[string][]byte

type memoryFile struct {
	dir  memoryDir
	name string
}

func (d memoryDir) Lock() (func(), error)                { return func() {}, nil }
func (d memoryDir) List() ([]string, error)              { return slices.Sorted(maps.Keys(d)), nil }
func (d memoryDir) Create(name string) (File, error)     { d[name] = nil; return memoryFile{d, name}, nil }
func (d memoryDir) Remove(name string) error             { delete(d, name); return nil }
func (d memoryDir) SyncDir() error                       { return nil }
func (d memoryDir) ReadFile(name string) ([]byte, error) { return slices.Clone(d[name]), nil }

func (d memoryDir) Rename(from, to string) error {
	d[to] = d[from]
	delete(d, from)
	return nil
}

func (d memoryDir) ReadPart(name string, offset, n uint64) ([]byte, error) {
	size := uint64(len(d[name]))
	return d[name][min(offset, size):min(offset+n, size)], nil
}

func (f memoryFile) Write(p []byte) (int, error) {
	f.dir[f.name] = append(f.dir[f.name], p...)
	return len(p), nil
}
func (memoryFile) Sync() error  { return nil }
func (memoryFile) Close() error { return nil }

// sampleLog returns a log of five batches of two entries each, all of which were
// acknowledged, and the offset at which the last batch begins.
func sampleLog(f *testing.F) (text []byte, last int) {
	f.Helper()
	dir := f.TempDir()
	s, _, err := Open(Dir(dir), fixedID)
	if err != nil {
		f.Fatal(err)
	}
	defer s.Close()
	for i := uint64(1); i <= 10; i += 2 {
		if text, err = os.ReadFile(filepath.Join(dir, logName(s.generation))); err != nil {
			f.Fatal(err)
		}
		last = len(text)
		if err := s.Save(&consensus.Output{Append: []consensus.Entry{entry(i, 2, string(make([]byte, 40*i))), entry(i+1, 2, "x")}}); err != nil {
			f.Fatal(err)
		}
	}
	if text, err = os.ReadFile(filepath.Join(dir, logName(s.generation))); err != nil {
		f.Fatal(err)
	}
	return text, last
}

// A damaged log is an error, and what was acknowledged before the last batch is there or
// the replica does not start.
func FuzzDamagedLog(f *testing.F) {
	text, last := sampleLog(f)
	all, end, err := parseLog("log", text)
	if err != nil || end != len(text) {
		f.Fatal("the sample log is not whole")
	}
	f.Add(uint16(30), []byte{1})
	f.Add(uint16(last+2), []byte{0x80, 0, 7})
	f.Add(uint16(len(text)-1), []byte{0xff})
	f.Fuzz(func(t *testing.T, at uint16, change []byte) {
		damaged := append([]byte(nil), text...)
		changed := false
		for i, c := range change {
			if n := int(at) + i; n < len(damaged) {
				damaged[n] ^= c
				changed = changed || c != 0
			}
		}
		records, end, err := parseLog("log", damaged)
		switch {
		case err != nil:
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("unclear error: %v", err)
			}
		case changed && int(at) < last && end < last:
			t.Fatalf("the log ends at %d of %d without an error; batches that were followed by others are lost", end, len(damaged))
		case len(records) > len(all):
			t.Fatal("more records than were written")
		}
	})
}

// Any bytes in place of a log end in an error or in a store that can be used.
func FuzzLog(f *testing.F) {
	text, _ := sampleLog(f)
	f.Add(text, false)
	f.Add(text[:len(text)-3], false)
	f.Add([]byte{0xa1}, true)
	f.Fuzz(func(t *testing.T, text []byte, asRecord bool) {
		if asRecord {
			// The payload of an intact record, so that its decoder is reached.
			identityRecord, _ := wire.Marshal(identity{ID: 7})
			payload := text
			text = appendRecord(nil, 1, recordIdentity, identityRecord)
			for _, kind := range []recordType{recordEntry, recordState, recordIdentity} {
				text = appendRecord(text, 1, kind, payload)
			}
			text = appendRecord(text, 1, recordEnd, []byte{endPayload})
		}
		dir := memoryDir{logName(1): text}
		s, _, err := Open(dir, fixedID)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("unclear error: %v", err)
			}
			return
		}
		s.Close()
		again, _, err := Open(dir, fixedID)
		if err != nil {
			t.Fatalf("a store that was opened cannot be opened again: %v", err)
		}
		again.Close()
	})
}

// The header and the state of a snapshot file are damaged, its checksum is right.
func FuzzSnapshot(f *testing.F) {
	head, _ := wire.Marshal(&consensus.Snapshot{Index: 9, Term: 2, Members: []consensus.Member{{ID: 7, Name: "a"}}})
	f.Add(append(wire.EncodeParts(head), "state"...))
	f.Add([]byte{})
	f.Add([]byte{0x80})
	f.Add(binary.AppendUvarint(nil, 1<<63))
	f.Fuzz(func(t *testing.T, text []byte) {
		text = binary.LittleEndian.AppendUint32(text[:len(text):len(text)], crc32.Checksum(text, castagnoli))
		s := &Store{fs: memoryDir{snapshotName(9): text}, identity: identity{Snapshot: 9}}
		snapshot, err := s.readSnapshot(9)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("unclear error: %v", err)
			}
			return
		}
		state, err := s.ReadState(0, uint64(len(snapshot.Data)))
		if err != nil || string(state) != string(snapshot.Data) {
			t.Fatalf("the state is read as %q and %q: %v", snapshot.Data, state, err)
		}
	})
}
