package schedulerd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/config"
	"geraniumwall/fakeworker"
	"geraniumwall/policy/firstfit"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

const testDomain = "bern-a"

func testConfig() []byte {
	document, err := config.Marshal(config.Config{
		Deployment: "test", Domains: []string{testDomain},
		Teams: []config.Team{{Name: "counter", Weight: 1, Quota: config.Resources{CPUMillis: 1 << 20, MemoryMB: 1 << 20}}},
		Services: []config.Service{{
			Name: "quote", Team: "counter", PerSlot: config.Resources{CPUMillis: 500, MemoryMB: 100},
			TargetP99MS: 100, Idempotent: true,
		}},
		Jobs: []config.Job{{
			Name: "plan", Team: "counter", Priority: config.Normal, ExpectedMS: 100, Checkpoints: true,
			Size: config.Resources{CPUMillis: 1000, MemoryMB: 100},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	return document
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// process is a component that runs until it is stopped.
type process struct {
	cancel context.CancelFunc
	done   chan error
}

func launch(run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- run(ctx) }()
	return p
}

func (p *process) stop() {
	p.cancel()
	Eventually(p.done, 20*time.Second).Should(Receive(BeNil()))
}

// site is a domain with a stand-in for control.
type site struct {
	control    *fakeControl
	addresses  []string
	schedulers map[string]*Server
	running    map[string]*process
	record     string
}

func newSite(workers int, schedulers ...string) *site {
	s := &site{schedulers: map[string]*Server{}, running: map[string]*process{}}
	control, server := startFakeControl(testConfig())
	s.control = control
	for _, name := range schedulers {
		settings := &Settings{Name: name, Domain: testDomain, Listen: freeAddress(), Control: []string{server.Listener.Addr().String()}}
		scheduler, err := New(settings, zerolog.Nop(), firstfit.New())
		Expect(err).NotTo(HaveOccurred())
		s.schedulers[name] = scheduler
		s.addresses = append(s.addresses, scheduler.Address())
		s.running[name] = launch(scheduler.Run)
	}
	s.record = filepath.Join(GinkgoT().TempDir(), "record")
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%d", i+1))
	}
	DeferCleanup(func() {
		for _, p := range s.running {
			p.cancel()
		}
		server.CloseClientConnections()
	})
	return s
}

func (s *site) addWorker(name string) *fakeworker.Worker {
	settings := fakeworker.Defaults()
	settings.Name, settings.Domain, settings.Rack = name, testDomain, "r1"
	settings.Schedulers, settings.Services, settings.RecordFile = s.addresses, []string{"quote"}, s.record
	settings.Capacity = workerapi.Resources{CPUMillis: 8000, MemoryMB: 8000}
	worker, err := fakeworker.New(settings, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	s.running[name] = launch(worker.Run)
	return worker
}

func spec(runMS int) *controlpb.TaskSpec {
	return &controlpb.TaskSpec{
		Job: "plan", Team: "counter", Priority: controlpb.Priority_PRIORITY_NORMAL, ExpectedMs: 100,
		Resources: &controlpb.Resources{CpuMillis: 1000, MemoryMb: 100},
		Payload:   []byte(fmt.Sprintf(`{"run_ms":%d}`, runMS)),
	}
}

func specs(n, runMS int) map[string]*controlpb.TaskSpec {
	m := map[string]*controlpb.TaskSpec{}
	for i := range n {
		m[fmt.Sprintf("t%03d", i)] = spec(runMS)
	}
	return m
}

// events reads the record file and fails if a task ran in two places at once.
func (s *site) events() []fakeworker.Event {
	file, err := os.Open(s.record)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	var events []fakeworker.Event
	running := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e fakeworker.Event
		Expect(json.Unmarshal(lines.Bytes(), &e)).To(Succeed())
		events = append(events, e)
		switch e.Event {
		case fakeworker.TaskStart:
			Expect(running).NotTo(HaveKey(e.Task), "task %s runs on %s and %s", e.Task, running[e.Task], e.Worker)
			running[e.Task] = e.Worker
		case fakeworker.TaskStop, fakeworker.TaskDone, fakeworker.TaskFailed:
			delete(running, e.Task)
		}
	}
	return events
}

func (s *site) stub(name string) schedulerpb.Scheduler {
	return schedulerpb.NewSchedulerProtobufClient("http://"+s.schedulers[name].Address(), http.DefaultClient)
}

func (s *site) sync(name string, sequence uint64) []*schedulerpb.Grant {
	answer, err := s.stub(name).SyncGrants(context.Background(), &schedulerpb.SyncGrantsRequest{
		Gateway: "g1", Domain: testDomain, Incarnation: "1", Sequence: sequence,
		Demands: []*schedulerpb.ServiceDemand{{Service: "quote", Outstanding: 10}},
	})
	Expect(err).NotTo(HaveOccurred())
	return answer.GetGrants()
}

var _ = Describe("A domain", func() {
	It("runs every bound task once and records the results", func() {
		s := newSite(2, "s1", "s2")
		Eventually(s.control.active, 10*time.Second).ShouldNot(BeEmpty())
		s.control.bind(testDomain, specs(40, 50))
		Eventually(s.control.inState, 20*time.Second).WithArguments(controlpb.TaskState_TASK_STATE_DONE).Should(HaveLen(40))
		starts := 0
		for _, e := range s.events() {
			if e.Event == fakeworker.TaskStart {
				starts++
			}
		}
		Expect(starts).To(Equal(40))
	})

	It("grants slots that a worker accepts, and refuses other sessions", func() {
		s := newSite(1, "s1")
		sequence := uint64(0)
		var grants []*schedulerpb.Grant
		Eventually(func() []*schedulerpb.Grant {
			sequence++
			grants = s.sync("s1", sequence)
			return grants
		}, 10*time.Second, 250*time.Millisecond).ShouldNot(BeEmpty())
		Expect(grants[0].GetSlots()).To(BeNumerically("==", 8))
		ask := func(session uint64) string {
			request, err := http.NewRequest(http.MethodPost, "http://"+grants[0].GetAddress()+workerapi.PathServe+"quote",
				bytes.NewReader([]byte(`{"work_ms":5,"echo":"hello"}`)))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set(workerapi.HeaderSession, fmt.Sprint(session))
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.Header.Get(workerapi.HeaderOutcome)
		}
		Expect(ask(grants[0].GetSession())).To(Equal("done"))
		// The next number comes into force when the scheduler is appointed meanwhile.
		Expect(ask(grants[0].GetSession() + 100)).To(Equal("not_run"))
	})

	// Guards against a restart in a cut-off domain without a configuration: the
	// gateways still have it.
	It("takes a newer configuration from a gateway and passes it on", func() {
		s := newSite(0, "s1")
		sync := func(version uint64, content []byte) {
			_, err := s.stub("s1").SyncGrants(context.Background(), &schedulerpb.SyncGrantsRequest{
				Gateway: "g1", Domain: testDomain, Incarnation: "1", Sequence: version, ConfigVersion: version, Config: content,
			})
			Expect(err).NotTo(HaveOccurred())
		}
		inForce := func() uint64 {
			answer, err := s.stub("s1").GetConfig(context.Background(), &schedulerpb.GetConfigRequest{})
			Expect(err).NotTo(HaveOccurred())
			return answer.GetVersion()
		}
		Eventually(inForce).Should(BeEquivalentTo(1))
		sync(5, testConfig())
		Expect(inForce()).To(BeEquivalentTo(5))
		sync(6, []byte("{"))
		sync(7, nil)
		Expect(inForce()).To(BeEquivalentTo(5), "an unreadable or missing document changes nothing")
	})

	It("moves the role at a planned stop and resumes tasks that run", func() {
		s := newSite(2, "s1", "s2")
		Eventually(s.control.active, 10*time.Second).ShouldNot(BeEmpty())
		first := s.control.active()
		s.control.bind(testDomain, specs(8, 6000))
		Eventually(func() int { return len(s.events()) }, 10*time.Second).Should(BeNumerically(">=", 8))
		s.running[first].stop()
		Eventually(s.control.active, 10*time.Second).ShouldNot(Equal(first))
		Eventually(s.control.inState, 40*time.Second).WithArguments(controlpb.TaskState_TASK_STATE_DONE).Should(HaveLen(8))
		starts := 0
		for _, e := range s.events() {
			if e.Event == fakeworker.TaskStart {
				starts++
			}
		}
		Expect(starts).To(Equal(8), "a task was started again although it ran through the failover")
	})

	It("moves the tasks of a worker that withdraws, and they run only the rest", func() {
		s := newSite(1, "s1")
		Eventually(s.control.active, 10*time.Second).ShouldNot(BeEmpty())
		s.control.bind(testDomain, specs(1, 3000))
		Eventually(func() int { return len(s.events()) }, 10*time.Second).Should(BeNumerically(">=", 1))
		s.addWorker("w2")
		s.running["w1"].stop()
		Eventually(s.control.inState, 20*time.Second).WithArguments(controlpb.TaskState_TASK_STATE_DONE).Should(HaveLen(1))
		ran := int64(0)
		var last fakeworker.Event
		for _, e := range s.events() {
			ran += e.RanMS
			last = e
		}
		Expect(last.Worker).To(Equal("w2"))
		Expect(ran).To(BeNumerically("~", 3000, 150), "work was lost or repeated")
	})
})
