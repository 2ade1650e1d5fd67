//go:build capacity

package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat"
)

const (
	capacityTimeout = 10 * time.Minute
	settleTime      = 6 * time.Second
	measureTime     = 10 * time.Second
	longTaskMS      = 30 * 60 * 1000
	clockTicks      = 100 // USER_HZ, fixed by the kernel's interface on Linux
)

// usage is what a process has used since its start.
type usage struct {
	cpu      time.Duration
	bytes    int64 // read and written, files and sockets together
	resident int64 // bytes
}

// usageOf reads the counters that Linux keeps of a process.
func usageOf(p *process) (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	ticks := number(fields[11]) + number(fields[12])
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return usage{}, err
	}
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return usage{}, err
	}
	return usage{
		cpu:      time.Duration(ticks) * time.Second / clockTicks,
		bytes:    lineNumber(string(io), "rchar:") + lineNumber(string(io), "wchar:"),
		resident: lineNumber(string(status), "VmRSS:") << 10,
	}, nil
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func lineNumber(text, name string) int64 {
	_, rest, _ := strings.Cut(text, name)
	return number(strings.Fields(rest)[0])
}

// rates is the use of one role: share of a core in percent, bytes a second, and
// resident bytes.
type rates struct{ cpu, bytes, resident float64 }

// point is one measured size.
type point struct {
	x     float64
	roles map[string]rates
}

// sweep measures one quantity at several sizes.
type sweep struct {
	name   string
	unit   string
	points []point
}

type capacityLine struct {
	Sweep     string    `json:"sweep"`
	Unit      string    `json:"unit"`
	Role      string    `json:"role"`
	Measure   string    `json:"measure"`
	X         []float64 `json:"x"`
	Y         []float64 `json:"y"`
	Intercept float64   `json:"intercept"`
	Slope     float64   `json:"slope"`
	R2        float64   `json:"r2"`
	// MaxError is the largest distance of a point from the line.
	MaxError float64 `json:"max_error"`
}

func (s *sweep) print(w *os.File) {
	var roles []string
	for role := range s.points[0].roles {
		roles = append(roles, role)
	}
	slices.Sort(roles)
	for _, role := range roles {
		s.fit(w, role, "core_percent", func(r rates) float64 { return r.cpu })
		s.fit(w, role, "bytes_per_second", func(r rates) float64 { return r.bytes })
		s.fit(w, role, "resident_mb", func(r rates) float64 { return r.resident / (1 << 20) })
	}
}

func (s *sweep) fit(w *os.File, role, measure string, of func(rates) float64) {
	line := capacityLine{Sweep: s.name, Unit: s.unit, Role: role, Measure: measure}
	for _, p := range s.points {
		line.X = append(line.X, p.x)
		line.Y = append(line.Y, of(p.roles[role]))
	}
	line.Intercept, line.Slope = stat.LinearRegression(line.X, line.Y, nil, false)
	line.R2 = stat.RSquared(line.X, line.Y, nil, line.Intercept, line.Slope)
	for i := range line.X {
		line.MaxError = max(line.MaxError, abs(line.Y[i]-line.Intercept-line.Slope*line.X[i]))
	}
	_ = json.NewEncoder(w).Encode(line)
}

func abs(v float64) float64 { return max(v, -v) }

// rig is a fleet of one served domain whose roles are measured.
type capacityRig struct {
	*WithT
	ctx context.Context
	f   *fleet
	d   *driver
}

func startRig(t *testing.T, workers int) *capacityRig {
	ctx, cancel := context.WithTimeout(context.Background(), capacityTimeout)
	t.Cleanup(cancel)
	f, err := newFleet(t.TempDir(), layout{
		domains: []string{"bern-a"}, controlDomains: []string{"bern-a", "thun-b", "biel-c"},
		gatewaysPer: 2, workersPer: workers, workersInOneRack: 6,
		services: []string{"quote-check", "stock-hold"},
	})
	r := &capacityRig{WithT: NewWithT(t), ctx: ctx, f: f}
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.killAll)
	r.Expect(f.start(ctx)).To(Succeed())
	r.Expect(f.applyExample()).To(Succeed())
	r.d = newDriver(f.gatewayAddresses())
	return r
}

// roles names the processes by what they do now.
func (r *capacityRig) roles() map[string][]*process {
	active, err := r.f.activeScheduler(r.ctx, "bern-a")
	r.Expect(err).NotTo(HaveOccurred())
	leader, err := r.f.leader(r.ctx)
	r.Expect(err).NotTo(HaveOccurred())
	roles := map[string][]*process{"gateway": r.f.gateways["bern-a"], "worker": r.f.workers["bern-a"]}
	for _, p := range r.f.schedulers["bern-a"] {
		role := "scheduler_standby"
		if p == active {
			role = "scheduler_active"
		}
		roles[role] = append(roles[role], p)
	}
	for _, p := range r.f.controls {
		role := "control_follower"
		if p == leader {
			role = "control_leader"
		}
		roles[role] = append(roles[role], p)
	}
	return roles
}

// measure returns the mean use of the processes of each role over a while.
func (r *capacityRig) measure(x float64) point {
	time.Sleep(settleTime)
	roles := r.roles()
	before := r.read(roles)
	time.Sleep(measureTime)
	after := r.read(roles)
	p := point{x: x, roles: map[string]rates{}}
	for role, list := range roles {
		n := float64(len(list))
		p.roles[role] = rates{
			cpu:      100 * (after[role].cpu - before[role].cpu).Seconds() / measureTime.Seconds() / n,
			bytes:    float64(after[role].bytes-before[role].bytes) / measureTime.Seconds() / n,
			resident: float64(after[role].resident) / n,
		}
	}
	return p
}

func (r *capacityRig) read(roles map[string][]*process) map[string]usage {
	sums := map[string]usage{}
	for role, list := range roles {
		sum := usage{}
		for _, p := range list {
			u, err := usageOf(p)
			r.Expect(err).NotTo(HaveOccurred())
			sum.cpu, sum.bytes, sum.resident = sum.cpu+u.cpu, sum.bytes+u.bytes, sum.resident+u.resident
		}
		sums[role] = sum
	}
	return sums
}

type smallTask struct {
	taskDocument
	Resources map[string]int64 `json:"resources"`
}

// fill starts n tasks that outlast the measurement.
func (r *capacityRig) fill(n int) {
	var all sync.WaitGroup
	slots := make(chan struct{}, 32)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			r.submitSmall(fmt.Sprintf("fill-%d", i), longTaskMS)
		})
	}
	all.Wait()
	r.Eventually(func() int {
		status, err := r.f.client.Status(r.ctx)
		if err != nil {
			return 0
		}
		running := 0
		for _, s := range status.Schedulers {
			running += int(s.Running)
		}
		return running
	}).WithTimeout(time.Minute).WithPolling(200 * time.Millisecond).Should(BeNumerically(">=", n))
}

func (r *capacityRig) submitSmall(key string, runMS int) {
	document, err := json.Marshal(smallTask{
		taskDocument: planning("cutting-plan", runMS),
		Resources:    map[string]int64{"cpu_millis": 100, "memory_mb": 100},
	})
	r.Expect(err).NotTo(HaveOccurred())
	for r.ctx.Err() == nil {
		if _, err := r.d.trySubmit(r.ctx, key, document); err == nil {
			return
		}
	}
}

// TestCapacity measures the slopes behind docs/CAPACITY.md and prints one JSON
// object for each role, quantity and measure.
func TestCapacity(t *testing.T) {
	t.Run("workers", func(t *testing.T) {
		s := &sweep{name: "workers", unit: "workers of the domain, 8 tasks each"}
		for _, n := range []int{4, 8, 16, 32} {
			t.Run(strconv.Itoa(n), func(t *testing.T) {
				r := startRig(t, n)
				r.fill(8 * n)
				s.points = append(s.points, r.measure(float64(n)))
			})
		}
		s.print(os.Stdout)
	})
	t.Run("tasks", func(t *testing.T) {
		s := &sweep{name: "tasks", unit: "running tasks on each of 8 workers"}
		for _, n := range []int{0, 10, 20, 40} {
			t.Run(strconv.Itoa(n), func(t *testing.T) {
				r := startRig(t, 8)
				r.fill(8 * n)
				s.points = append(s.points, r.measure(float64(n)))
			})
		}
		s.print(os.Stdout)
	})
	t.Run("starts", func(t *testing.T) {
		s := &sweep{name: "starts", unit: "task starts per second on 16 workers"}
		for _, n := range []int{0, 10, 20, 40, 80} {
			t.Run(strconv.Itoa(n), func(t *testing.T) {
				r := startRig(t, 16)
				stop := r.startAt(n)
				s.points = append(s.points, r.measure(float64(n)))
				stop()
			})
		}
		s.print(os.Stdout)
	})
}

// startAt submits short tasks at a rate until the returned function is called.
func (r *capacityRig) startAt(rate int) func() {
	if rate == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		every(ctx, time.Second/time.Duration(rate), 1<<20, func(i int) { r.submitSmall(fmt.Sprintf("start-%d", i), 300) })
	}()
	return func() {
		cancel()
		<-done
	}
}
