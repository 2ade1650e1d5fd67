package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"geraniumwall/workerapi"
)

const (
	// maxDeadline bounds the deadline that a caller may name.
	maxDeadline = time.Hour
	// maxTokenLength bounds names, keys and ids from outside in bytes.
	maxTokenLength  = 256
	anonymousCaller = "anonymous"
	// keyOnWire is the idempotency key as it is sent to workers. net/http resends
	// a POST by itself when its header map has the canonical form of the name, so
	// the lower-case form is used; HTTP compares names without regard to case.
	keyOnWire = "idempotency-key"
)

// envelope is what the headers of a request say.
type envelope struct {
	caller    string
	requestID string
	key       string
	deadline  time.Duration
}

// readEnvelope checks the headers; fallback is the deadline of a request that
// names none.
func readEnvelope(h http.Header, fallback time.Duration) (envelope, *Problem) {
	e := envelope{
		caller:    h.Get(workerapi.HeaderCaller),
		requestID: h.Get(workerapi.HeaderRequestID),
		key:       h.Get(workerapi.HeaderIdempotent),
		deadline:  fallback,
	}
	if e.caller == "" {
		e.caller = anonymousCaller
	}
	if e.requestID == "" {
		e.requestID = uuid.NewString()
	}
	if problem := e.check(); problem != nil {
		return e, problem
	}
	if text := h.Get(workerapi.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return e, invalid(fmt.Sprintf("header %s must be 1 to %d milliseconds", workerapi.HeaderDeadline, maxDeadline.Milliseconds()))
		}
		e.deadline = time.Duration(ms) * time.Millisecond
	}
	return e, nil
}

func (e *envelope) check() *Problem {
	var name string
	switch {
	case !validToken(e.caller):
		name = workerapi.HeaderCaller
	case !validToken(e.requestID):
		name = workerapi.HeaderRequestID
	case !validToken(e.key):
		name = workerapi.HeaderIdempotent
	default:
		return nil
	}
	return invalid(fmt.Sprintf("header %s must be at most %d visible ASCII characters", name, maxTokenLength))
}

func validToken(s string) bool {
	if len(s) > maxTokenLength {
		return false
	}
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true, headerContentLength: true,
}

const ownPrefix = "Geranium-"

// copyHeaders copies the headers that are passed on: not those of one connection
// and not the system's own.
func copyHeaders(to, from http.Header) {
	listed := from["Connection"]
	for name, values := range from {
		if hopByHop[name] || strings.HasPrefix(name, ownPrefix) || listedIn(listed, name) {
			continue
		}
		to[name] = values
	}
}

func listedIn(connection []string, name string) bool {
	for _, line := range connection {
		for item := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(item), name) {
				return true
			}
		}
	}
	return false
}

// workerHeaders returns the headers of an attempt on a worker.
func (c *call) workerHeaders(session uint64, left time.Duration) http.Header {
	h := make(http.Header, len(c.header)+5)
	copyHeaders(h, c.header)
	delete(h, workerapi.HeaderIdempotent)
	if c.whole {
		// The stored form of an answer has no content encoding.
		delete(h, "Accept-Encoding")
	}
	if c.key != "" {
		h[keyOnWire] = []string{c.key}
	}
	h[workerapi.HeaderSession] = []string{strconv.FormatUint(session, 10)}
	h[workerapi.HeaderDeadline] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	h[workerapi.HeaderRequestID] = []string{c.requestID}
	h[workerapi.HeaderCaller] = []string{c.caller}
	return h
}
