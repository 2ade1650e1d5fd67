package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/lease"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// agent is a scheduler that only renews its leases.
type agent struct {
	name   string
	mu     sync.Mutex
	leases *lease.Authority
	cancel context.CancelFunc
}

func sinceBoot() time.Duration { return time.Since(boot) }

var boot = time.Now()

func startAgent(c *cluster, name string) *agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{name: name, leases: lease.NewAuthority(sinceBoot()), cancel: cancel}
	go func() {
		for ctx.Err() == nil {
			a.renew(c)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return a
}

func (a *agent) renew(c *cluster) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := sinceBoot()
	room := &controlpb.Resources{CpuMillis: 4000, MemoryMb: 4000}
	q := &controlpb.RenewLeaseRequest{
		Domain: "a", Scheduler: a.name, MayBeAppointed: a.leases.MayBeAppointed(sent), KnownRevision: a.leases.Revision(),
		Load: &controlpb.DomainLoad{Free: room, LargestFree: room, Workers: 2},
	}
	if a.leases.Role() == lease.RoleActive {
		q.Epoch = a.leases.Epoch()
	}
	for _, m := range c.members {
		s := c.server(m.ID)
		if s == nil || !s.view.Load().ready {
			continue
		}
		ctx, cancel := within1s()
		got, err := s.RenewLease(ctx, q)
		cancel()
		if err == nil {
			a.leases.Answered(sent, lease.Answer{
				Role: lease.Role(got.GetRole() - 1), Epoch: got.GetEpoch(), Revision: got.GetRevision(),
				Active: got.GetActive(), Standby: got.GetStandby(),
				SchedulerLease: time.Duration(got.GetSchedulerLeaseMs()) * time.Millisecond,
				DomainLease:    time.Duration(got.GetDomainLeaseMs()) * time.Millisecond,
			})
		}
	}
}

func (a *agent) acts() (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leases.Epoch(), a.leases.MayAct(sinceBoot())
}

func (a *agent) role() lease.Role {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leases.Role()
}

var _ = Describe("the service", func() {
	// Guards against a domain that stays without an active scheduler, and a task
	// that is accepted and never handed out or answered.
	It("appoints schedulers, binds tasks and survives the failure of both leaders", func() {
		c := newCluster(3, 0)
		defer c.stop()
		s := c.leader()
		one := startAgent(c, "s1")
		Eventually(func() bool { _, acts := one.acts(); return acts }, "5s", "20ms").Should(BeTrue())
		two := startAgent(c, "s2")
		defer two.cancel()
		Eventually(two.role, "5s", "20ms").Should(Equal(lease.RoleStandby))
		_, err := submitOne(context.Background(), s, "k1")
		Expect(err).NotTo(HaveOccurred())
		epoch, _ := one.acts()
		// An appointed scheduler must get the time to ask for its leases.
		Expect(epoch).To(Equal(uint64(1)))
		synced, err := s.SyncTasks(context.Background(), &controlpb.SyncTasksRequest{Domain: "a", Epoch: epoch, AfterIndex: 3, WaitMs: 3000})
		Expect(err).NotTo(HaveOccurred())
		Expect(synced.GetTasks()).To(HaveLen(1))

		one.cancel()
		c.crash(s.view.Load().status.ID)
		Eventually(func() bool { _, acts := two.acts(); return acts }, "8s", "20ms").Should(BeTrue())
		newer, _ := two.acts()
		Expect(newer).To(BeNumerically(">", epoch))
		s = c.leader()
		time.AfterFunc(100*time.Millisecond, func() {
			_, _ = s.ReportTasks(context.Background(), &controlpb.ReportTasksRequest{
				Domain: "a", Scheduler: "s2", Epoch: newer, Events: []*controlpb.TaskEvent{
					{Id: "t1", Kind: controlpb.TaskEventKind_TASK_EVENT_KIND_DONE, Attempt: &controlpb.Attempt{Epoch: newer, Number: 1}},
				},
			})
		})
		got, err := s.GetTask(context.Background(), &controlpb.GetTaskRequest{Id: "t1", WaitMs: 5000})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetTask().GetState()).To(Equal(controlpb.TaskState_TASK_STATE_DONE))
	})

	// Guards against a request that is started again after its holder died.
	It("gives a request whose deadline passed the state unknown for good", func() {
		c := newCluster(1, 0)
		defer c.stop()
		s := c.leader()
		begin := func(holder string) controlpb.RequestState {
			a, err := s.BeginRequest(context.Background(), &controlpb.BeginRequestRequest{
				Caller: "c", IdempotencyKey: "k", Holder: holder, BodyHash: []byte("h"), DeadlineMs: 50,
			})
			Expect(err).NotTo(HaveOccurred())
			return a.GetState()
		}
		Expect(begin("g1")).To(Equal(controlpb.RequestState_REQUEST_STATE_STARTED))
		Eventually(func() controlpb.RequestState { return begin("g2") }, "3s").
			Should(Equal(controlpb.RequestState_REQUEST_STATE_UNKNOWN))
	})

	// Guards against memory that grows with every task that ever ran.
	It("drops the oldest ended tasks beyond the bound", func() {
		c := newCluster(1, 0)
		defer c.stop()
		s := c.leader()
		s.send(&local{func(r *replica) { r.options.Retention.MaxTasks = 3 }})
		for i := range 10 {
			_, err := submitOne(context.Background(), s, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			_, err = s.CancelTasks(context.Background(), &controlpb.CancelTasksRequest{Ids: []string{fmt.Sprintf("t%d", i+1)}})
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() map[string]int64 {
			status, _ := s.Status(context.Background(), &controlpb.StatusRequest{})
			return status.GetTaskCounts()
		}, "3s").Should(HaveKeyWithValue("cancelled", int64(3)))
		got, err := s.GetTask(context.Background(), &controlpb.GetTaskRequest{Id: "t10"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.GetFound()).To(BeTrue())
	})

	// Guards against a replica that can't catch up once the entries it lacks are
	// compacted.
	It("brings a replica back by a snapshot", func() {
		c := newCluster(3, 0)
		defer c.stop()
		behind := c.leader().view.Load().status.ID%3 + 1
		c.crash(behind)
		for id := range uint64(3) {
			if id+1 != behind {
				c.server(id + 1).send(&local{func(r *replica) { r.options.SnapshotEntries = 500 }})
			}
		}
		recorded := 0
		// The leader may change on a busy machine; a record that it refuses is not made.
		for s := c.leader(); recorded < 5000; {
			_, err := s.RecordAudit(context.Background(), &controlpb.RecordAuditRequest{Records: []*controlpb.AuditRecord{{Actor: "x"}}})
			if err != nil && outcomeOf(err) == workerapi.OutcomeNotRun {
				s = c.leader()
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			recorded++
		}
		c.start(behind)
		Eventually(func() uint64 { return c.server(behind).view.Load().applied }, "10s").
			Should(BeNumerically(">=", 5000))
		Expect(c.disks[behind].stored.Snapshot.Index).To(BeNumerically(">", 0))
		Eventually(func() bool { return stateOf(c.server(behind)) == stateOf(c.leader()) }, "5s").Should(BeTrue())
	})

	// Guards against replicas that work only with the stand-ins for network and
	// disk, and against a version that a follower saw and the leader doesn't list.
	It("runs over HTTP with data on disk and lists the processes of followers", func() {
		c := newHTTPCluster()
		leader := c.leader()
		follower := c.servers[leader.view.Load().status.ID%3+1]
		ctx := context.Background()
		poll := make(chan uint64, 1)
		go func() {
			got, _ := follower.GetConfig(ctx, &controlpb.GetConfigRequest{Process: "gateway-1", Kind: "gateway", WaitMs: 5000})
			poll <- got.GetConfig().GetVersion()
		}()
		_, err := leader.ApplyConfig(ctx, &controlpb.ApplyConfigRequest{ChangeId: "x", Author: "o", Content: document})
		Expect(err).NotTo(HaveOccurred())
		Eventually(poll, "5s").Should(Receive(Equal(uint64(1))))
		Eventually(func() []*controlpb.ProcessStatus {
			status, _ := leader.Status(ctx, &controlpb.StatusRequest{})
			return status.GetProcesses()
		}, "5s").Should(ContainElement(HaveField("Process", "gateway-1")))
		leader.Transfer(ctx)
		Expect(c.leader()).NotTo(BeNil())
	})
})

// newHTTPCluster starts three replicas with HTTP and data on disk.
func newHTTPCluster() *cluster {
	var servers []*Server
	var listeners []net.Listener
	settings := Settings{SingleDomainOK: true}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		settings.Replicas = append(settings.Replicas, ReplicaAddress{uint64(i + 1), l.Addr().String(), "d"})
	}
	dir := GinkgoT().TempDir()
	for i, l := range listeners {
		own := settings
		own.ReplicaID, own.DataDir = uint64(i+1), filepath.Join(dir, fmt.Sprint(i))
		store, stored, err := OpenStorage(own, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		s, err := New(Options{Settings: own, Storage: store, Stored: stored, Log: zerolog.Nop(), Seed: 5})
		Expect(err).NotTo(HaveOccurred())
		server := transport.NewServer(s.Handler())
		go func() { _ = server.Serve(l) }()
		servers = append(servers, s)
		DeferCleanup(func() { s.EndPolls(); server.Close(); s.Stop(); store.Close() })
	}
	return &cluster{servers: map[uint64]*Server{1: servers[0], 2: servers[1], 3: servers[2]}, members: settings.members()}
}

// stateOf returns the hash of a replica's state.
func stateOf(s *Server) string {
	data, err := peek(context.Background(), s, func(r *replica) ([]byte, error) { return r.machine.Capture().Encode() })
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("%x", sha256.Sum256(data))
}

var _ = Describe("the first start of a replica", func() {
	answering := func(status *controlpb.StatusResponse) string {
		server := httptest.NewUnstartedServer(nil)
		server.Config = transport.NewServer(controlpb.NewControlServer(fixedStatus{status: status}))
		server.Start()
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}
	permit := func(two, three *controlpb.StatusResponse) error {
		ctx, cancel := within1s()
		defer cancel()
		return permitFirstStart(ctx, Settings{ReplicaID: 1, Replicas: []ReplicaAddress{
			{1, "127.0.0.1:1", "a"}, {2, answering(two), "b"}, {3, answering(three), "c"},
		}}, newStatusClient(nil), zerolog.Nop())
	}
	empty := func(id uint64) *controlpb.StatusResponse { return &controlpb.StatusResponse{Replica: id} }
	member := func(id, match uint64, joined bool) *controlpb.ReplicaStatus {
		return &controlpb.ReplicaStatus{Id: id, MatchIndex: match, Joined: joined}
	}

	// Guards against a replica that lost its disk and votes again in a term in which
	// it has voted.
	It("is refused when another replica remembers it", func() {
		leader := &controlpb.StatusResponse{Replica: 2, Leader: 2, Replicas: []*controlpb.ReplicaStatus{
			member(1, 5, true), member(2, 9, true),
		}}
		Expect(permit(leader, empty(3))).To(MatchError(errDiskLost))
	})

	// Guards against a cluster that can't be started for the first time.
	It("is permitted by empty replicas or a leader that does not know it", func() {
		Expect(permit(empty(2), empty(3))).To(Succeed())
		leader := &controlpb.StatusResponse{Replica: 2, Leader: 2, Confirmed: true, Replicas: []*controlpb.ReplicaStatus{
			member(1, 0, false), member(2, 9, true),
		}}
		other := &controlpb.StatusResponse{Replica: 3, Replicas: []*controlpb.ReplicaStatus{member(3, 4, true)}}
		Expect(permit(leader, other)).To(Succeed())
		leader.Confirmed = false
		Expect(permit(leader, other)).To(MatchError(context.DeadlineExceeded), "a leader that may be cut off")
	})

	// Guards against a start on the word of replicas that may not know it yet.
	It("waits while the others have a log and no leader", func() {
		follower := &controlpb.StatusResponse{Replica: 2, Replicas: []*controlpb.ReplicaStatus{member(2, 4, true), member(1, 0, false)}}
		Expect(permit(follower, empty(3))).To(MatchError(context.DeadlineExceeded))
	})
})

type fixedStatus struct {
	unready
	status *controlpb.StatusResponse
}

func (f fixedStatus) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return f.status, nil
}
