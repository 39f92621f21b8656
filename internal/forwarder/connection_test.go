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

func TestCallerGoneCancelsAtExecutor(t *testing.T) {
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			reached, cancelled := make(chan struct{}), make(chan struct{})
			b := newBench(t, p, func(_ http.ResponseWriter, r *http.Request) {
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
			case <-time.After(wide):
				t.Fatal("the executor was not told")
			}
			drained, stop := context.WithTimeout(t.Context(), wide)
			defer stop()
			is.NoErr(b.router.Drain(drained))
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	const most = 3
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			relay := newRelay(t, serve(t, echo, true))
			s := &forwarder.Sender{Protocol: p, Connections: most}
			defer s.Close()
			x := router.Executor{ID: "e", Address: relay.address()}
			var w sync.WaitGroup
			for range 50 {
				w.Go(func() {
					_, err := s.Send(t.Context(), x, router.Request{ID: "r", Method: http.MethodPost, Path: "/"})
					is.NoErr(err)
				})
			}
			w.Wait()
			is.True(relay.opened.Load() <= most)
		})
	}
}

// After a request that got no answer in time, requests over HTTP/1.1 take a
// fresh connection rather than an idle one of the same executor.
func TestIdlePeersAreNotTrusted(t *testing.T) {
	is := is.New(t)
	relay := newRelay(t, serve(t, echo, false))
	s := &forwarder.Sender{Protocol: prober.HTTP1}
	defer s.Close()
	x := router.Executor{ID: "e", Address: relay.address()}
	send := func(within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, err := s.Send(ctx, x, router.Request{ID: "r", Method: http.MethodPost, Path: "/"})
		return err
	}
	var w sync.WaitGroup
	for range 5 {
		w.Go(func() { is.NoErr(send(wide)) })
	}
	w.Wait()
	relay.lose(true, true)
	is.True(send(100*time.Millisecond) != nil)
	is.NoErr(send(wide))
}
