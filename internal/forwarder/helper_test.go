package forwarder_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/forwarder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// longTimeout is a deadline well above the time that a passing test takes.
const longTimeout = 30 * time.Second

// testEntry is an entry VM that forwards requests to test executors.
type testEntry struct {
	router *router.Router
	sender *forwarder.Sender
	url    string
}

// newTestEntry starts an executor for each handler, and an entry VM in front of them.
func newTestEntry(t *testing.T, p prober.Protocol, handlers ...http.HandlerFunc) *testEntry {
	t.Helper()
	addresses := make([]string, len(handlers))
	for i, h := range handlers {
		addresses[i] = serve(t, h, p != prober.HTTP1)
	}
	return newTestEntryAt(t, p, addresses...)
}

// newTestEntryAt starts an entry VM in front of the executors at the addresses.
func newTestEntryAt(t *testing.T, p prober.Protocol, addresses ...string) *testEntry {
	t.Helper()
	s := snapshot(addresses...)
	b := &testEntry{sender: &forwarder.Sender{Protocol: p, MaxResponseBytes: 1 << 16}}
	b.router = &router.Router{Snapshot: func() *router.Snapshot { return s }, Send: b.sender.Send}
	f := &forwarder.Forwarder{
		Router:       b.router,
		Organisation: func(r *http.Request) (string, error) { return r.Header.Get("X-Organisation"), nil },
	}
	v := httptest.NewServer(f)
	t.Cleanup(v.Close)
	t.Cleanup(b.sender.Close)
	b.url = v.URL
	return b
}

// snapshot returns the router's input: one service with executors at the addresses.
func snapshot(addresses ...string) *router.Snapshot {
	var executors []router.Executor
	for i, a := range addresses {
		executors = append(executors, router.Executor{ID: "e" + string(rune('a'+i)), Address: a, Slots: 8, Total: 8})
	}
	return &router.Snapshot{
		Revision: 1,
		Services: map[string]decoder.Service{"label": {
			Name: "label", Organisation: "etiquetar", RetryPercent: 100, QueueLimit: 100,
			Routes: []decoder.Route{
				{Path: "/proof", Class: "short", Deadline: longTimeout, MaxBody: 1 << 10},
				{Path: "/print", Class: "short", Deadline: longTimeout, NonIdempotent: true},
				{Path: "/usual", Class: "short", Deadline: longTimeout, DeclaredRun: 100 * time.Millisecond},
				{Path: "/brief", Class: "short", Deadline: 300 * time.Millisecond},
			},
		}},
		Executors: map[string][]router.Executor{"label": executors},
	}
}

// serve starts an executor and returns its address.
func serve(t *testing.T, h http.HandlerFunc, http2 bool) string {
	t.Helper()
	v := httptest.NewUnstartedServer(h)
	v.Config.Protocols = new(http.Protocols)
	v.Config.Protocols.SetHTTP1(true)
	v.Config.Protocols.SetUnencryptedHTTP2(http2)
	v.Start()
	t.Cleanup(v.Close)
	return v.Listener.Addr().String()
}

// echo responds with the ID, the path and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(connector.HeaderRequestID, r.Header.Get(connector.HeaderRequestID))
	b, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte(r.URL.Path+" "), b...))
}

// post sends a POST request as a caller.
func (b *testEntry) post(ctx context.Context, t *testing.T, path, body string, headers ...string) (int, string, refuser.ProblemError) {
	t.Helper()
	return b.call(ctx, t, http.MethodPost, path, body, headers...)
}

// call sends one request as a caller. It returns the status, the body, and the decoded
// problem if the response is one.
func (b *testEntry) call(ctx context.Context, t *testing.T, method, path, body string, headers ...string) (int, string, refuser.ProblemError) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(ctx, method, b.url+path, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("X-Organisation", "etiquetar")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), refuser.ProblemError{}
	}
	defer a.Body.Close()
	content, err := io.ReadAll(a.Body)
	is.NoErr(err)
	var p refuser.ProblemError
	if a.Header.Get("Content-Type") == "application/problem+json" {
		is.NoErr(json.Unmarshal(content, &p))
	}
	return a.StatusCode, string(content), p
}

// newListener listens on a port chosen by the system.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	v, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return v
}
