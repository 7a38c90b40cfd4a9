// Command stand-2 plays the platform, the engines and the callers for the scripts of the
// second review. It starts nodes with the command of the deploy file, as separate processes
// on loopback addresses.
//
//	stand-2 CASE DIR    runs a case and writes DIR/record.txt
//
// A case ends with status 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment a case leaves out its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// scenario runs one case in a lab and reports whether its rule was broken.
type scenario func(l *lab) (broken bool, err error)

var scenarios = map[string]scenario{
	"counter":  counter,
	"deadly":   deadly,
	"prefix":   prefix,
	"promise":  promise,
	"target":   target,
	"watchers": watchers,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE DIR")
		return statusNotRun
	}
	l, err := newLab(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer l.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		l.note("not run to its end: stopped by a signal")
		l.close()
		os.Exit(statusNotRun)
	}()
	broken, err := scenarios[args[0]](l)
	switch {
	case err != nil:
		l.note("not run: %v", err)
		return statusNotRun
	case broken:
		l.note("result: the rule was broken")
		return statusBroken
	}
	l.note("result: the rule held")
	return statusHeld
}
