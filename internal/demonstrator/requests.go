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

// callResult is what became of one request, as its caller saw it.
type callResult struct {
	service, route, digest string
	status                 int    // 0 when there was no answer
	code, outcome          string // of a refusal
	own                    bool   // the answer is to this request
	took                   time.Duration
	crest                  bool
}

// request is what a caller asks.
type request struct {
	service, route, body, key string
	run                       time.Duration // that the executor is told
	crest                     bool
}

// send sends a request through an entry VM and notes what becomes of it.
func (w *world) send(ctx context.Context, v *vm, r request) callResult {
	sum := sha256.Sum256([]byte(r.body))
	c := callResult{service: r.service, route: r.route, digest: hex.EncodeToString(sum[:]), crest: r.crest}
	at := time.Now()
	w.exchange(ctx, v, r, &c)
	c.took = time.Since(at)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	return c
}

func (w *world) exchange(ctx context.Context, v *vm, r request, c *callResult) {
	u := fmt.Sprintf("http://%s/%s%s?run-ms=%d", v.callers, r.service, r.route, r.run.Milliseconds())
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
		_ = json.Unmarshal(b, &p) // a body that is no problem has no outcome, which is counted
		c.code, c.outcome = p.Code, p.Outcome
		return
	}
	var x standin.ExecutorAnswer
	c.own = json.Unmarshal(b, &x) == nil && x.Digest == c.digest
}

// persist sends a request again, as a caller would, while it is refused as not-run.
func (w *world) persist(ctx context.Context, v *vm, r request) {
	const (
		tries = 20
		pause = time.Second // what refusals ask for at least
	)
	for range tries {
		if c := w.send(ctx, v, r); c.outcome != refuser.OutcomeNotRun {
			return
		}
		time.Sleep(pause)
	}
}

// newKey returns an idempotency key.
func newKey(n int) string {
	return strconv.FormatInt(time.Now().Unix(), 10) + "-demonstration-" + strconv.Itoa(n)
}

// requests sends requests of both services to all entry VMs at once. Each
// non-idempotent one is sent twice with the same key, through different VMs.
func requests(ctx context.Context, w *world, r *Report) error {
	const each = 40 // of each kind
	var g sync.WaitGroup
	for i := range each {
		for _, s := range []string{ownerService, borrowerService} {
			g.Go(func() {
				w.persist(ctx, w.live(i), request{service: s, route: routeShort, body: fmt.Sprintf("proof %s %d", s, i), run: 5 * time.Millisecond})
			})
			once := request{service: s, route: routeOnce, body: fmt.Sprintf("print %s %d", s, i), key: newKey(i), run: 5 * time.Millisecond}
			for n := range 2 {
				g.Go(func() { w.persist(ctx, w.live(i+n), once) })
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
	r.promise("requests are answered", answered >= each*4, "%d answered of %d sent, a third being doubles; refused: %v", answered, len(w.calls), refused)
	return nil
}

// crest sends ten times what the executors can do for a second, with long work
// among the short.
func crest(ctx context.Context, w *world, r *Report) error {
	const (
		length  = time.Second
		run     = 100 * time.Millisecond
		long    = 800 * time.Millisecond
		sent    = int(10 * executors * slots * length / run)
		longOne = 50 // every how manieth request is long
	)
	var g sync.WaitGroup
	at := time.Now()
	for i := range sent {
		time.Sleep(length / time.Duration(sent))
		q := request{service: ownerService, route: routeShort, body: fmt.Sprintf("crest %d", i), run: run, crest: true}
		if i%longOne == 0 {
			q.route, q.run = routeLong, long
		}
		g.Go(func() { w.send(ctx, w.live(i), q) })
	}
	spent := time.Since(at)
	g.Wait()
	var times []time.Duration
	for _, c := range w.calls {
		if c.crest && c.route == routeShort && c.status == http.StatusOK {
			times = append(times, c.took)
		}
	}
	able := float64(executors*slots) * float64(spent+shortDeadline) / float64(run)
	r.measure("service at the crest", "%d of %d short and long sent in %v were answered in time, %.0f %% of what the slots can do until the last deadline",
		len(times), sent, spent.Round(time.Millisecond), 100*float64(len(times))/able)
	r.measure("head-of-line blocking", "short work among long: median %v, 99th percentile %v, with runs of %v",
		quantile(times, 50).Round(time.Millisecond), quantile(times, 99).Round(time.Millisecond), run)
	return nil
}

// drain shuts an entry VM down while it has requests in flight.
func drain(ctx context.Context, w *world, r *Report) error {
	const inFlight = 10
	v := w.live(0)
	results := make(chan callResult, inFlight)
	for i := range inFlight {
		go func() {
			results <- w.send(ctx, v, request{service: borrowerService, route: routeLong, body: fmt.Sprintf("drain %d", i), run: 400 * time.Millisecond})
		}()
	}
	err := until(ctx, "the requests run", func() (bool, error) {
		n, err := w.busy(ctx, borrowerService)
		return n > 0, err
	})
	if err != nil {
		return err
	}
	v.end(nil)
	answered := 0
	for range inFlight {
		c := <-results
		if c.status == http.StatusOK && c.own {
			answered++
		}
	}
	err = <-v.ended
	v.dead = true
	r.promise("a graceful shutdown cuts off no request in flight", err == nil && answered == inFlight,
		"%d of %d in flight were answered, exit: %v", answered, inFlight, err)
	return nil
}
