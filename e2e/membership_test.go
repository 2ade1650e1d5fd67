package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/membership"
	"geraniumwall/workerapi"
)

// The settings of each gateway list one control replica and one scheduler. When
// both are lost, the gateways must go on with those that membership has found, and
// a domain without workers must be served by another domain's.
func TestUnlistedProcesses(t *testing.T) {
	t.Parallel()
	l := smallLayout()
	l.membership = true
	r := underFault(t, l, 16*time.Second, func(r *faultRun) {
		r.Eventually(r.members).WithTimeout(15 * time.Second).Should(Equal(len(r.f.all()) - 2*l.workersPer))
		r.f.controls[0].kill()
		r.f.schedulers["bern-a"][0].kill()
		r.Eventually(r.members).WithTimeout(10 * time.Second).Should(Equal(len(r.f.all()) - 2*l.workersPer - 2))
		for _, w := range r.f.workers["bern-a"] {
			r.Expect(w.stop()).To(Succeed())
		}
		local := newDriver([]string{r.f.addresses[gatewayName("bern-a", 0)]})
		r.Eventually(func() workerapi.Outcome {
			return local.call(r.ctx, "quote-check", "", `{"work_ms":3}`).outcome
		}).WithTimeout(5 * time.Second).Should(Equal(workerapi.OutcomeDone))
		r.Expect(local.call(r.ctx, "stock-hold", "unlisted", `{"work_ms":10}`).outcome).To(Equal(workerapi.OutcomeDone))
	})
	r.Expect(r.shareDone("quote-check")).To(BeNumerically(">", 0.9))
}

// members counts the processes that a gateway sees alive.
func (r *faultRun) members() int {
	status, err := r.f.client.Status(r.ctx)
	if err != nil {
		return 0
	}
	alive := 0
	for _, m := range status.Members {
		if m.State == membership.Alive.String() {
			alive++
		}
	}
	return alive
}
