package wal_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"geraniumwall/wal"
)

var errCrash = errors.New("simulated crash")

// memFile is a file's content now and as of its last sync.
type memFile struct {
	data   []byte
	synced []byte
}

// memFS simulates a disk that loses what isn't synced. Each call that changes
// it is one step; the step failAt returns failure, and after a crash so do all
// later ones.
type memFS struct {
	files   map[string]*memFile
	durable map[string]*memFile
	steps   int
	failAt  int
	failure error
	// failedKind is the kind of the step failAt, once it was reached.
	failedKind string
	locked     bool
	// segmentBytes is the segment size of stores on this disk.
	segmentBytes int64
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, failAt: -1, segmentBytes: 256}
}

func (m *memFS) step(kind string) error {
	m.steps++
	if m.steps-1 == m.failAt {
		m.failedKind = kind
	}
	if m.steps-1 == m.failAt || m.failAt >= 0 && m.steps > m.failAt && errors.Is(m.failure, errCrash) {
		return m.failure
	}
	return nil
}

// crashMode says what of the unsynced changes survives a crash.
type crashMode struct {
	directory directoryMode
	// data is the share of unsynced bytes that survives, in quarters.
	data int
}

// directoryMode says which creations, renames and removals survive. Those of
// different files may become durable in any order.
type directoryMode int

const (
	noChanges directoryMode = iota
	allChanges
	// firstChanges and lastChanges keep those of the lower or higher half of
	// the changed names.
	firstChanges
	lastChanges
)

var crashModes = []crashMode{
	{noChanges, 0},
	{noChanges, 4},
	{allChanges, 0},
	{allChanges, 1},
	{allChanges, 2},
	{allChanges, 4},
	{firstChanges, 4},
	{lastChanges, 4},
}

// survivors returns the directory after a crash. A rename is atomic, so a name
// and its temporary form change together.
func (m *memFS) survivors(mode directoryMode) map[string]*memFile {
	var changed []string
	for _, names := range []map[string]*memFile{m.files, m.durable} {
		for name := range names {
			if m.files[name] != m.durable[name] {
				changed = append(changed, strings.TrimSuffix(name, ".tmp"))
			}
		}
	}
	slices.Sort(changed)
	changed = slices.Compact(changed)
	half := (len(changed) + 1) / 2
	kept := map[directoryMode][]string{allChanges: changed, firstChanges: changed[:half], lastChanges: changed[half:]}[mode]
	result := maps.Clone(m.durable)
	for _, base := range kept {
		for _, name := range []string{base, base + ".tmp"} {
			delete(result, name)
			if file := m.files[name]; file != nil {
				result[name] = file
			}
		}
	}
	return result
}

// restart returns the disk after a crash.
func (m *memFS) restart(mode crashMode) *memFS {
	next := newMemFS()
	next.segmentBytes = m.segmentBytes
	for name, file := range m.survivors(mode.directory) {
		data := slices.Clone(file.synced)
		if len(file.data) >= len(data) {
			unsynced := file.data[len(data):]
			data = append(data, unsynced[:len(unsynced)*mode.data/4]...)
		} else if mode.data > 0 {
			data = data[:len(file.data)]
		}
		survived := &memFile{data: data, synced: slices.Clone(data)}
		next.files[name] = survived
		next.durable[name] = survived
	}
	return next
}

func (m *memFS) MakeDir(string) error { return nil }

func (m *memFS) List(string) ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	file, found := m.files[path]
	if !found {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (m *memFS) Create(path string) (wal.File, error) {
	if err := m.step("create"); err != nil {
		return nil, err
	}
	m.files[path] = &memFile{}
	return &memHandle{fs: m, file: m.files[path]}, nil
}

func (m *memFS) Append(path string) (wal.File, error) {
	file, found := m.files[path]
	if !found {
		return nil, fs.ErrNotExist
	}
	return &memHandle{fs: m, file: file}, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step("rename"); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.step("remove"); err != nil {
		return err
	}
	delete(m.files, path)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step("directory sync"); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, wal.ErrLocked
	}
	m.locked = true
	return memLock{m}, nil
}

type memLock struct{ fs *memFS }

func (l memLock) Close() error {
	l.fs.locked = false
	return nil
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

// Write keeps the bytes even at the crashing step; restart tears them.
func (h *memHandle) Write(data []byte) (int, error) {
	if err := h.fs.step("write"); err != nil {
		if h.fs.steps-1 == h.fs.failAt {
			h.file.data = append(h.file.data, data...)
		}
		return 0, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.step("sync"); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	if err := h.fs.step("truncate"); err != nil {
		return err
	}
	h.file.data = h.file.data[:size]
	return nil
}

func (h *memHandle) Close() error { return nil }
