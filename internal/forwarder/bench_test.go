package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/forwarder"
	"github.com/lacewingdoor/lacewingdoor/prober"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// okHandler is an executor handler that only reads the request and responds "ok".
func okHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h[connector.HeaderRequestID] = []string{r.Header.Get(connector.HeaderRequestID)}
	h["Content-Length"] = []string{"2"}
	_, _ = io.WriteString(w, "ok")
}

// BenchmarkPath compares requests sent directly to an executor with the same requests
// through an entry VM; the ratio of the two is the result of interest. With -cpu 1, the
// rate is that of one core shared by caller, entry VM and executor.
func BenchmarkPath(b *testing.B) {
	v := httptest.NewUnstartedServer(http.HandlerFunc(okHandler))
	v.Config.Protocols = new(http.Protocols)
	v.Config.Protocols.SetHTTP1(true)
	v.Config.Protocols.SetUnencryptedHTTP2(true)
	v.Start()
	defer v.Close()
	b.Run("direct", func(b *testing.B) { sendRequests(b, v.URL+"/proof") })
	for _, p := range []prober.Protocol{prober.HTTP1, prober.HTTP2C} {
		s := &router.Snapshot{
			Services: map[string]decoder.Service{"label": {
				Name: "label", QueueLimit: 1000, RetryPercent: 10,
				Routes: []decoder.Route{{Path: "/proof", Class: "short", Deadline: longTimeout, DeclaredRun: time.Millisecond}},
			}},
			Executors: map[string][]router.Executor{"label": {{ID: "e", Address: v.Listener.Addr().String(), Slots: 64, Total: 64}}},
		}
		n := &forwarder.Sender{Protocol: p, MaxConnections: 64}
		f := &forwarder.Forwarder{
			Router:       &router.Router{Snapshot: func() *router.Snapshot { return s }, Send: n.Send},
			Organisation: func(*http.Request) (string, error) { return "etiquetar", nil },
		}
		e := httptest.NewServer(f)
		b.Run("entry-"+string(p), func(b *testing.B) { sendRequests(b, e.URL+"/label/proof") })
		e.Close()
		n.Close()
	}
}

// sendRequests sends b.N requests over 16 persistent connections.
func sendRequests(b *testing.B, url string) {
	const connections = 16
	t := &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}
	defer t.CloseIdleConnections()
	c := &http.Client{Transport: t}
	body := []byte("milk 3.99")
	b.ReportAllocs()
	b.ResetTimer()
	startCPU := cpuTime()
	var w sync.WaitGroup
	for i := range connections {
		w.Go(func() {
			for n := i; n < b.N; n += connections {
				a, err := c.Post(url, "text/plain", bytes.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				if a.StatusCode != http.StatusOK {
					b.Errorf("status %d", a.StatusCode)
				}
			}
		})
	}
	w.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	// Unlike the rate, CPU time does not depend on the other load of the machine.
	b.ReportMetric(float64((cpuTime()-startCPU).Microseconds())/float64(b.N), "cpu-us/op")
}

// cpuTime returns the CPU time used by the process, in which caller, entry VM and
// executor all run.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRouter measures the router alone, without HTTP.
func BenchmarkRouter(b *testing.B) {
	s := snapshot("127.0.0.1:1")
	header := http.Header{connector.HeaderRequestID: {"r"}}
	r := &router.Router{
		Snapshot: func() *router.Snapshot { return s },
		Send: func(context.Context, router.Executor, router.Request) (router.Answer, error) {
			return router.Answer{Status: http.StatusOK, Header: header}, nil
		},
	}
	q := router.Request{ID: "r", Organisation: "etiquetar", Service: "label", Path: "/proof/1", Method: http.MethodPost}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Do(b.Context(), q); err != nil {
			b.Fatal(err)
		}
	}
}
