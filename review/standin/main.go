// Command standin plays one case of the review: it starts the project's own programs as
// separate processes on loopback addresses, stands in for the workers, the requesters and
// the operator, and checks the rule of the case.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	playLimit  = 115 * time.Second
)

// play is a case that runs.
type play struct {
	rec     *record
	f       *fleet
	p       *platform
	q       *requester
	trouble bool
	// shape changes a worker before its first life; nil for none.
	shape func(i int, w *worker)
	// rooms and shares are what noteRoom has recorded.
	rooms  []int64
	shares []float64
}

type scenario func(*play) error

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder of the project's programs")
	out := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	os.Exit(playCase(*name, *bin, *out, *keep))
}

func playCase(name, bin, out string, keep bool) int {
	start, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	ended := make(chan error, 1)
	s := &session{rec: rec, bin: bin, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	go func() { ended <- s.run(start) }()
	select {
	case err = <-ended:
	case <-time.After(playLimit):
		err = fmt.Errorf("the case has not ended after %v", playLimit)
	}
	s.stop()
	return verdict(rec, err)
}

func verdict(rec *record, err error) int {
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case rec.breaches() > 0:
		rec.add("verdict: broken")
		fmt.Println("broken:", rec.broken[0], "- breaches:", rec.breaches())
		return exitBroken
	}
	rec.add("verdict: held")
	fmt.Println("held")
	return exitHeld
}

// session holds what has to be ended after a case.
type session struct {
	rec     *record
	bin     string
	dir     string
	trouble bool
	f       *fleet
	p       *platform
}

func (s *session) run(start scenario) error {
	f, err := startFleet(s.rec, s.bin, s.dir)
	if err != nil {
		return err
	}
	s.f, s.p = f, newPlatform(s.rec)
	return start(&play{rec: s.rec, f: f, p: s.p, q: newRequester(f), trouble: s.trouble})
}

func (s *session) stop() {
	if s.p != nil {
		s.p.close()
	}
	if s.f != nil {
		s.f.stop()
	}
}

// addWorkers starts workers, some on each rack.
func (c *play) addWorkers(count, perRack int) error {
	var hosts []string
	for i := range count {
		hosts = append(hosts, hostAddress(workerGroup, i))
	}
	port, err := freePort(hosts, map[int]bool{})
	if err != nil {
		return err
	}
	for i := range count {
		w := c.p.addWorker(i, serviceID, fmt.Sprintf("r1-%d", i/perRack), port, c.f.control)
		if c.shape != nil {
			c.shape(i, w)
		}
		if err := w.begin(); err != nil {
			return err
		}
	}
	return nil
}

// begin starts the workers, sends the first configuration and waits until all is ready.
func (c *play) begin(workers, perRack int, routes []route) error {
	if err := c.addWorkers(workers, perRack); err != nil {
		return err
	}
	if err := c.q.configure(1, routes); err != nil {
		return err
	}
	if err := c.q.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatMS * time.Millisecond)
	return nil
}

// crashFor crashes workers, which are back after a time.
func (c *play) crashFor(down time.Duration, workers ...*worker) {
	for _, w := range workers {
		if w == nil {
			continue
		}
		w.crash()
		time.AfterFunc(down, func() {
			if err := w.begin(); err != nil {
				c.rec.add("%v", err)
			}
		})
	}
}

// workerOf returns the worker on which a task runs, or nil.
func (c *play) workerOf(n taskName) *worker {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if list := c.p.runs[n]; len(list) > 0 {
		return list[0].worker
	}
	return nil
}
