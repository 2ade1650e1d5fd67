package e2e_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/control"
	"geraniumwall/entry"
	"geraniumwall/jobd"
	relayapi "geraniumwall/relay"
)

const (
	signalInterval = 10 * time.Millisecond
	// certainlyReceived is a number of signals of which a process has received one before
	// its end; some daemons end within an interval.
	certainlyReceived = 20
	// slowAnswer is how long the stand-in leader takes.
	slowAnswer = 600 * time.Millisecond
)

// signalled is a daemon that gets signals, and the log line that says that it runs.
type signalled struct {
	binary, running string
	settings        func(network int32, dir string) any
}

// reloadsSettings tells whether the daemon loads its settings again after SIGHUP.
func (d signalled) reloadsSettings() bool {
	return d.binary == "geranium-entry" || d.binary == "geranium-jobs"
}

var signalledDaemons = []signalled{
	{"geranium-entry", "entry process started", func(network int32, _ string) any { return signalledEntry(network) }},
	{"geranium-jobs", "job replica is running", func(network int32, dir string) any {
		return jobd.Settings{
			Name: "jobs", Domain: "a", Listen: jobHost(network, 10, jobControlPort), PeerListen: jobHost(network, 10, jobPeerPort),
			Seeds: []string{jobHost(network, 10, jobControlPort)}, FirstStart: true, DataDir: filepath.Join(dir, "data"),
			HeartbeatMS: jobBeat.Milliseconds(), LeaseMS: jobLease.Milliseconds(), ShutdownTimeoutMS: 3000,
		}
	}},
	{"geranium-control", "control replica is running", func(network int32, dir string) any {
		listen := jobHost(network, 10, jobControlPort)
		return control.Settings{
			Name: "c", Domain: "a", Listen: listen, DataDir: filepath.Join(dir, "data"), ReplicaID: 1, SingleDomainOK: true, StateMayBeLost: true,
			Replicas: []control.ReplicaAddress{{ID: 1, Address: listen, Domain: "a"}},
		}
	}},
	{"geranium-gateway", "gateway is serving", func(network int32, _ string) any {
		return gatewaySettings{
			Name: "g", Domain: "a", Listen: jobHost(network, 10, jobControlPort), Control: []string{jobHost(network, 11, jobControlPort)},
			Metrics: jobHost(network, 10, jobPeerPort), Schedulers: []address{{Name: "s", Domain: "a", Address: jobHost(network, 12, jobControlPort)}},
		}
	}},
	{"geranium-scheduler", "scheduler started", func(network int32, _ string) any {
		return map[string]any{
			"name": "s", "domain": "a", "listen": jobHost(network, 10, jobControlPort), "metrics_listen": jobHost(network, 10, jobPeerPort),
			"control": []string{jobHost(network, 11, jobControlPort)},
		}
	}},
}

func signalledEntry(network int32) entry.Settings {
	return entry.Settings{
		Name: "entry", Domain: "a", Listen: jobHost(network, 50, jobEntryPort), ReadyListen: jobHost(network, 50, jobReadyPort),
		PeerListen: jobHost(network, 50, jobPeerPort), Seeds: []string{jobHost(network, 10, jobControlPort)}, ShutdownTimeoutMS: 2000,
	}
}

func startSignalled(t *testing.T, g *WithT, d signalled, settings any, dir string) *process {
	t.Helper()
	p, err := newProcess(dir, d.binary, d.binary, settings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.start()).To(Succeed())
	t.Cleanup(p.kill)
	return p
}

func (p *process) logged() string {
	lines, _ := os.ReadFile(p.logFile)
	return string(lines)
}

func (p *process) send(g *WithT, s syscall.Signal) {
	g.Expect(p.command.Process.Signal(s)).To(Succeed(), "%s has ended: %s", p.name, p.logged())
}

// sendUntilEnd sends the signals in turn until the process has ended and returns their
// number.
func (p *process) sendUntilEnd(g *WithT, signals ...syscall.Signal) int {
	deadline := time.Now().Add(stopTimeout)
	for sent := 0; ; sent++ {
		select {
		case <-p.exit.done:
			return sent
		case <-time.After(signalInterval):
			g.Expect(time.Now()).To(BeTemporally("<", deadline), "%s has not ended: %s", p.name, p.logged())
			_ = p.command.Process.Signal(signals[sent%len(signals)])
		}
	}
}

// expectPlannedEnd expects that the process has ended by itself with code 0 and that its
// last line says so.
func (p *process) expectPlannedEnd(g *WithT) {
	g.Eventually(p.exit.done).WithTimeout(stopTimeout).Should(BeClosed())
	g.Expect(p.exit.err).NotTo(HaveOccurred(), "%s: %s", p.name, p.logged())
	lines := strings.Split(strings.TrimSpace(p.logged()), "\n")
	g.Expect(lines[len(lines)-1]).To(And(ContainSubstring("daemon stopped"), ContainSubstring("SIGTERM"), ContainSubstring("took")))
}

// Guards against a process that a signal ends while it runs or is asked to stop already.
func TestSignalsInSeries(t *testing.T) {
	for _, d := range signalledDaemons {
		t.Run(d.binary, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			dir := t.TempDir()
			p := startSignalled(t, g, d, d.settings(fleets.Add(1), dir), dir)
			g.Eventually(p.logged).WithTimeout(readyTimeout).Should(ContainSubstring(d.running))
			p.send(g, syscall.SIGHUP)
			time.Sleep(10 * signalInterval)
			p.send(g, syscall.SIGTERM)
			sent := p.sendUntilEnd(g, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
			p.expectPlannedEnd(g)
			g.Expect(p.logged()).To(ContainSubstring("reload requested"))
			if sent > certainlyReceived {
				g.Expect(p.logged()).To(ContainSubstring("signal ignored"))
			}
		})
	}
}

// Guards against a process that a SIGHUP ends while it loads its settings, and against
// changes of that time that it never reads.
func TestHangupWhileStarting(t *testing.T) {
	for _, d := range signalledDaemons {
		t.Run(d.binary, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			dir := t.TempDir()
			settings := d.settings(fleets.Add(1), dir)
			p, err := newProcess(dir, d.binary, d.binary, settings)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(os.Remove(p.settings)).To(Succeed())
			g.Expect(syscall.Mkfifo(p.settings, 0o600)).To(Succeed())
			g.Expect(p.start()).To(Succeed())
			t.Cleanup(p.kill)
			feed(g, p, settings, func() {
				p.send(g, syscall.SIGHUP)
				time.Sleep(10 * signalInterval)
			})
			g.Eventually(p.logged).WithTimeout(readyTimeout).Should(And(ContainSubstring(d.running), ContainSubstring("reload requested")))
			if d.reloadsSettings() {
				feed(g, p, settings, func() {})
				g.Eventually(p.logged).WithTimeout(readyTimeout).Should(ContainSubstring("settings reloaded"))
			}
			p.send(g, syscall.SIGTERM)
			p.expectPlannedEnd(g)
		})
	}
}

// Guards against a SIGHUP that ends a process while it initializes its libraries.
func TestHangupIsIgnoredBeforeLibrariesStart(t *testing.T) {
	for _, d := range signalledDaemons {
		g := NewWithT(t)
		command := exec.Command(binaryPath(d.binary), "-print-defaults")
		command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		output, err := command.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred())
		ignored := strings.Index(string(output), "init geraniumwall/daemon/ignorehup")
		libraries := strings.Index(string(output), "init github.com/prometheus")
		g.Expect(ignored).To(BeNumerically(">=", 0), "%s: %s", d.binary, output)
		g.Expect(ignored).To(BeNumerically("<", libraries), "%s: %s", d.binary, output)
	}
}

// feed waits until the process opens its settings, a named pipe, and writes them after
// meanwhile has returned.
func feed(g *WithT, p *process, settings any, meanwhile func()) {
	document, err := json.Marshal(settings)
	g.Expect(err).NotTo(HaveOccurred())
	opened := make(chan *os.File, 1)
	go func() {
		pipe, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
		if err == nil {
			opened <- pipe
		}
	}()
	var pipe *os.File
	g.Eventually(opened).WithTimeout(readyTimeout).Should(Receive(&pipe), "%s does not read its settings: %s", p.name, p.logged())
	meanwhile()
	_, err = pipe.Write(document)
	g.Expect(err).NotTo(HaveOccurred(), "%s has ended: %s", p.name, p.logged())
	g.Expect(pipe.Close()).To(Succeed())
}

// Guards against callers that get no answer because a signal ends the process under
// their requests.
func TestSignalsWithRequestInProgress(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	network := fleets.Add(1)
	leader := jobHost(network, 10, jobPeerPort)
	listener, err := net.Listen("tcp", leader)
	g.Expect(err).NotTo(HaveOccurred())
	standIn := &http.Server{Handler: slowLeader(leader)}
	go standIn.Serve(listener)
	defer standIn.Close()
	s := signalledEntry(network)
	p := startSignalled(t, g, signalledDaemons[0], s, t.TempDir())
	g.Eventually(p.logged).WithTimeout(readyTimeout).Should(ContainSubstring("leader reachable"))

	answers := make(chan string, 2)
	submit := func(path string) { answers <- submitTo(s.Listen, path) }
	go submit("/before")
	time.Sleep(slowAnswer / 6)
	p.send(g, syscall.SIGTERM)
	time.Sleep(slowAnswer / 6)
	go submit("/after")
	time.Sleep(slowAnswer / 6)
	p.send(g, syscall.SIGHUP)
	time.Sleep(slowAnswer / 6)
	p.send(g, syscall.SIGTERM)
	for range 2 {
		g.Eventually(answers).WithTimeout(readyTimeout).Should(Receive(Equal("200 OK")))
	}
	p.sendUntilEnd(g, syscall.SIGHUP, syscall.SIGTERM)
	p.expectPlannedEnd(g)
}

// slowLeader answers the requests of callers after slowAnswer.
func slowLeader(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(relayapi.PathLeader, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(relayapi.ClusterView{Leader: address, Members: []string{address}, IsLeader: true})
	})
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) { time.Sleep(slowAnswer) })
	return mux
}

// submitTo returns the status of the answer or the error.
func submitTo(address, path string) string {
	answer, err := http.Post(fmt.Sprintf("http://%s%s", address, path), "application/json", strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}
	defer answer.Body.Close()
	return answer.Status
}

// Guards against seeds in a changed settings file that end a process or replace good ones.
func TestMalformedSeedsAreIgnoredOnReload(t *testing.T) {
	for _, d := range signalledDaemons[:2] {
		t.Run(d.binary, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			dir := t.TempDir()
			settings := d.settings(fleets.Add(1), dir)
			p := startSignalled(t, g, d, settings, dir)
			g.Eventually(p.logged).WithTimeout(readyTimeout).Should(ContainSubstring(d.running))
			valid, err := os.ReadFile(p.settings)
			g.Expect(err).NotTo(HaveOccurred())
			for i, seed := range []string{"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "nowhere"} {
				var changed map[string]any
				g.Expect(json.Unmarshal(valid, &changed)).To(Succeed())
				changed["seeds"] = []string{seed}
				document, err := json.Marshal(changed)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(os.WriteFile(p.settings, document, 0o600)).To(Succeed())
				p.send(g, syscall.SIGHUP)
				g.Eventually(func() int { return strings.Count(p.logged(), "changed settings are ignored") }).
					WithTimeout(readyTimeout).Should(Equal(i+1), "%q: %s", seed, p.logged())
			}
			g.Expect(p.logged()).NotTo(ContainSubstring("settings reloaded"))
			g.Expect(os.WriteFile(p.settings, valid, 0o600)).To(Succeed())
			p.send(g, syscall.SIGHUP)
			g.Eventually(p.logged).WithTimeout(readyTimeout).Should(ContainSubstring("settings reloaded"))
			p.send(g, syscall.SIGTERM)
			p.expectPlannedEnd(g)
		})
	}
}
