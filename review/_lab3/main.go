package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a case, as the exit codes of its script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// lab is what a case works with.
type lab struct {
	*fleet
	farm    *farm
	rec     *recorder
	trouble bool
}

var cases = map[string]func(*lab) (int, error){
	"split-gang": splitGang,
	"pending":    pending,
	"chaos":      chaos,
	"core-loss":  coreLoss,
}

func main() { os.Exit(runCase()) }

// runCase runs the case that the first argument names and writes the record to the folder that the
// second one names.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		return notRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	l := &lab{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("case %s, trouble %v", os.Args[1], l.trouble)
	result, err := l.play(cases[os.Args[1]])
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.log("result %d", result)
	return result
}

// play starts the fleet, runs the case and ends all processes.
func (l *lab) play(c func(*lab) (int, error)) (int, error) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var err error
	if l.fleet, err = newFleet(l.rec, 4, 4); err != nil {
		return notRun, err
	}
	defer l.fleet.close()
	l.farm = newFarm(l.rec, l.control)
	defer func() {
		for _, w := range l.farm.workers {
			w.close()
		}
	}()
	if err := l.startAll(); err != nil {
		return notRun, err
	}
	type outcome struct {
		result int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := c(l)
		done <- outcome{result, err}
	}()
	select {
	case o := <-done:
		return o.result, o.err
	case <-stop:
		return notRun, fmt.Errorf("interrupted")
	case <-time.After(118 * time.Second):
		return notRun, fmt.Errorf("the case took too long")
	}
}

// workers starts stand-in workers of kind "a" and waits until the system uses them.
func (l *lab) workers(count, cpu int) error {
	var hosts []string
	for i := range count {
		hosts = append(hosts, l.host(100+i))
	}
	ports, err := freePorts(hosts, 1)
	if err != nil {
		return err
	}
	for i := range count {
		w := l.farm.add(fmt.Sprintf("%s:%d", hosts[i], ports[0]), zones[i%4], cpu, 128000)
		if err := w.up(); err != nil {
			return err
		}
	}
	time.Sleep(2 * heartbeat)
	return nil
}

// oneStep returns a job of one step.
func oneStep(ms, count, cpu int, more map[string]any) map[string]any {
	phase := map[string]any{"count": count, "cpu": cpu, "mem-mb": 512}
	if ms > 0 {
		phase["estimate-ms"] = ms
	}
	for name, value := range more {
		phase[name] = value
	}
	return map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "phases": []map[string]any{phase}}
}
