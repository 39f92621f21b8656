// Package acceptor accepts connections for HTTP servers and keeps what their clients take
// within the share that package budgeter gives to a listener.
package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

const (
	roomWait       = time.Second           // how long a request waits for room; connections may be closed after a quarter of it
	roomInterval   = 50 * time.Millisecond // between two attempts
	bodyGrace      = 5 * time.Second       // for a body, besides the time by its size; callers wait for 3 s
	bodyRate       = 16 << 10              // bytes per second that a body must make on average after bodyGrace
	writeTimeout   = 5 * time.Second       // for one piece of a response
	refusalTimeout = 100 * time.Millisecond
	reportInterval = time.Second // between two reports, which become log lines
)

// refusalText is sent on a connection for which there is no room. Nothing of its request was read.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: 45\r\n\r\n" +
	`{"error":"too many connections to this VM"}` + "\r\n"

// reasonTooMany is the reason of connections that are closed when they are accepted.
const reasonTooMany budgeter.Reason = "too-many"

// ReasonNoRoom is the reason of connections that are closed as their request does not fit.
const ReasonNoRoom budgeter.Reason = "no-room"

// Acceptor keeps the connections of one server within a share. Its exported fields are set
// before Listen is called.
type Acceptor struct {
	Name   string // of the listener, in metrics and log lines
	Share  budgeter.Share
	Count  func(counter string, n int64)
	Report func(closed map[budgeter.Reason]int) // called at most once a second, after connections were closed
	Now    func() time.Time
	// ExpressTime is how long the head of the request of an express connection may take, 0 for
	// the default.
	ExpressTime time.Duration

	Refusal bool // whether connections for which there is no room are answered with 503

	mu       sync.Mutex
	budgeter *budgeter.Budgeter
	conns    map[uint64]*conn
	lastID   uint64
	express  int                     // open express connections
	closed   map[budgeter.Reason]int // since the last report
	reported time.Time
}

// Listen opens a listener for the server and changes the server to use it.
func (a *Acceptor) Listen(ctx context.Context, address string, s *http.Server) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s at %s: %w", a.Name, address, err)
	}
	return a.Wrap(l, s), nil
}

// Wrap returns a listener that keeps the connections of l within the share, and changes
// the server to use it.
func (a *Acceptor) Wrap(l net.Listener, s *http.Server) net.Listener {
	a.limitReceiveBuffer(l)
	a.budgeter = budgeter.New(a.Share)
	a.conns = map[uint64]*conn{}
	a.closed = map[budgeter.Reason]int{}
	s.Handler = a.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok {
			x.stateChanged(state)
		}
		if next != nil {
			next(c, state)
		}
	}
	s.ErrorLog = log.New(&panicLog{}, "", log.LstdFlags)
	return &listener{Listener: l, acceptor: a}
}

// limitReceiveBuffer bounds what the kernel receives for a connection before it is read.
// Connections have the buffers that their listener has when they begin.
func (a *Acceptor) limitReceiveBuffer(l net.Listener) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	if c, err := t.SyscallConn(); err == nil {
		_ = c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, a.Share.Buffer) // the default is only larger
		})
	}
}

// panicLog passes on the panics of handlers, at most one a second, of what net/http logs.
// Clients can cause the other lines.
type panicLog struct{ rate.Sometimes }

// Write implements [io.Writer].
func (p *panicLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("panic serving")) {
		p.Interval = reportInterval
		p.Do(func() { _, _ = os.Stderr.Write(b) })
	}
	return len(b), nil
}

// Gauges returns what the clients hold at present, by the name of the metric.
func (a *Acceptor) Gauges() map[string]int64 {
	held, connections := a.Held()
	return map[string]int64{"held-bytes-" + a.metric(): held, "connections-" + a.metric(): int64(connections)}
}

// metric returns the name of the listener in the names of metrics.
func (a *Acceptor) metric() string { return strings.ReplaceAll(strings.ToLower(a.Name), " ", "-") }

// Held returns the bytes that the clients hold by the budgeter's charges, and the number of
// connections.
func (a *Acceptor) Held() (int64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.budgeter == nil {
		return 0, 0
	}
	return a.budgeter.Held(), a.budgeter.Connections()
}

type connKey struct{}

type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept implements [net.Listener]. Connections without room are accepted and closed, as
// the kernel would hold what they send.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := l.acceptor.open(c); x != nil {
			return x, nil
		}
	}
}

func (a *Acceptor) open(c net.Conn) *conn {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(a.Share.Buffer) // the default is only larger
	}
	a.mu.Lock()
	a.lastID++
	x := &conn{Conn: c, acceptor: a, id: a.lastID}
	closing, ok := a.budgeter.Open(a.Now(), x.id)
	victims := a.remove(closing)
	if ok {
		a.conns[x.id] = x
	}
	a.mu.Unlock()
	closeAll(victims)
	if ok {
		return x
	}
	if a.openExpress(x) {
		return x
	}
	a.recordClosed(reasonTooMany)
	if a.Refusal {
		refuseConn(c)
	}
	_ = c.Close()
	return nil
}

// refuseConn answers a connection for which there is no room.
func refuseConn(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusalText))
}

// remove returns connections that the budgeter has given up.
func (a *Acceptor) remove(closing []budgeter.Closing) []*conn {
	var v []*conn
	for _, c := range closing {
		if x := a.conns[c.ID]; x != nil {
			delete(a.conns, c.ID)
			v = append(v, x)
			a.closed[c.Reason]++
			a.countClosed(c.Reason)
		}
	}
	return v
}

func closeAll(v []*conn) {
	for _, x := range v {
		_ = x.Conn.Close()
	}
}

func (a *Acceptor) countClosed(r budgeter.Reason) {
	a.Count("connections-closed-"+a.metric()+"-"+string(r), 1)
}

// recordClosed records that a connection was closed and reports at most once a second.
func (a *Acceptor) recordClosed(r budgeter.Reason) {
	a.countClosed(r)
	a.mu.Lock()
	a.closed[r]++
	a.mu.Unlock()
	a.report()
}

func (a *Acceptor) report() {
	now := a.Now()
	a.mu.Lock()
	var closed map[budgeter.Reason]int
	if len(a.closed) > 0 && now.Sub(a.reported) >= reportInterval {
		closed, a.closed, a.reported = a.closed, map[budgeter.Reason]int{}, now
	}
	a.mu.Unlock()
	if closed != nil {
		a.Report(closed)
	}
}

// charge charges n bytes to a connection. Without room it waits for some time. It fails if
// there is still none or if the connection was closed.
func (a *Acceptor) charge(id uint64, n int64) error { return a.chargeWithin(id, n, roomWait) }

// chargeWithin is charge with another limit of the wait.
func (a *Acceptor) chargeWithin(id uint64, n int64, wait time.Duration) error {
	for end := a.Now().Add(wait); ; time.Sleep(roomInterval) {
		a.mu.Lock()
		now := a.Now()
		closing, ok := a.budgeter.Charge(now, id, n)
		victims := a.remove(closing)
		open := a.conns[id] != nil
		a.mu.Unlock()
		closeAll(victims)
		if len(victims) > 0 {
			a.report()
		}
		if ok {
			return nil
		}
		if !open || !now.Before(end) {
			a.Count("requests-without-room-"+a.metric(), 1)
			return budgeter.ErrNoRoom
		}
	}
}

// with calls f with the budgeter.
func (a *Acceptor) with(f func(now time.Time, b *budgeter.Budgeter)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.Now(), a.budgeter)
}
