package e2e_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

// A domain whose messages are lost in one direction only looks alive to one side.
// Both sides must go on without a second run of anything, and agree afterwards.
func TestOneWayCuts(t *testing.T) {
	t.Parallel()
	l := smallLayout()
	l.cuttable = true
	r := underFault(t, l, 32*time.Second, func(r *faultRun) {
		for _, cut := range []func(string, bool){r.f.cutFrom, r.f.cutTo} {
			cut("thun-b", true)
			time.Sleep(8 * time.Second)
			r.servesInside("thun-b", "one-way cut")
			cut("thun-b", false)
			time.Sleep(takeoverTime)
		}
	})
	r.Expect(r.shareDone("quote-check")).To(BeNumerically(">", 0.97))
}

// Slow links between the domains must cost no invariant and no local request, and a
// planned stop beside them must finish what is in progress.
func TestSlowLinks(t *testing.T) {
	t.Parallel()
	l := smallLayout()
	l.cuttable, l.gatewaysPer = true, 2
	const delay, rate = 40 * time.Millisecond, 256 << 10
	r := underFault(t, l, 20*time.Second, func(r *faultRun) {
		r.f.slow(delay, rate)
		time.Sleep(takeoverTime)
		const requests = 4
		inProgress := newDriver([]string{r.f.addresses[gatewayName("thun-b", 0)]})
		outcomes := make(chan callResult, requests)
		for i := range requests {
			go func() {
				outcomes <- inProgress.call(r.ctx, "stock-hold", fmt.Sprintf("slow-%d", i), `{"work_ms":1000}`)
			}()
		}
		time.Sleep(500 * time.Millisecond)
		for _, p := range []*process{r.f.gateways["thun-b"][0], r.active("thun-b")} {
			r.Expect(p.stop()).To(Succeed(), p.name)
			r.Expect(p.start()).To(Succeed(), p.name)
		}
		for range requests {
			result := <-outcomes
			r.Expect(result.outcome).To(Equal(workerapi.OutcomeDone), "status %d: %s", result.status, result.body)
		}
		r.f.slow(0, 0)
	})
	r.Expect(r.shareDone("quote-check")).To(BeNumerically(">", 0.97))
}
