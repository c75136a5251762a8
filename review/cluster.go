package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines. Each machine has a loopback address of its own.
const (
	portLink     = 7380
	portOperator = 7144
	portReady    = 7141
	portFront    = 7149
	portMetrics  = 9090
)

// program is what the build of the deploy file makes; the roles run it with the argument
// hosted.
const program = "target/merlinhalld"

// machine is one machine of the system with its only process.
type machine struct {
	name, ip, zone string
	control        bool
	dir            string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
}

// cluster is the system under test with the stand-in of the platform.
type cluster struct {
	rec      *record
	dir      string
	seeds    []string
	machines []*machine
	platform *platform
	client   *http.Client
	once     sync.Once
	catchUp  string // catchUpS
	fencing  bool   // enforceFencing
}

func newCluster(rec *record) (*cluster, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %s is missing; run the build line of the deploy file", errNotRun, program)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &cluster{rec: rec, dir: dir, client: client, catchUp: "5.1", fencing: true}, nil
}

// end ends all processes that the cluster has started and removes its folder.
func (c *cluster) end() {
	c.once.Do(func() {
		for _, m := range c.machines {
			m.signal(syscall.SIGCONT)
			m.kill()
		}
		if c.platform != nil {
			c.platform.stop()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(c.dir)
		} else {
			c.rec.printf("logs are kept in %s", c.dir)
		}
	})
}

// freeHost returns a loopback address on which all the ports are free.
func freeHost() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portLink, portOperator, portReady, portFront, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback address", errNotRun)
}

// add adds a machine, which is not started yet. The first three of control are the seeds.
func (c *cluster) add(name, zone string, control bool) (*machine, error) {
	ip, err := freeHost()
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, ip: ip, zone: zone, control: control, dir: filepath.Join(c.dir, name)}
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
		return nil, err
	}
	c.machines = append(c.machines, m)
	if control && len(c.seeds) < 3 {
		c.seeds = append(c.seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, portOperator)))
	}
	return m, nil
}

// settings returns the settings file of a machine, with the values of the site file
// abay-approve, but for catchUpS and enforceFencing where a case is of another site.
func (c *cluster) settings(m *machine, bootstrap bool) string {
	class, role, serves := "edge", "entry", `"edge"`
	listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", m.ip, portFront, m.ip, portReady)
	data, budget, memory := "", "false", 284
	if m.control {
		class, role, serves = "storage", "control", `"storage","control"`
		listen = fmt.Sprintf("control = \"%s:%d\"", m.ip, portOperator)
		data, budget, memory = fmt.Sprintf("dataDir = %q\n", m.dataDir()), "true", 334
	}
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = %q
region = "addis"
portRange = [7380,7395]
seedAddrs = [%s]
bootstrap = %v
inFaultBudget = %s
%sdiscovery = "cloud"
entry = "vip"
configMode = "highest"
[listenAddrs]
%s
[limits]
cpuShare = 0.72
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 600
[faultTolerance]
machineFaults = 1
zones = 0
regionFaults = 0
[parameters]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = %s
drainMs = 3000
gracePeriodS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
passMs = 120
finishS = 10
statusS = 120
cancelMs = 3000
settleMs = 1000
enforceFencing = %v
leaseTtlMs = 3000
thawSlackMs = 300
[cloudApi]
address = %q
ratePerS = 44.0
tasks = []
maxLagMs = 800
`, m.name, role, class, serves, m.ip, m.zone, strings.Join(c.seeds, ","), bootstrap, budget, data, listen, memory, c.catchUp, c.fencing, c.platform.list)
}

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// start starts the process of a machine.
func (c *cluster) start(m *machine, bootstrap bool) error {
	path := filepath.Join(m.dir, "node.toml")
	if err := os.WriteFile(path, []byte(c.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MERLINHALL_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	return nil
}

func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := c.start(m, true); err != nil {
			return err
		}
	}
	c.rec.printf("%d machines are started", len(c.machines))
	return nil
}

// signal sends a signal to the process of a machine, if it runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process of a machine and waits for its exit.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

func (m *machine) wait() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
	m.mu.Lock()
	m.cmd = nil
	m.mu.Unlock()
}

// wipe empties the disk of a machine whose process does not run.
func (m *machine) wipe() error {
	if err := os.RemoveAll(m.dataDir()); err != nil {
		return err
	}
	return os.MkdirAll(m.dataDir(), 0o700)
}

func (m *machine) operator() string { return fmt.Sprintf("%s:%d", m.ip, portOperator) }
func (m *machine) front() string    { return fmt.Sprintf("%s:%d", m.ip, portFront) }

// answer is the response to a call; status is 0 without one.
type answer struct {
	status int
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprint(a.status)
}

// call sends a request on a new channel.
func (c *cluster) call(method, address, path, host, id string, body []byte, limit time.Duration) answer {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	client := *c.client
	client.Timeout = limit
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: b}
}

// controls returns the machines that serve control.
func (c *cluster) controls() []*machine { return c.ofRole(true) }

// edges returns the machines that serve clients.
func (c *cluster) edges() []*machine { return c.ofRole(false) }

func (c *cluster) ofRole(control bool) []*machine {
	var out []*machine
	for _, m := range c.machines {
		if m.control == control {
			out = append(out, m)
		}
	}
	return out
}

// leader returns the control machine whose metrics say that it leads, or nil.
func (c *cluster) leader() *machine {
	for _, m := range c.controls() {
		a := c.call(http.MethodGet, fmt.Sprintf("%s:%d", m.ip, portMetrics), "/metrics", "", "", nil, 500*time.Millisecond)
		// The line of help has the name and a 1, too.
		if strings.Contains(string(a.body), "\nmerlinhall_control_leading 1\n") {
			return m
		}
	}
	return nil
}

// putManifest sends a manifest to the control machines in turn until it is acknowledged.
func (c *cluster) putManifest(version int, body []byte, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for n := version; time.Now().Before(until); n++ {
		m := c.controls()[n%len(c.controls())]
		a := c.call(http.MethodPut, m.operator(), "/v1/config", "", "", body, time.Second)
		if a.status == http.StatusOK {
			c.rec.printf("manifest %d is acknowledged by %s", version, m.name)
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
