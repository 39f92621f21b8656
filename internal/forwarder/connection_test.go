package forwarder_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/forwarder"
	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// TestCallerDisconnectCancelsRequestAtExecutor guards against requests that go on
// running, and block a drain, after their caller has disconnected.
func TestCallerDisconnectCancelsRequestAtExecutor(t *testing.T) {
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			reached, cancelled := make(chan struct{}), make(chan struct{})
			b := newTestEntry(t, p, func(_ http.ResponseWriter, r *http.Request) {
				close(reached)
				<-r.Context().Done()
				close(cancelled)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-reached
				cancel()
			}()
			status, _, _ := b.post(ctx, t, "/label/proof/1", "")
			is.Equal(status, 0)
			select {
			case <-cancelled:
			case <-time.After(longTimeout):
				t.Fatal("request was not cancelled at the executor")
			}
			drainCtx, cancelDrain := context.WithTimeout(t.Context(), longTimeout)
			defer cancelDrain()
			is.NoErr(b.router.Drain(drainCtx))
		})
	}
}

// TestConnectionsPerExecutorAreBounded sends more concurrent requests than the
// connections allowed.
func TestConnectionsPerExecutorAreBounded(t *testing.T) {
	const maxConns = 3
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			proxy := newTCPProxy(t, serve(t, echo, true))
			s := &forwarder.Sender{Protocol: p, MaxConnections: maxConns}
			defer s.Close()
			x := router.Executor{ID: "e", Address: proxy.address()}
			var w sync.WaitGroup
			for range 50 {
				w.Go(func() {
					_, err := s.Send(t.Context(), x, router.Request{ID: "r", Method: http.MethodPost, Path: "/"})
					is.NoErr(err)
				})
			}
			w.Wait()
			is.True(proxy.opened.Load() <= maxConns)
		})
	}
}

// TestTimeoutClosesIdleHTTP1Connections guards against requests on dead connections.
// After a request over HTTP/1.1 has timed out, the idle connections to the same executor
// may be dead too, so the next request must open a new one.
func TestTimeoutClosesIdleHTTP1Connections(t *testing.T) {
	is := is.New(t)
	proxy := newTCPProxy(t, serve(t, echo, false))
	s := &forwarder.Sender{Protocol: prober.HTTP1}
	defer s.Close()
	x := router.Executor{ID: "e", Address: proxy.address()}
	send := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := s.Send(ctx, x, router.Request{ID: "r", Method: http.MethodPost, Path: "/"})
		return err
	}
	var w sync.WaitGroup
	for range 5 {
		w.Go(func() { is.NoErr(send(longTimeout)) })
	}
	w.Wait()
	proxy.blackhole(true, true)
	is.True(send(100*time.Millisecond) != nil)
	is.NoErr(send(longTimeout))
}
