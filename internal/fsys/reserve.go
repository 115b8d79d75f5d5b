package fsys

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// OutOfDescriptors reports whether an operation failed because the process or the system has no
// free file descriptor.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// WithReserve returns a file system that holds spare descriptors and gives them up to open a file
// or sync a folder when no other descriptor is free. Connections can take every other descriptor
// of the process. Spare descriptors are opened again when a file is closed.
func WithReserve(fs FS, spares int) FS {
	return newReserve(fs, spares, func() (closer, error) { return os.Open(os.DevNull) })
}

type closer interface{ Close() error }

type reserve struct {
	FS
	size int
	open func() (closer, error)

	mu     sync.Mutex
	spares []closer
}

func newReserve(fs FS, size int, open func() (closer, error)) *reserve {
	r := &reserve{FS: fs, size: size, open: open}
	r.fill()
	return r
}

// fill opens the spare descriptors that are missing, as far as there are free ones.
func (r *reserve) fill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.spares) < r.size {
		spare, err := r.open()
		if err != nil {
			return
		}
		r.spares = append(r.spares, spare)
	}
}

// release closes one spare descriptor and reports whether there was one.
func (r *reserve) release() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.spares) - 1
	if last < 0 {
		return false
	}
	// Nothing was written to it.
	_ = r.spares[last].Close()
	r.spares = r.spares[:last]
	return true
}

// OpenFile opens a file, if need be with a spare descriptor.
func (r *reserve) OpenFile(path string, flag int, perm os.FileMode) (File, error) {
	for {
		file, err := r.FS.OpenFile(path, flag, perm)
		if err == nil {
			return &reservedFile{File: file, reserve: r}, nil
		}
		if !OutOfDescriptors(err) || !r.release() {
			return nil, err
		}
	}
}

// SyncFolder syncs a folder, if need be with a spare descriptor.
func (r *reserve) SyncFolder(path string) error {
	defer r.fill()
	for {
		err := r.FS.SyncFolder(path)
		if !OutOfDescriptors(err) || !r.release() {
			return err
		}
	}
}

type reservedFile struct {
	File
	reserve *reserve
}

// Close closes the file and takes its descriptor as a spare one if one is missing.
func (f *reservedFile) Close() error {
	err := f.File.Close()
	f.reserve.fill()
	return err
}
