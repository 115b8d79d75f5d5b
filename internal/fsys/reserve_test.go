package fsys

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// limitedFS refuses to open files once a number of descriptors is open.
type limitedFS struct {
	FS
	free int
}

func (f *limitedFS) take() error {
	if f.free == 0 {
		return &os.PathError{Op: "open", Err: syscall.EMFILE}
	}
	f.free--
	return nil
}

func (f *limitedFS) OpenFile(path string, flag int, perm os.FileMode) (File, error) {
	if err := f.take(); err != nil {
		return nil, err
	}
	file, err := f.FS.OpenFile(path, flag, perm)
	return &limitedFile{file, f}, err
}

func (f *limitedFS) SyncFolder(path string) error {
	if err := f.take(); err != nil {
		return err
	}
	f.free++
	return f.FS.SyncFolder(path)
}

type limitedFile struct {
	File
	fs *limitedFS
}

func (f *limitedFile) Close() error {
	f.fs.free++
	return f.File.Close()
}

type limitedSpare struct{ fs *limitedFS }

func (s limitedSpare) Close() error {
	s.fs.free++
	return nil
}

// TestReserveOpensFilesWithoutFreeDescriptors guards against a segment that cannot be opened, or
// whose folder cannot be synced, while connections hold all other descriptors.
func TestReserveOpensFilesWithoutFreeDescriptors(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	limited := &limitedFS{FS: OS, free: 3}
	fs := newReserve(limited, 2, func() (closer, error) {
		if err := limited.take(); err != nil {
			return nil, err
		}
		return limitedSpare{limited}, nil
	})
	current, err := fs.OpenFile(filepath.Join(folder, "0"), os.O_RDWR|os.O_CREATE, 0o600)
	is.NoErr(err)
	is.Equal(limited.free, 0)
	for _, name := range []string{"1", "2", "3"} {
		next, err := fs.OpenFile(filepath.Join(folder, name), os.O_RDWR|os.O_CREATE, 0o600)
		is.NoErr(err)
		is.NoErr(fs.SyncFolder(folder))
		is.NoErr(current.Close())
		current = next
		is.Equal(len(fs.spares), 2) // opened again
	}
	for range 2 {
		_, err := fs.OpenFile(filepath.Join(folder, "more"), os.O_RDWR|os.O_CREATE, 0o600)
		is.NoErr(err)
	}
	_, err = fs.OpenFile(filepath.Join(folder, "more"), os.O_RDWR|os.O_CREATE, 0o600)
	is.True(OutOfDescriptors(err)) // no spare is left
}
