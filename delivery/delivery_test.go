package delivery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/transport"
)

// controlThread runs posted functions one at a time.
type controlThread struct{ queue chan func() }

func newControlThread(t *testing.T) *controlThread {
	th := &controlThread{queue: make(chan func(), 1000)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for {
			select {
			case f := <-th.queue:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
	return th
}

func (th *controlThread) post(f func()) { th.queue <- f }

// runAndWait runs f on the control thread and waits for it.
func (th *controlThread) runAndWait(f func()) {
	done := make(chan struct{})
	th.post(func() { f(); close(done) })
	<-done
}

// fakeWorkers responds to every order with the same reply.
type fakeWorkers struct {
	calls atomic.Int64
	reply dispatch.Reply
}

func (w *fakeWorkers) Do(_ context.Context, o dispatch.Order) dispatch.Reply {
	w.calls.Add(1)
	r := w.reply
	r.Order = o
	return r
}

// fakeClock is a clock that a test can advance, as a suspension of the machine does.
type fakeClock struct{ offset atomic.Int64 }

func newFakeClock(at time.Duration) *fakeClock {
	c := &fakeClock{}
	c.offset.Store(int64(at))
	return c
}

func (c *fakeClock) read() time.Duration { return time.Duration(c.offset.Load()) }

func (c *fakeClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// fixture is a leader with carriers in the same process. It records the replies.
type fixture struct {
	*controlThread
	sender  *Sender
	workers *fakeWorkers
	// leaderBoot and carrierBoot are the clocks of the leader and of the carriers.
	leaderBoot, carrierBoot *fakeClock
	leaseEnd                time.Duration
	mu                      sync.Mutex
	replies                 []dispatch.Reply
	// unreachable makes all reports to the leader fail.
	unreachable atomic.Bool
}

func (f *fixture) received() []dispatch.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]dispatch.Reply(nil), f.replies...)
}

func (f *fixture) startCarrier(t *testing.T) (*httptest.Server, string) {
	return f.startCarrierWithClock(t, f.carrierBoot.read)
}

func (f *fixture) startCarrierWithClock(t *testing.T, boot func() time.Duration) (*httptest.Server, string) {
	s := httptest.NewUnstartedServer(nil)
	s.Config = transport.NewServer(deliverypb.NewCarrierServer(NewReceiver(f.workers, transport.NewClient(transport.ClientOptions{}), boot, zerolog.Nop())))
	s.Start()
	t.Cleanup(s.Close)
	return s, strings.TrimPrefix(s.URL, "http://")
}

// startLateCarrier starts a carrier that is paused for a time before each order.
func (f *fixture) startLateCarrier(t *testing.T, pause time.Duration) string {
	var readings atomic.Int64
	_, address := f.startCarrierWithClock(t, func() time.Duration { return time.Duration(readings.Add(1)) * pause })
	return address
}

// Report implements deliverypb.Leader.
func (f *fixture) Report(_ context.Context, q *deliverypb.ReportRequest) (*deliverypb.ReportResponse, error) {
	if f.unreachable.Load() {
		return nil, errors.New("unreachable")
	}
	f.post(func() { f.sender.HandleReplies(DecodeReplies(q.GetReplies())) })
	return &deliverypb.ReportResponse{}, nil
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{controlThread: newControlThread(t), leaderBoot: newFakeClock(time.Hour), carrierBoot: newFakeClock(time.Minute), leaseEnd: 2 * time.Hour, workers: &fakeWorkers{reply: dispatch.Reply{Status: dispatch.Accepted, ClockMS: 7}}}
	leader := httptest.NewServer(deliverypb.NewLeaderServer(f))
	t.Cleanup(leader.Close)
	start := time.Now()
	f.sender = NewSender(SenderOptions{
		Term: 3, Address: strings.TrimPrefix(leader.URL, "http://"), Client: transport.NewClient(transport.ClientOptions{}),
		Post: f.post, Now: func() time.Duration { return time.Second + time.Since(start) }, Log: zerolog.Nop(),
		Boot: f.leaderBoot.read, LeaseEnd: func() time.Duration { return f.leaseEnd },
		OnReply: func(r dispatch.Reply) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.replies = append(f.replies, r)
		},
	})
	return f
}

func holdOrder(worker string) dispatch.Order {
	return dispatch.Order{To: dispatch.Address{Worker: worker, HostPort: "192.0.2.1:1"}, Fence: 9, Hold: &dispatch.Hold{AckThrough: 4}}
}

// TestOrders guards against orders and replies that are changed by their encoding.
func TestOrders(t *testing.T) {
	g := NewWithT(t)
	key := jobs.TaskKey{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 3}
	to := dispatch.Address{Worker: "i-1", HostPort: "192.0.2.1:80"}
	for _, o := range []dispatch.Order{
		{To: to, Fence: 9, Start: &dispatch.Start{Task: key, Attempt: 2, Payload: "p", Deadline: 77, Checkpoint: "c"}},
		{To: to, Fence: 9, Stop: &dispatch.Stop{Task: key, Attempt: 2}},
		{To: to, Fence: 9, Hold: &dispatch.Hold{Deadline: 77, AckThrough: 5, MaxWait: 400 * time.Millisecond}},
		{To: to, Fence: 9, Pace: &dispatch.Pace{Task: key, Attempt: 2, Percent: 30}},
	} {
		decoded, known := decodeOrder(encodeOrder(1, &o))
		g.Expect(known).To(BeTrue())
		g.Expect(decoded).To(Equal(o))
	}
	reply := dispatch.Reply{
		Status: dispatch.Accepted, Reason: "r", ClockMS: 5, StartedAtMS: 6, Malformed: 1,
		Running:  []dispatch.RunningTask{{Task: key, Attempt: 4, Checkpoint: "c", Percent: 41, Usage: 17.5}},
		Finished: []dispatch.FinishedTask{{}, {Number: 8, Task: key, Attempt: 4, Outcome: jobs.OutcomeDone, Checkpoint: "c"}},
	}
	g.Expect(decodeReply(encodeReply(1, &reply))).To(Equal(reply))
}

// TestDelivery guards against replies that are lost, duplicated or matched with the
// wrong order, and against orders that move to another carrier without need.
func TestDelivery(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, one := f.startCarrier(t)
	_, two := f.startCarrier(t)
	f.runAndWait(func() {
		g.Expect(f.sender.Send(holdOrder("i-0"), "a")).To(BeFalse(), "no carrier is known")
		f.sender.SetCarriers([]Carrier{{Address: one, Domain: "a"}, {Address: two, Domain: "b"}})
		for i := range 100 {
			g.Expect(f.sender.Send(holdOrder(string(rune('a'+i%20))), "a")).To(BeTrue())
		}
		g.Expect(f.sender.carriers).To(HaveLen(1), "only the carrier in the worker's domain is used")
	})
	g.Eventually(f.received, "3s").Should(HaveLen(100))
	g.Consistently(f.received, "50ms").Should(HaveLen(100))
	g.Expect(f.workers.calls.Load()).To(BeEquivalentTo(100))
	for _, r := range f.received() {
		g.Expect(r.Status).To(Equal(dispatch.Accepted))
		g.Expect(r.Order.Hold.AckThrough).To(BeEquivalentTo(4))
		g.Expect(r.SentAt).To(BeNumerically("<", r.ReceivedAt))
	}
}

// TestLostCarrier guards against orders that wait forever for a stopped replica, and
// against further orders to it. The order that it may have received is not answered.
func TestLostCarrier(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	server, stopped := f.startCarrier(t)
	_, other := f.startCarrier(t)
	both := []Carrier{{Address: stopped, Domain: "a"}, {Address: other}}
	for i, want := range []dispatch.ReplyStatus{dispatch.Accepted, dispatch.Unknown, dispatch.Accepted} {
		f.runAndWait(func() {
			f.sender.SetCarriers(both)
			g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
		})
		g.Eventually(f.received, "2s").Should(HaveLen(i + 1))
		g.Expect(f.received()[i].Status).To(Equal(want))
		if i == 0 {
			server.CloseClientConnections()
			server.Close()
		}
	}
	f.runAndWait(func() { g.Expect(f.sender.selectCarrier("i-1", "a")).To(Equal(other)) })
}

// TestSilentCarrier guards against orders that wait forever for a carrier that
// acknowledges them and never reports, for example because it was paused.
func TestSilentCarrier(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
	}))
	t.Cleanup(silent.Close)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: strings.TrimPrefix(silent.URL, "http://")}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	g.Eventually(func() []dispatch.Reply {
		f.runAndWait(f.sender.Tick)
		return f.received()
	}, "4s", "20ms").Should(HaveLen(1))
	g.Expect(f.received()[0].Status).To(Equal(dispatch.Unknown))
	f.runAndWait(func() { g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeFalse(), "the failed carrier is not used") })
}

// TestExpiredOrders guards against orders that a paused process sends after the leader's
// lease has ended, when another leader may act already, and against orders that are
// reported as failed although the lease is renewed within the term.
func TestExpiredOrders(t *testing.T) {
	const lease = 400 * time.Millisecond
	for name, pause := range map[string]func(*fixture){
		"leader paused before it sends":     func(f *fixture) { f.leaderBoot.advance(lease) },
		"carrier paused before it receives": func(f *fixture) { f.carrierBoot.advance(lease); f.leaderBoot.advance(lease) },
	} {
		for _, renewed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, lease renewed %v", name, renewed), func(t *testing.T) {
				g := NewWithT(t)
				f := newFixture(t)
				_, address := f.startCarrier(t)
				f.leaseEnd = f.leaderBoot.read() + lease
				f.runAndWait(func() {
					f.sender.SetCarriers([]Carrier{{Address: address, Domain: "a"}})
					g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
				})
				g.Eventually(f.received, "2s").Should(HaveLen(1))
				g.Expect(f.received()[0].Status).To(Equal(dispatch.Accepted), "within the lease")
				f.runAndWait(func() {
					g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
					pause(f)
				})
				g.Consistently(f.workers.calls.Load, "150ms").Should(BeEquivalentTo(1), "the lease has ended")
				if renewed {
					f.runAndWait(func() { f.leaseEnd = f.leaderBoot.read() + lease })
				}
				g.Eventually(func() []dispatch.Reply {
					f.runAndWait(f.sender.Tick)
					return f.received()
				}, "3s", "20ms").Should(HaveLen(2))
				want, calls := dispatch.Expired, 1
				if renewed {
					want, calls = dispatch.Accepted, 2
				}
				g.Expect(f.received()[1].Status).To(Equal(want))
				g.Expect(f.workers.calls.Load()).To(BeEquivalentTo(calls))
				f.runAndWait(func() { g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue(), "the carrier is still used") })
			})
		}
	}
}

// TestLateCarrier guards against workers whose leases run out because all their orders
// expire on the way to the same carrier.
func TestLateCarrier(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	const lease = 400 * time.Millisecond
	f.leaseEnd = f.leaderBoot.read() + lease
	_, good := f.startCarrier(t)
	late := f.startLateCarrier(t, lease)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: late, Domain: "a"}, {Address: good, Domain: "b"}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	g.Eventually(f.received, "1500ms").Should(HaveLen(1))
	g.Expect(f.received()[0].Status).To(Equal(dispatch.Accepted))
	g.Expect(f.workers.calls.Load()).To(BeEquivalentTo(1), "the late carrier sends nothing")
	f.runAndWait(func() {
		g.Expect(f.sender.selectCarrier("i-1", "a")).To(Equal(good), "a carrier that stays late is not used for now")
	})
}

// TestCarrierClock guards against orders that expire on a carrier later than the leader's
// lease, and against orders that expire at once after a time without any.
func TestCarrierClock(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, address := f.startCarrier(t)
	f.runAndWait(func() { f.sender.SetCarriers([]Carrier{{Address: address, Domain: "a"}}) })
	for i := range 3 {
		f.runAndWait(func() {
			f.leaderBoot.advance(time.Minute)
			f.carrierBoot.advance(59 * time.Second)
			f.leaseEnd = f.leaderBoot.read() + 300*time.Millisecond
			g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
		})
		g.Eventually(f.received, "2s").Should(HaveLen(i + 1))
		g.Expect(f.received()[i].Status).To(Equal(dispatch.Accepted))
	}
	c := carrierClock{reading: 5000, readAt: time.Second, known: true}
	g.Expect(c.expiry(1100*time.Millisecond, 1400*time.Millisecond)).To(BeNumerically("<=", 5400))
	old := carrierClock{known: true}
	g.Expect(old.expiry(time.Second, 2*time.Second)).To(BeZero(), "a carrier without a clock")
}

// TestEndedTerm guards against orders of an ended term that are sent when the replica
// leads again.
func TestEndedTerm(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, address := f.startCarrier(t)
	f.leaseEnd = 0
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: address, Domain: "a"}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	time.Sleep(5 * batchDelay)
	f.runAndWait(f.sender.Close)
	f.runAndWait(func() { f.leaseEnd = 2 * time.Hour })
	g.Consistently(f.workers.calls.Load, "300ms").Should(BeZero())
}

// slowWorkers respond after a delay.
type slowWorkers struct {
	fakeWorkers
	delay time.Duration
}

func (w *slowWorkers) Do(ctx context.Context, o dispatch.Order) dispatch.Reply {
	time.Sleep(w.delay)
	return w.fakeWorkers.Do(ctx, o)
}

// TestReplyAfterWait guards against an order that waited for the lease and whose reply
// counts as overdue at once, with its carrier as failed.
func TestReplyAfterWait(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	workers := &slowWorkers{delay: 250 * time.Millisecond}
	workers.reply = f.workers.reply
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewServer(deliverypb.NewCarrierServer(NewReceiver(workers, transport.NewClient(transport.ClientOptions{}), f.carrierBoot.read, zerolog.Nop())))
	server.Start()
	t.Cleanup(server.Close)
	f.runAndWait(func() {
		f.leaseEnd = 0
		f.sender.SetCarriers([]Carrier{{Address: strings.TrimPrefix(server.URL, "http://"), Domain: "a"}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	time.AfterFunc(1300*time.Millisecond, func() { f.post(func() { f.leaseEnd = 2 * time.Hour }) })
	g.Eventually(func() []dispatch.Reply { f.runAndWait(f.sender.Tick); return f.received() }, "3s", "5ms").Should(HaveLen(1))
	g.Expect(f.received()[0].Status).To(Equal(dispatch.Accepted))
	f.runAndWait(func() { g.Expect(f.sender.available).To(HaveLen(1)) })
}

// TestOwnLag guards against replies that count as overdue while they wait behind the tick
// of a control thread that lags.
func TestOwnLag(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, address := f.startCarrier(t)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: address, Domain: "a"}})
		f.sender.Tick()
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	g.Eventually(f.received, "2s").Should(HaveLen(1))
	f.runAndWait(func() { f.sender.Tick(); g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue()) })
	g.Eventually(f.workers.calls.Load, "1s", "1ms").Should(BeEquivalentTo(2))
	f.post(func() { time.Sleep(replyTimeout + 100*time.Millisecond) })
	f.post(f.sender.Tick)
	g.Eventually(f.received, "3s").Should(HaveLen(2))
	g.Expect(f.received()[1].Status).To(Equal(dispatch.Accepted))
}

// TestUnsentOrders guards against orders that count as not answered although they never
// left: the first reading of their carrier's clock failed.
func TestUnsentOrders(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	hanging := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(messageTimeout + 200*time.Millisecond) }))
	t.Cleanup(hanging.Close)
	_, good := f.startCarrier(t)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: strings.TrimPrefix(hanging.URL, "http://"), Domain: "a"}, {Address: good, Domain: "b"}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	g.Eventually(f.received, "2s").Should(HaveLen(1))
	g.Expect(f.received()[0].Status).To(Equal(dispatch.Accepted))
}

// TestLateLeader guards against carriers that are taken out of use for the lag of the
// leader itself, which delays the orders of all of them.
func TestLateLeader(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	const lease = 400 * time.Millisecond
	f.leaseEnd = f.leaderBoot.read() + lease
	one, two := f.startLateCarrier(t, lease), f.startLateCarrier(t, lease)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: one, Domain: "a"}, {Address: two, Domain: "b"}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
		g.Expect(f.sender.Send(holdOrder("i-2"), "b")).To(BeTrue())
	})
	g.Eventually(func() []dispatch.Reply { f.runAndWait(f.sender.Tick); return f.received() }, "3s", "10ms").Should(HaveLen(2))
	f.runAndWait(func() { g.Expect(f.sender.available).To(HaveLen(2)) })
	g.Expect(f.workers.calls.Load()).To(BeZero())
}

// TestLateAgain guards against a carrier that was late once and is taken out of use by the
// next single order that expires.
func TestLateAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.runAndWait(func() {
		c, other := &carrier{}, &carrier{}
		f.sender.carriers = map[string]*carrier{"late": c, "good": other}
		f.sender.SetCarriers([]Carrier{{Address: "late"}, {Address: "good"}})
		late := &pendingOrder{carrier: c, queuedAt: f.sender.now() - maxSendDelay}
		f.sender.resendExpired(1, late, "late")
		c.lateSince -= 2 * maxLateDuration
		f.sender.resendExpired(1, late, "late")
		g.Expect(f.sender.available).To(Equal([]Carrier{{Address: "good"}}))
		c.failedAt -= 2 * carrierBackoff
		f.sender.SetCarriers([]Carrier{{Address: "late"}, {Address: "good"}})
		f.sender.resendExpired(1, late, "late")
		g.Expect(f.sender.available).To(HaveLen(2))
	})
}

// TestShortLease guards against orders that never leave although the leader leads: each
// renewal of its lease takes so long that little of it is left.
func TestShortLease(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, address := f.startCarrier(t)
	f.leaseEnd = f.leaderBoot.read() + minLeaseLeft - 10*time.Millisecond
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: address, Domain: "a"}})
		g.Expect(f.sender.Send(holdOrder("i-1"), "a")).To(BeTrue())
	})
	g.Eventually(func() []dispatch.Reply { f.runAndWait(f.sender.Tick); return f.received() }, "3s", "10ms").Should(HaveLen(1))
	g.Expect(f.received()[0].Status).To(Equal(dispatch.Accepted))
}
