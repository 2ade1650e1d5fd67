package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/operator"
	"geraniumwall/operatorapi"
)

const racingRounds = 10

// Guards against two changes accepted from one base version, and against a resend
// that applies a change a second time, when the operators use different gateways.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	tour := newTour(t)
	tour.Expect(tour.f.applyExample()).To(Succeed())
	gateways := tour.f.gatewayAddresses()
	tour.Expect(len(gateways)).To(BeNumerically(">=", 2))
	version := uint64(1)
	for round := range racingRounds {
		version = tour.race(round, version, gateways[:2])
	}
	tour.resend(version, gateways[:2])
	var summary operator.AuditSummary
	tour.Expect(json.Unmarshal([]byte(tour.run(exitSuccess, "audit", "-json", "-verify")), &summary)).To(Succeed())
	tour.Expect(summary.First).To(BeEquivalentTo(1))
	anchor := fmt.Sprintf("%d:%s", summary.Last, summary.LastHash)
	tour.Expect(tour.run(exitSuccess, "audit", "-verify", "-anchor", anchor)).To(ContainSubstring("no gap and no edit"))
	tour.run(exitFailure, "audit", "-verify", "-anchor", fmt.Sprintf("%d:00", summary.Last))
	lines := strings.Split(strings.TrimSpace(tour.run(exitSuccess, "audit", "-export")), "\n")
	tour.Expect(len(lines)).To(BeNumerically(">=", summary.Records))
	tour.Expect(json.Valid([]byte(lines[0]))).To(BeTrue())
}

// race applies one change through each gateway from the same base at once and
// returns the new version. Exactly one change must be accepted.
func (t *tour) race(round int, base uint64, gateways []string) uint64 {
	codes := make([]int, len(gateways))
	var all sync.WaitGroup
	for i, gateway := range gateways {
		all.Go(func() {
			_, err := t.f.geranium(nil, "-gateways", gateway, "-operator", fmt.Sprintf("operator-%d", i),
				"apply", "-base", fmt.Sprint(base), "-change", fmt.Sprintf("race-%d-%d", round, i), t.path)
			codes[i] = codeOf(err)
		})
	}
	all.Wait()
	t.Expect(codes).To(ConsistOf(exitSuccess, exitConflict))
	current, err := t.f.client.Config(context.Background(), 0)
	t.Expect(err).NotTo(HaveOccurred())
	t.Expect(current.Version).To(Equal(base + 1))
	return current.Version
}

// resend loses the answer of a change that the first gateway carried out and
// sends it again through the second.
func (t *tour) resend(base uint64, gateways []string) {
	var once sync.Once
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lose := false
		if r.Method == http.MethodPut {
			once.Do(func() { lose = true })
		}
		forward(w, r, gateways[0], lose)
	}))
	defer relay.Close()
	arguments := []string{"-gateways", strings.TrimPrefix(relay.URL, "http://"), "apply", "-base", fmt.Sprint(base), "-change", "lost", t.path}
	t.run(exitUnknown, arguments...)
	arguments[1] = gateways[1]
	var result operatorapi.ApplyResult
	out := t.run(exitSuccess, append([]string{"-json"}, arguments...)...)
	t.Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
	t.Expect(result.Repeated).To(BeTrue())
	t.Expect(result.Version).To(Equal(base + 1))
	current, err := t.f.client.Config(context.Background(), 0)
	t.Expect(err).NotTo(HaveOccurred())
	t.Expect(current.Version).To(Equal(base + 1))
}

// forward sends a request on and passes its answer back, or loses the answer after
// the gateway has given it.
func forward(w http.ResponseWriter, r *http.Request, gateway string, lose bool) {
	request := r.Clone(r.Context())
	request.RequestURI, request.URL.Scheme, request.URL.Host = "", "http", gateway
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil || lose {
		panic(http.ErrAbortHandler)
	}
	defer answer.Body.Close()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
}
