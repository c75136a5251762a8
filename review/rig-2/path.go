package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// path is the way from the machines to one replica: a TCP proxy that passes bytes on. While the
// way from one machine is cut, its bytes are held back, as they are where TCP sends them again
// until they arrive. Bytes whose sender resets its channel meanwhile are lost.
type path struct {
	rec      *record
	inner    string
	listener net.Listener
	mu       sync.Mutex
	// begins, if set, is shown what a machine sends first on a channel, or next on a kept one, and
	// returns when those bytes arrive: zero for at once.
	begins func(sent []byte) (arrive time.Time)
}

func newPath(rec *record, outer, inner string) (*path, error) {
	l, err := net.Listen("tcp", outer)
	if err != nil {
		return nil, err
	}
	p := &path{rec: rec, inner: inner, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *path) setBegins(f func(sent []byte) time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begins = f
}

func (p *path) arrival(sent []byte) time.Time {
	p.mu.Lock()
	f := p.begins
	p.mu.Unlock()
	if f == nil {
		return time.Time{}
	}
	return f(sent)
}

func (p *path) pass(from *net.TCPConn) {
	defer func() { _ = from.Close() }()
	raw, err := net.DialTimeout("tcp", p.inner, time.Second)
	if err != nil {
		return
	}
	to := raw.(*net.TCPConn)
	defer func() { _ = to.Close() }()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = io.Copy(from, to)
		_ = from.CloseWrite()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			sent := bytes.Clone(buffer[:n])
			if at := p.arrival(sent); !at.IsZero() {
				p.hold(from, to, sent, at, answered)
				return
			}
			if _, err := to.Write(sent); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			<-answered
			return
		}
	}
}

// hold keeps what was sent until it arrives, and notes what its sender does meanwhile.
func (p *path) hold(from, to *net.TCPConn, sent []byte, arrive time.Time, answered chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		_ = from.SetReadDeadline(arrive)
		n, err := from.Read(buffer)
		sent = append(sent, buffer[:n]...)
		switch {
		case err == nil:
			continue
		case errors.Is(err, syscall.ECONNRESET):
			p.rec.line("path: the sender has reset its channel, what it sent is lost")
			return
		case errors.Is(err, io.EOF):
			p.rec.line("path: the sender has closed its channel without a reset, so what it sent before still arrives")
			time.Sleep(time.Until(arrive))
		}
		break
	}
	_, _ = to.Write(sent)
	_ = to.CloseWrite()
	<-answered
}
