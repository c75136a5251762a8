// Command review plays the platform, the targets, the clients and the operator for the
// cases of the review, and starts the project's own programs as processes on loopback
// addresses. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could
// not run.
//
//	standins CASE FOLDER
//
// CASE names the case; the record of the run goes to record.txt in FOLDER. With TROUBLE=0
// the case runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// maxRunTime ends a run that takes too long, before the 120 s that a script may take.
	maxRunTime = 110 * time.Second
)

// errNotRun is wrapped by errors that say that a case could not run.
var errNotRun = errors.New("the case could not run")

// cases returns the cases by name. Each reports the breaks of its rule.
var cases = map[string]func(c *cluster, trouble bool) (breaks []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.printf("case %s, trouble %v", name, trouble)
	c, err := newCluster(rec)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer c.end()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		rec.printf("not run: the case was ended early")
		c.end()
		os.Exit(exitNotRun)
	}()
	breaks, err := cases[name](c, trouble)
	for _, b := range breaks {
		rec.printf("BROKEN: %s", b)
	}
	switch {
	case len(breaks) > 0:
		return exitBroken
	case err != nil:
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	rec.printf("the rule held")
	return exitHeld
}
