package wal

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// A frame is magic, length of the payload, sequence, checksum, payload. The
// checksum covers the segment's salt, so that neither frames of another segment
// nor frame-like bytes in an entry's data can pass for frames.
const (
	frameMagic      = 0x4c574752
	frameHeaderSize = 4 + 4 + 8 + 4
	maxPayload      = math.MaxInt32
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one unit of writing, durable as a whole or not at all.
type frame struct {
	sequence uint64
	payload  []byte
}

func frameChecksum(salt uint64, f frame) uint32 {
	var head [20]byte
	binary.LittleEndian.PutUint64(head[0:], salt)
	binary.LittleEndian.PutUint64(head[8:], f.sequence)
	binary.LittleEndian.PutUint32(head[16:], uint32(len(f.payload)))
	sum := crc32.Update(0, castagnoli, head[:])
	return crc32.Update(sum, castagnoli, f.payload)
}

func appendFrame(out []byte, salt uint64, f frame) []byte {
	out = binary.LittleEndian.AppendUint32(out, frameMagic)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(f.payload)))
	out = binary.LittleEndian.AppendUint64(out, f.sequence)
	out = binary.LittleEndian.AppendUint32(out, frameChecksum(salt, f))
	return append(out, f.payload...)
}

// parseFrame reads the frame at the start of the data. It returns false if
// there is no whole and valid one.
func parseFrame(data []byte, salt uint64) (frame, bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if uint64(length) > uint64(len(data)-frameHeaderSize) {
		return frame{}, false
	}
	f := frame{
		sequence: binary.LittleEndian.Uint64(data[8:]),
		payload:  data[frameHeaderSize : frameHeaderSize+int(length)],
	}
	if frameChecksum(salt, f) != binary.LittleEndian.Uint32(data[16:]) {
		return frame{}, false
	}
	return f, true
}

func (f frame) size() int {
	return frameHeaderSize + len(f.payload)
}

// findFrame reports whether a valid frame with a sequence above the given one
// starts within the data.
func findFrame(data []byte, salt, after uint64) bool {
	for i := range data {
		rest := data[i:]
		if len(rest) < frameHeaderSize || binary.LittleEndian.Uint32(rest) != frameMagic {
			continue
		}
		// Compares the sequence first: a checksum at each offset of a long
		// torn frame would delay the start.
		ahead := binary.LittleEndian.Uint64(rest[8:]) - after
		if ahead == 0 || ahead > uint64(len(data)) {
			continue
		}
		if _, valid := parseFrame(rest, salt); valid {
			return true
		}
	}
	return false
}
