package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
)

// The routes of each service.
const (
	routeShort = "/proof"
	routeLong  = "/set"
	routeOnce  = "/print" // non-idempotent
)

// callResult is the result of one request, as its caller saw it.
type callResult struct {
	service, route, digest string
	status                 int    // 0 without a complete response
	code, outcome          string // of a refusal
	matches                bool   // the response belongs to this request
	took                   time.Duration
	peak                   bool
}

// request is a request of a caller.
type request struct {
	service, route, body, key string
	run                       time.Duration // run time that the stand-in executor is told
	peak                      bool
}

// send sends a request to an entry VM and records its result.
func (w *cluster) send(ctx context.Context, v *vm, r request) callResult {
	sum := sha256.Sum256([]byte(r.body))
	c := callResult{service: r.service, route: r.route, digest: hex.EncodeToString(sum[:]), peak: r.peak}
	at := time.Now()
	w.exchange(ctx, v, r, &c)
	c.took = time.Since(at)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	return c
}

func (w *cluster) exchange(ctx context.Context, v *vm, r request, c *callResult) {
	u := fmt.Sprintf("http://%s/%s%s?run-ms=%d", v.address, r.service, r.route, r.run.Milliseconds())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, u, strings.NewReader(r.body))
	if err != nil {
		return
	}
	q.Header.Set("Authorization", "Bearer "+w.keys[organisationOf(r.service)])
	if r.key != "" {
		q.Header.Set(connector.HeaderIdempotencyKey, r.key)
	}
	a, err := w.client.Do(q)
	if err != nil {
		return
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return
	}
	c.status = a.StatusCode
	if a.StatusCode != http.StatusOK {
		var p refuser.ProblemError
		_ = json.Unmarshal(b, &p) // without a valid problem body the outcome is empty, which checkPromises counts
		c.code, c.outcome = p.Code, p.Outcome
		return
	}
	var x standin.ExecutorResponse
	c.matches = json.Unmarshal(b, &x) == nil && x.Digest == c.digest
}

// sendWithRetry sends a request and retries it while it is refused as not-run.
func (w *cluster) sendWithRetry(ctx context.Context, v *vm, r request) {
	const (
		tries = 20
		pause = time.Second // the shortest Retry-After of refusals
	)
	for range tries {
		if c := w.send(ctx, v, r); c.outcome != refuser.OutcomeNotRun {
			return
		}
		time.Sleep(pause)
	}
}

// newIdempotencyKey returns an idempotency key.
func newIdempotencyKey(n int) string {
	return strconv.FormatInt(time.Now().Unix(), 10) + "-demonstration-" + strconv.Itoa(n)
}

// sendRequests sends requests of both services to all entry VMs concurrently. Each
// non-idempotent request is sent twice with the same key, through different VMs.
func sendRequests(ctx context.Context, w *cluster, r *Report) error {
	const perKind = 40 // requests of each kind and service
	var g sync.WaitGroup
	for i := range perKind {
		for _, s := range []string{ownerService, borrowerService} {
			g.Go(func() {
				w.sendWithRetry(ctx, w.liveVM(i), request{service: s, route: routeShort, body: fmt.Sprintf("proof %s %d", s, i), run: 5 * time.Millisecond})
			})
			nonIdempotent := request{service: s, route: routeOnce, body: fmt.Sprintf("print %s %d", s, i), key: newIdempotencyKey(i), run: 5 * time.Millisecond}
			for n := range 2 {
				g.Go(func() { w.sendWithRetry(ctx, w.liveVM(i+n), nonIdempotent) })
			}
		}
	}
	g.Wait()
	answered, refused := 0, map[string]int{}
	for _, c := range w.calls {
		if c.status == http.StatusOK {
			answered++
		} else {
			refused[c.code]++
		}
	}
	r.addPromise("requests are answered", answered >= perKind*4, "%d answered of %d sent, a third of them duplicates; refused: %v", answered, len(w.calls), refused)
	return nil
}

// sendPeak sends, for one second, ten times the load that the executors can serve,
// with long requests among the short.
func sendPeak(ctx context.Context, w *cluster, r *Report) error {
	const (
		length       = time.Second
		run          = 100 * time.Millisecond
		long         = 800 * time.Millisecond
		requestCount = int(10 * executors * slots * length / run)
		longEvery    = 50 // every longEvery-th request is long
	)
	var g sync.WaitGroup
	at := time.Now()
	for i := range requestCount {
		time.Sleep(length / time.Duration(requestCount))
		q := request{service: ownerService, route: routeShort, body: fmt.Sprintf("peak %d", i), run: run, peak: true}
		if i%longEvery == 0 {
			q.route, q.run = routeLong, long
		}
		g.Go(func() { w.send(ctx, w.liveVM(i), q) })
	}
	elapsed := time.Since(at)
	g.Wait()
	var times []time.Duration
	for _, c := range w.calls {
		if c.peak && c.route == routeShort && c.status == http.StatusOK {
			times = append(times, c.took)
		}
	}
	capacity := float64(executors*slots) * float64(elapsed+shortDeadline) / float64(run)
	r.addMeasure("goodput at peak load", "%d of %d short and long sent in %v were answered in time, %.0f %% of what the slots can serve until the last deadline",
		len(times), requestCount, elapsed.Round(time.Millisecond), 100*float64(len(times))/capacity)
	r.addMeasure("head-of-line blocking", "short requests among long: median %v, 99th percentile %v, with runs of %v",
		quantile(times, 50).Round(time.Millisecond), quantile(times, 99).Round(time.Millisecond), run)
	return nil
}

// drainVM shuts down an entry VM while it has requests in flight.
func drainVM(ctx context.Context, w *cluster, r *Report) error {
	const inFlight = 10
	v := w.liveVM(0)
	results := make(chan callResult, inFlight)
	for i := range inFlight {
		go func() {
			results <- w.send(ctx, v, request{service: borrowerService, route: routeLong, body: fmt.Sprintf("drain %d", i), run: 400 * time.Millisecond})
		}()
	}
	err := waitUntil(ctx, "a request runs", func() (bool, error) {
		n, err := w.runningRequests(ctx, borrowerService)
		return n > 0, err
	})
	if err != nil {
		return err
	}
	v.cancel(nil)
	answered := 0
	for range inFlight {
		c := <-results
		if c.status == http.StatusOK && c.matches {
			answered++
		}
	}
	err = <-v.exited
	v.stopped = true
	r.addPromise("a graceful shutdown interrupts no request in flight", err == nil && answered == inFlight,
		"%d of %d in flight were answered, exit: %v", answered, inFlight, err)
	return nil
}
