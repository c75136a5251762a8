package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrLocked is returned when another process has locked the data directory.
var ErrLocked = eris.New("storage: the data directory is in use by another process")

// FS is the subset of file system operations that the store needs, on one flat
// directory. Tests replace it to inject faults.
type FS interface {
	// Lock locks the directory for this process, or returns ErrLocked.
	Lock() (release func(), err error)
	List() ([]string, error)
	ReadFile(name string) ([]byte, error)
	// ReadPart reads up to n bytes starting at offset, fewer at the end of the file.
	ReadPart(name string, offset, n uint64) ([]byte, error)
	// Create creates the named file, or truncates an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes file creations, renames and removals durable.
	SyncDir() error
}

// File is an open file that is written sequentially.
type File interface {
	Write(p []byte) (int, error)
	// Sync makes all written data durable.
	Sync() error
	Close() error
}

// Dir implements FS on a directory of the operating system.
type Dir string

const (
	lockFileName = "lock"
	dirMode      = 0o700
	fileMode     = 0o600
)

// Lock implements FS with flock, which the kernel releases when the process exits.
func (d Dir) Lock() (func(), error) {
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return nil, eris.Wrap(err, "storage")
	}
	f, err := os.OpenFile(d.path(lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "storage")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if err == syscall.EWOULDBLOCK {
			return nil, eris.Wrapf(ErrLocked, "%s", string(d))
		}
		return nil, eris.Wrapf(err, "storage: lock %s", string(d))
	}
	return func() { _ = f.Close() }, nil
}

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (d Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// ReadPart implements FS.
func (d Dir) ReadPart(name string, offset, n uint64) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b := make([]byte, n)
	got, err := f.ReadAt(b, int64(offset))
	if err == io.EOF {
		err = nil
	}
	return b[:got], err
}

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }
