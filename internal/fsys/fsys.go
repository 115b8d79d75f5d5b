// Package fsys holds the file operations of the durable stores, so that tests can run them on
// an emulated disk.
package fsys

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// File is an open file.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	// Name returns the path that the file was opened with.
	Name() string
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync returns once the content would survive a loss of power.
	Sync() error
}

// FS is a file system.
type FS interface {
	// OpenFile opens a file as os.OpenFile does.
	OpenFile(path string, flag int, perm os.FileMode) (File, error)
	// Names returns the names in a folder, in any order.
	Names(folder string) ([]string, error)
	// RemoveAll removes a file, or a folder with everything in it; it may be missing.
	RemoveAll(path string) error
	// SyncFolder returns once names that were created or removed in the folder would stay so
	// after a loss of power.
	SyncFolder(path string) error
}

// OS is the file system of the operating system.
var OS FS = osFS{}

type osFS struct{}

func (osFS) OpenFile(path string, flag int, perm os.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err // not a nil *os.File in the interface
	}
	return file, nil
}

func (osFS) Names(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (osFS) RemoveAll(path string) error { return os.RemoveAll(path) }

func (osFS) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
