package wal

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
	"slices"
)

// The identity file is magic, format version, replica id and a checksum. It is
// written under a temporary name when a creation starts and renamed when it is
// complete. The version is that of all files of the directory.
const (
	identityName    = "identity"
	lockName        = "lock"
	identityMagic   = 0x44494757
	identityVersion = 1
	identitySize    = 4 + 4 + 8 + 4
)

func encodeIdentity(id uint64) []byte {
	out := binary.LittleEndian.AppendUint32(nil, identityMagic)
	out = binary.LittleEndian.AppendUint32(out, identityVersion)
	out = binary.LittleEndian.AppendUint64(out, id)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

// decodeIdentity returns the replica id. Its errors are CorruptionError and
// VersionError.
func decodeIdentity(data []byte) (uint64, error) {
	if len(data) != identitySize || binary.LittleEndian.Uint32(data) != identityMagic {
		return 0, &CorruptionError{File: identityName, Reason: "it is no identity file"}
	}
	if crc32.Checksum(data[:identitySize-4], castagnoli) != binary.LittleEndian.Uint32(data[identitySize-4:]) {
		return 0, &CorruptionError{File: identityName, Reason: "the checksum doesn't match"}
	}
	if version := binary.LittleEndian.Uint32(data[4:]); version != identityVersion {
		return 0, &VersionError{Stored: version}
	}
	return binary.LittleEndian.Uint64(data[8:]), nil
}

// checkIdentity refuses a directory that isn't the replica's.
func checkIdentity(options Options, names []string) error {
	if !slices.Contains(names, identityName) {
		return ErrNoIdentity
	}
	data, err := options.FS.ReadFile(filepath.Join(options.Dir, identityName))
	if err != nil {
		return err
	}
	stored, err := decodeIdentity(data)
	if err != nil {
		return err
	}
	if stored != options.ReplicaID {
		return &IdentityError{Stored: stored, Wanted: options.ReplicaID}
	}
	return nil
}
