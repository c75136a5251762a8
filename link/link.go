// Package link connects two processes by a WebSocket that carries wire frames.
// Both ends send heartbeats; a connection that is silent for SilenceLimit is
// closed, also when the network has forgotten it without an error.
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// HeartbeatPeriod is the time without a frame after which an end sends a
	// heartbeat. Other frames count as heartbeats: at 500 ms, and with a heartbeat
	// beside each load report, 48 idle links cost an entry more than half of the 1%
	// of a core that it may spend on control.
	HeartbeatPeriod = 1 * time.Second
	// heartbeatAfter is the age of the last frame at which a heartbeat is sent. It
	// is above HeartbeatPeriod, so that a frame that comes each HeartbeatPeriod, like
	// a load report, makes heartbeats unnecessary.
	heartbeatAfter = HeartbeatPeriod + HeartbeatPeriod/4
	// eventCheck is the time between two checks for silence while an event handler
	// runs.
	eventCheck = 500 * time.Millisecond
	// SilenceLimit is the time without any frame after which a connection is given
	// up. Frames come at least every 1.25 s, so that a delay of a second changes
	// nothing.
	SilenceLimit = 2500 * time.Millisecond
	// writeLimit bounds one write; a peer that does not read for so long is
	// treated as silent.
	writeLimit = 2 * time.Second
	// sendRing is the number of frames that wait for the socket.
	sendRing = 1024
	// sendBytes bounds their size, so that a peer that does not read costs a
	// bounded part of a small host's memory. It is the largest frame.
	sendBytes = wire.MaxFrameBytes
	// dialLimit bounds the opening of a connection. It is well above a round trip and
	// below the second after which the kernel repeats a lost opening packet: a host
	// that was without power is reached soon after it is back.
	dialLimit = 400 * time.Millisecond
	// helloLimit bounds the exchange of Hello messages.
	helloLimit = 2 * time.Second
	// Path is the HTTP path of links.
	Path = "/link"
)

var (
	// ErrSendFull is returned by Send when the ring of waiting frames is full.
	ErrSendFull = eris.New("link: send ring is full")
	// ErrClosed is returned by Send on a closed connection.
	ErrClosed = eris.New("link: connection is closed")
	// ErrSilent is the reason of a connection closed for silence.
	ErrSilent = eris.New("link: peer is silent")
)

// Events receives what happens on the connections of one end. Methods are called
// from the reading goroutine of the connection: a method that blocks delays that
// connection alone, and must not block for SilenceLimit.
type Events interface {
	Up(c *Conn)
	Message(c *Conn, m wire.Message)
	// Down is called exactly once for each Up.
	Down(c *Conn, reason error)
}

// Conn is one established connection.
type Conn struct {
	ws     *websocket.Conn
	local  wire.Hello
	peer   wire.Hello
	remote string
	send   chan []byte

	lastRead atomic.Int64 // Unix nanoseconds
	lastSent atomic.Int64 // Unix nanoseconds
	inEvent  atomic.Bool
	once     sync.Once
	closed   chan struct{}
	reason   error
	sent     atomic.Uint64
	received atomic.Uint64
	waiting  atomic.Int64 // bytes of frames in send
}

// Peer returns the Hello of the other end.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Remote returns the address of the other end.
func (c *Conn) Remote() string { return c.remote }

// Bytes returns the bytes of frames sent and received so far.
func (c *Conn) Bytes() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

// Closed is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues m. It never blocks; the error is ErrSendFull, ErrClosed or an
// encoding error, and then m was not sent.
func (c *Conn) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	return c.SendFrame(frame)
}

// SendFrame queues an encoded frame, which must not be changed afterwards.
func (c *Conn) SendFrame(frame []byte) error {
	select {
	case <-c.closed:
		return ErrClosed
	default:
	}
	// A frame above the limit goes when nothing else waits.
	if waiting := c.waiting.Add(int64(len(frame))); waiting > sendBytes && waiting > int64(len(frame)) {
		c.waiting.Add(-int64(len(frame)))
		return ErrSendFull
	}
	select {
	case c.send <- frame:
		return nil
	default:
		c.waiting.Add(-int64(len(frame)))
		return ErrSendFull
	}
}

// Close ends the connection for the given reason.
func (c *Conn) Close(reason error) {
	c.once.Do(func() {
		c.reason = reason
		close(c.closed)
		_ = c.ws.CloseNow()
	})
}

func newConn(ws *websocket.Conn, local, peer wire.Hello, remote string) *Conn {
	c := &Conn{
		ws:     ws,
		local:  local,
		peer:   peer,
		remote: remote,
		send:   make(chan []byte, sendRing),
		closed: make(chan struct{}),
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// run serves the connection until it ends and returns the reason.
func (c *Conn) run(events Events) error {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		c.writeLoop()
	}()
	go func() {
		defer wg.Done()
		c.heartbeatLoop()
	}()
	events.Up(c)
	c.readLoop(events)
	wg.Wait()
	events.Down(c, c.reason)
	return c.reason
}

func (c *Conn) readLoop(events Events) {
	for {
		_, frame, err := c.ws.Read(context.Background())
		if err != nil {
			c.Close(eris.Wrap(err, "link: read"))
			return
		}
		c.received.Add(uint64(len(frame)))
		c.lastRead.Store(time.Now().UnixNano())
		m, err := wire.Decode(frame)
		if err != nil {
			c.Close(err)
			return
		}
		if _, ok := m.(*wire.Ping); ok {
			continue
		}
		c.inEvent.Store(true)
		events.Message(c, m)
		c.lastRead.Store(time.Now().UnixNano())
		c.inEvent.Store(false)
	}
}

func (c *Conn) writeLoop() {
	for {
		select {
		case frame := <-c.send:
			ok := c.write(frame)
			c.waiting.Add(-int64(len(frame)))
			if !ok {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *Conn) write(frame []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeLimit)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.Close(eris.Wrap(err, "link: write"))
		return false
	}
	c.sent.Add(uint64(len(frame)))
	c.lastSent.Store(time.Now().UnixNano())
	return true
}

// heartbeatLoop sends heartbeats and closes a silent connection. It sleeps until
// one of the two may be due.
func (c *Conn) heartbeatLoop() {
	timer := time.NewTimer(heartbeatAfter)
	defer timer.Stop()
	var sequence uint64
	for {
		select {
		case <-c.closed:
			return
		case <-timer.C:
		}
		ping, silent, wait := due(since(&c.lastSent), since(&c.lastRead), c.inEvent.Load())
		if silent {
			c.Close(ErrSilent)
			return
		}
		if ping {
			sequence++
			_ = c.Send(&wire.Ping{Sequence: sequence})
		}
		timer.Reset(wait)
	}
}

// due decides what an end does when its last frame was sent and read the given
// times ago, and when it looks again. While an event handler runs nothing is read,
// so that time does not count as silence. A wall clock that was set back makes the
// times negative and must not put off the next look.
func due(sent, read time.Duration, inEvent bool) (ping, silent bool, wait time.Duration) {
	ping = sent >= heartbeatAfter
	wait = heartbeatAfter
	if !ping {
		wait = min(wait, heartbeatAfter-sent)
	}
	switch {
	case read <= SilenceLimit:
		wait = min(wait, SilenceLimit-read+time.Millisecond)
	case inEvent:
		wait = min(wait, eventCheck)
	default:
		silent = true
	}
	return ping, silent, wait
}

func since(at *atomic.Int64) time.Duration { return time.Since(time.Unix(0, at.Load())) }

// Accept returns the handler that accepts links at Path. The handler serves each
// connection until it ends.
func Accept(local wire.Hello, events Events) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return
		}
		ws.SetReadLimit(wire.MaxFrameBytes)
		c, err := handshake(ws, local, r.RemoteAddr)
		if err != nil {
			_ = ws.CloseNow()
			return
		}
		_ = c.run(events)
	})
}

// Dial opens one connection to address and serves it in the background. client
// may carry the TLS configuration; scheme is "ws" or "wss".
func Dial(ctx context.Context, client *http.Client, scheme, address string, local wire.Hello, events Events) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloLimit)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "link: dial %s", address)
	}
	ws.SetReadLimit(wire.MaxFrameBytes)
	c, err := handshake(ws, local, address)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	go func() { _ = c.run(events) }()
	return c, nil
}

func handshake(ws *websocket.Conn, local wire.Hello, remote string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloLimit)
	defer cancel()
	frame, err := wire.Encode(&local)
	if err != nil {
		return nil, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return nil, eris.Wrap(err, "link: send hello")
	}
	_, frame, err = ws.Read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "link: read hello")
	}
	m, err := wire.Decode(frame)
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return nil, eris.Errorf("link: first message from %s is %T, not a hello", remote, m)
	}
	return newConn(ws, local, *hello, remote), nil
}

// NewHTTPClient returns a client for Dial whose connection attempts are bounded.
func NewHTTPClient(transport *http.Transport) *http.Client {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.DialContext = (&net.Dialer{Timeout: dialLimit}).DialContext
	return &http.Client{Transport: transport}
}
