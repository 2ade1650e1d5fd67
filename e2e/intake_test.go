package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/transport"
)

// The tests of this file run the programs beside clients that keep to no limits. Each guards
// against a process that such clients end by the memory or the descriptors that they make it
// use. Limits are lowered so that a small crowd is enough. They check no times and no shares
// of requests. They run one after the other, so that each has the machine's loopback to itself.

const (
	// intakeMemoryMB is memory_mb of the processes, and the bound of their resident memory.
	intakeMemoryMB = 96
	// intakeConnections is max_connections of the processes; intakeFiles bounds their open
	// descriptors: those and what the process needs otherwise.
	intakeConnections = 300
	intakeFiles       = intakeConnections + 100
	// intakeWait only bounds the wait for an answer.
	intakeWait = 60 * time.Second
)

var intakeLimits = transport.IntakeSettings{
	MaxHeaderBytes: 16_384, HeaderTimeoutMS: 3000, BodyIdleTimeoutMS: 15_000, MaxConnections: intakeConnections,
}

// target is a process under test and a request that any caller may send.
type target struct {
	*process
	crowd crowd
	// ordinary sends a small request and reports whether it was answered as without a crowd.
	ordinary func() (string, bool)
}

// expectAnswer waits until an ordinary request is answered.
func (tg *target) expectAnswer(g *WithT, when string) {
	g.Eventually(func() string {
		what, ok := tg.ordinary()
		if ok {
			return ""
		}
		return what
	}).WithTimeout(intakeWait).WithPolling(100*time.Millisecond).Should(BeEmpty(), when)
}

// limit adds the limits and memory_mb to the settings of a process that has not been started.
func (p *process) limit(memoryMB int) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	document := map[string]any{}
	if err := json.Unmarshal(data, &document); err != nil {
		return err
	}
	document["memory_mb"], document["intake"] = memoryMB, intakeLimits
	if data, err = json.Marshal(document); err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o600)
}

// memory returns a value of /proc/PID/status in MB.
func (p *process) memory(field string) (float64, error) {
	return memoryOf(p.command.Process.Pid, field)
}

func memoryOf(pid int, field string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return float64(kb) / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d: no %s", pid, field)
}

func openFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watchFiles returns a function that ends the watch and returns the most open descriptors. The
// watch ends with the test too, which may have killed the process by then.
func (p *process) watchFiles(t *testing.T) func() int {
	ctx, stop := context.WithCancel(t.Context())
	pid := p.command.Process.Pid
	most := make(chan int, 1)
	go func() {
		n := 0
		for ctx.Err() == nil {
			n = max(n, openFiles(pid))
			time.Sleep(20 * time.Millisecond)
		}
		most <- n
	}()
	return func() int { stop(); return <-most }
}

// withstand plays each form against a fresh process.
func withstand(t *testing.T, start startTarget) {
	for _, form := range crowdForms {
		t.Run(form.name, func(t *testing.T) {
			g := NewWithT(t)
			tg, stop := start(g, t.TempDir(), intakeMemoryMB)
			defer stop()
			tg.expectAnswer(g, "before the crowd")
			files := tg.watchFiles(t)
			defer tg.crowd.close()
			tg.crowd.play(form)
			g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
			tg.expectAnswer(g, "beside the crowd")
			peak, err := tg.memory("VmHWM")
			g.Expect(err).NotTo(HaveOccurred())
			resident, err := tg.memory("VmRSS")
			g.Expect(err).NotTo(HaveOccurred())
			open := files()
			t.Logf("peak %.0f MB, resident %.0f MB of %d, at most %d descriptors of %d", peak, resident, intakeMemoryMB, open, intakeFiles)
			g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
			g.Expect(peak).To(BeNumerically("<=", intakeMemoryMB), "peak memory in MB")
			g.Expect(open).To(BeNumerically("<=", intakeFiles), "open descriptors")
		})
	}
}

// plainCaller opens a connection for each request.
var plainCaller = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// startLimitedJobs starts a replica and an entry process with low limits.
func startLimitedJobs(g *WithT, dir string, memoryMB int) *jobFleet {
	f, err := newJobFleet(dir, 1, 1, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, p := range f.processes() {
		g.Expect(p.limit(memoryMB)).To(Succeed())
		g.Expect(p.start()).To(Succeed())
	}
	g.Eventually(func() int {
		status, _ := send(plainCaller, http.MethodPut, "http://"+f.control[0]+"/config", "", fmt.Sprintf(jobConfig, 1))
		return status
	}).WithTimeout(intakeWait).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusOK))
	return f
}

func (f *jobFleet) killAll() {
	for _, p := range f.processes() {
		p.kill()
	}
	for _, l := range append(f.peers, f.orders...) {
		l.close()
	}
}

func answered(want int, method, url, host string) func() (string, bool) {
	return func() (string, bool) {
		status, body := send(plainCaller, method, url, host, "")
		return fmt.Sprintf("%d: %s", status, body), status == want
	}
}

// startTarget starts the processes of a test with the given memory_mb and returns the one under
// test and a function that ends all.
type startTarget func(g *WithT, dir string, memoryMB int) (target, func())

func startEntry(g *WithT, dir string, memoryMB int) (target, func()) {
	f := startLimitedJobs(g, dir, memoryMB)
	return target{
		process:  f.entries[0].process,
		crowd:    crowd{address: f.fronts[0], method: http.MethodPost, path: "/p/0000000000000001", host: "h"},
		ordinary: answered(http.StatusOK, http.MethodGet, "http://"+f.fronts[0]+"/p/", "h"),
	}, f.killAll
}

// startReplicaControl tests the port for workers and operators.
func startReplicaControl(g *WithT, dir string, memoryMB int) (target, func()) {
	f := startLimitedJobs(g, dir, memoryMB)
	return target{
		process:  f.replicas[0].process,
		crowd:    crowd{address: f.control[0], method: http.MethodPut, path: "/config", host: "h"},
		ordinary: answered(http.StatusOK, http.MethodGet, "http://"+f.control[0]+"/config", ""),
	}, f.killAll
}

// startReplicaInternal tests the internal port, where entry processes relay the requests of
// callers.
func startReplicaInternal(g *WithT, dir string, memoryMB int) (target, func()) {
	f := startLimitedJobs(g, dir, memoryMB)
	bind := f.peers[0].target
	return target{
		process:  f.replicas[0].process,
		crowd:    crowd{address: bind, method: http.MethodPost, path: "/v1/callers/p/0000000000000001", host: "h"},
		ordinary: answered(http.StatusOK, http.MethodGet, "http://"+bind+"/v1/leader", ""),
	}, f.killAll
}

func startGateway(g *WithT, dir string, memoryMB int) (target, func()) {
	f, err := newFleet(dir, layout{
		domains: []string{"bern-a"}, controlDomains: []string{"bern-a", "thun-b", "biel-c"}, gatewaysPer: 1, workersPer: 1,
		workersInOneRack: 1, services: []string{"quote-check", "stock-hold"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	p := f.gateways["bern-a"][0]
	g.Expect(p.limit(memoryMB)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), intakeWait)
	g.Expect(f.start(ctx)).To(Succeed())
	g.Expect(f.applyExample()).To(Succeed())
	address := f.addresses[p.name]
	return target{
			process: p,
			crowd: crowd{
				address: address, method: http.MethodPost, path: "/v1/call/stock-hold", host: "h", header: "Idempotency-Key: 7\r\nGeranium-Caller: e2e\r\n",
			},
			ordinary: func() (string, bool) {
				status, body := post(address, "/v1/call/quote-check", `{}`)
				return fmt.Sprintf("%d: %s", status, body), status == http.StatusOK
			},
		}, func() {
			cancel()
			f.killAll()
		}
}

func TestIntakeOfEntry(t *testing.T) { withstand(t, startEntry) }

func TestIntakeOfReplicaControl(t *testing.T) { withstand(t, startReplicaControl) }

func TestIntakeOfReplicaInternal(t *testing.T) { withstand(t, startReplicaInternal) }

func TestIntakeOfGateway(t *testing.T) { withstand(t, startGateway) }

func post(address, path, body string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Geranium-Caller", "e2e")
	response, err := plainCaller.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return response.StatusCode, text.String()
}
