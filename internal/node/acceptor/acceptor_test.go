package acceptor_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/node/acceptor"
	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

const waitTimeout = 30 * time.Second // generous, so that only a fault exceeds it

// start serves h with a share and returns the address, the acceptor and the server.
func start(t *testing.T, s budgeter.Share, h http.HandlerFunc) (string, *acceptor.Acceptor, *http.Server) {
	t.Helper()
	return startWith(t, s, 0, h)
}

// startWith is start with a time limit for express connections.
func startWith(t *testing.T, s budgeter.Share, express time.Duration, h http.HandlerFunc) (string, *acceptor.Acceptor, *http.Server) {
	t.Helper()
	a := &acceptor.Acceptor{
		Name: "callers", Share: s, Refusal: true, ExpressTime: express, Count: func(string, int64) {}, Now: time.Now,
		Report: func(map[budgeter.Reason]int) {},
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, Protocols: p}
	l, err := a.Listen(t.Context(), "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), a, server
}

func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(b)
}

// Guards against a difference for clients within the limits, and against charges that are
// kept after their request: the requests together are many times the share.
func TestRequestsWithinLimitsAreServed(t *testing.T) {
	for _, c := range []struct {
		name    string
		http2   bool
		chunked bool
	}{{name: "HTTP/1"}, {name: "HTTP/1 chunked", chunked: true}, {name: "HTTP/2", http2: true}, {name: "HTTP/2 chunked", http2: true, chunked: true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, a, _ := start(t, budgeter.Share{Bytes: 2 << 20, Connections: 10, BodyFactor: 3}.WithBuffer(16<<10), echo)
			p := new(http.Protocols)
			p.SetHTTP1(!c.http2)
			p.SetUnencryptedHTTP2(c.http2)
			transport := &http.Transport{Protocols: p}
			defer transport.CloseIdleConnections()
			want := bytes.Repeat([]byte("legal "), 262_144/6)
			for range 20 {
				var body io.Reader = bytes.NewReader(want)
				if c.chunked {
					body = io.MultiReader(body)
				}
				q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, body)
				is.NoErr(err)
				r, err := transport.RoundTrip(q)
				is.NoErr(err)
				got, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.NoErr(r.Body.Close())
				is.Equal(r.StatusCode, http.StatusOK)
				is.True(bytes.Equal(got, want))
			}
			transport.CloseIdleConnections()
			waitUntil(t, "nothing is held", func() bool { held, n := a.Held(); return held == 0 && n == 0 })
		})
	}
}

// Guards against cutting off a request whose body was read, by new connections or by a
// graceful shutdown.
func TestRequestInFlightIsNotCutOff(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	address, _, server := start(t, budgeter.Share{Bytes: 1 << 20, Connections: 2, BodyFactor: 3}.WithBuffer(4<<10), func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.ReadAll(q.Body)
		close(begun)
		<-release
		w.WriteHeader(http.StatusOK)
	})
	type result struct {
		status int
		err    error
	}
	done := make(chan result)
	go func() {
		r, err := http.Post("http://"+address, "text/plain", strings.NewReader("job"))
		if err != nil {
			done <- result{err: err}
			return
		}
		_ = r.Body.Close()
		done <- result{r.StatusCode, nil}
	}()
	<-begun
	for range 8 { // more connections than there is room for, over several times the time without progress
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		time.Sleep(100 * time.Millisecond)
	}
	stopped := make(chan error)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	r := <-done
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.NoErr(<-stopped)
}

// Guards against a refusal that says nothing about when to retry, for a connection and for a
// body for which there is no room.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, a, _ := start(t, budgeter.Share{Bytes: 256 << 10, Connections: 1, BodyFactor: 3}.WithBuffer(4<<10), func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/hold" {
			<-release
		}
		echo(w, q)
	})
	r, err := http.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 128<<10))) // three times its size does not fit
	is.NoErr(err)
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(r.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	waitUntil(t, "the connection has given its room back", func() bool {
		_, n := a.Held()
		return n == 0
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	waitUntil(t, "the request is handled", func() bool {
		_, err = c.Write([]byte("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"))
		return err == nil
	})
	defer close(release)
	waitUntil(t, "a second connection is refused", func() bool {
		x, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = x.Close() }()
		_ = x.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		b, _ := io.ReadAll(x)
		return strings.HasPrefix(string(b), "HTTP/1.1 503 ") && strings.Contains(string(b), "Retry-After: 1\r\n")
	})
}

// Guards against a log line for each connection that is closed: while the clock stands still
// there is one report, and the metrics have all of them.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	var reports, closed atomic.Int64
	now := time.Now()
	a := &acceptor.Acceptor{
		Name: "other VMs", Share: budgeter.Share{Bytes: 1 << 20, Connections: 1}.WithBuffer(4 << 10),
		Now:    func() time.Time { return now },
		Report: func(map[budgeter.Reason]int) { reports.Add(1) },
		Count: func(name string, n int64) {
			if name == "connections-closed-other-vms-too-many" {
				closed.Add(n)
			}
		},
	}
	server := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: time.Minute}
	l, err := a.Listen(t.Context(), "127.0.0.1:0", server)
	is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	const connections = 20
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	waitUntil(t, "all connections but one are closed", func() bool { return closed.Load() == connections-1 })
	is.Equal(reports.Load(), int64(1))
	is.Equal(a.Gauges()["connections-other-vms"], int64(1))
}
