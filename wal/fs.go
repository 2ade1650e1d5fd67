package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the file access of a store. Tests replace it to inject faults.
type FS interface {
	// MakeDir creates a directory and its parents.
	MakeDir(dir string) error
	// List returns the names of the files in a directory.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a new, empty file in place of one with that name.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock excludes other processes until the result is closed.
	Lock(path string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

const (
	filePermissions = 0o640
	dirPermissions  = 0o750
)

// OSFS is the operating system's file system.
type OSFS struct{}

// MakeDir creates a directory and its parents.
func (OSFS) MakeDir(dir string) error {
	return os.MkdirAll(dir, dirPermissions)
}

// List returns the names of the files in a directory, in lexical order.
func (OSFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// ReadFile returns the content of a file.
func (OSFS) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(filepath.Clean(path))
}

// Create opens a new, empty file in place of one with that name.
func (OSFS) Create(path string) (File, error) {
	return os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
}

// Append opens a file for writing at its end.
func (OSFS) Append(path string) (File, error) {
	return os.OpenFile(filepath.Clean(path), os.O_APPEND|os.O_WRONLY, filePermissions)
}

// Rename moves a file, replacing the target.
func (OSFS) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove deletes a file.
func (OSFS) Remove(path string) error {
	return os.Remove(path)
}

// SyncDir makes changes of a directory durable.
func (OSFS) SyncDir(dir string) error {
	handle, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}

// Lock takes an exclusive advisory lock on a file, which it creates if needed.
func (OSFS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}
