package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/entry"
)

const (
	// The process is paused at a random time in the last part of its drain.
	pauseEarliest = 2200 * time.Millisecond
	pauseLatest   = 3500 * time.Millisecond
	pauseLength   = 300 * time.Millisecond
)

// startProgram starts geranium-entry and returns it with its address.
func startProgram(leader string) (*exec.Cmd, string) {
	dir := os.Getenv("GERANIUM_BIN")
	if dir == "" {
		dir = filepath.Join("..", "bin")
	}
	document, err := json.Marshal(&entry.Settings{
		Name: "e", Domain: "a", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: leader,
		Seeds: []string{leader}, ShutdownTimeoutMS: stopWithin.Milliseconds(),
	})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "entry.json")
	Expect(os.WriteFile(file, document, 0o600)).To(Succeed())
	program := exec.Command(filepath.Join(dir, "geranium-entry"), "-settings", file)
	lines, err := program.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(program.Start()).To(Succeed(), "run make build first")
	DeferCleanup(func() { _ = program.Process.Kill() })
	var started struct{ Address string }
	reader := bufio.NewReader(lines)
	line, err := reader.ReadBytes('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(line, &started)).To(Succeed())
	go io.Copy(io.Discard, reader)
	return program, started.Address
}

// stopAndPause sends SIGTERM, stops the process for pauseLength late in its drain, and
// returns how long it took to end.
func stopAndPause(program *exec.Cmd, pauseAt time.Duration) time.Duration {
	stoppedAt := time.Now()
	Expect(program.Process.Signal(syscall.SIGTERM)).To(Succeed())
	time.Sleep(pauseAt)
	_ = program.Process.Signal(syscall.SIGSTOP)
	time.Sleep(pauseLength)
	_ = program.Process.Signal(syscall.SIGCONT)
	Expect(program.Wait()).To(Succeed())
	return time.Since(stoppedAt)
}

// soakTime is how long to repeat the rounds, 0 for one round.
func soakTime() time.Duration {
	seconds, _ := strconv.Atoi(os.Getenv("GERANIUM_SOAK_SECONDS"))
	return time.Duration(seconds) * time.Second
}

var _ = Describe("the program geranium-entry", func() {
	It("answers or refuses every whole request though it is paused while it drains", func() {
		leader, start := startLeader(), time.Now()
		for seed := uint64(drainSeed); seed == drainSeed || time.Since(start) < soakTime(); seed++ {
			random := rand.New(rand.NewPCG(seed, 0))
			pauseAt := pauseEarliest + time.Duration(random.Int64N(int64(pauseLatest-pauseEarliest)))
			program, address := startProgram(leader)
			var o outcomes
			clients := startClients(drainClients, address, seed, &o)
			time.Sleep(runBeforeStop)
			took := stopAndPause(program, pauseAt)
			clients.Wait()
			AddReportEntry("drain", fmt.Sprintf("seed %d, paused at %v, took %v: %d answered, refused: %q, lost: %q",
				seed, pauseAt, took, o.answered, o.refused, o.lost))
			Expect(o.lost).To(BeEmpty())
			Expect(took).To(BeNumerically("<", stopWithin))
		}
	})
})
