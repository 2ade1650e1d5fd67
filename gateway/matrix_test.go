package gateway

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

// Deadlines of cases that end by themselves and of those that wait for the deadline.
const (
	matrixDeadline = "5000"
	shortDeadline  = "600"
)

// abortedStream stands for an answer whose connection was aborted after its header
// was sent.
const abortedStream workerapi.Outcome = "aborted"

const late = "late"

// behaviour is what an upstream does with a request it has started, and what the
// caller of an idempotent service may learn of it.
type behaviour struct {
	name     string
	serve    http.HandlerFunc
	refuses  bool
	outcomes []workerapi.Outcome
}

func kill(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncate sends size bytes of an answer that declares length bytes, or a chunked
// one if length is negative, and then closes the connection.
func truncate(size, length int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if length >= 0 {
			w.Header().Set("Content-Length", fmt.Sprint(length))
		}
		w.Write(make([]byte, size))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

var behaviours = []behaviour{
	{"complete", echo, false, []workerapi.Outcome{"done"}},
	{"refused", refuse, true, []workerapi.Outcome{"not_run"}},
	{"killed before the answer", kill, false, []workerapi.Outcome{"unknown"}},
	{"truncated with a length", truncate(10, 100), false, []workerapi.Outcome{"unknown"}},
	{"truncated chunks", truncate(10, -1), false, []workerapi.Outcome{"unknown"}},
	{"truncated stream", truncate(2*bufferLimit, -1), false, []workerapi.Outcome{abortedStream}},
	{"killed after the answer", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		echo(w, r)
	}, false, []workerapi.Outcome{"done"}},
	{"failed", status(http.StatusInternalServerError), false, []workerapi.Outcome{"failed"}},
	{"rejected by the service", status(http.StatusTeapot), false, []workerapi.Outcome{"done"}},
	{"another request's answer", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(workerapi.HeaderRequestID, "another")
	}, false, []workerapi.Outcome{"unknown"}},
	{late, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}, false, []workerapi.Outcome{"unknown"}},
}

// always and once are faults of the control replicas.
func always(f fault) func() fault { return func() fault { return f } }

func once(f fault) func() fault {
	used := false
	return func() fault {
		if used {
			return faultNone
		}
		used = true
		return f
	}
}

type controlFault struct {
	name  string
	fault func() func() fault
}

const neverRecorded = "end never recorded"

var endFaults = []controlFault{
	{"recorded", func() func() fault { return nil }},
	{"end answer lost", func() func() fault { return once(faultLoseAnswer) }},
	{neverRecorded, func() func() fault { return always(faultLoseCall) }},
}

var beginFaults = []controlFault{
	{"begun", func() func() fault { return nil }},
	{"begin answer lost", func() func() fault { return once(faultLoseAnswer) }},
}

// checkNotRun guards against answering not_run although the upstream started.
func checkNotRun(u *fakeUpstream, b behaviour, got reply) {
	started := u.started.Load()
	if b.refuses {
		started = 0
	}
	if got.outcome == workerapi.OutcomeNotRun {
		Expect(started).To(BeZero(), "not_run after a start")
	}
}

var _ = Describe("outcome by failure point", func() {
	for _, b := range behaviours {
		It("idempotent: "+b.name, func() {
			u := newFakeUpstream("w1")
			u.behave(b.serve)
			r := newRig(u.grant(2, 3*time.Second))
			deadline := matrixDeadline
			if b.name == late {
				deadline = shortDeadline
			}
			got := r.quote("x", workerapi.HeaderDeadline, deadline)
			if got.err != nil {
				got.outcome = abortedStream
			}
			Expect(b.outcomes).To(ContainElement(got.outcome))
			checkNotRun(u, b, got)
			Eventually(r.outstanding).Should(BeZero())
		})
		for _, begin := range beginFaults {
			for _, end := range endFaults {
				It(fmt.Sprintf("non-idempotent: %s, %s, %s", b.name, begin.name, end.name), func() {
					deadline := matrixDeadline
					if b.name == late || end.name == neverRecorded {
						deadline = shortDeadline
					}
					checkHold(b, deadline, begin.fault(), end.fault())
				})
			}
		}
	}

	It("never answers not_run when an earlier attempt may have run", func() {
		for _, first := range []http.HandlerFunc{kill, truncate(10, 100), status(http.StatusInternalServerError)} {
			u := newFakeUpstream("w1")
			r := newRig(u.grant(2, 3*time.Second))
			u.behave(func(w http.ResponseWriter, r *http.Request) {
				u.behave(refuse)
				first(w, r)
			})
			got := r.quote("x", workerapi.HeaderDeadline, "1000")
			Expect(u.started.Load()).To(BeNumerically(">=", 2), "the request was not retried")
			Expect(got.outcome).To(BeElementOf(workerapi.OutcomeUnknown, workerapi.OutcomeFailed))
		}
	})

	It("keeps net/http from resending a request without a body", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		Expect(r.hold("warm", "").outcome).To(Equal(workerapi.OutcomeDone))
		u.behave(kill)
		Expect(r.hold("k", "").outcome).To(Equal(workerapi.OutcomeUnknown))
		Expect(u.started.Load()).To(Equal(int64(2)))
	})

	It("sends nothing when the beginning is not recorded", func() {
		for _, f := range []fault{faultRefuse, faultLoseCall, faultLoseAnswer} {
			u := newFakeUpstream("w1")
			r := newRig(u.grant(2, 3*time.Second))
			r.control.mu.Lock()
			r.control.beginFault = always(f)
			r.control.mu.Unlock()
			got := r.hold("k", "x", workerapi.HeaderDeadline, shortDeadline)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.outcome).To(Equal(workerapi.OutcomeNotRun))
			Expect(got.retryAfter).NotTo(BeEmpty())
			Expect(u.started.Load()).To(BeZero())
			clearFaults(r)
			if f != faultRefuse {
				Eventually(func() string { return r.control.recorded("anonymous", "k") }).Should(Equal("not_run"))
			}
		}
	})
})

// checkHold sends a request to a non-idempotent service and resends it. It guards
// against a second run and against a first answer that changes afterwards.
func checkHold(b behaviour, deadline string, begin, end func() fault) {
	u := newFakeUpstream("w1")
	r := newRig(u.grant(2, 3*time.Second))
	// The connection is in use already: net/http itself resends some requests when
	// such a connection breaks.
	Expect(r.hold("warm", "x").outcome).To(Equal(workerapi.OutcomeDone))
	u.started.Store(0)
	u.behave(b.serve)
	r.control.mu.Lock()
	r.control.beginFault, r.control.endFault = begin, end
	r.control.mu.Unlock()
	first := r.hold("k", "x", workerapi.HeaderDeadline, deadline)
	checkNotRun(u, b, first)
	Expect(first.outcome).NotTo(BeEmpty())
	if !b.refuses {
		Expect(u.started.Load()).To(Equal(int64(1)))
	}
	u.behave(echo)
	again := r.hold("k", "x", workerapi.HeaderDeadline, deadline)
	if b.refuses {
		clearFaults(r)
		return
	}
	Expect(u.started.Load()).To(Equal(int64(1)), "a non-idempotent request ran twice")
	clearFaults(r)
	Eventually(func() string { return r.control.recorded("anonymous", "k") }).Should(Equal(string(first.outcome)))
	if again.status == http.StatusConflict {
		again = r.hold("k", "x", workerapi.HeaderDeadline, matrixDeadline)
	}
	Expect(again.outcome).To(Equal(first.outcome))
	if first.outcome == workerapi.OutcomeDone {
		Expect(again.body).To(Equal(first.body))
	}
}

func clearFaults(r *rig) {
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	r.control.beginFault, r.control.endFault = nil, nil
}
