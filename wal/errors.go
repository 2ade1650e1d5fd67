package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors of this package. Each one names its remedy.
var (
	// ErrNoIdentity: the directory holds no replica.
	ErrNoIdentity = errors.New("wal: the directory holds no replica; check the data directory setting, or if the disk was lost join under a new replica id and create its directory explicitly")
	// ErrExists: the directory to create is in use.
	ErrExists = errors.New("wal: the directory is not empty; open it, or create the replica in an empty directory")
	// ErrLocked: another process has the directory open.
	ErrLocked = errors.New("wal: another process uses the directory; stop it or choose another data directory")
	// ErrDiskFull: the disk has no space left.
	ErrDiskFull = errors.New("wal: the disk is full; free space on the volume of the data directory and restart the process")
	// ErrSyncFailed: the disk failed to make a write durable.
	ErrSyncFailed = errors.New("wal: a sync failed, so written data may be lost; check the disk, then restart the process or replace the replica under a new id")
	// ErrWriteFailed: the disk failed to take a write.
	ErrWriteFailed = errors.New("wal: a write failed; check the disk and its permissions, then restart the process")
	// ErrDead: an earlier write failed.
	ErrDead = errors.New("wal: the store has failed before and takes no more writes; restart the process")
	// ErrInvalidWrite: the write doesn't continue the stored log. Nothing was
	// written.
	ErrInvalidWrite = errors.New("wal: the write does not follow the stored log; this is a fault of the program, report it")
)

// IdentityError says that a directory belongs to another replica.
type IdentityError struct {
	Stored uint64
	Wanted uint64
}

// Error names both replicas and the remedy.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("wal: the directory belongs to replica %d, not to %d; correct the replica id or the data directory in the settings", e.Stored, e.Wanted)
}

// VersionError says that a directory has a format this code doesn't know.
type VersionError struct{ Stored uint32 }

// Error names both formats and the remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("wal: the directory has format %d and this program reads format %d; "+
		"start the newer version that wrote it, and do not empty the directory or replace the replica", e.Stored, identityVersion)
}

// CorruptionError says that data that was durable once is damaged or missing.
type CorruptionError struct {
	File string
	// Offset is where the damage begins, in bytes.
	Offset int64
	Reason string
}

// Error names the place and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at byte %d: %s; remove this replica from the membership, and add a new one with a new id and an empty directory", e.File, e.Offset, e.Reason)
}

// writeError gives the failure of a write its typed kind.
func writeError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return fmt.Errorf("%w: %w", ErrWriteFailed, err)
}

// syncError gives the failure of a sync its typed kind. Some file systems
// report a full disk only here.
func syncError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w: %w", ErrDiskFull, ErrSyncFailed, err)
	}
	return fmt.Errorf("%w: %w", ErrSyncFailed, err)
}
