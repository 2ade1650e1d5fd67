// Package wal stores a replica's log, hard state and snapshots in one
// directory.
//
// The directory holds an identity file, segments with checksummed frames and
// the newest snapshot. One call of Save appends one frame and syncs once,
// whatever the number of entries. A frame is started only when the one before
// it is durable. A damaged frame with nothing valid behind it was therefore
// torn by a crash and is cut off on Open; a damaged frame with a valid one
// behind it was durable once, so Open refuses the directory.
//
// After any failed write or sync the store is dead: the state of the disk is
// unknown then, and a repeated sync can report success without having written
// anything. Each later call returns ErrDead; the process has to end.
package wal
