package netfault

import (
	"net"
	"slices"
	"sync"
	"testing"

	"merlinhall/loopback"
)

// Proxy passes connections on to an address. Each connection has one fault, in the
// direction and at the byte that the plan gives by the number of the connection.
type Proxy struct {
	// Address is where the proxy listens.
	Address string

	plan   Plan
	target string

	mu      sync.Mutex
	healed  bool
	number  uint64
	conns   map[net.Conn]bool
	strikes []Fault
}

// StartProxy starts a proxy that ends with the test.
func StartProxy(t testing.TB, target string, plan Plan) *Proxy {
	t.Helper()
	l := loopback.Listen(t)
	p := &Proxy{Address: l.Addr().String(), plan: plan, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(in)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		p.CloseConns()
		if t.Failed() {
			t.Logf("faults of seed %d on the way to %s: %v", plan.Seed, target, p.Strikes())
		}
	})
	return p
}

// Heal lets later connections pass without faults. Those that are open keep theirs.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = true
}

// CloseConns closes all open connections.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Strikes returns the faults that have occurred.
func (p *Proxy) Strikes() []Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Fault(nil), p.strikes...)
}

// Struck reports whether a fault has occurred in one of the proxies.
func Struck(proxies []*Proxy) bool {
	return slices.ContainsFunc(proxies, func(p *Proxy) bool { return len(p.Strikes()) > 0 })
}

func (p *Proxy) struck(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strikes = append(p.strikes, f)
}

// next returns the faults of the next connection, one for each direction.
func (p *Proxy) next() (toTarget, toClient Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	toTarget.Kind, toClient.Kind = None, None
	if p.healed {
		return toTarget, toClient
	}
	p.number++
	f := p.plan.Fault(p.number)
	if !p.plan.Answers && (p.plan.Seed+p.number)&1 == 0 {
		return f, toClient
	}
	return toTarget, f
}

func (p *Proxy) pass(in net.Conn) {
	toTarget, toClient := p.next()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	done := make(chan struct{})
	var once sync.Once
	end := func(reset bool) {
		once.Do(func() {
			close(done)
			closeConn(in, reset)
			closeConn(out, reset)
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.conns, in)
			delete(p.conns, out)
		})
	}
	go pump(&writer{conn: out, fault: toTarget, done: done, end: end, struck: p.struck}, in)
	go pump(&writer{conn: in, fault: toClient, done: done, end: end, struck: p.struck}, out)
}

// pump passes bytes from src on until one end of the stream closes.
func pump(w *writer, src net.Conn) {
	defer w.end(false)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !w.write(buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}
