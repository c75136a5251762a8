package consensus_test

import (
	"errors"
	"math/rand/v2"
	"os"
	"sort"
	"syscall"
	"time"

	"merlinhall/storage"
)

var errSync = errors.New("injected sync failure")

// powerLoss is the panic value of a disk operation at which the host loses power.
type powerLoss struct{}

// simDisk is an in-memory storage.FS that distinguishes written from durable data.
type simDisk struct {
	rng     *rand.Rand
	names   map[string]*simFile
	durable map[string]*simFile // names as of the last SyncDir
	onSync  func(time.Duration) // called with the duration of each sync

	syncDelay     time.Duration // extra time of each sync
	opsUntilCrash int           // operations until a power loss, 0 for none
	failSync      bool          // the next sync fails
	full          bool          // writes fail
	skipSync      bool          // injected fault: syncs have no effect
}

type simFile struct {
	disk    *simDisk
	content []byte
	synced  int
	// syncFailed is set by a failed sync. Later syncs then report success without
	// making the data durable.
	syncFailed bool
}

func newSimDisk(rng *rand.Rand) *simDisk {
	return &simDisk{rng: rng, names: map[string]*simFile{}, durable: map[string]*simFile{}}
}

// countOperation counts down to a scheduled power loss.
func (d *simDisk) countOperation() {
	if d.opsUntilCrash > 0 {
		d.opsUntilCrash--
		if d.opsUntilCrash == 0 {
			panic(powerLoss{})
		}
	}
}

// crash simulates a power loss. Unsynced data may survive in part, with zeros in
// sectors that were not written. Unsynced file names survive or not.
func (d *simDisk) crash() {
	d.opsUntilCrash = 0
	if d.rng.IntN(2) == 0 {
		d.names = map[string]*simFile{}
		for name, f := range d.durable {
			d.names[name] = f
		}
	}
	for _, name := range sortedKeys(d.names) {
		d.names[name].tear(d.rng)
	}
	_ = d.SyncDir()
}

func (f *simFile) tear(rng *rand.Rand) {
	unsynced := len(f.content) - f.synced
	if unsynced > 0 {
		keep := f.synced + rng.IntN(unsynced+1)
		torn := append([]byte(nil), f.content[:keep]...)
		if rng.IntN(2) == 0 {
			// Sector writes are atomic.
			cut := max(f.synced, keep/512*512)
			torn = append(torn[:cut], make([]byte, len(f.content)-cut)...)
		}
		f.content = torn
	}
	f.synced = len(f.content)
	f.syncFailed = false
}

func (d *simDisk) Lock() (func(), error) { return func() {}, nil }

func (d *simDisk) List() ([]string, error) { return sortedKeys(d.names), nil }

func (d *simDisk) ReadFile(name string) ([]byte, error) {
	f := d.names[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.content...), nil
}

func (d *simDisk) ReadPart(name string, offset, n uint64) ([]byte, error) {
	b, err := d.ReadFile(name)
	from := min(offset, uint64(len(b)))
	return b[from:min(from+n, uint64(len(b)))], err
}

func (d *simDisk) Create(name string) (storage.File, error) {
	d.countOperation()
	if d.full {
		return nil, syscall.ENOSPC
	}
	f := &simFile{disk: d}
	d.names[name] = f
	return f, nil
}

func (d *simDisk) Rename(from, to string) error {
	d.countOperation()
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *simDisk) Remove(name string) error {
	d.countOperation()
	delete(d.names, name)
	return nil
}

func (d *simDisk) SyncDir() error {
	d.countOperation()
	d.durable = map[string]*simFile{}
	for name, f := range d.names {
		d.durable[name] = f
	}
	return nil
}

func (f *simFile) Write(p []byte) (int, error) {
	f.disk.countOperation()
	if f.disk.full {
		n := f.disk.rng.IntN(len(p) + 1)
		f.content = append(f.content, p[:n]...)
		return n, syscall.ENOSPC
	}
	f.content = append(f.content, p...)
	return len(p), nil
}

func (f *simFile) Sync() error {
	f.disk.countOperation()
	f.disk.onSync(f.disk.syncDelay + time.Duration(f.disk.rng.IntN(2000))*time.Microsecond)
	if f.disk.failSync {
		f.disk.failSync = false
		f.syncFailed = true
		return errSync
	}
	if !f.syncFailed && !f.disk.skipSync {
		f.synced = len(f.content)
	}
	return nil
}

func (f *simFile) Close() error { return nil }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
