package connector_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// serveStandin starts a stand-in and returns its address.
func serveStandin(t *testing.T, h http.Handler) string {
	t.Helper()
	s := &standin.Server{Address: "127.0.0.1:0", Handler: h}
	is.New(t).NoErr(s.Listen(t.Context()))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s.Address
}

// post sends a POST request to a stand-in.
func post(t *testing.T, url, body string) {
	t.Helper()
	a, err := http.Post(url, "application/json", strings.NewReader(body))
	is.New(t).NoErr(err)
	a.Body.Close()
	is.New(t).Equal(a.StatusCode, http.StatusOK)
}

var records = []json.RawMessage{json.RawMessage(`{"id":"a"}`)}

// TestUncertainAfterFailedAppend guards against errors that exclude an append which took
// place, for each kind of failure.
func TestUncertainAfterFailedAppend(t *testing.T) {
	cases := map[string]struct {
		control   string
		uncertain bool
		appended  int
	}{
		"down":          {`{"down":true}`, false, 0},
		"lost request":  {`{"lose-requests":1}`, true, 0},
		"lost response": {`{"lose-answers":1}`, true, 1},
		"slow":          {`{"slow-ms":600000}`, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveStandin(t, standin.NewLog())
			l := connector.Log{Address: address, Client: &http.Client{}, Timeout: 200 * time.Millisecond}
			post(t, "http://"+address+"/control", c.control)
			_, err := l.Append(t.Context(), "s", records)
			is.True(err != nil)
			is.Equal(connector.Uncertain(err), c.uncertain)
			post(t, "http://"+address+"/control", `{"down":false,"slow-ms":0}`)
			a, err := l.Read(t.Context(), "s", 1, 10, 0)
			is.NoErr(err)
			is.Equal(len(a.Records), c.appended)
		})
	}
}

// TestUncertainByStatus checks response statuses that no stand-in returns.
func TestUncertainByStatus(t *testing.T) {
	for status, uncertain := range map[int]bool{400: false, 413: false, 500: true, 502: true, 503: true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, err := connector.Log{Address: s.Listener.Addr().String()}.Append(t.Context(), "s", records)
		is.New(t).Equal(connector.Uncertain(err), uncertain)
		s.Close()
	}
}

// TestUncertainBeforeSending checks failures before the first byte is sent.
func TestUncertainBeforeSending(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close()) // a process that dies closes its port shortly after its connections
	_, err = connector.Log{Address: address, Client: &http.Client{}}.Append(t.Context(), "s", records)
	is.True(err != nil && !connector.Uncertain(err)) // connection refused
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = connector.Log{Address: address}.Append(ctx, "s", records)
	is.True(errors.Is(err, context.Canceled))
	is.True(!connector.Uncertain(err))
}

// TestSilentConnectionIsReplaced guards against reuse of a dead connection: a request on
// it must fail by its deadline, and the next must use another connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	address := serveStandin(t, standin.NewLog())
	l := connector.Log{Address: address, Client: connector.NewHTTPClient(), Timeout: 500 * time.Millisecond}
	_, err := l.Append(t.Context(), "s", records)
	is.NoErr(err)
	post(t, "http://"+address+"/silence", "")
	_, err = l.Append(t.Context(), "s", records)
	is.True(connector.Uncertain(err)) // the client cannot tell whether it took effect
	l.Timeout = time.Minute
	n, err := l.Append(t.Context(), "s", records)
	is.NoErr(err)
	is.Equal(n, int64(2)) // the record sent on the silent connection is lost
}

// TestTimeoutClosesAllIdleConnections guards against one timeout per dead connection:
// after the first timeout, all connections must be replaced.
func TestTimeoutClosesAllIdleConnections(t *testing.T) {
	is := is.New(t)
	address := serveStandin(t, standin.NewLog())
	l := connector.Log{Address: address, Client: connector.NewHTTPClient(), Timeout: 500 * time.Millisecond}
	control := func(body string) { post(t, "http://"+address+"/control", body) }
	control(`{"slow-ms":200}`)
	var g sync.WaitGroup
	for range 4 { // concurrent, so that each uses its own connection
		g.Go(func() { _, _ = l.Append(t.Context(), "s", records) })
	}
	g.Wait()
	control(`{"slow-ms":0}`)
	post(t, "http://"+address+"/silence", "")
	_, err := l.Append(t.Context(), "s", records)
	is.True(connector.Uncertain(err))
	l.Timeout = time.Minute
	_, err = l.Append(t.Context(), "s", records)
	is.NoErr(err)
}

// TestResponseLostOnSilentConnection checks that a connection that goes silent before the
// response ends in a timeout.
func TestResponseLostOnSilentConnection(t *testing.T) {
	var address string
	address = serveStandin(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		post(t, "http://"+address+"/silence", "")
		_, _ = w.Write([]byte(`{"vms":[]}`))
	}))
	_, err := connector.List{Address: address, Client: &http.Client{}, Timeout: time.Second}.Read(t.Context())
	is.New(t).True(errors.Is(err, context.DeadlineExceeded))
}

// TestOversizedResponseIsRefused sends a response of 33 MiB, above the limit of 32 MiB.
func TestOversizedResponseIsRefused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 33<<20))
	}))
	defer s.Close()
	_, err := connector.List{Address: s.Listener.Addr().String(), Timeout: time.Minute}.Read(t.Context())
	is.New(t).True(err != nil && strings.Contains(err.Error(), "too large"))
}

// TestWorkerCommandResults checks the results of commands and the *FencedError of Fence.
func TestWorkerCommandResults(t *testing.T) {
	is := is.New(t)
	address := serveStandin(t, standin.NewWorker(leaser.Table{Worker: "w1", Capacity: placer.Resources{Accelerators: 8}}))
	oldEpoch, newEpoch := leaser.Epoch{Term: 1}, leaser.Epoch{Term: 2}
	oldLeader := connector.Worker{Address: address, VM: "a"}
	w := connector.Worker{Address: address, VM: "b"}
	_, err := oldLeader.Fence(t.Context(), oldEpoch)
	is.NoErr(err)
	i, err := w.Fence(t.Context(), newEpoch)
	is.NoErr(err)
	is.Equal(i.Epoch, newEpoch)

	l := leaser.Lease{ID: leaser.ID{Job: "j", Attempt: 1}, GangSize: 1}
	l.Resources.Accelerators = 8
	_, r := w.Command(t.Context(), "prepare", newEpoch, l)
	is.Equal(r, connector.ResultDone)
	_, r = w.Command(t.Context(), "start", newEpoch, l)
	is.Equal(r, connector.ResultDone)

	a, r := oldLeader.Command(t.Context(), "stop", oldEpoch, l)
	is.Equal(r, connector.ResultFenced)
	is.Equal(a.Epoch, newEpoch)
	_, err = oldLeader.Fence(t.Context(), oldEpoch)
	var f *connector.FencedError
	is.True(errors.As(err, &f))
	is.Equal(f.HighestEpoch, newEpoch)

	m := l
	m.ID.Job = "k"
	a, r = w.Command(t.Context(), "prepare", newEpoch, m)
	is.Equal(r, connector.ResultRefused)
	is.True(strings.Contains(a.Reason, leaser.ErrInsufficientResources.Error()))

	i, err = w.Renew(t.Context(), connector.RenewRequest{TTLMS: 15000, Renew: []leaser.ID{l.ID}})
	is.NoErr(err)
	is.Equal(i.Leases[0].State, leaser.StateRunning)

	post(t, "http://"+address+"/control", `{"lose-answers":1}`)
	_, r = w.Command(t.Context(), "stop", newEpoch, l)
	is.Equal(r, connector.ResultUnreachable)
	i, err = w.Inventory(t.Context())
	is.NoErr(err)
	is.Equal(i.Leases[0].State, leaser.StateStopped) // the command took effect although its response was lost
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	l := standin.NewList()
	s := httptest.NewServer(l)
	defer s.Close()
	c := connector.List{Address: s.Listener.Addr().String()}
	is.NoErr(c.Register(t.Context(), connector.ListedVM{ID: "w1"}))
	rows, tag, changed, err := c.ReadIfChanged(t.Context(), "")
	is.NoErr(err)
	is.True(changed)
	is.Equal(len(rows), 1)
	_, sameTag, changed, err := c.ReadIfChanged(t.Context(), tag)
	is.NoErr(err)
	is.True(!changed)
	is.Equal(sameTag, tag)
	is.NoErr(c.Register(t.Context(), connector.ListedVM{ID: "w2"}))
	rows, _, changed, err = c.ReadIfChanged(t.Context(), tag)
	is.NoErr(err)
	is.True(changed)
	is.Equal(len(rows), 2)
}

// BenchmarkRenew measures one renewal at a worker whose inventory has not changed, in
// client and stand-in together.
func BenchmarkRenew(b *testing.B) {
	s := httptest.NewServer(standin.NewWorker(leaser.Table{Worker: "w1"}))
	defer s.Close()
	w := connector.Worker{Address: s.Listener.Addr().String(), VM: "entry-1"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := w.Renew(b.Context(), connector.RenewRequest{Known: "x", RenewKnown: true}); err != nil {
			b.Fatal(err)
		}
	}
}
