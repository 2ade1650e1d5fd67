package wal

import (
	"errors"
	"io"
	"syscall"
	"time"
)

const (
	// maxShortage is how long an operation waits while too many files are open.
	maxShortage   = 30 * time.Second
	shortageRetry = 10 * time.Millisecond
)

// waitingFS repeats the operations that open a file while the process or the host has too
// many open files. That is safe, since an open that fails changes nothing.
type waitingFS struct{ FS }

// whileShort repeats open until it fails for another reason or maxShortage is over.
func whileShort[T any](open func() (T, error)) (T, error) {
	for until := time.Now().Add(maxShortage); ; time.Sleep(shortageRetry) {
		result, err := open()
		short := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if !short || !time.Now().Before(until) {
			return result, err
		}
	}
}

// List returns the names of the files in a directory.
func (w waitingFS) List(dir string) ([]string, error) {
	return whileShort(func() ([]string, error) { return w.FS.List(dir) })
}

// ReadFile returns the content of a file.
func (w waitingFS) ReadFile(path string) ([]byte, error) {
	return whileShort(func() ([]byte, error) { return w.FS.ReadFile(path) })
}

// Create opens a new, empty file in place of one with that name.
func (w waitingFS) Create(path string) (File, error) {
	return whileShort(func() (File, error) { return w.FS.Create(path) })
}

// Append opens a file for writing at its end.
func (w waitingFS) Append(path string) (File, error) {
	return whileShort(func() (File, error) { return w.FS.Append(path) })
}

// SyncDir makes changes of a directory durable.
func (w waitingFS) SyncDir(dir string) error {
	_, err := whileShort(func() (struct{}, error) { return struct{}{}, w.FS.SyncDir(dir) })
	return err
}

// Lock excludes other processes until the result is closed.
func (w waitingFS) Lock(path string) (io.Closer, error) {
	return whileShort(func() (io.Closer, error) { return w.FS.Lock(path) })
}
