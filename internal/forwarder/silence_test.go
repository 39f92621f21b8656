package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// TestSilentHTTP2ConnectionIsReplaced guards against requests that wait on a dead
// connection to a healthy executor. Idempotent requests must be retried on a new
// connection within prober.DropTimeout; non-idempotent ones must fail with an unknown
// outcome and not run twice.
func TestSilentHTTP2ConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		toExecutor, toClient bool
		path                 string // "idle" blackholes the connection before the request, to /label/proof/1
		status               int
		runs                 int64
	}{
		"both-ways":                {true, true, "/label/proof/1", 200, 2},
		"towards-executor":         {true, false, "/label/proof/1", 200, 2},
		"from-executor":            {false, true, "/label/proof/1", 200, 2},
		"from-executor-once-only":  {false, true, "/label/print/1", 502, 1},
		"both-ways-while-it-idles": {true, true, "idle", 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			firstReached := make(chan struct{})
			h := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/proof/warm" && runs.Add(1) == 1 && c.path != "idle" {
					close(firstReached)
					<-r.Context().Done()
				}
				echo(w, r)
			}
			proxy := newTCPProxy(t, serve(t, h, true))
			b := newTestEntryAt(t, prober.HTTP2C, proxy.address())
			status, _, _ := b.post(t.Context(), t, "/label/proof/warm", "")
			is.Equal(status, 200)
			started := time.Now()
			go func() {
				if c.path != "idle" {
					<-firstReached
				}
				proxy.blackhole(c.toExecutor, c.toClient)
			}()
			path := c.path
			if path == "idle" {
				proxy.blackhole(c.toExecutor, c.toClient)
				path = "/label/proof/1"
			}
			status, _, p := b.post(t.Context(), t, path, "milk")
			is.Equal(status, c.status)
			if status != 200 {
				is.Equal(p.Code, string(router.CodeConnectionLost))
				is.Equal(p.Outcome, refuser.OutcomeUnknown)
			}
			is.Equal(runs.Load(), c.runs)
			t.Logf("response after %s, bound %s", time.Since(started), prober.DropTimeout)
		})
	}
}

// TestRequestOnSilentHTTP1ConnectionIsHedged covers dead HTTP/1.1 connections. If a
// proxy still acknowledges data, they look the same as slow requests, so an idempotent
// request must get its response from a second attempt on another connection.
func TestRequestOnSilentHTTP1ConnectionIsHedged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var runs atomic.Int64
	firstReached := make(chan struct{})
	h := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body is read
			close(firstReached)
			<-r.Context().Done()
		}
		echo(w, r)
	}
	a, b := newTCPProxy(t, serve(t, h, false)), newTCPProxy(t, serve(t, h, false))
	e := newTestEntryAt(t, prober.HTTP1, a.address(), b.address())
	go func() {
		<-firstReached
		a.blackhole(true, true)
		b.blackhole(true, true)
	}()
	status, body, _ := e.post(t.Context(), t, "/label/usual/1", "milk")
	is.Equal(status, 200)
	is.Equal(body, "/usual/1 milk")
	is.Equal(runs.Load(), int64(2))
}

// TestSlowRequestOnLiveConnectionIsNotDropped guards against closing a live connection
// on which a request runs longer than prober.DropTimeout.
func TestSlowRequestOnLiveConnectionIsNotDropped(t *testing.T) {
	t.Parallel()
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			h := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				select {
				case <-time.After(prober.DropTimeout + 2*time.Second):
				case <-r.Context().Done():
				}
				echo(w, r)
			}
			proxy := newTCPProxy(t, serve(t, h, true))
			b := newTestEntryAt(t, p, proxy.address())
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			status, body, _ := b.post(ctx, t, "/label/print/1", "milk")
			is.Equal(status, 200)
			is.Equal(body, "/print/1 milk")
			is.Equal(runs.Load(), int64(1))
		})
	}
}
