package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. They are the same on all machines, which have addresses of their own.
const (
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portLinks   = 7720
)

// machine is one machine of a small deployment, with the process that runs there.
type machine struct {
	c        *cluster
	name     string
	ip       string
	zone     string
	store    bool
	memoryMb int
	disk     string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	down     bool // the platform does not start it again
	starts   int
	ownEnds  int // processes that ended without an order of this program
	overEnds int // of these, processes that were killed for their memory
	peakMb   int
	peakEver int
}

// cluster is the machines of a deployment and the platform that runs them.
type cluster struct {
	dir      string
	bin      string
	subnet   string
	list     string // address of the platform's list
	seeds    []string
	machines []*machine
	log      *record
	// memoryRule has the platform kill processes above the memory of their machine.
	memoryRule bool
	fenced     bool
	stop       chan struct{}
	once       sync.Once
	done       sync.WaitGroup
}

// newCluster returns a deployment without processes, in a temporary folder.
func newCluster(log *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	bin, err := filepath.Abs("target/merlinhalld")
	if err == nil {
		_, err = os.Stat(bin)
	}
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, bin: bin, subnet: subnet, log: log, memoryRule: true, fenced: true, stop: make(chan struct{})}
	current.Store(c)
	return c, nil
}

// freeSubnet returns the first three numbers of loopback addresses at which nobody listens.
func freeSubnet() (string, error) {
	for i := range 200 {
		n := os.Getpid()*7 + i*131
		subnet := fmt.Sprintf("127.%d.%d", 20+n%200, (n/200)%250+1)
		free := true
		for _, port := range []int{portFront, portReady, portControl, portLinks, 9090} {
			l, err := net.Listen("tcp", net.JoinHostPort(subnet+".1", strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// add adds a machine.
func (c *cluster) add(name, zone string, store bool, memoryMb int) *machine {
	n := len(c.machines) + 1
	m := &machine{c: c, name: name, zone: zone, store: store, memoryMb: memoryMb, ip: fmt.Sprintf("%s.%d", c.subnet, n)}
	m.disk = filepath.Join(c.dir, name, "data")
	c.machines = append(c.machines, m)
	if store && len(c.seeds) < 3 {
		c.seeds = append(c.seeds, strconv.Quote(m.at(portControl)))
	}
	return m
}

func (m *machine) at(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings writes the settings file as the platform does.
func (m *machine) settings(first bool) (string, error) {
	serves, role, class := `"edge"`, "entry", "edge"
	listen := fmt.Sprintf("front = %q\nready = %q\n", m.at(portFront), m.at(portReady))
	data, disk := "", 0
	if m.store {
		serves, role, class = `"storage","control"`, "control", "storage"
		listen = fmt.Sprintf("control = %q\n", m.at(portControl))
		data, disk = fmt.Sprintf("dataDir = %q\n", m.disk), 370
		if err := os.MkdirAll(m.disk, 0o700); err != nil {
			return "", err
		}
	}
	text := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = %q
region = "kyushu"
portRange = [%d,%d]
seedAddrs = [%s]
bootstrap = %v
inFaultBudget = %v
%sdiscovery = "cloud"
entry = "vip"
heartbeatMs = 1200
policies = ["base","drain","config","cost","recover","samples","stream","engine","batch"]
configMode = "highest"
[zones]
fukuoka-hall = "kyushu"
kumamoto-hall = "kyushu"
kagoshima-hall = "kyushu"
[listenAddrs]
%s[limits]
cpuShare = 0.8
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = %d
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
enforceFencing = %v
leaseTtlMs = 3000
thawSlackMs = 300
[cloudApi]
address = %q
ratePerS = 44.0
tasks = []
maxLagMs = 800
`, m.name, role, class, serves, m.ip, m.zone, portLinks, portLinks+15, strings.Join(m.c.seeds, ","), first && m.store, m.store, data, listen, m.memoryMb, disk, m.c.fenced, m.c.list)
	path := filepath.Join(m.c.dir, m.name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path, err := m.settings(m.starts == 0)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.c.bin, "hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MERLINHALL_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended, m.down, m.peakMb = cmd, ended, false, 0
	m.starts++
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// kill ends the process by order of this program. It stays down until start.
func (m *machine) kill() {
	m.mu.Lock()
	m.down = true
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
	}
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// watch is the platform's part for one machine: it kills a process that uses more than the
// machine's memory, and starts one that has ended again after a short delay.
func (m *machine) watch() {
	defer m.c.done.Done()
	for {
		select {
		case <-m.c.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		cmd, ended, down := m.cmd, m.ended, m.down
		m.mu.Unlock()
		if cmd == nil || down {
			continue
		}
		select {
		case <-ended:
			m.mu.Lock()
			if m.down {
				m.mu.Unlock()
				continue
			}
			m.ownEnds++
			peak, starts := m.peakMb, m.starts
			m.mu.Unlock()
			m.c.log.printf("platform: process %d of %s has ended by itself (%v), peak %d MB of %d; it is started again", starts, m.name, cmd.ProcessState, peak, m.memoryMb)
			select {
			case <-m.c.stop:
				return
			case <-time.After(restartDelay):
			}
			if err := m.start(); err != nil {
				m.c.log.printf("platform: %s cannot be started: %v", m.name, err)
			}
			continue
		default:
		}
		mb := residentMb(cmd.Process.Pid)
		m.mu.Lock()
		m.peakMb, m.peakEver = max(m.peakMb, mb), max(m.peakEver, mb)
		over := m.c.memoryRule && mb > m.memoryMb
		if over {
			m.overEnds++
		}
		m.mu.Unlock()
		if over {
			m.c.log.printf("platform: %s uses %d MB, the machine has %d; the process is killed", m.name, mb, m.memoryMb)
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-ended
		}
	}
}

// residentMb returns the resident memory of a process in MB, or 0 if it has ended.
func residentMb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// startAll starts all machines and the platform's watch over them.
func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return err
		}
		c.done.Add(1)
		go m.watch()
	}
	return nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (c *cluster) close() { c.once.Do(c.closeAll) }

func (c *cluster) closeAll() {
	close(c.stop)
	for _, m := range c.machines {
		m.kill()
	}
	c.done.Wait()
	for _, m := range c.machines {
		m.kill() // one that was started meanwhile
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// stores and edges return the machines of a class.
func (c *cluster) stores() []*machine { return c.class(true) }
func (c *cluster) edges() []*machine  { return c.class(false) }

func (c *cluster) class(store bool) []*machine {
	var out []*machine
	for _, m := range c.machines {
		if m.store == store {
			out = append(out, m)
		}
	}
	return out
}
