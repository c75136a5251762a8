// Package link connects two processes by a WebSocket that carries wire frames.
// Both ends send heartbeats, and a connection without a frame for SilenceLimit is
// closed. This detects connections that the network drops without an error. Frames carry a
// checksum, and one that does not match closes the connection.
package link

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// HeartbeatPeriod is the interval of regular frames such as load reports. Any
	// frame counts as a heartbeat, so a link with regular frames needs no others.
	// With a period of 500 ms and a heartbeat in addition to each load report, 48 idle
	// links took more than half of the 1% of a core that an entry may spend on control
	// traffic.
	HeartbeatPeriod = 1 * time.Second
	// heartbeatDelay is the time since the last frame after which a heartbeat is
	// sent. It exceeds HeartbeatPeriod, so that jitter in frames sent every
	// HeartbeatPeriod does not cause additional heartbeats.
	heartbeatDelay = HeartbeatPeriod + HeartbeatPeriod/4
	// handlerCheckInterval is the interval of silence checks while an event handler
	// runs.
	handlerCheckInterval = 500 * time.Millisecond
	// SilenceLimit is the time without any frame after which a connection is
	// closed. Frames arrive at least every 1.25 s, so a delay of one second does
	// not close it.
	SilenceLimit = 2500 * time.Millisecond
	// writeTimeout bounds one write. The connection to a peer that does not read
	// for this long is closed.
	writeTimeout = 2 * time.Second
	// sendQueueFrames is the capacity of the send queue in frames.
	sendQueueFrames = 1024
	// sendQueueBytes bounds the size of the queued frames, so that a peer that does
	// not read cannot exhaust the memory of a small host. It is the size of the
	// largest frame.
	sendQueueBytes = wire.MaxFrameBytes
	// dialTimeout bounds the TCP connection setup. It is well above a round trip
	// and below the one second after which the kernel retransmits a lost SYN, so
	// that a host that was powered off is reached soon after it is back.
	dialTimeout = 400 * time.Millisecond
	// handshakeTimeout bounds the exchange of Hello messages.
	handshakeTimeout = 2 * time.Second
	// maxHelloBytes limits the first message of a peer, which may be any process that has
	// the address.
	maxHelloBytes = 16 << 10
	// maxResponseHeaderBytes limits the response to a dial. The default of net/http is
	// 10 MB, and an address may be that of a process in trouble by now.
	maxResponseHeaderBytes = 64 << 10
	// Path is the HTTP path of links.
	Path = "/link"
)

var (
	// ErrSendFull is returned by Send when the send queue is full.
	ErrSendFull = eris.New("link: send queue is full")
	// ErrClosed is returned by Send on a closed connection.
	ErrClosed = eris.New("link: connection is closed")
	// ErrSilent is the close reason of a connection that reached SilenceLimit.
	ErrSilent = eris.New("link: peer is silent")
)

// Events handles the events of the connections of one end. Its methods are called
// from the reading goroutine of the connection, so a method that blocks delays only
// that connection. Methods must return within SilenceLimit: no frame is read while one
// runs. The time that Message takes does not count as silence of the peer; the time
// that Up takes does.
type Events interface {
	Up(c *Conn)
	Message(c *Conn, m wire.Message)
	// Down is called exactly once for each Up, after it.
	Down(c *Conn, reason error)
}

// Conn is an established connection.
type Conn struct {
	ws     *websocket.Conn
	local  wire.Hello
	peer   wire.Hello
	remote string
	send   chan []byte
	sums   checksums

	lastRead    atomic.Int64 // Unix nanoseconds
	lastSent    atomic.Int64 // Unix nanoseconds
	inHandler   atomic.Bool
	once        sync.Once
	closed      chan struct{}
	reason      error
	sent        atomic.Uint64
	received    atomic.Uint64
	queuedBytes atomic.Int64 // size of the frames in send
}

// Peer returns the Hello of the other end.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Remote returns the address of the other end.
func (c *Conn) Remote() string { return c.remote }

// Bytes returns the number of bytes in the frames sent and received so far.
func (c *Conn) Bytes() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

// QueuedBytes returns the size of the frames that wait to be sent.
func (c *Conn) QueuedBytes() int { return int(c.queuedBytes.Load()) }

// Closed returns a channel that is closed when the connection ends.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues m for sending and never blocks. If it returns an error, which is
// ErrSendFull, ErrClosed or an encoding error, m is not sent.
func (c *Conn) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	return c.SendFrame(frame)
}

// SendFrame queues an encoded frame, which the caller must not modify afterwards.
func (c *Conn) SendFrame(frame []byte) error {
	select {
	case <-c.closed:
		return ErrClosed
	default:
	}
	// A frame larger than the limit is accepted if the queue is empty.
	if waiting := c.queuedBytes.Add(int64(len(frame))); waiting > sendQueueBytes && waiting > int64(len(frame)) {
		c.queuedBytes.Add(-int64(len(frame)))
		return ErrSendFull
	}
	select {
	case c.send <- frame:
		return nil
	default:
		c.queuedBytes.Add(-int64(len(frame)))
		return ErrSendFull
	}
}

// Close closes the connection; only the reason of the first call is kept.
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
		send:   make(chan []byte, sendQueueFrames),
		closed: make(chan struct{}),
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// run serves the connection until it is closed and returns the reason.
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
		frame, err = c.sums.open(frame)
		if err != nil {
			c.Close(err)
			return
		}
		m, err := wire.Decode(frame)
		if unknown := new(wire.UnknownKindError); errors.As(err, &unknown) {
			continue // as a message without a handler, see Mux
		}
		if err != nil {
			c.Close(err)
			return
		}
		if _, ok := m.(*wire.Ping); ok {
			continue
		}
		c.inHandler.Store(true)
		events.Message(c, m)
		c.lastRead.Store(time.Now().UnixNano())
		c.inHandler.Store(false)
	}
}

func (c *Conn) writeLoop() {
	for {
		select {
		case frame := <-c.send:
			ok := c.write(frame)
			c.queuedBytes.Add(-int64(len(frame)))
			if !ok {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *Conn) write(frame []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	frame = c.sums.seal(frame)
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.Close(eris.Wrap(err, "link: write"))
		return false
	}
	c.sent.Add(uint64(len(frame)))
	c.lastSent.Store(time.Now().UnixNano())
	return true
}

// heartbeatLoop sends heartbeats and closes a silent connection. It sleeps until
// the earliest time at which either may be due.
func (c *Conn) heartbeatLoop() {
	timer := time.NewTimer(heartbeatDelay)
	defer timer.Stop()
	var sequence uint64
	for {
		select {
		case <-c.closed:
			return
		case <-timer.C:
		}
		ping, silent, wait := checkHeartbeat(since(&c.lastSent), since(&c.lastRead), c.inHandler.Load())
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

// checkHeartbeat reports whether to send a heartbeat, whether the connection is
// silent, and the time until the next check, given the times since the last frame
// was sent and read. While an event handler runs no frame is read, so that time does
// not count as silence. A wall clock that was set back makes the times negative,
// which must not delay the next check.
func checkHeartbeat(sent, read time.Duration, inHandler bool) (ping, silent bool, wait time.Duration) {
	ping = sent >= heartbeatDelay
	wait = heartbeatDelay
	if !ping {
		wait = min(wait, heartbeatDelay-sent)
	}
	switch {
	case read <= SilenceLimit:
		wait = min(wait, SilenceLimit-read+time.Millisecond)
	case inHandler:
		wait = min(wait, handlerCheckInterval)
	default:
		silent = true
	}
	return ping, silent, wait
}

func since(at *atomic.Int64) time.Duration { return time.Since(time.Unix(0, at.Load())) }

// Acceptor is the HTTP handler that accepts links at Path.
type Acceptor struct {
	local  wire.Hello
	events Events

	mu     sync.Mutex
	open   map[*Conn]bool
	closed bool
}

// Accept returns a handler that accepts links until it is closed.
func Accept(local wire.Hello, events Events) *Acceptor {
	return &Acceptor{local: local, events: events, open: make(map[*Conn]bool)}
}

// ServeHTTP serves a connection until it is closed.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	c, err := handshake(ws, a.local, r.RemoteAddr)
	if err != nil || !a.add(c) {
		_ = ws.CloseNow()
		return
	}
	_ = c.run(a.events)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}

// add keeps a connection for Close. It reports whether the acceptor is still open.
func (a *Acceptor) add(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.open[c] = true
	}
	return !a.closed
}

// Close closes all links and accepts no more. An HTTP server does not close them when it is
// closed, and their heartbeats would make the peers believe that the process goes on.
func (a *Acceptor) Close() {
	a.mu.Lock()
	a.closed = true
	open := slices.Collect(maps.Keys(a.open))
	a.mu.Unlock()
	for _, c := range open {
		c.Close(ErrClosed)
	}
}

// Dial opens a connection to address and serves it in the background. scheme is "ws"
// or "wss"; client has the TLS configuration for "wss".
func Dial(ctx context.Context, client *http.Client, scheme, address string, local wire.Hello, events Events) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "link: dial %s", address)
	}
	c, err := handshake(ws, local, address)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	go func() { _ = c.run(events) }()
	return c, nil
}

func handshake(ws *websocket.Conn, local wire.Hello, remote string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	local.Checksums = true
	sent, err := wire.Encode(&local)
	if err != nil {
		return nil, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, sent); err != nil {
		return nil, eris.Wrap(err, "link: send hello")
	}
	ws.SetReadLimit(maxHelloBytes)
	_, received, err := ws.Read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "link: read hello")
	}
	m, err := wire.Decode(received)
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return nil, eris.Errorf("link: first message from %s is %T, not a hello", remote, m)
	}
	ws.SetReadLimit(wire.MaxFrameBytes + checksumBytes)
	c := newConn(ws, local, *hello, remote)
	c.sums = newChecksums(hello.Checksums, sent, received)
	return c, nil
}

// NewHTTPClient returns a client for Dial whose connection attempts time out after
// dialTimeout and which limits the headers of responses. A nil transport means a new one with default settings.
func NewHTTPClient(transport *http.Transport) *http.Client {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &http.Client{Transport: transport}
}
