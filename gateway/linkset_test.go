package gateway

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/transport"
)

var _ = Describe("directory of schedulers", func() {
	It("syncs with a scheduler that only the directory names, until it leaves", func() {
		r := newRig()
		far := newFakeUpstream("far")
		grant := far.grant(2, 3*time.Second)
		grant.Domain = "biel-c"
		unlisted := &fakeScheduler{name: "s3", grants: []*schedulerpb.Grant{grant}}
		found := []Scheduler{{Name: "s3", Domain: "biel-c", Address: serveOn(schedulerpb.NewSchedulerServer(unlisted))}}
		added := r.links.update(found)
		Expect(added).To(HaveLen(1))
		Expect(r.links.update(found)).To(BeEmpty())
		added[0].sync(GinkgoT().Context(), false)
		Expect(r.quote("x").status).To(Equal(200))
		Expect(added[0].needed()).To(BeTrue())
		r.links.update(nil)
		Expect(added[0].needed()).To(BeFalse())
		Expect(r.links.all()[0].needed()).To(BeTrue(), "a listed scheduler is asked without the directory")
	})

	It("takes no grants from another scheduler at the address", func() {
		r := newRig()
		r.scheduler.mu.Lock()
		r.scheduler.name = "s9"
		r.scheduler.mu.Unlock()
		r.scheduler.set(nil, newFakeUpstream("w").grant(2, 3*time.Second))
		r.synced()
		Expect(r.usable()).To(BeZero())
	})

	It("keeps the address that answers", func() {
		failed := errors.New("no answer")
		one := newRoute("127.0.0.1:1", transport.NewClient(transport.ClientOptions{}))
		one.used(failed)
		one.used(failed)
		Expect(one.address).To(Equal("127.0.0.1:1"), "nothing else is known")
		one.learn("127.0.0.1:2")
		one.used(nil)
		one.used(failed)
		Expect(one.address).To(Equal("127.0.0.1:1"))
		one.used(failed)
		Expect(one.address).To(Equal("127.0.0.1:2"))
		one.learn("127.0.0.1:2")
		one.used(failed)
		one.used(failed)
		Expect(one.address).To(Equal("127.0.0.1:1"))
	})
})
