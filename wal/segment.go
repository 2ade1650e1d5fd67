package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// A segment starts with magic, number, sequence of its first frame, salt and a
// checksum of these.
const (
	segmentMagic      = 0x4c474553
	segmentHeaderSize = 4 + 8 + 8 + 8 + 4
	segmentPrefix     = "log-"
	segmentSuffix     = ".seg"
	snapshotPrefix    = "snapshot-"
	snapshotSuffix    = ".snap"
	temporarySuffix   = ".tmp"
	nameDigits        = 16
)

// segmentHeader identifies a segment.
type segmentHeader struct {
	number        uint64
	firstSequence uint64
	salt          uint64
}

// segment is what is known of a stored segment.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in it, or 0.
	lastIndex uint64
}

func appendSegmentHeader(out []byte, h segmentHeader) []byte {
	start := len(out)
	out = binary.LittleEndian.AppendUint32(out, segmentMagic)
	out = binary.LittleEndian.AppendUint64(out, h.number)
	out = binary.LittleEndian.AppendUint64(out, h.firstSequence)
	out = binary.LittleEndian.AppendUint64(out, h.salt)
	sum := crc32.Checksum(out[start:], castagnoli)
	return binary.LittleEndian.AppendUint32(out, sum)
}

func parseSegmentHeader(data []byte) (segmentHeader, bool) {
	if len(data) < segmentHeaderSize || binary.LittleEndian.Uint32(data) != segmentMagic {
		return segmentHeader{}, false
	}
	body := data[:segmentHeaderSize-4]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[segmentHeaderSize-4:]) {
		return segmentHeader{}, false
	}
	return segmentHeader{
		number:        binary.LittleEndian.Uint64(data[4:]),
		firstSequence: binary.LittleEndian.Uint64(data[12:]),
		salt:          binary.LittleEndian.Uint64(data[20:]),
	}, true
}

func numberedName(prefix string, number uint64, suffix string) string {
	return fmt.Sprintf("%s%0*x%s", prefix, nameDigits, number, suffix)
}

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, numberedName(segmentPrefix, number, segmentSuffix))
}

func snapshotPath(dir string, index uint64) string {
	return filepath.Join(dir, numberedName(snapshotPrefix, index, snapshotSuffix))
}

// numbersOf returns the ascending numbers in the names with prefix and suffix.
func numbersOf(names []string, prefix, suffix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		digits, hasPrefix := strings.CutPrefix(name, prefix)
		digits, hasSuffix := strings.CutSuffix(digits, suffix)
		if !hasPrefix || !hasSuffix || len(digits) != nameDigits {
			continue
		}
		if number, err := strconv.ParseUint(digits, nameDigits, 64); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// segmentScan reads the segments of a directory in order.
type segmentScan struct {
	replay   *replay
	sequence uint64
	last     segmentHeader
	segments []segment
	// tail is where the valid frames of the last segment end.
	tail int64
	torn bool
}

// scan reads one segment. Only the newest one may have a torn tail.
func (s *segmentScan) scan(name string, number uint64, data []byte, newest bool) error {
	header, valid := parseSegmentHeader(data)
	if !valid || header.number != number {
		return &CorruptionError{File: name, Reason: "the header is damaged"}
	}
	if len(s.segments) > 0 && (header.firstSequence != s.sequence || number != s.last.number+1) {
		return &CorruptionError{File: name, Reason: fmt.Sprintf("it doesn't follow segment %d", s.last.number)}
	}
	s.last = header
	s.sequence = header.firstSequence
	s.segments = append(s.segments, segment{number: number})
	s.tail = segmentHeaderSize
	for s.tail < int64(len(data)) {
		size, err := s.scanFrame(name, data[s.tail:], newest)
		if err != nil || size == 0 {
			return err
		}
		s.tail += int64(size)
	}
	return nil
}

// scanFrame replays the frame at the start of the data. It returns 0 at a torn
// tail.
func (s *segmentScan) scanFrame(name string, data []byte, newest bool) (int, error) {
	f, valid := parseFrame(data, s.last.salt)
	if !valid {
		if !newest || findFrame(data[1:], s.last.salt, s.sequence) {
			return 0, &CorruptionError{File: name, Offset: s.tail, Reason: "a frame is damaged before the end of the log"}
		}
		s.torn = true
		return 0, nil
	}
	if f.sequence != s.sequence {
		return 0, &CorruptionError{File: name, Offset: s.tail, Reason: fmt.Sprintf("frame %d in place of %d", f.sequence, s.sequence)}
	}
	if err := s.replay.applyFrame(f.payload); err != nil {
		return 0, &CorruptionError{File: name, Offset: s.tail, Reason: err.Error()}
	}
	s.sequence++
	current := &s.segments[len(s.segments)-1]
	current.lastIndex = max(current.lastIndex, s.replay.last())
	return f.size(), nil
}
