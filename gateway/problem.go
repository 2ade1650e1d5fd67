package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"geraniumwall/workerapi"
)

const contentTypeProblem = "application/problem+json"

// Problem is an error answer in the form of RFC 9457.
type Problem struct {
	Type  string `json:"type"`
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail names the remedy.
	Detail    string            `json:"detail"`
	Outcome   workerapi.Outcome `json:"outcome"`
	RequestID string            `json:"request_id,omitempty"`

	retryAfter time.Duration
}

// Types of problems.
const (
	problemPrefix       = "urn:geraniumwall:problem:"
	typeInvalid         = problemPrefix + "invalid-request"
	typeUnknownService  = problemPrefix + "unknown-service"
	typeNotFound        = problemPrefix + "not-found"
	typeTooLarge        = problemPrefix + "body-too-large"
	typeOverloaded      = problemPrefix + "overloaded"
	typeNotReady        = problemPrefix + "not-ready"
	typeUpstream        = problemPrefix + "upstream-failed"
	typeUnknownOutcome  = problemPrefix + "unknown-outcome"
	typeControl         = problemPrefix + "control-unreachable"
	typeInProgress      = problemPrefix + "in-progress"
	typeKeyConflict     = problemPrefix + "key-conflict"
	typeQuota           = problemPrefix + "quota-exceeded"
	typeNoResult        = problemPrefix + "no-result"
	defaultRetryAfter   = time.Second
	longestRetryAfter   = time.Minute
	headerRetryAfter    = "Retry-After"
	headerContentType   = "Content-Type"
	headerContentLength = "Content-Length"
)

func notRun(status int, kind, title, detail string) *Problem {
	return &Problem{Type: kind, Title: title, Status: status, Detail: detail, Outcome: workerapi.OutcomeNotRun}
}

func invalid(detail string) *Problem {
	return notRun(http.StatusBadRequest, typeInvalid, "The request is invalid", detail)
}

func unknownOutcome(status int, detail string) *Problem {
	return &Problem{
		Type: typeUnknownOutcome, Title: "It is unknown whether the request was run",
		Status: status, Detail: detail, Outcome: workerapi.OutcomeUnknown,
	}
}

func (p *Problem) after(d time.Duration) *Problem {
	p.retryAfter = min(longestRetryAfter, max(defaultRetryAfter, d))
	return p
}

// Error returns the title and the detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func (p *Problem) encode() []byte {
	body, err := json.Marshal(p)
	if err != nil {
		panic("gateway: a problem cannot be encoded: " + err.Error())
	}
	return body
}

func (p *Problem) write(w http.ResponseWriter) {
	body := p.encode()
	h := w.Header()
	h.Set(headerContentType, contentTypeProblem)
	h.Set(headerContentLength, strconv.Itoa(len(body)))
	h.Set(workerapi.HeaderOutcome, string(p.Outcome))
	if p.retryAfter > 0 {
		seconds := int64((p.retryAfter + time.Second - 1) / time.Second)
		h.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	w.Write(body)
}
