package forwarder_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/forwarder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

func TestForwardsPathAndBody(t *testing.T) {
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C, prober.Unknown} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			b := newTestEntry(t, p, echo)
			status, body, _ := b.post(t.Context(), t, "/label/proof/7", "milk 3.99")
			is.Equal(status, 200)
			is.Equal(body, "/proof/7 milk 3.99")
		})
	}
}

// TestDetectsHTTP1 covers protocol detection with an executor that does not support
// HTTP/2.
func TestDetectsHTTP1(t *testing.T) {
	is := is.New(t)
	b := newTestEntryAt(t, prober.Unknown, serve(t, echo, false))
	status, body, _ := b.post(t.Context(), t, "/label/proof/7", "milk")
	is.Equal(status, 200)
	is.Equal(body, "/proof/7 milk")
}

func TestRefusesUnknownService(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, prober.HTTP1, echo)
	status, _, p := b.post(t.Context(), t, "/labels/proof", "")
	is.Equal(status, 404)
	is.Equal(p.Code, string(router.CodeUnknownService))
	is.Equal(p.Outcome, refuser.OutcomeNotRun)
	is.Equal(p.Status, 404)
}

// TestRefusesRequestsAboveLimit guards against request bodies that take unbounded memory.
func TestRefusesRequestsAboveLimit(t *testing.T) {
	is := is.New(t)
	reached, release := make(chan struct{}), make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		close(reached)
		<-release
		echo(w, r)
	}, false)
	s := snapshot(address)
	n := &forwarder.Sender{Protocol: prober.HTTP1}
	defer n.Close()
	f := &forwarder.Forwarder{
		Router:       &router.Router{Snapshot: func() *router.Snapshot { return s }, Send: n.Send},
		Organisation: func(*http.Request) (string, error) { return "etiquetar", nil },
		MaxRequests:  1,
	}
	first := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ServeHTTP(first, httptest.NewRequest(http.MethodPost, "/label/proof", strings.NewReader("milk")))
	}()
	<-reached
	second := httptest.NewRecorder()
	f.ServeHTTP(second, httptest.NewRequest(http.MethodPost, "/label/proof", strings.NewReader("milk")))
	is.Equal(second.Code, http.StatusServiceUnavailable)
	is.Equal(second.Header().Get("Retry-After"), "1")
	is.Equal(second.Header().Get("Lacewingdoor-Outcome"), "not-run")
	is.True(strings.Contains(second.Body.String(), `"code":"too-many-requests"`))
	close(release)
	<-done
	is.Equal(first.Code, http.StatusOK)
}

func TestRefusesUnauthenticatedCaller(t *testing.T) {
	is := is.New(t)
	f := &forwarder.Forwarder{Organisation: func(*http.Request) (string, error) { return "", errors.New("no such key") }}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/label/proof", strings.NewReader("milk")))
	is.Equal(w.Code, http.StatusUnauthorized)
	is.True(strings.Contains(w.Body.String(), `"outcome":"not-run"`))
}

// TestKeepClosesConnectionsToRemovedExecutors guards against idle connections that stay
// open after their executor was removed from the list.
func TestKeepClosesConnectionsToRemovedExecutors(t *testing.T) {
	is := is.New(t)
	proxy := newTCPProxy(t, serve(t, echo, false))
	n := &forwarder.Sender{Protocol: prober.HTTP1}
	x := router.Executor{ID: "e", Address: proxy.address()}
	send := func() {
		_, err := n.Send(t.Context(), x, router.Request{ID: "r", Method: http.MethodPost, Path: "/"})
		is.NoErr(err)
	}
	send()
	n.CloseExcept([]string{x.Address})
	send()
	is.Equal(proxy.opened.Load(), int64(1))
	n.CloseExcept(nil)
	closed := func() (ok bool) {
		proxy.each(func(c *proxiedConn) { ok = c.clientClosed.Load() })
		return ok
	}
	// Wait for less than the idle timeout, which would also close the connection.
	for end := time.Now().Add(longTimeout / 3); !closed() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(closed())
}
