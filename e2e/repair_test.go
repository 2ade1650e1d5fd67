package e2e_test

import (
	"net/http"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

// changeMembers repeats one membership change until the leader has done it.
func (r *faultRun) changeMembers(change string, id uint64, address, domain string) {
	addresses, err := r.f.controlAddresses("bern-a")
	r.Expect(err).NotTo(HaveOccurred())
	replicas := client.New(addresses, &http.Client{})
	r.Eventually(func() error {
		_, err := client.Call(r.ctx, replicas, "ChangeMembers", 0, controlpb.Control.ChangeMembers,
			&controlpb.ChangeMembersRequest{Change: change, Id: id, Address: address, Domain: domain})
		return err
	}).WithTimeout(takeoverTime*5).WithPolling(100*time.Millisecond).Should(Succeed(), "%s %d", change, id)
}

// A second replica is lost right after the repair of the first: the repair is done
// only when the new copy is durable, so nothing that was accepted is lost.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	underFault(t, smallLayout(), 14*time.Second, func(r *faultRun) {
		r.f.controls[2].kill()
		const id, name = 4, "control-4"
		r.f.reserve(name)
		var first []replica
		for i, domain := range r.f.controlDomains {
			first = append(first, replica{ID: uint64(i + 1), Address: r.f.addresses[controlName(i)], Domain: domain})
		}
		p, err := newProcess(r.f.dir, "geranium-control", name, controlSettings{
			Name: name, Domain: "biel-c", Listen: r.f.addresses[name], Metrics: r.f.metrics(name),
			DataDir: filepath.Join(r.f.dir, name), ReplicaID: id, Replicas: first,
		})
		r.Expect(err).NotTo(HaveOccurred())
		r.Expect(p.start()).To(Succeed())
		r.f.controls = append(r.f.controls, p)
		r.changeMembers("add_learner", id, r.f.addresses[name], "biel-c")
		r.changeMembers("promote", id, r.f.addresses[name], "biel-c")
		r.changeMembers("remove", 3, "", "")
		r.leader().kill()
	})
}
