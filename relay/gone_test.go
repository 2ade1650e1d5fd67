package relay_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/relay"
)

// silentAddresses returns addresses that accept connections and never answer.
func silentAddresses(n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// lead lets the replica lead and serve requests.
func (r *fakeReplica) lead(members ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = relay.ClusterView{IsLeader: true, Leader: r.address(), Members: members}
	r.serve = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
}

// stop ends the replica, so that connections to it are refused.
func (r *fakeReplica) stop() {
	r.server.CloseClientConnections()
	Expect(r.server.Listener.Close()).To(Succeed())
}

var _ = Describe("Relay after members were lost", func() {
	// Guards against members and seeds that are gone and delay the search for the next leader.
	It("finds the next leader beside addresses that don't answer", func() {
		former, next := newFakeReplica(), newFakeReplica()
		seeds := append(silentAddresses(3), former.address())
		former.lead(append(silentAddresses(4), former.address(), next.address())...)
		r := relay.New(seeds, nil)
		_, err := r.Send(withTimeout(5*time.Second), request)
		Expect(err).NotTo(HaveOccurred())
		former.stop()
		next.lead(next.address())
		start := time.Now()
		response, err := r.Send(withTimeout(5*time.Second), request)
		GinkgoWriter.Printf("found after %v\n", time.Since(start))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(time.Since(start)).To(BeNumerically("<", 250*time.Millisecond), "the timeout of one address")
	})

	// Guards against a replica with an old view, which makes the relay forget the members that
	// the leader has named.
	It("keeps the members that a leader has named", func() {
		former, next, stale := newFakeReplica(), newFakeReplica(), newFakeReplica()
		former.lead(former.address(), next.address())
		stale.view = relay.ClusterView{Members: []string{stale.address(), former.address()}}
		r := relay.New([]string{former.address(), stale.address()}, nil)
		r.Refresh(withTimeout(time.Second))
		_, err := r.Send(withTimeout(time.Second), request)
		Expect(err).NotTo(HaveOccurred())
		former.stop()
		for range 6 {
			r.Refresh(withTimeout(100 * time.Millisecond))
		}
		next.lead(next.address())
		_, err = r.Send(withTimeout(2*time.Second), request)
		Expect(err).NotTo(HaveOccurred())
	})
})
