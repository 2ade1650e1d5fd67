package fakeworker

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumwall/workerapi"
)

const maxBodyBytes = 4 << 20

// Work is what the body of a request may ask for.
type Work struct {
	WorkMS     int64  `json:"work_ms"`
	ReplyBytes int    `json:"reply_bytes"`
	Fail       bool   `json:"fail"`
	Echo       string `json:"echo"`
}

// Reply is the answer to a request.
type Reply struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Worker    string `json:"worker"`
	Echo      string `json:"echo"`
	Padding   string `json:"padding,omitempty"`
}

// serve runs one request on a slot. A request under another session, or without a
// free slot, is refused before it starts.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	body, err := io.ReadAll(http.MaxBytesReader(out, r.Body, maxBodyBytes))
	if err != nil {
		refuse(out, http.StatusBadRequest, "the body cannot be read")
		return
	}
	number, err := strconv.ParseUint(r.Header.Get(workerapi.HeaderSession), 10, 64)
	if err != nil {
		refuse(out, http.StatusBadRequest, "the header "+workerapi.HeaderSession+" is not a session")
		return
	}
	if status, reason := w.takeSlot(service, number); reason != "" {
		refuse(out, status, reason)
		return
	}
	began := time.Now()
	e := w.event(began, RequestStart)
	e.Service, e.RequestID, e.Key = service, r.Header.Get(workerapi.HeaderRequestID), r.Header.Get(workerapi.HeaderIdempotent)
	w.record.add(e)
	work := parseWork(body)
	w.simulate(work)
	ended := time.Now()
	w.freeSlot(service, number, ended, ended.Sub(began))
	e.NS, e.Event = ended.UnixNano(), RequestEnd
	w.record.add(e)
	answer(out, work, Reply{Service: service, RequestID: e.RequestID, Worker: w.settings.Name, Echo: work.Echo})
}

// parseWork reads the body as Work; another body is served without work.
func parseWork(body []byte) Work {
	var work Work
	if err := json.Unmarshal(body, &work); err != nil {
		return Work{}
	}
	work.ReplyBytes = min(max(work.ReplyBytes, 0), maxBodyBytes)
	return work
}

func (w *Worker) takeSlot(service string, number uint64) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !slices.Contains(w.settings.Services, service):
		return http.StatusNotFound, "the service is not offered here"
	case !w.draining.IsZero() && time.Since(w.draining) >= grantsOver:
		return http.StatusServiceUnavailable, "the worker leaves"
	}
	if reason := w.machine.TakeSlot(w.now(), number); reason != "" {
		return http.StatusServiceUnavailable, reason
	}
	return 0, ""
}

func (w *Worker) freeSlot(service string, number uint64, now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.FreeSlot(number)
	w.measure(service, now, took)
}

// simulate lasts for the asked time, stretched by the running tasks.
func (w *Worker) simulate(work Work) {
	d := time.Duration(float64(work.WorkMS) * w.stretch() * float64(time.Millisecond))
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

func (w *Worker) stretch() float64 {
	s := w.settings.Slowdown
	if s == nil {
		return 1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	stretch := 1.0
	for _, load := range w.machine.Loads() {
		coefficient, listed := s.Jobs[load.Job]
		if !listed {
			coefficient = s.Default
		}
		stretch += coefficient * load.Share
	}
	return stretch
}

func answer(out http.ResponseWriter, work Work, reply Reply) {
	reply.Padding = strings.Repeat("x", work.ReplyBytes)
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(out, err.Error(), http.StatusInternalServerError)
		return
	}
	status, outcome := http.StatusOK, workerapi.OutcomeDone
	if work.Fail {
		status, outcome = http.StatusInternalServerError, workerapi.OutcomeFailed
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	out.Header().Set(workerapi.HeaderOutcome, string(outcome))
	out.WriteHeader(status)
	_, _ = out.Write(body)
}

func refuse(out http.ResponseWriter, status int, reason string) {
	out.Header().Set(workerapi.HeaderOutcome, string(workerapi.OutcomeNotRun))
	if status == http.StatusServiceUnavailable {
		out.Header().Set("Retry-After", "1")
	}
	http.Error(out, reason, status)
}
