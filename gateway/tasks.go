package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/workerapi"
)

const (
	taskDeadline     = 5 * time.Second
	maxTaskBodyBytes = 1 << 20
	maxBatchBytes    = 16 << 20
	maxBatchTasks    = 1000
	maxTaskWait      = time.Minute
	pathTasks        = "/v1/tasks/"
	contentTypeJSON  = "application/json"
)

var (
	errShortResponse   = errors.New("control answered fewer results than tasks")
	errSubmitQueueFull = errors.New("too many submissions wait")
	errNotSubmitted    = errors.New("the deadline passed before the task was submitted")
	errSubmitPending   = errors.New("the deadline passed while the task was being submitted")
)

// BatchResult is the result of one task of a batch.
type BatchResult struct {
	ID      string   `json:"id,omitempty"`
	Problem *Problem `json:"problem,omitempty"`
}

// BatchResponse lists the results in the order of the submitted tasks.
type BatchResponse struct {
	Results []BatchResult `json:"results"`
}

// outcome is done if every task was accepted and not_run if certainly none was;
// failed is a batch that was accepted in part.
func (b BatchResponse) outcome() workerapi.Outcome {
	accepted, refused := 0, 0
	for _, r := range b.Results {
		switch {
		case r.Problem == nil:
			accepted++
		case r.Problem.Outcome == workerapi.OutcomeUnknown:
			return workerapi.OutcomeUnknown
		default:
			refused++
		}
	}
	switch {
	case refused == 0:
		return workerapi.OutcomeDone
	case accepted == 0:
		return workerapi.OutcomeNotRun
	default:
		return workerapi.OutcomeFailed
	}
}

// serveSubmit serves POST /v1/tasks.
func (g *Gateway) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var t TaskSubmission
	e, problem := g.readSubmission(w, r, maxTaskBodyBytes, &t)
	if problem != nil {
		problem.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.deadline)
	defer cancel()
	result := g.submitOne(ctx, t, e.caller, e.key)
	if result.Problem != nil {
		result.Problem.RequestID = e.requestID
		result.Problem.write(w)
		return
	}
	w.Header().Set("Location", pathTasks+result.ID)
	writeJSON(w, http.StatusAccepted, workerapi.OutcomeDone, result)
}

// serveBatch serves POST /v1/tasks:batch. Every task gets the key of the request
// followed by its position, so a resend of the same list returns the same tasks.
func (g *Gateway) serveBatch(w http.ResponseWriter, r *http.Request) {
	var list []TaskSubmission
	e, problem := g.readSubmission(w, r, maxBatchBytes, &list)
	if problem == nil && (len(list) == 0 || len(list) > maxBatchTasks) {
		problem = invalid(fmt.Sprintf("send 1 to %d tasks in one batch", maxBatchTasks))
	}
	if problem != nil {
		problem.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.deadline)
	defer cancel()
	response := BatchResponse{Results: make([]BatchResult, len(list))}
	var all sync.WaitGroup
	for i, t := range list {
		all.Go(func() {
			response.Results[i] = g.submitOne(ctx, t, e.caller, e.key+"/"+strconv.Itoa(i))
		})
	}
	all.Wait()
	writeJSON(w, http.StatusAccepted, response.outcome(), response)
}

func (g *Gateway) readSubmission(w http.ResponseWriter, r *http.Request, limit int64, out any) (envelope, *Problem) {
	e, problem := readEnvelope(r.Header, taskDeadline)
	if problem != nil {
		return e, problem
	}
	w.Header().Set(workerapi.HeaderRequestID, e.requestID)
	if e.key == "" {
		return e, invalid("send a unique " + workerapi.HeaderIdempotent + " header, so that a resend submits nothing twice")
	}
	if err := decodeStrict(http.MaxBytesReader(w, r.Body, limit), out); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return e, notRun(http.StatusRequestEntityTooLarge, typeTooLarge, "The body is too large",
				fmt.Sprintf("send at most %d bytes; keep large inputs elsewhere and name them in the payload", limit))
		}
		return e, invalid("the body is not a valid submission: " + err.Error())
	}
	return e, nil
}

func (g *Gateway) submitOne(ctx context.Context, t TaskSubmission, caller, key string) BatchResult {
	table := g.settings.Load()
	if table.version == 0 {
		return BatchResult{Problem: g.unknownService(table)}
	}
	spec, problem := t.spec(&table.config, caller, key)
	if problem != nil {
		return BatchResult{Problem: problem}
	}
	o := g.submitter.submit(ctx, spec)
	if o.err != nil {
		return BatchResult{Problem: submitProblem(o.err)}
	}
	if o.result.GetErrorKind() != "" {
		return BatchResult{Problem: refusedSubmission(o.result)}
	}
	return BatchResult{ID: o.result.GetId()}
}

func submitProblem(err error) *Problem {
	var failed *client.Error
	definite := errors.As(err, &failed) && failed.Outcome == workerapi.OutcomeNotRun
	if definite || errors.Is(err, errSubmitQueueFull) || errors.Is(err, errNotSubmitted) {
		return notRun(http.StatusServiceUnavailable, typeControl, "The task was not accepted",
			"resend with the same key").after(defaultRetryAfter)
	}
	return unknownOutcome(http.StatusGatewayTimeout, "resend with the same key to learn whether the task was accepted")
}

// Error kinds of SubmitResult.
const (
	submitKindQuota       = "quota"
	submitKindKeyConflict = "key_conflict"
)

func refusedSubmission(r *controlpb.SubmitResult) *Problem {
	switch r.GetErrorKind() {
	case submitKindQuota:
		return notRun(http.StatusTooManyRequests, typeQuota, "The quota of the team is used up", r.GetError()).
			after(defaultRetryAfter)
	case submitKindKeyConflict:
		return notRun(http.StatusUnprocessableEntity, typeKeyConflict, "The key was used for another task", r.GetError())
	default:
		return invalid(r.GetError())
	}
}

func writeJSON(w http.ResponseWriter, status int, outcome workerapi.Outcome, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("gateway: an answer cannot be encoded: " + err.Error())
	}
	h := w.Header()
	h.Set(headerContentType, contentTypeJSON)
	h.Set(headerContentLength, strconv.Itoa(len(body)))
	h.Set(workerapi.HeaderOutcome, string(outcome))
	w.WriteHeader(status)
	w.Write(body)
}
