package e2e_test

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
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
	slowRun  = 5 * time.Millisecond
	slowStop = 35 * time.Millisecond
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

// slow lets the process run for a part of the time until the returned function is called.
func (p *process) slow() func() {
	pid, stop, stopped := p.command.Process.Pid, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(slowStop)
			_ = syscall.Kill(pid, syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(slowRun):
			}
		}
	}()
	return func() { close(stop); <-stopped }
}

// watchHeld returns a function that ends the watch and returns the most memory in MB, resident
// and unread, that the process held at one time, and the unread part of it.
func (p *process) watchHeld(key string) func() (most, unread float64) {
	type held struct{ most, unread float64 }
	stop, result := make(chan struct{}), make(chan held, 1)
	go func() {
		var h held
		for {
			waiting := float64(unreadBytes(key)) / (1 << 20)
			if resident, err := p.memory("VmRSS"); err == nil && resident+waiting > h.most {
				h = held{resident + waiting, waiting}
			}
			select {
			case <-stop:
				result <- h
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() (float64, float64) { close(stop); h := <-result; return h.most, h.unread }
}

// holdUnread plays the forms against a fresh process that is slow.
func holdUnread(t *testing.T, forms []string, start func(g *WithT, dir string) (target, func())) {
	for _, form := range append(crowdForms, allFormsAtOnce()) {
		if !slices.Contains(forms, form.name) {
			continue
		}
		t.Run(form.name, func(t *testing.T) {
			g := NewWithT(t)
			tg, stop := start(g, t.TempDir())
			defer stop()
			tg.expectAnswer(g, "before the crowd")
			key, err := socketKey(tg.crowd.address)
			g.Expect(err).NotTo(HaveOccurred())
			resume := tg.slow()
			held := tg.watchHeld(key)
			defer tg.crowd.close()
			tg.crowd.play(form)
			tg.expectAnswer(g, "beside the crowd")
			most, unread := held()
			resume()
			t.Logf("held %.0f MB of %d, unread %.0f MB of them", most, unreadMemoryMB, unread)
			g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
			g.Expect(most).To(BeNumerically("<=", unreadMemoryMB), "resident and unread memory in MB")
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

func TestUnreadOfEntry(t *testing.T) {
	holdUnread(t, unreadForms, func(g *WithT, dir string) (target, func()) {
		f := startLimitedJobs(g, dir, unreadMemoryMB)
		return target{
			process:  f.entries[0].process,
			crowd:    crowd{address: f.fronts[0], method: http.MethodPost, path: "/p/0000000000000001", host: "h"},
			ordinary: answered(http.StatusOK, http.MethodGet, "http://"+f.fronts[0]+"/p/", "h"),
		}, f.killAll
	})
}

// replicaForms are the forms that the ports of a replica are tested with.
var replicaForms = []string{"bodies that stop short", "bodies over the limit that are just sent", "all forms at once"}

func TestUnreadOfReplicaControl(t *testing.T) {
	holdUnread(t, replicaForms, func(g *WithT, dir string) (target, func()) {
		f := startLimitedJobs(g, dir, unreadMemoryMB)
		return target{
			process:  f.replicas[0].process,
			crowd:    crowd{address: f.control[0], method: http.MethodPut, path: "/config", host: "h"},
			ordinary: answered(http.StatusOK, http.MethodGet, "http://"+f.control[0]+"/config", ""),
		}, f.killAll
	})
}

func TestUnreadOfReplicaInternal(t *testing.T) {
	holdUnread(t, replicaForms, func(g *WithT, dir string) (target, func()) {
		f := startLimitedJobs(g, dir, unreadMemoryMB)
		bind := f.peers[0].target
		return target{
			process:  f.replicas[0].process,
			crowd:    crowd{address: bind, method: http.MethodPost, path: fmt.Sprintf("/v1/callers/p/%016d", 1), host: "h"},
			ordinary: answered(http.StatusOK, http.MethodGet, "http://"+bind+"/v1/leader", ""),
		}, f.killAll
	})
}

const (
	// defaultMemoryMB is the memory that a process without memory_mb counts with.
	defaultMemoryMB  = 1024
	defaultCrowdSize = 280
)

// Guards against a process without memory_mb that lets clients use a large host whole.
func TestUnreadWithoutMemoryMB(t *testing.T) {
	g := NewWithT(t)
	f := startLimitedJobs(g, t.TempDir(), 0)
	defer f.killAll()
	tg := target{
		process:  f.entries[0].process,
		crowd:    crowd{address: f.fronts[0], method: http.MethodPost, path: "/p/0000000000000001", host: "h"},
		ordinary: answered(http.StatusOK, http.MethodGet, "http://"+f.fronts[0]+"/p/", "h"),
	}
	tg.expectAnswer(g, "before the crowd")
	key, err := socketKey(tg.crowd.address)
	g.Expect(err).NotTo(HaveOccurred())
	held := tg.watchHeld(key)
	defer tg.crowd.close()
	tg.crowd.play(crowdForm{"bodies of 4 MB that stop short", defaultCrowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("Content-Length: 4000000\r\n") + strings.Repeat("x", 4_000_000-crowdMissing))
	})})
	tg.expectAnswer(g, "beside the crowd")
	most, unread := held()
	t.Logf("held %.0f MB of %d, unread %.0f MB of them", most, defaultMemoryMB, unread)
	g.Expect(tg.exit.done).NotTo(BeClosed(), "the process has ended")
	g.Expect(most).To(BeNumerically("<=", defaultMemoryMB), "resident and unread memory in MB")
}
