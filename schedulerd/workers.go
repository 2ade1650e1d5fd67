package schedulerd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/scheduler"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

// maxRequestBytes bounds the body of a worker's request, which carries checkpoints
// and results.
const maxRequestBytes = 16 << 20

// problem is a response of type application/problem+json.
type problem struct {
	Type    string            `json:"type"`
	Title   string            `json:"title"`
	Detail  string            `json:"detail"`
	Outcome workerapi.Outcome `json:"outcome"`
}

// workerHandler serves the HTTP API for workers.
type workerHandler struct {
	core    *coreRef
	metrics *metrics
	log     zerolog.Logger
	deltas  *heartbeatDecoder
}

func (h *workerHandler) register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+workerapi.PathHeartbeat, h.heartbeat)
	mux.HandleFunc("POST "+workerapi.PathWithdraw, h.withdraw)
}

func (h *workerHandler) heartbeat(w http.ResponseWriter, r *http.Request) {
	hb, err := decodeHeartbeat(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid_heartbeat", err)
		return
	}
	isFull := hb.Base == 0
	if err := transport.CheckName(r.Context(), hb.Worker); err != nil {
		writeProblem(w, http.StatusForbidden, "forbidden", err)
		return
	}
	hb, ok := h.deltas.decode(hb)
	if !ok {
		writeResult(w, workerapi.HeartbeatAnswer{SendWhole: true}, nil)
		return
	}
	var response workerapi.HeartbeatAnswer
	var refusal error
	err = h.core.call(r.Context(), func(now time.Duration, core *scheduler.Core) {
		response, refusal = core.Heartbeat(now, hb)
	})
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "overloaded", err)
		return
	}
	h.metrics.countHeartbeat(r.Context(), refusal)
	if refusal != nil {
		h.log.Warn().Err(refusal).Msg("heartbeat refused")
	}
	delta.Collapse(hb, &response)
	if isFull {
		response.Format = workerapi.FormatCompact
	}
	writeResult(w, response, refusal)
}

func (h *workerHandler) withdraw(w http.ResponseWriter, r *http.Request) {
	m, err := decodeWithdraw(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid_withdraw", err)
		return
	}
	if err := transport.CheckName(r.Context(), m.Worker); err != nil {
		writeProblem(w, http.StatusForbidden, "forbidden", err)
		return
	}
	var refusal error
	err = h.core.call(r.Context(), func(now time.Duration, core *scheduler.Core) {
		refusal = core.Withdraw(now, m)
	})
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "overloaded", err)
		return
	}
	writeResult(w, struct{}{}, refusal)
}

func decodeHeartbeat(body io.Reader) (*workerapi.Heartbeat, error) {
	var hb workerapi.Heartbeat
	if err := json.NewDecoder(body).Decode(&hb); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w; send one JSON document of package workerapi", err)
	}
	return &hb, nil
}

func decodeWithdraw(body io.Reader) (workerapi.Withdraw, error) {
	var m workerapi.Withdraw
	if err := json.NewDecoder(body).Decode(&m); err != nil {
		return m, fmt.Errorf("decode withdrawal: %w; send one JSON document of package workerapi", err)
	}
	return m, nil
}

func writeResult(w http.ResponseWriter, response any, refusal error) {
	var typed *scheduler.Refusal
	if errors.As(refusal, &typed) {
		status := http.StatusConflict
		if typed.Kind == scheduler.RefusedInvalid {
			status = http.StatusUnprocessableEntity
		}
		writeProblem(w, status, string(typed.Kind), refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func writeProblem(w http.ResponseWriter, status int, kind string, err error) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(workerapi.HeaderOutcome, string(workerapi.OutcomeNotRun))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type: "geraniumwall:" + kind, Title: kind, Detail: err.Error(), Outcome: workerapi.OutcomeNotRun,
	})
}
