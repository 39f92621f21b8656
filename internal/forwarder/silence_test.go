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

// A connection that goes silent is dropped although its executor lives: what
// may be sent again is answered over a new connection within the bound, and a
// non-idempotent request ends as unknown without a second run.
func TestSilentConnectionIsDropped(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		up, down bool
		path     string
		status   int
		runs     int64
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
			first := make(chan struct{})
			h := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/proof/warm" && runs.Add(1) == 1 && c.path != "idle" {
					close(first)
					<-r.Context().Done()
				}
				echo(w, r)
			}
			relay := newRelay(t, serve(t, h, true))
			b := benchAt(t, prober.HTTP2C, relay.address())
			status, _, _ := b.post(t.Context(), t, "/label/proof/warm", "")
			is.Equal(status, 200)
			begun := time.Now()
			go func() {
				if c.path != "idle" {
					<-first
				}
				relay.lose(c.up, c.down)
			}()
			path := c.path
			if path == "idle" {
				relay.lose(c.up, c.down)
				path = "/label/proof/1"
			}
			status, _, p := b.post(t.Context(), t, path, "milk")
			is.Equal(status, c.status)
			if status != 200 {
				is.Equal(p.Code, string(router.CodeConnectionLost))
				is.Equal(p.Outcome, refuser.OutcomeUnknown)
			}
			is.Equal(runs.Load(), c.runs)
			t.Logf("answered after %s, bound %s", time.Since(begun), prober.DropBound)
		})
	}
}

// Over HTTP/1.1 a silent connection behind a relay that goes on acknowledging
// cannot be told from a straggler; an idempotent request is answered by a second
// attempt elsewhere.
func TestSilentHTTP1ConnectionIsHedged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var runs atomic.Int64
	first := make(chan struct{})
	h := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body) // only then is the server told of a closed connection
			close(first)
			<-r.Context().Done()
		}
		echo(w, r)
	}
	a, b := newRelay(t, serve(t, h, false)), newRelay(t, serve(t, h, false))
	e := benchAt(t, prober.HTTP1, a.address(), b.address())
	go func() {
		<-first
		a.lose(true, true)
		b.lose(true, true)
	}()
	status, body, _ := e.post(t.Context(), t, "/label/usual/1", "milk")
	is.Equal(status, 200)
	is.Equal(body, "/usual/1 milk")
	is.Equal(runs.Load(), int64(2))
}

// A request that takes far longer than the bound on a live connection is left
// alone.
func TestStragglerOnLiveConnection(t *testing.T) {
	t.Parallel()
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			h := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				select {
				case <-time.After(prober.DropBound + 2*time.Second):
				case <-r.Context().Done():
				}
				echo(w, r)
			}
			relay := newRelay(t, serve(t, h, true))
			b := benchAt(t, p, relay.address())
			ctx, cancel := context.WithTimeout(t.Context(), wide)
			defer cancel()
			status, body, _ := b.post(ctx, t, "/label/print/1", "milk")
			is.Equal(status, 200)
			is.Equal(body, "/print/1 milk")
			is.Equal(runs.Load(), int64(1))
		})
	}
}
