package daemon_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/transport"
)

var _ = Describe("Drain at the limit of connections", func() {
	const (
		budgetFiles, limit = 64, 16
		within             = 900 * time.Millisecond
	)

	It("answers requests that wait to be accepted", func() {
		release := make(chan struct{})
		budget := transport.NewBudget(budgetFiles, zerolog.Nop())
		budget.Pool("other", 0.5)
		ctx := transport.WithPool(context.Background(), budget.Pool("this", 0.5))
		s, err := daemon.Listen(ctx, "127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r" {
				<-release
			}
		}))
		Expect(err).NotTo(HaveOccurred())
		s.Serve()
		for range limit {
			write(dial(s), getRequest)
		}
		time.Sleep(100 * time.Millisecond)
		waiting := dial(s)
		write(waiting, "GET /waiting HTTP/1.1\r\nHost: h\r\n\r\n")
		reports := startDrain(s, daemon.DrainOptions{Within: within})

		Expect(waiting.SetReadDeadline(time.Now().Add(2 * within))).To(Succeed())
		Expect(readResponse(waiting).StatusCode).To(Equal(http.StatusOK))
		close(release)
		Expect((<-reports).Answered).To(Equal(limit + 1))
	})
})
