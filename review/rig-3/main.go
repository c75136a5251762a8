// Command rig-3 starts the processes of a small deployment on loopback addresses, with stand-ins
// for its platform, replicas, operator and clients, and checks one rule. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE FOLDER")
		os.Exit(failed)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(failed)
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go giveUp()
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, disruption: %v", os.Args[1], trouble)
	verdict, why := run(log, trouble)
	log.printf("verdict %d: %s", verdict, why)
	log.close()
	fmt.Println(why)
	os.Exit(verdict)
}

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// current is the deployment whose processes run.
var current atomic.Pointer[cluster]

// giveUp ends all processes and this program at a signal, or when the time is up.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	if c := current.Load(); c != nil {
		c.close()
	}
	fmt.Fprintln(os.Stderr, "the case could not run to its end")
	os.Exit(failed)
}

// cases are the scripts by name. Each returns its verdict.
var cases = map[string]func(log *record, trouble bool) (int, string){
	"items":   manyItems,
	"readers": readers,
	"grey":    greyReplica,
}

// deployment starts three control machines and two edge machines with the replicas of both
// services, and waits until they serve.
func deployment(log *record) (*cluster, *fleet, error) {
	c, err := newCluster(log)
	if err != nil {
		return nil, nil, err
	}
	zones := []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}
	f := &fleet{log: log, newest: 1}
	if c.list, err = f.listen(c.subnet+".200", f); err != nil {
		return nil, nil, err
	}
	for i, z := range zones {
		c.add(fmt.Sprintf("storage-%s-1", z), z, true, 154)
		if _, err := f.add(fmt.Sprint("i-app", i), appService, c.subnet+".201", z, 6, false); err != nil {
			return nil, nil, err
		}
		if _, err := f.add(fmt.Sprint("i-model", i), engineService, c.subnet+".202", z, 12, true); err != nil {
			return nil, nil, err
		}
	}
	for _, z := range zones[:2] {
		c.add(fmt.Sprintf("edge-%s-1", z), z, false, 134)
	}
	return c, f, nil
}
