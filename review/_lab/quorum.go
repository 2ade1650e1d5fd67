package main

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
	"time"
)

// membersPath is the path of the members on the internal API of a core machine.
const membersPath = "/v1/members"

// coreName returns the name of a core machine.
func (w *world) coreName(i int) string { return fmt.Sprintf("core-%d", i+1) }

func (w *world) peerAddress(i int) string {
	host, _, _ := net.SplitHostPort(w.controls[i])
	return net.JoinHostPort(host, peerPort)
}

// members is what a core machine tells of the members of the log.
type members struct {
	LeaderAddress string `json:"leader_address"`
	Leads         bool   `json:"leads"`
	Members       []struct {
		Address string `json:"address"`
		Voter   bool   `json:"voter"`
		State   string `json:"state"`
	} `json:"members"`
}

// roles returns the index of the leader and those of the other voters, -1 for no leader.
func (w *world) roles() (leader int, voters []int) {
	leader = -1
	for i := range w.controls {
		status, data := w.call(http.MethodGet, w.peerAddress(i), "", membersPath, nil, time.Second)
		var m members
		if status != http.StatusOK || json.Unmarshal(data, &m) != nil || !m.Leads {
			continue
		}
		leader = i
		for k := range w.controls {
			for _, member := range m.Members {
				if k != i && member.Voter && member.Address == w.peerAddress(k) {
					voters = append(voters, k)
				}
			}
		}
	}
	return leader, voters
}

// freeze stops a core machine, and thaw lets it go on.
func (w *world) freeze(i int) {
	w.note("%s freezes", w.coreName(i))
	_ = w.processes[i].Process.Signal(syscall.SIGSTOP)
}

func (w *world) thaw(i int) {
	w.note("%s wakes", w.coreName(i))
	_ = w.processes[i].Process.Signal(syscall.SIGCONT)
}

// kill ends a core machine's process.
func (w *world) kill(i int) {
	w.note("%s is killed", w.coreName(i))
	_ = w.processes[i].Process.Kill()
	_ = w.processes[i].Wait()
}

// wipe empties the disk of a core machine that is down.
func (w *world) wipe(i int) error {
	w.note("%s loses its disk", w.coreName(i))
	return os.RemoveAll(filepath.Join(w.dir, w.coreName(i)))
}

// restart starts a core machine at its old address, as at any start but the first.
func (w *world) restart(i int) error {
	file := filepath.Join(w.dir, w.coreName(i)+".json")
	settings, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	settings = []byte(strings.Replace(string(settings), `"first_start": true`, `"first_start": false`, 1))
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	old := w.processes[i]
	c := exec.Command(old.Path)
	c.Env, c.Stdout, c.Stderr, c.SysProcAttr = old.Env, old.Stdout, old.Stderr, old.SysProcAttr
	w.note("%s starts", w.coreName(i))
	if err := c.Start(); err != nil {
		return err
	}
	w.processes[i] = c
	return nil
}

// configuration reads the configuration back, from any core machine, until a time of the
// case. It returns the version, or 0 if there is no answer.
func (w *world) configuration(until time.Duration) int {
	for i := 0; w.since() < until; i++ {
		status, data := w.call(http.MethodGet, w.controls[i%len(w.controls)], "", "/config", nil, time.Second)
		var v struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &v) == nil {
			return v.Version
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// gap is the time from the loss of the first core machine to that of the second.
const gap = 2300 * time.Millisecond

// quorum: a core machine freezes; while it does, another one loses its disk.
func quorum(w *world, trouble bool) (int, error) {
	short, lasting := newRoute("lohu930", 2, 1000, 4), newRoute("pule252", 0, 2500, 3)
	if err := w.start(12, 0, short, lasting); err != nil {
		return 0, err
	}
	job := w.hand(newJob(lasting, "last", phase{Count: 2, CPU: 6400, MemMB: 13000, EstimateMS: 500, LongRunning: true}))
	time.Sleep(2 * time.Second)
	if !w.configure(2, short, lasting) {
		return 0, fmt.Errorf("the second configuration got no ack")
	}
	leader, voters := w.roles()
	if leader < 0 || len(voters) != 2 {
		return 0, fmt.Errorf("roles: leader %d, other voters %v", leader, voters)
	}
	w.note("%s leads, the other voters are %s and %s", w.coreName(leader), w.coreName(voters[0]), w.coreName(voters[1]))
	frozen, lost := voters[0], voters[1]
	if trouble {
		begin := w.since()
		w.freeze(frozen)
		w.waitUntil(begin + gap)
		w.kill(lost)
		if err := w.wipe(lost); err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
		if err := w.restart(lost); err != nil {
			return 0, err
		}
		w.waitUntil(begin + 4*time.Second)
		w.thaw(frozen)
	}
	w.note("all machines are back")
	time.Sleep(16 * time.Second)
	broken := 0
	if version := w.configuration(w.since() + 25*time.Second); version != 2 {
		w.note("BROKEN: the configuration is read back as version %d, the newest acknowledged one is 2", version)
		broken++
	}
	if state := w.state(job); state != "running" {
		w.note("BROKEN: the accepted job is shown as %s", state)
		broken++
	}
	return broken, nil
}
