package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	portFront   = 8149
	portReady   = 8141
	portControl = 8144
	portLinks   = 7380
	portList    = 8142
)

// The sizes of the machines are those of the Chikushi sheet.
const (
	storeMemoryMb = 154
	edgeMemoryMb  = 134
	storeFds      = 8200
	edgeFds       = 4100
	restartDelay  = 300 * time.Millisecond
	loggedKills   = 4 // of each machine
)

// options are what the cases set.
type options struct {
	stores, edges, engines int
	slots                  int  // of an engine, 12 unless it is set
	storeMb, edgeMb        int  // memory of the machines, those of the Chikushi sheet unless set
	fences                 bool // engines check fence numbers
	enforceMemory          bool // a process over its memory is killed, as the platform does
	tenants                []any
	faulty                 bool // routes to the faulty servers
}

// cluster is a small deployment on loopback addresses: the project's processes, and a stand-in of
// the platform with engines and a plain service.
type cluster struct {
	options
	rec      *record
	dir      string
	prefix   string // of all addresses
	run      map[string][]string
	nodes    []*node
	platform *platform
	wg       sync.WaitGroup
}

// node is one machine with one process of the project.
type node struct {
	c        *cluster
	name, ip string
	role     string
	memoryMb int
	file     string

	mu       sync.Mutex
	cmd      *exec.Cmd
	started  time.Time
	stopping bool
	away     bool // the machine doesn't come back
	boots    int
	kills    int // for memory
	ends     int // by itself
	peak     int // MB of anonymous resident memory
}

func newCluster(rec *record, o options) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	o.slots, o.storeMb, o.edgeMb = cmp.Or(o.slots, 12), cmp.Or(o.storeMb, storeMemoryMb), cmp.Or(o.edgeMb, edgeMemoryMb)
	c := &cluster{options: o, rec: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), run: make(map[string][]string)}
	if err := c.readDeployFile("deploy/system.toml"); err != nil {
		return nil, err
	}
	c.platform, err = newPlatform(c)
	return c, err
}

// readDeployFile reads the commands of the roles.
func (c *cluster) readDeployFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	role := ""
	for s := bufio.NewScanner(f); s.Scan(); {
		line := strings.TrimSpace(s.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			c.run[role] = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if c.run["entry"] == nil || c.run["control"] == nil {
		return fmt.Errorf("%s names no commands", path)
	}
	return nil
}

func (c *cluster) ip(host int) string { return c.prefix + strconv.Itoa(host) }

func (c *cluster) address(host, port int) string { return fmt.Sprintf("%s:%d", c.ip(host), port) }

// start starts all processes.
func (c *cluster) start() error {
	for i := range c.stores {
		c.nodes = append(c.nodes, &node{c: c, name: fmt.Sprintf("storage-z%d-1", i+1), ip: c.ip(10 + i), role: "control", memoryMb: c.storeMb})
	}
	for i := range c.edges {
		c.nodes = append(c.nodes, &node{c: c, name: fmt.Sprintf("edge-z%d-1", i+1), ip: c.ip(30 + i), role: "entry", memoryMb: c.edgeMb})
	}
	for _, n := range c.nodes {
		if err := n.writeSettings(true); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) withRole(role string) []*node {
	var out []*node
	for _, n := range c.nodes {
		if n.role == role {
			out = append(out, n)
		}
	}
	return out
}

// stop ends all processes that this program started.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.mu.Lock()
		n.stopping = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	c.wg.Wait()
	c.platform.close()
	if os.Getenv("KEEP") != "" {
		c.rec.line("the logs are kept")
		_ = os.Rename(c.dir, os.Getenv("KEEP"))
		return
	}
	_ = os.RemoveAll(c.dir)
}

func (n *node) dataDir() string { return filepath.Join(n.c.dir, n.name) }

func (n *node) writeSettings(first bool) error {
	c := n.c
	var seeds []string
	for i := range min(3, c.stores) {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", c.ip(10+i), portControl)))
	}
	serves, listen, fds, share, class, data := `"edge"`, fmt.Sprintf("front = %q\nready = %q\n", n.at(portFront), n.at(portReady)), edgeFds, 0.72, "edge", ""
	if n.role == "control" {
		serves, listen, fds, share, class, data = `"storage","control"`, fmt.Sprintf("control = %q\n", n.at(portControl)), storeFds, 0.8, "storage", n.dataDir()
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	}
	zone := "z" + strings.Split(n.name, "-")[1][1:]
	text := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = %q
region = "r"
portRange = [%d,%d]
seedAddrs = [%s]
bootstrap = %t
inFaultBudget = %t
dataDir = %q
discovery = "cloud"
entry = "vip"
heartbeatMs = 1200
policies = ["base","drain","config","cost","recover","samples","stream","engine","batch"]
configMode = "highest"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
z4 = "r"
[listenAddrs]
%s[limits]
cpuShare = %g
cpuCores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
diskMb = 370
[faultTolerance]
machineFaults = 1
zones = 0
regionFaults = 0
[parameters]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.4
drainMs = 3000
gracePeriodS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
finishS = 10
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOver = 0.1
enforceFencing = %t
leaseTtlMs = 3000
thawSlackMs = 300
[cloudApi]
address = %q
ratePerS = 44.0
tasks = []
maxLagMs = 800
`, n.name, n.role, class, serves, n.ip, zone, portLinks, portLinks+15, strings.Join(seeds, ","), first, n.role == "control", data,
		listen, share, n.memoryMb, fds, c.fences, c.platform.listAddress)
	n.file = filepath.Join(c.dir, n.name+".toml")
	return os.WriteFile(n.file, []byte(text), 0o600)
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// start starts the process, and starts it again when it has ended, as the platform does.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil
	}
	args := n.c.run[n.role]
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "MERLINHALL_SETTINGS=" + n.file}
	out, err := os.OpenFile(filepath.Join(n.c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	n.cmd, n.started = cmd, time.Now()
	n.boots++
	n.c.wg.Add(1)
	go n.watch(cmd)
	return nil
}

// watch waits for the end of the process, and ends it itself if it uses too much memory.
func (n *node) watch(cmd *exec.Cmd) {
	defer n.c.wg.Done()
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	killed := false
	for {
		select {
		case <-ticker.C:
			mb := anonymousMb(cmd.Process.Pid)
			n.mu.Lock()
			n.peak = max(n.peak, mb)
			if n.c.enforceMemory && mb > n.memoryMb && !killed && !n.stopping {
				killed = true
				n.kills++
				if n.kills <= loggedKills {
					n.c.rec.line("platform: %s uses %d MB of anonymous memory, more than its %d MB: SIGKILL (%d)", n.name, mb, n.memoryMb, n.kills)
				}
				_ = cmd.Process.Kill()
			}
			n.mu.Unlock()
		case err := <-done:
			n.mu.Lock()
			again := !n.stopping && n.cmd == cmd
			if again && !killed {
				n.ends++
				n.c.rec.line("platform: the process of %s has ended: %v", n.name, err)
			}
			n.mu.Unlock()
			if again {
				if !n.awaitRestart() {
					return
				}
				if err := n.writeSettings(false); err == nil {
					_ = n.start()
				}
			}
			return
		}
	}
}

// awaitRestart waits until the process may be started again. It returns false if its machine stays
// away.
func (n *node) awaitRestart() bool {
	time.Sleep(restartDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.away
}

// leave has the machine of the process stay away once that has ended.
func (n *node) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.away = true
}

// anonymousMb returns the anonymous resident memory of a process, which is less than all that it
// uses: neither its program nor bytes in its sockets count.
func anonymousMb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

func (n *node) state() (boots, kills, ends, peak int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boots, n.kills, n.ends, n.peak
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}
