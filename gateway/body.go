package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumwall/transport"
)

// bufferLimit is the size up to which bodies are held in memory, so that an
// attempt can be repeated and a slow caller uses no slot of a worker.
const bufferLimit = 64 << 10

// bufferedMost bounds the memory of all request bodies together.
const bufferedMost = 128 << 20

// smallReserve is the part of bufferedMost that is kept for bodies up to bufferLimit.
const smallReserve = bufferedMost / 8

// takeBuffer takes memory for a body and reports whether there was enough.
func (g *Gateway) takeBuffer(n int64) bool {
	if n <= bufferLimit {
		return g.buffers.TryAcquire(n)
	}
	most := min(n+smallReserve, bufferedMost)
	if !g.buffers.TryAcquire(most) {
		return false
	}
	g.buffers.Release(most - n)
	return true
}

// requestBody is the body of a caller's request: held in memory, or a stream of
// known length that can be sent once.
type requestBody struct {
	data   []byte
	stream io.ReadCloser
	length int64
	// started is set when the stream was handed to an attempt.
	started bool
}

// replayable reports whether an attempt can still send the body.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.started }

// open returns the body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	if b.stream != nil {
		b.started = true
		return io.NopCloser(b.stream)
	}
	if len(b.data) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.data))
}

// readBody reads the body of a request. A body of unknown length is always held
// in memory, so that one that proves too large was never sent anywhere.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, stream bool, left time.Duration) (requestBody, *Problem) {
	if r.ContentLength > limit {
		return requestBody{}, tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return requestBody{}, nil
	}
	// A caller that stops sending would hold the request beyond its deadline.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(left))
	if stream && r.ContentLength > bufferLimit {
		transport.PassOn(r.Body)
		return requestBody{stream: r.Body, length: r.ContentLength}, nil
	}
	data, err := readAll(io.LimitReader(r.Body, limit+1), r.ContentLength)
	if err != nil {
		return requestBody{}, bodyProblem(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(data)) > limit {
		return requestBody{}, tooLarge(limit)
	}
	return requestBody{data: data, length: int64(len(data))}, nil
}

// bufferSize is the memory that the body of a request may need.
func bufferSize(r *http.Request, limit int64, stream bool) int64 {
	if r.ContentLength < 0 {
		return min(limit, bufferedMost)
	}
	if stream && r.ContentLength > bufferLimit {
		return 0
	}
	return min(r.ContentLength, limit, bufferedMost)
}

// readAll reads r to its end; size is the expected length or negative.
func readAll(r io.Reader, size int64) ([]byte, error) {
	// One byte more lets the read that meets the end happen without growing.
	buffer := bytes.NewBuffer(make([]byte, 0, max(0, min(size, bufferLimit))+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

func tooLarge(limit int64) *Problem {
	return notRun(http.StatusRequestEntityTooLarge, typeTooLarge, "The body is too large",
		fmt.Sprintf("send at most %d bytes or raise max_body_bytes of the service", limit))
}

func bodyProblem(err error) *Problem {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return invalid("the body ended early; send it completely")
	}
	return invalid("the body could not be read: " + err.Error() + "; send it completely before the deadline")
}
