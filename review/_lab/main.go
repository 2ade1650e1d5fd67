package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	wasBroken = 1
	couldNot  = 2
)

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for what was sent, answered and run")
	dir := flag.String("dir", "", "temporary folder for settings, logs and data")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return couldNot
	}
	w, err := newWorld(*dir, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(couldNot)
	}()
	w.note("case %s, disruption %v", *name, *trouble)
	broken, err := f(w, *trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	}
	w.note("the rule was broken %d times", broken)
	fmt.Printf("case %s, disruption %v: broken %d times\n", *name, *trouble, broken)
	if broken > 0 {
		return wasBroken
	}
	return held
}
