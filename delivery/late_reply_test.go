package delivery

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/transport"
)

// slowStarts answer starts once released is closed.
type slowStarts struct {
	fakeWorkers
	released chan struct{}
}

func (w *slowStarts) Do(ctx context.Context, o dispatch.Order) dispatch.Reply {
	if o.Start != nil {
		<-w.released
	}
	return w.fakeWorkers.Do(ctx, o)
}

func startOrder(worker string) dispatch.Order {
	return dispatch.Order{
		To: dispatch.Address{Worker: worker, HostPort: "192.0.2.1:1"}, Fence: 9,
		Start: &dispatch.Start{Task: jobs.TaskKey{Job: "0123456789abcdef"}, Attempt: 1},
	}
}

// TestLateReply guards against starts that are given up although their answer arrives, and
// against a carrier that is taken out of use for one late answer beside others in time.
func TestLateReply(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	workers := &slowStarts{released: make(chan struct{})}
	workers.reply = f.workers.reply
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewServer(deliverypb.NewCarrierServer(NewReceiver(workers, transport.NewClient(transport.ClientOptions{}), f.carrierBoot.read, zerolog.Nop())))
	server.Start()
	t.Cleanup(server.Close)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: strings.TrimPrefix(server.URL, "http://")}})
		g.Expect(f.sender.Send(startOrder("i-1"), "a")).To(BeTrue())
	})
	time.Sleep(5 * batchDelay)
	f.runAndWait(func() { g.Expect(f.sender.Send(holdOrder("i-2"), "a")).To(BeTrue()) })
	g.Eventually(func() []dispatch.Reply { f.runAndWait(f.sender.Tick); return f.received() }, "4s", "5ms").Should(HaveLen(2))
	close(workers.released)
	g.Eventually(f.received, "2s").Should(HaveLen(3))
	hold, missing, late := f.received()[0], f.received()[1], f.received()[2]
	g.Expect(hold.Order.Hold).NotTo(BeNil())
	g.Expect(missing.Status).To(Equal(dispatch.Unknown))
	g.Expect(missing.Unreported).To(BeTrue())
	g.Expect(late.Status).To(Equal(dispatch.Accepted))
	g.Expect(late.Late).To(BeTrue())
	g.Expect(late.SentAt).To(Equal(missing.SentAt))
	available, unreported := 0, 0
	f.runAndWait(func() { available, unreported = len(f.sender.available), len(f.sender.unreported) })
	g.Expect(available).To(Equal(1))
	g.Expect(unreported).To(BeZero())
}
