package storage

import (
	"os"
	"path/filepath"
)

// TempSuffix ends the names of files that an interrupted writing leaves.
const TempSuffix = ".tmp"

// ReplaceFile replaces a file, or creates it. When it returns nil the file is durable, and
// after a failure at any point the file has its former content or the new one. If the process
// ends meanwhile, a file with TempSuffix may be left. Errors are those of package os.
func ReplaceFile(path string, data []byte, mode os.FileMode) error {
	if err := writeSynced(path+TempSuffix, data, mode); err != nil {
		_ = os.Remove(path + TempSuffix) // the room is needed on a full disk
		return err
	}
	if err := os.Rename(path+TempSuffix, path); err != nil {
		return err
	}
	return Dir(filepath.Dir(path)).SyncDir()
}

func writeSynced(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return f.Close()
}
