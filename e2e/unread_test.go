package e2e_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/hex"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The tests of this file count what a process holds together with the bytes that have arrived
// at its connections and that it has not read: an operator's host counts both. The process gets
// an eighth of the time, so that clients send faster than it reads. They guard against a
// process that is ended by bytes that it has not even read.

const (
	// unreadMemoryMB is memory_mb of the processes, and the bound of their resident memory and
	// their unread bytes together.
	unreadMemoryMB = 72
	// A slowed process runs for slowRun and then stands still for slowStop.
	slowRun        = 5 * time.Millisecond
	slowStop       = 35 * time.Millisecond
	sampleInterval = 10 * time.Millisecond
	// listening is the state of a listening socket in /proc/net/tcp.
	listening = "0A"
)

// unreadForms are the forms that a test of unread bytes plays.
var unreadForms = []string{
	"bodies that stop short", "large bodies that stop short", "one large chunk", "very small chunks", "requests in a row that nobody waits for",
	"bodies announced over the limit", "bodies over the limit that are just sent", "bodies that do not wait for 100 Continue",
	"HTTP/2: many streams with bodies that stop short", "all forms at once",
}

// socketKey returns how /proc/net/tcp writes the address of an IPv4 socket.
func socketKey(address string) (string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return "", err
	}
	ip := slices.Clone(tcp.IP.To4())
	slices.Reverse(ip)
	port := binary.BigEndian.AppendUint16(nil, uint16(tcp.Port))
	return strings.ToUpper(hex.EncodeToString(ip) + ":" + hex.EncodeToString(port)), nil
}

// unreadBytes returns the sum of the receive queues of the connections to an address.
func unreadBytes(key string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	var sum int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != key || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		sum += bytes
	}
	return sum
}

// slow lets the process run for a part of the time until the test ends or the returned function
// is called.
func (p *process) slow(t *testing.T) (resume func()) {
	ctx, cancel := context.WithCancel(t.Context())
	pid, stopped := p.command.Process.Pid, make(chan struct{})
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(slowStop)
			_ = syscall.Kill(pid, syscall.SIGCONT)
			time.Sleep(slowRun)
		}
	}()
	return func() { cancel(); <-stopped }
}

// heldMemory is the most memory in MB that a process held at one time while it was watched.
type heldMemory struct {
	// resident and unread are the parts of that memory.
	resident, unread float64
	stop             context.CancelFunc
	stopped          chan struct{}
}

// watchHeld watches what the process and the receive queues of its connections hold until the
// test ends or expectBelow is called.
func (tg *target) watchHeld(t *testing.T, g *WithT) *heldMemory {
	key, err := socketKey(tg.crowd.address)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	h := &heldMemory{stop: stop, stopped: make(chan struct{})}
	pid := tg.command.Process.Pid
	go func() {
		defer close(h.stopped)
		for ctx.Err() == nil {
			h.sample(pid, key)
			time.Sleep(sampleInterval)
		}
	}()
	return h
}

func (h *heldMemory) sample(pid int, key string) {
	unread := float64(unreadBytes(key)) / (1 << 20)
	resident, err := memoryOf(pid, "VmRSS")
	if err == nil && resident+unread > h.resident+h.unread {
		h.resident, h.unread = resident, unread
	}
}

// expectBelow ends the watch and checks what was held.
func (h *heldMemory) expectBelow(t *testing.T, g *WithT, limitMB int) {
	h.stop()
	<-h.stopped
	t.Logf("held %.0f MB of %d, unread %.0f MB of them", h.resident+h.unread, limitMB, h.unread)
	g.Expect(h.resident+h.unread).To(BeNumerically("<=", limitMB), "resident and unread memory in MB")
}

// holdUnread plays the forms against a fresh process that is slow.
func holdUnread(t *testing.T, forms []string, start startTarget) {
	for _, form := range append(crowdForms, allFormsAtOnce()) {
		if !slices.Contains(forms, form.name) {
			continue
		}
		t.Run(form.name, func(t *testing.T) {
			g := NewWithT(t)
			tg, stop := start(g, t.TempDir(), unreadMemoryMB)
			defer stop()
			tg.expectAnswer(g, "before the crowd")
			resume, held := tg.slow(t), tg.watchHeld(t, g)
			defer resume()
			defer tg.crowd.close()
			tg.crowd.play(form)
			tg.expectAnswer(g, "beside the crowd")
			g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
			held.expectBelow(t, g, unreadMemoryMB)
		})
	}
}

// allFormsAtOnce returns a form whose clients each play another form, one after the other.
func allFormsAtOnce() crowdForm {
	turns := make(chan crowdForm, crowdSize)
	for i := range crowdSize {
		turns <- crowdForms[i%len(crowdForms)]
	}
	return crowdForm{"all forms at once", crowdSize, func(c *crowd) {
		select {
		case form := <-turns:
			form.play(c)
		default:
		}
	}}
}

func TestUnreadOfEntry(t *testing.T) { holdUnread(t, unreadForms, startEntry) }

// portForms are the forms that the other ports are tested with.
var portForms = []string{"bodies that stop short", "bodies over the limit that are just sent", "all forms at once"}

func TestUnreadOfReplicaControl(t *testing.T) { holdUnread(t, portForms, startReplicaControl) }

func TestUnreadOfReplicaInternal(t *testing.T) { holdUnread(t, portForms, startReplicaInternal) }

func TestUnreadOfGateway(t *testing.T) { holdUnread(t, portForms, startGateway) }

// Guards against a process that a crowd keeps from reading its settings again and from
// stopping, and against one that holds ever more for clients that come back.
func TestUnreadBesideSignals(t *testing.T) {
	g := NewWithT(t)
	tg, stop := startEntry(g, t.TempDir(), unreadMemoryMB)
	defer stop()
	tg.expectAnswer(g, "before the crowd")
	resume, held := tg.slow(t), tg.watchHeld(t, g)
	defer resume()
	defer tg.crowd.close()
	played := make(chan struct{})
	go func() {
		defer close(played)
		tg.crowd.play(comingBack())
	}()
	for range 3 {
		g.Expect(tg.command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		tg.expectAnswer(g, "after SIGHUP")
	}
	<-played
	tg.expectAnswer(g, "beside clients that have come back")
	g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
	g.Expect(tg.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
	go tg.crowd.play(crowdForms[0])
	g.Eventually(tg.exit.done).WithTimeout(intakeWait).Should(BeClosed(), "the process stops")
	held.expectBelow(t, g, unreadMemoryMB)
}

// returns is how often a client of comingBack connects.
const returns = 20

// comingBack returns a form whose clients connect again as soon as they have been closed.
func comingBack() crowdForm {
	return crowdForm{"clients that come back", crowdSize, func(c *crowd) {
		for i := range returns {
			crowdForms[i%len(crowdForms)].play(c)
		}
	}}
}

const (
	// defaultMemoryMB is the memory that a process without memory_mb counts with.
	defaultMemoryMB  = 1024
	defaultCrowdSize = 280
)

// Guards against a process without memory_mb that lets clients use a large host whole.
func TestUnreadWithoutMemoryMB(t *testing.T) {
	g := NewWithT(t)
	tg, stop := startEntry(g, t.TempDir(), 0)
	defer stop()
	tg.expectAnswer(g, "before the crowd")
	held := tg.watchHeld(t, g)
	defer tg.crowd.close()
	tg.crowd.play(crowdForm{"bodies of 4 MB that stop short", defaultCrowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("Content-Length: 4000000\r\n") + strings.Repeat("x", 4_000_000-crowdMissing))
	})})
	tg.expectAnswer(g, "beside the crowd")
	g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
	held.expectBelow(t, g, defaultMemoryMB)
}
