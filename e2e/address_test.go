package e2e_test

import (
	"bytes"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a scheduler that can't be moved to another address by the documented
// steps: the host of the active one dies, a process of its name starts at a new
// address, and every process that lists it is restarted with the new settings. The
// workers come first and the other scheduler last: the new process has no workers
// until they list it, so a domain that it leads before that can record no outcome.
func TestSchedulerAtNewAddress(t *testing.T) {
	t.Parallel()
	l := smallLayout()
	l.gatewaysPer = 2
	r := underFault(t, l, 50*time.Second, func(r *faultRun) {
		p := r.active("bern-a")
		p.kill()
		before := r.f.addresses[p.name]
		r.f.reserve(p.name)
		r.rewrite(p, before, r.f.addresses[p.name])
		r.Expect(p.start()).To(Succeed())
		time.Sleep(takeoverTime)
		f := r.f
		for _, other := range slices.Concat(f.workers["bern-a"], f.gateways["bern-a"], f.gateways["thun-b"], f.schedulers["bern-a"]) {
			if other != p {
				r.rewrite(other, before, f.addresses[p.name])
				r.move(other, "")
			}
		}
	})
	r.Expect(r.shareDone("quote-check")).To(BeNumerically(">", 0.99))
	status, err := r.f.client.Status(r.ctx)
	r.Expect(err).NotTo(HaveOccurred())
	for _, s := range status.Schedulers {
		r.Expect(s.Error).To(BeEmpty(), s.Scheduler)
		r.Expect(s.Role).To(BeElementOf("active", "standby"), s.Scheduler)
		r.Expect(s.Workers).To(HaveLen(l.workersPer), s.Scheduler)
	}
}

// rewrite replaces an address in the settings of a process.
func (r *faultRun) rewrite(p *process, before, after string) {
	settings, err := os.ReadFile(p.settings)
	r.Expect(err).NotTo(HaveOccurred())
	changed := bytes.ReplaceAll(settings, []byte(before+`"`), []byte(after+`"`))
	r.Expect(changed).NotTo(Equal(settings), "%s does not list %s", p.name, before)
	r.Expect(os.WriteFile(p.settings, changed, 0o600)).To(Succeed())
}
