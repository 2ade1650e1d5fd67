package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/operator"
	"geraniumwall/operatorapi"
)

// longestWaitMS is what a gateway accepts in wait_ms.
const longestWaitMS = 60_000

func clientOf(handlers ...http.HandlerFunc) *operator.Client {
	c := &operator.Client{Operator: "test", HTTP: &http.Client{}}
	for _, h := range handlers {
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		c.Gateways = append(c.Gateways, strings.TrimPrefix(server.URL, "http://"))
	}
	return c
}

func dropped(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answered(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

var _ = Describe("Client", func() {
	It("splits a wait that is longer than a gateway accepts", func(ctx context.Context) {
		var waits []int
		c := clientOf(func(w http.ResponseWriter, r *http.Request) {
			ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			waits = append(waits, ms)
			state := "bound"
			if len(waits) == 3 {
				state = "done"
			}
			_, _ = w.Write([]byte(`{"state":"` + state + `"}`))
		})
		task, err := c.Task(ctx, "t1", 5*time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(task)).To(ContainSubstring("done"))
		Expect(waits).To(HaveLen(3))
		Expect(waits).To(HaveEach(BeNumerically("<=", longestWaitMS)))
	})

	It("keeps a change unknown when a later gateway only says that its own attempt did not run", func(ctx context.Context) {
		c := clientOf(dropped, answered(http.StatusServiceUnavailable, `{"status":503,"outcome":"not_run"}`))
		_, err := c.Apply(ctx, 1, "change", "", nil)
		var unknown *operator.UnknownError
		Expect(err).To(BeAssignableToTypeOf(unknown))
	})

	It("calls no read unknown, since it has no effect", func(ctx context.Context) {
		_, err := clientOf(answered(http.StatusServiceUnavailable, `{"outcome":"unknown"}`)).History(ctx, 0, 1)
		var p *operatorapi.Problem
		Expect(errors.As(err, &p)).To(BeTrue())
		Expect(p.Outcome).To(BeEmpty())
	})

	// Guards against a submission that waits for an election at every gateway.
	It("shortens the deadline after a gateway that refused a submission", func(ctx context.Context) {
		var deadlines []string
		refuse := func(w http.ResponseWriter, r *http.Request) {
			deadlines = append(deadlines, r.Header.Get("Geranium-Deadline-Ms"))
			answered(http.StatusServiceUnavailable, `{"status":503,"outcome":"not_run"}`)(w, r)
		}
		_, err := clientOf(refuse, refuse, refuse).Submit(ctx, "key", nil)
		var p *operatorapi.Problem
		Expect(errors.As(err, &p)).To(BeTrue())
		Expect(p.Outcome).To(Equal("not_run"))
		Expect(deadlines).To(Equal([]string{"", "500", "500"}))
	})

	It("reports a refusal by a later gateway as final", func(ctx context.Context) {
		c := clientOf(dropped, answered(http.StatusUnprocessableEntity, `{"status":422,"outcome":"not_run"}`))
		_, err := c.Apply(ctx, 1, "change", "", nil)
		var unknown *operator.UnknownError
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(BeAssignableToTypeOf(unknown))
	})
})
