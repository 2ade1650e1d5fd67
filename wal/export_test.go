package wal

// WithPayload returns the segment with a frame of the payload and a correct
// checksum appended, so that fuzzing reaches the records.
func WithPayload(data, payload []byte, sequence uint64) []byte {
	header, _ := parseSegmentHeader(data)
	return appendFrame(data, header.salt, frame{sequence: sequence, payload: payload})
}
