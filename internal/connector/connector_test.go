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

// serve runs a stand-in and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := &standin.Server{Address: "127.0.0.1:0", Handler: h}
	is.New(t).NoErr(s.Listen(t.Context()))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s.Address
}

// post posts to a stand-in.
func post(t *testing.T, url, body string) {
	t.Helper()
	a, err := http.Post(url, "application/json", strings.NewReader(body))
	is.New(t).NoErr(err)
	a.Body.Close()
	is.New(t).Equal(a.StatusCode, http.StatusOK)
}

var records = []json.RawMessage{json.RawMessage(`{"id":"a"}`)}

// TestUncertain checks, for each way in which an append fails, whether the error
// tells truly that nothing was appended.
func TestUncertain(t *testing.T) {
	cases := map[string]struct {
		control   string
		uncertain bool
		appended  int
	}{
		"down":         {`{"down":true}`, false, 0},
		"lost request": {`{"lose-requests":1}`, true, 0},
		"lost answer":  {`{"lose-answers":1}`, true, 1},
		"slow":         {`{"slow-ms":600000}`, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, standin.NewLog())
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

// TestUncertainByStatus checks the answers that no stand-in gives.
func TestUncertainByStatus(t *testing.T) {
	for status, uncertain := range map[int]bool{400: false, 413: false, 500: true, 502: true, 503: true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, err := connector.Log{Address: s.Listener.Addr().String()}.Append(t.Context(), "s", records)
		is.New(t).Equal(connector.Uncertain(err), uncertain)
		s.Close()
	}
}

// TestUncertainBeforeSending checks failures that come before a byte was sent.
func TestUncertainBeforeSending(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close()) // a process that dies closes its port a moment after its connections
	_, err = connector.Log{Address: address, Client: &http.Client{}}.Append(t.Context(), "s", records)
	is.True(err != nil && !connector.Uncertain(err)) // connection refused
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = connector.Log{Address: address}.Append(ctx, "s", records)
	is.True(errors.Is(err, context.Canceled))
	is.True(!connector.Uncertain(err))
}

// TestSilence checks that an exchange on a connection that went silent fails by
// its deadline, and that the next one uses another connection.
func TestSilence(t *testing.T) {
	is := is.New(t)
	address := serve(t, standin.NewLog())
	l := connector.Log{Address: address, Client: connector.NewHTTPClient(), Timeout: 500 * time.Millisecond}
	_, err := l.Append(t.Context(), "s", records)
	is.NoErr(err)
	post(t, "http://"+address+"/silence", "")
	_, err = l.Append(t.Context(), "s", records)
	is.True(connector.Uncertain(err)) // nobody knows
	l.Timeout = time.Minute
	n, err := l.Append(t.Context(), "s", records)
	is.NoErr(err)
	is.Equal(n, int64(2)) // what the silent connection took is lost
}

// TestSilenceOfManyConnections checks that one deadline is enough to find out that
// every connection went silent.
func TestSilenceOfManyConnections(t *testing.T) {
	is := is.New(t)
	address := serve(t, standin.NewLog())
	l := connector.Log{Address: address, Client: connector.NewHTTPClient(), Timeout: 500 * time.Millisecond}
	control := func(body string) { post(t, "http://"+address+"/control", body) }
	control(`{"slow-ms":200}`)
	var g sync.WaitGroup
	for range 4 { // at once, so that each takes a connection of its own
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

// TestSilenceBeforeAnswer checks that an answer which was under way is lost.
func TestSilenceBeforeAnswer(t *testing.T) {
	var address string
	address = serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		post(t, "http://"+address+"/silence", "")
		_, _ = w.Write([]byte(`{"vms":[]}`))
	}))
	_, err := connector.List{Address: address, Client: &http.Client{}, Timeout: time.Second}.Read(t.Context())
	is.New(t).True(errors.Is(err, context.DeadlineExceeded))
}

func TestHugeAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 33<<20))
	}))
	defer s.Close()
	_, err := connector.List{Address: s.Listener.Addr().String(), Timeout: time.Minute}.Read(t.Context())
	is.New(t).True(err != nil && strings.Contains(err.Error(), "too large"))
}

// TestWorker checks the results of commands and the typed error of a fence.
func TestWorker(t *testing.T) {
	is := is.New(t)
	address := serve(t, standin.NewWorker(leaser.Table{Worker: "w1", Capacity: placer.Resources{Accelerators: 8}}))
	one, two := leaser.Epoch{Term: 1}, leaser.Epoch{Term: 2}
	old := connector.Worker{Address: address, VM: "a"}
	w := connector.Worker{Address: address, VM: "b"}
	_, err := old.Fence(t.Context(), one)
	is.NoErr(err)
	i, err := w.Fence(t.Context(), two)
	is.NoErr(err)
	is.Equal(i.Epoch, two)

	l := leaser.Lease{ID: leaser.ID{Job: "j", Attempt: 1}, GangSize: 1}
	l.Resources.Accelerators = 8
	_, r := w.Command(t.Context(), "prepare", two, l)
	is.Equal(r, connector.ResultDone)
	_, r = w.Command(t.Context(), "start", two, l)
	is.Equal(r, connector.ResultDone)

	a, r := old.Command(t.Context(), "stop", one, l)
	is.Equal(r, connector.ResultFenced)
	is.Equal(a.Epoch, two)
	_, err = old.Fence(t.Context(), one)
	var f *connector.FencedError
	is.True(errors.As(err, &f))
	is.Equal(f.Seen, two)

	m := l
	m.ID.Job = "k"
	a, r = w.Command(t.Context(), "prepare", two, m)
	is.Equal(r, connector.ResultRefused)
	is.True(strings.Contains(a.Reason, leaser.ErrNoRoom.Error()))

	i, err = w.Renew(t.Context(), connector.RenewRequest{TTLMS: 15000, Renew: []leaser.ID{l.ID}})
	is.NoErr(err)
	is.Equal(i.Leases[0].State, leaser.StateRunning)

	post(t, "http://"+address+"/control", `{"lose-answers":1}`)
	_, r = w.Command(t.Context(), "stop", two, l)
	is.Equal(r, connector.ResultUnreachable)
	i, err = w.Inventory(t.Context())
	is.NoErr(err)
	is.Equal(i.Leases[0].State, leaser.StateStopped) // it took effect all the same
}

func TestAListThatHasNotChangedIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	l := standin.NewList()
	s := httptest.NewServer(l)
	defer s.Close()
	c := connector.List{Address: s.Listener.Addr().String()}
	is.NoErr(c.Register(t.Context(), connector.ListedVM{ID: "w1"}))
	rows, tag, changed, err := c.ReadChanged(t.Context(), "")
	is.NoErr(err)
	is.True(changed)
	is.Equal(len(rows), 1)
	_, again, changed, err := c.ReadChanged(t.Context(), tag)
	is.NoErr(err)
	is.True(!changed)
	is.Equal(again, tag)
	is.NoErr(c.Register(t.Context(), connector.ListedVM{ID: "w2"}))
	rows, _, changed, err = c.ReadChanged(t.Context(), tag)
	is.NoErr(err)
	is.True(changed)
	is.Equal(len(rows), 2)
}

// BenchmarkRenew measures one renewal of a worker that has not changed, client and
// stand-in together.
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
