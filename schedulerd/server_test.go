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

// process is a scheduler or worker that runs until it is stopped.
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

// testCluster is a domain with schedulers, workers and a fake control replica.
type testCluster struct {
	control    *fakeControl
	addresses  []string
	schedulers map[string]*Server
	running    map[string]*process
	record     string
}

func newTestCluster(workers int, schedulers ...string) *testCluster {
	c := &testCluster{schedulers: map[string]*Server{}, running: map[string]*process{}}
	control, server := startFakeControl(testConfig())
	c.control = control
	for _, name := range schedulers {
		settings := &Settings{Name: name, Domain: testDomain, Listen: freeAddress(), Control: []string{server.Listener.Addr().String()}}
		scheduler, err := New(settings, zerolog.Nop(), firstfit.New())
		Expect(err).NotTo(HaveOccurred())
		c.schedulers[name] = scheduler
		c.addresses = append(c.addresses, scheduler.Address())
		c.running[name] = launch(scheduler.Run)
	}
	c.record = filepath.Join(GinkgoT().TempDir(), "record")
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%d", i+1))
	}
	DeferCleanup(func() {
		for _, p := range c.running {
			p.cancel()
		}
		server.CloseClientConnections()
	})
	return c
}

func (c *testCluster) addWorker(name string) *fakeworker.Worker {
	settings := fakeworker.Defaults()
	settings.Name, settings.Domain, settings.Rack = name, testDomain, "r1"
	settings.Schedulers, settings.Services, settings.RecordFile = c.addresses, []string{"quote"}, c.record
	settings.Capacity = workerapi.Resources{CPUMillis: 8000, MemoryMB: 8000}
	worker, err := fakeworker.New(settings, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	c.running[name] = launch(worker.Run)
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

// events returns the recorded task events. It fails the test if a task ran on two
// workers at once.
func (c *testCluster) events() []fakeworker.Event {
	file, err := os.Open(c.record)
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

func (c *testCluster) client(name string) schedulerpb.Scheduler {
	return schedulerpb.NewSchedulerProtobufClient("http://"+c.schedulers[name].Address(), http.DefaultClient)
}

func (c *testCluster) sync(name string, sequence uint64) []*schedulerpb.Grant {
	response, err := c.client(name).SyncGrants(context.Background(), &schedulerpb.SyncGrantsRequest{
		Gateway: "g1", Domain: testDomain, Incarnation: "1", Sequence: sequence,
		Demands: []*schedulerpb.ServiceDemand{{Service: "quote", Outstanding: 10}},
	})
	Expect(err).NotTo(HaveOccurred())
	return response.GetGrants()
}

var _ = Describe("A domain", func() {
	It("runs every bound task once and records the results", func() {
		cluster := newTestCluster(2, "s1", "s2")
		Eventually(cluster.control.active, 10*time.Second).ShouldNot(BeEmpty())
		cluster.control.bind(testDomain, specs(40, 50))
		Eventually(cluster.control.inState, 20*time.Second).WithArguments(controlpb.TaskState_TASK_STATE_DONE).Should(HaveLen(40))
		starts := 0
		for _, e := range cluster.events() {
			if e.Event == fakeworker.TaskStart {
				starts++
			}
		}
		Expect(starts).To(Equal(40))
	})

	It("grants slots that a worker accepts, and refuses other sessions", func() {
		cluster := newTestCluster(1, "s1")
		sequence := uint64(0)
		var grants []*schedulerpb.Grant
		Eventually(func() []*schedulerpb.Grant {
			sequence++
			grants = cluster.sync("s1", sequence)
			return grants
		}, 10*time.Second, 250*time.Millisecond).ShouldNot(BeEmpty())
		Expect(grants[0].GetSlots()).To(BeNumerically("==", 8))
		callWorker := func(session uint64) string {
			request, err := http.NewRequest(http.MethodPost, "http://"+grants[0].GetAddress()+workerapi.PathServe+"quote",
				bytes.NewReader([]byte(`{"work_ms":5,"echo":"hello"}`)))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set(workerapi.HeaderSession, fmt.Sprint(session))
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.Header.Get(workerapi.HeaderOutcome)
		}
		Expect(callWorker(grants[0].GetSession())).To(Equal("done"))
		// The next session number could be valid: the session changes if the scheduler is
		// appointed in the meantime.
		Expect(callWorker(grants[0].GetSession() + 100)).To(Equal("not_run"))
	})

	// Guards against a scheduler that has no configuration after a restart in a domain
	// that is cut off from the control replicas, although the gateways still have it.
	It("takes a newer configuration from a gateway and serves it to others", func() {
		cluster := newTestCluster(0, "s1")
		sync := func(version uint64, content []byte) {
			_, err := cluster.client("s1").SyncGrants(context.Background(), &schedulerpb.SyncGrantsRequest{
				Gateway: "g1", Domain: testDomain, Incarnation: "1", Sequence: version, ConfigVersion: version, Config: content,
			})
			Expect(err).NotTo(HaveOccurred())
		}
		configVersion := func() uint64 {
			response, err := cluster.client("s1").GetConfig(context.Background(), &schedulerpb.GetConfigRequest{})
			Expect(err).NotTo(HaveOccurred())
			return response.GetVersion()
		}
		Eventually(configVersion).Should(BeEquivalentTo(1))
		sync(5, testConfig())
		Expect(configVersion()).To(BeEquivalentTo(5))
		sync(6, []byte("{"))
		sync(7, nil)
		Expect(configVersion()).To(BeEquivalentTo(5), "an unreadable or missing document changes nothing")
	})

	It("hands over the active role at a planned stop and keeps tasks running", func() {
		cluster := newTestCluster(2, "s1", "s2")
		Eventually(cluster.control.active, 10*time.Second).ShouldNot(BeEmpty())
		first := cluster.control.active()
		cluster.control.bind(testDomain, specs(8, 6000))
		Eventually(func() int { return len(cluster.events()) }, 10*time.Second).Should(BeNumerically(">=", 8))
		cluster.running[first].stop()
		Eventually(cluster.control.active, 10*time.Second).ShouldNot(Equal(first))
		Eventually(cluster.control.inState, 40*time.Second).WithArguments(controlpb.TaskState_TASK_STATE_DONE).Should(HaveLen(8))
		starts := 0
		for _, e := range cluster.events() {
			if e.Event == fakeworker.TaskStart {
				starts++
			}
		}
		Expect(starts).To(Equal(8), "a task was started again although it ran through the failover")
	})

	It("moves the tasks of a withdrawing worker without losing or repeating work", func() {
		cluster := newTestCluster(1, "s1")
		Eventually(cluster.control.active, 10*time.Second).ShouldNot(BeEmpty())
		cluster.control.bind(testDomain, specs(1, 3000))
		Eventually(func() int { return len(cluster.events()) }, 10*time.Second).Should(BeNumerically(">=", 1))
		cluster.addWorker("w2")
		cluster.running["w1"].stop()
		Eventually(cluster.control.inState, 20*time.Second).WithArguments(controlpb.TaskState_TASK_STATE_DONE).Should(HaveLen(1))
		ranMS := int64(0)
		var last fakeworker.Event
		for _, e := range cluster.events() {
			ranMS += e.RanMS
			last = e
		}
		Expect(last.Worker).To(Equal("w2"))
		Expect(ranMS).To(BeNumerically("~", 3000, 150), "work was lost or repeated")
	})
})
