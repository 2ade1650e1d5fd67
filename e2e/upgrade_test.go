package e2e_test

import (
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

// envReleased is the directory of the binaries of the newest released version;
// scripts/released.sh builds them.
const envReleased = "GERANIUM_RELEASED_BIN"

// Guards against a version that can't run beside its predecessor: a fleet of the
// released version under traffic is upgraded one process at a time, one replica is
// taken back in between, and no request is lost.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	released := os.Getenv(envReleased)
	if released == "" {
		t.Skipf("%s is not set; run scripts/released.sh DIRECTORY and set it to the directory", envReleased)
	}
	l := smallLayout()
	l.gatewaysPer, l.binaries = 2, released
	r := underFault(t, l, 80*time.Second, func(r *faultRun) {
		for _, p := range r.f.controls {
			r.move(p, "")
		}
		r.move(r.f.controls[0], released)
		r.move(r.f.controls[0], "")
		for _, domain := range r.f.domains {
			for _, p := range slices.Concat(r.f.schedulers[domain], r.f.gateways[domain], r.f.workers[domain]) {
				r.move(p, "")
			}
		}
	})
	for _, c := range r.d.calls {
		r.Expect(c.outcome).To(BeElementOf(workerapi.OutcomeDone, workerapi.OutcomeNotRun), "%s status %d: %s", c.kind, c.status, c.body)
	}
	r.Expect(r.shareDone("quote-check")).To(BeNumerically(">", 0.99))
	t.Logf("%d calls, share of quote checks done %.4f, of holds %.4f",
		len(r.d.calls), r.shareDone("quote-check"), r.shareDone("stock-hold"))
}

// move restarts a process with the binaries of another version.
func (r *faultRun) move(p *process, binaries string) {
	r.d.out.Store(r.f.addresses[p.name])
	r.Expect(p.stop()).To(Succeed(), p.name)
	p.binaries = binaries
	r.Expect(p.start()).To(Succeed(), p.name)
	time.Sleep(takeoverTime)
	r.d.out.Store("")
}
