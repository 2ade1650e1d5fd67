package main

import (
	"fmt"
	"math/rand"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaos plays random disruptions on jobs of all kinds and checks what workers and clients see.
// It is no case: it looks for faults.
func chaos(l *lab) (int, error) {
	count := 16
	if os.Getenv("COUNT") != "" {
		fmt.Sscan(os.Getenv("COUNT"), &count)
	}
	r := route{name: "mix", maxAttempts: 4}
	low := route{name: "low", maxAttempts: 3, priority: 2}
	routes := []route{r, low}
	if err := l.configure(1, routes); err != nil {
		return notRun, err
	}
	if err := l.workers(count, 16000); err != nil {
		return notRun, err
	}
	what := os.Getenv("CHAOS")
	type sent struct {
		route  route
		id     string
		kind   string
		cancel bool
	}
	var mu sync.Mutex
	var jobs []sent
	stop := make(chan struct{})
	var running sync.WaitGroup
	kinds := []string{"plain", "gang", "gang-cp", "deps", "timed", "apart", "lasting", "cp"}
	for c := range 6 {
		running.Add(1)
		go func() {
			defer running.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int63n(int64(1200 * time.Millisecond)))):
				}
				k := kinds[rand.Intn(len(kinds))]
				q := r
				if rand.Intn(2) == 0 {
					q = low
				}
				id := newID()
				n := 1 + rand.Intn(5)
				cpu := 500 + rand.Intn(2500)
				ms := 300 + rand.Intn(2500)
				var body map[string]any
				j := job{tasks: n, cpu: cpu}
				switch k {
				case "gang":
					j.gang = true
					body = oneStep(ms, n, cpu, map[string]any{"gang": true})
				case "gang-cp":
					k, j.gang = "gang", true
					body = oneStep(ms, n, cpu, map[string]any{"gang": true, "same-rack": true})
				case "deps":
					body = oneStep(ms, n, cpu, nil)
					p := body["phases"].([]map[string]any)
					body["phases"] = append(p, map[string]any{"count": n, "cpu": cpu, "mem-mb": 100, "estimate-ms": ms, "depends-on": []int{0}})
					j.deps = true
				case "timed":
					body = oneStep(ms, n, cpu, nil)
					j.startAt, j.period, j.times = time.Now().UnixMilli()+int64(rand.Intn(4000)), int64(500+rand.Intn(2000)), 1+rand.Intn(4)
					body["repeat-count"], body["start-at-ms"], body["period-ms"] = j.times, j.startAt, j.period
				case "apart":
					j.apart = 1 + rand.Intn(2)
					body = oneStep(ms, n, cpu, map[string]any{"anti-affinity": j.apart})
				case "lasting":
					if c != 0 {
						continue
					}
					ms = 0
					body = oneStep(0, n, cpu, map[string]any{"long-running": true})
				case "cp":
					j.checkpoint = true
					body = oneStep(ms+1500, n, cpu, map[string]any{"checkpointing": true})
				default:
					body = oneStep(ms, n, cpu, nil)
				}
				if k != "lasting" && rand.Intn(10) == 0 {
					j.fails = true
				}
				l.farm.expect(id, j)
				s := l.submit(q, id, body)
				if s != 200 {
					l.rec.log("client: job %s (%s) ended with %d", id, k, s)
					continue
				}
				x := sent{q, id, k, k == "lasting" || rand.Intn(15) == 0}
				mu.Lock()
				jobs = append(jobs, x)
				mu.Unlock()
				if x.cancel {
					running.Add(1)
					go func() {
						defer running.Done()
						time.Sleep(time.Duration(rand.Int63n(int64(8 * time.Second))))
						for {
							status, _, err := call("DELETE", "http://"+l.entries[rand.Intn(len(l.entries))]+q.prefix()+id, q.host(), nil, 3*time.Second)
							if err == nil && (status == 200 || status == 410) {
								l.farm.cancelled(id)
								return
							}
							time.Sleep(200 * time.Millisecond)
						}
					}()
				}
			}
		}()
	}
	has := func(s string) bool { return what == "" || strings.Contains(what, s) }
	if strings.Contains(what, "late") {
		l.farm.late, l.farm.lost = 0.03, 0.03
	}
	until := time.Now().Add(70 * time.Second)
	version := 1
	for time.Now().Before(until) {
		time.Sleep(time.Duration(1000+rand.Intn(3000)) * time.Millisecond)
		switch rand.Intn(8) {
		case 0:
			if has("kill") {
				p := l.leader()
				if p != nil {
					l.signal(p, syscall.SIGKILL)
					<-p.exited
					time.Sleep(time.Duration(200+rand.Intn(800)) * time.Millisecond)
					l.start(p)
				}
			}
		case 1:
			if has("freeze") {
				p := l.cores[rand.Intn(4)]
				if x := l.leader(); x != nil && rand.Intn(2) == 0 {
					p = x
				}
				l.signal(p, syscall.SIGSTOP)
				time.Sleep(time.Duration(100+rand.Intn(3000)) * time.Millisecond)
				l.signal(p, syscall.SIGCONT)
			}
		case 2:
			if has("term") {
				p := l.leader()
				if p != nil {
					l.signal(p, syscall.SIGTERM)
					<-p.exited
					l.rec.log("%s ended", p.name)
					l.start(p)
				}
			}
		case 3, 4:
			if has("crash") {
				w := l.farm.workers[rand.Intn(count)]
				w.crash()
				time.Sleep(time.Duration(100+rand.Intn(3000)) * time.Millisecond)
				if rand.Intn(2) == 0 {
					w.keepID = true
				} else {
					w.keepID = false
				}
				w.up()
			}
		case 5:
			if has("drain") {
				w := l.farm.workers[rand.Intn(count)]
				w.drain()
				w.up()
			}
		case 6:
			if has("config") {
				version++
				routes[0].timeout = 3000 + version
				if err := l.configure(version, routes); err != nil {
					return notRun, err
				}
			}
		case 7:
			if has("killall") {
				for _, p := range l.cores {
					l.signal(p, syscall.SIGKILL)
				}
				for _, p := range l.cores {
					<-p.exited
				}
				time.Sleep(500 * time.Millisecond)
				for _, p := range l.cores {
					l.start(p)
				}
			}
		}
	}
	close(stop)
	l.farm.mu.Lock()
	l.farm.late, l.farm.lost = 0, 0
	l.farm.mu.Unlock()
	running.Wait()
	time.Sleep(20 * time.Second)
	result := held
	counts := map[string]int{}
	for _, j := range jobs {
		s := l.state(j.route, j.id)
		counts[j.kind+" "+s]++
		fails := l.farm.jobs[j.id].fails
		switch {
		case s == "done" || s == "cancelled" && j.cancel || s == "failed" && fails || s == "running" && j.kind == "lasting" && !j.cancel:
		default:
			l.rec.log("BROKEN: job %s (%s) is %q, ends %v", j.id, j.kind, s, l.farm.endsOf(j.id))
			result = broken
		}
	}
	var list []string
	for k, n := range counts {
		list = append(list, fmt.Sprintf("%s=%d", k, n))
	}
	sort.Strings(list)
	l.rec.log("jobs %v", list)
	l.farm.mu.Lock()
	defer l.farm.mu.Unlock()
	for _, b := range l.farm.breaches {
		result = broken
		l.rec.log("BROKEN: %s", b)
	}
	return result, nil
}
