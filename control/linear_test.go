package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/workerapi"
)

const (
	linearClients = 6
	linearTime    = 8 * time.Second
	callTime      = 700 * time.Millisecond
)

// operation is a change of the configuration, or a begin or end of a request.
type operation struct {
	kind   string
	id     string
	holder string
	base   uint64
}

// observed is what a client saw; unknown if it saw no answer.
type observed struct {
	unknown  bool
	accepted bool
	version  uint64
	state    controlpb.RequestState
	refused  bool
}

// ledger is the model's state: the version with its accepted changes, and the
// newest record of each request.
type ledger struct {
	version  uint64
	accepted string
	holder   string
	ended    bool
}

func stepLedger(s, in, out any) (bool, any) {
	l, op, seen := s.(ledger), in.(operation), out.(observed)
	switch op.kind {
	case "apply":
		return stepApply(l, op, seen)
	case "begin":
		return stepBegin(l, op, seen)
	}
	refused := l.holder != op.holder
	l.ended = l.ended || !refused
	return seen.unknown || seen.refused == refused, l
}

func stepApply(l ledger, op operation, seen observed) (bool, any) {
	mark := fmt.Sprintf("[%s=", op.id)
	if v, known := find(l.accepted, mark); known {
		return seen.unknown || (seen.accepted && seen.version == v), l
	}
	if op.base != l.version {
		return seen.unknown || (!seen.accepted && seen.version == l.version), l
	}
	l.version++
	l.accepted += fmt.Sprintf("%s%d]", mark, l.version)
	return seen.unknown || (seen.accepted && seen.version == l.version), l
}

func stepBegin(l ledger, op operation, seen observed) (bool, any) {
	want := controlpb.RequestState_REQUEST_STATE_STARTED
	switch {
	case l.holder == "":
		l.holder = op.holder
	case l.ended:
		want = controlpb.RequestState_REQUEST_STATE_ENDED
	case l.holder != op.holder:
		want = controlpb.RequestState_REQUEST_STATE_IN_PROGRESS
	}
	return seen.unknown || seen.state == want, l
}

func find(accepted, mark string) (uint64, bool) {
	for i := 0; i+len(mark) <= len(accepted); i++ {
		if accepted[i:i+len(mark)] == mark {
			var v uint64
			_, err := fmt.Sscanf(accepted[i+len(mark):], "%d]", &v)
			return v, err == nil
		}
	}
	return 0, false
}

var ledgerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := "config"
			if op := o.Input.(operation); op.kind != "apply" {
				key = op.id
			}
			parts[key] = append(parts[key], o)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return ledger{} },
	Step: stepLedger,
}

// recorder collects a history. Operations with outcome not_run are left out: if
// one had an effect after all, the others can't be explained without it.
type recorder struct {
	mu      sync.Mutex
	begin   time.Time
	history []porcupine.Operation
	counts  map[string]int
}

func (r *recorder) call(worker int, op operation, f func(context.Context) (observed, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	start := time.Since(r.begin)
	seen, err := f(ctx)
	end := time.Since(r.begin)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && outcomeOf(err) == workerapi.OutcomeNotRun {
		r.counts["not run"]++
		return
	}
	finish := end.Nanoseconds()
	if err != nil {
		seen, finish = observed{unknown: true}, math.MaxInt64
		r.counts["unknown"]++
	} else {
		r.counts["answered"]++
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: worker, Input: op, Output: seen, Call: start.Nanoseconds(), Return: finish,
	})
}

var document, _ = config.Marshal(config.Config{Deployment: "test", Domains: []string{"d"}})

// work issues random operations against random replicas, the believed leader
// first.
func work(c *cluster, r *recorder, worker int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(worker), 9))
	var version uint64
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
		}
		s := c.server(1 + uint64(random.IntN(len(c.members))))
		if s == nil {
			continue
		}
		if id := s.view.Load().status.Leader; c.server(id) != nil && random.IntN(5) > 0 {
			s = c.server(id)
		}
		if random.IntN(3) == 0 {
			version = applyOnce(s, r, worker, n, version, random)
		} else {
			requestOnce(s, r, worker, n, random)
		}
	}
}

func applyOnce(s *Server, r *recorder, worker, n int, version uint64, random *rand.Rand) uint64 {
	// A third of the changes repeat the change before.
	op := operation{kind: "apply", id: fmt.Sprintf("%d.%d", worker, n/2*2-random.IntN(3)/2*2), base: version}
	r.call(worker, op, func(ctx context.Context) (observed, error) {
		a, err := s.ApplyConfig(ctx, &controlpb.ApplyConfigRequest{
			ChangeId: op.id, BaseVersion: op.base, Author: "o", Content: document,
		})
		version = max(version, a.GetVersion(), a.GetCurrent().GetVersion())
		return observed{accepted: a.GetAccepted(), version: a.GetVersion()}, err
	})
	return version
}

func requestOnce(s *Server, r *recorder, worker, n int, random *rand.Rand) {
	key, holder := fmt.Sprintf("key%d", n/8), fmt.Sprintf("h%d", worker)
	if random.IntN(2) == 0 {
		r.call(worker, operation{kind: "begin", id: key, holder: holder}, func(ctx context.Context) (observed, error) {
			a, err := s.BeginRequest(ctx, &controlpb.BeginRequestRequest{
				Caller: "c", IdempotencyKey: key, Holder: holder, BodyHash: []byte("h"), DeadlineMs: 3_600_000,
			})
			return observed{state: a.GetState()}, err
		})
		return
	}
	r.call(worker, operation{kind: "end", id: key, holder: holder}, func(ctx context.Context) (observed, error) {
		_, err := s.EndRequest(ctx, &controlpb.EndRequestRequest{
			Caller: "c", IdempotencyKey: key, Holder: holder, Outcome: &controlpb.RequestOutcome{Outcome: "done"},
		})
		if kindOf(err) == "other_holder" || kindOf(err) == "unknown_request" {
			return observed{refused: true}, nil
		}
		return observed{}, err
	})
}

// disturb isolates, freezes and crashes replicas in turn.
func disturb(c *cluster, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(3, 4))
	pause := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	for n := 0; pause(300 * time.Millisecond); n++ {
		id := 1 + uint64(random.IntN(len(c.members)))
		if s := c.server(id); s != nil && random.IntN(4) > 0 {
			id = max(1, s.view.Load().status.Leader)
		}
		switch n % 3 {
		case 0:
			c.isolate(id, true)
			pause(900 * time.Millisecond)
			c.isolate(id, false)
		case 1:
			c.disks[id].frozen.Lock()
			pause(400 * time.Millisecond)
			c.disks[id].frozen.Unlock()
		case 2:
			c.crash(id)
			pause(200 * time.Millisecond)
			c.start(id)
		}
	}
}

var _ = Describe("changes and records under faults", func() {
	// Guards against a lost, repeated or reordered change, a request that is started
	// twice, and a not_run whose effect shows up, under message loss, isolation,
	// frozen disks and crashes.
	It("are linearizable", func() {
		c := newCluster(3, 0.05)
		defer c.stop()
		c.leader()
		r := &recorder{begin: time.Now(), counts: map[string]int{}}
		stop := make(chan struct{})
		var group sync.WaitGroup
		for worker := range linearClients {
			group.Add(1)
			go func() {
				defer group.Done()
				work(c, r, worker, stop)
			}()
		}
		group.Add(1)
		go func() {
			defer group.Done()
			disturb(c, stop)
		}()
		time.AfterFunc(linearTime, func() { close(stop) })
		group.Wait()
		GinkgoWriter.Println("operations:", r.counts)
		Expect(r.counts["answered"]).To(BeNumerically(">", 100))
		Expect(r.counts["unknown"]).To(BeNumerically(">", 0))
		Expect(r.counts["not run"]).To(BeNumerically(">", 0))
		verdict := porcupine.CheckOperationsTimeout(ledgerModel, r.history, time.Minute)
		Expect(verdict).To(Equal(porcupine.Ok))
	})

	// Guards against a not_run for a proposal that is committed later: one on an
	// isolated leader is unknown until another entry has taken its place.
	It("get a definite not_run only when another entry took their place", func() {
		c := newCluster(3, 0)
		defer c.stop()
		old := c.leader()
		id := old.view.Load().status.ID
		c.isolate(id, true)
		late := make(chan error, 1)
		go func() {
			_, err := old.RecordAudit(context.Background(), &controlpb.RecordAuditRequest{
				Records: []*controlpb.AuditRecord{{Actor: "x", Action: "lost"}},
			})
			late <- err
		}()
		ctx, cancel := within1s()
		defer cancel()
		_, err := submitOne(ctx, old, "k1")
		Expect(outcomeOf(err)).To(Equal(workerapi.OutcomeUnknown))
		Eventually(func() bool {
			s := c.server(id%3 + 1).view.Load().status
			return s.Leader != id && s.Leader != 0
		}, "5s").Should(BeTrue())
		next := c.server(c.server(id%3 + 1).view.Load().status.Leader)
		Eventually(func() error {
			ctx, cancel := within1s()
			defer cancel()
			_, err := submitOne(ctx, next, "k2")
			return err
		}, "5s").Should(Succeed())
		c.isolate(id, false)
		var lost error
		Eventually(late, "6s").Should(Receive(&lost))
		Expect(kindOf(lost)).To(Equal(kindLost))
		Expect(outcomeOf(lost)).To(Equal(workerapi.OutcomeNotRun))
		answer, err := next.ListAudit(context.Background(), &controlpb.ListAuditRequest{Action: "lost"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetRecords()).To(BeEmpty())
	})

	// Guards against a replica that answers from an old state: a read on an isolated
	// leader must not be answered.
	It("are not read from an isolated leader", func() {
		c := newCluster(3, 0)
		defer c.stop()
		old := c.leader()
		c.isolate(old.view.Load().status.ID, true)
		ctx, cancel := within1s()
		defer cancel()
		_, err := old.GetTask(ctx, &controlpb.GetTaskRequest{Id: "t1"})
		Expect(err).To(HaveOccurred())
		_, err = old.RenewLease(ctx, &controlpb.RenewLeaseRequest{Domain: "d", Scheduler: "s"})
		Expect(err).To(HaveOccurred())
	})
})

func submitOne(ctx context.Context, s *Server, key string) (*controlpb.SubmitTasksResponse, error) {
	return s.SubmitTasks(ctx, &controlpb.SubmitTasksRequest{Tasks: []*controlpb.TaskSpec{
		{Caller: "c", IdempotencyKey: key, Job: "cut"},
	}})
}
