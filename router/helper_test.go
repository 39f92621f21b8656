package router_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// fleet is the executors of one service. Their slots, run times and faults are
// the test's; time is that of the bubble.
type fleet struct {
	mu       sync.Mutex
	slots    int
	busy     map[string]int
	most     map[string]int // most slots in use at once
	sent     []string       // ids of executors, in the order of the attempts
	started  int            // runs that took a slot
	refused  int            // runs that found none
	down     map[string]bool
	leaving  map[string]bool
	failing  map[string]bool // answers with status 500 at once
	silent   map[string]bool // the answer never comes
	failures int             // attempts that lose their connection, still to come
	lag      time.Duration   // from the cancelling of an attempt to its end
	losses   int             // runs whose answer gets lost at their end, still to come
}

func newFleet(slots int) *fleet {
	return &fleet{
		slots: slots, busy: map[string]int{}, most: map[string]int{},
		down: map[string]bool{}, leaving: map[string]bool{}, silent: map[string]bool{}, failing: map[string]bool{},
	}
}

// send runs a request for the time that its query names.
func (f *fleet) send(ctx context.Context, x router.Executor, q router.Request) (router.Answer, error) {
	run, _ := time.ParseDuration(q.Query)
	a := router.Answer{Status: http.StatusOK, Header: http.Header{}}
	a.Header.Set(connector.HeaderRequestID, q.ID)
	f.mu.Lock()
	f.sent = append(f.sent, x.ID)
	if f.down[x.ID] {
		f.mu.Unlock()
		return router.Answer{}, &router.SendError{Code: router.CodeUnreachable, Step: "connect", Peer: x.ID, Err: errors.New("refused")}
	}
	if f.failing[x.ID] {
		f.mu.Unlock()
		a.Status = http.StatusInternalServerError
		return a, nil
	}
	if f.failures > 0 {
		f.failures--
		f.mu.Unlock()
		return router.Answer{}, &router.SendError{Code: router.CodeConnectionLost, Handed: true, Step: "send", Peer: x.ID, Err: errors.New("reset")}
	}
	if f.leaving[x.ID] || f.busy[x.ID] >= f.slots {
		f.refused++
		if f.leaving[x.ID] {
			a.Header.Set(connector.HeaderState, "leaving")
		}
		f.mu.Unlock()
		a.Status = http.StatusServiceUnavailable
		a.Header.Set(connector.HeaderOutcome, string(router.NotRun))
		return a, nil
	}
	f.busy[x.ID]++
	f.started++
	f.most[x.ID] = max(f.most[x.ID], f.busy[x.ID])
	if f.silent[x.ID] {
		run = time.Hour
	}
	lost := f.losses > 0
	if lost {
		f.losses--
	}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.busy[x.ID]--
		f.mu.Unlock()
	}()
	t := time.NewTimer(run)
	defer t.Stop()
	select {
	case <-t.C:
		if lost {
			return router.Answer{}, &router.SendError{Code: router.CodeConnectionLost, Handed: true, Step: "send", Peer: x.ID, Err: errors.New("reset")}
		}
		return a, nil
	case <-ctx.Done():
		time.Sleep(f.lag)
		return router.Answer{}, &router.SendError{Code: router.CodeDeadlinePassed, Handed: true, Final: true, Step: "send", Peer: x.ID, Err: ctx.Err()}
	}
}

// attempts returns the number of attempts so far.
func (f *fleet) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

// service is the label service with the routes of most tests.
func service(routes ...decoder.Route) decoder.Service {
	if len(routes) == 0 {
		routes = []decoder.Route{
			{Path: "/proof", Class: "short", Deadline: 2 * time.Second, DeclaredRun: 100 * time.Millisecond},
			{Path: "/print", Class: "short", Deadline: 2 * time.Second, DeclaredRun: 100 * time.Millisecond, NonIdempotent: true},
		}
	}
	return decoder.Service{Name: "label", Organisation: "etiquetar", RetryPercent: 10, QueueLimit: 1000, Routes: routes}
}

// executors returns n executors with slots, over three zones.
func executors(n, slots int) []router.Executor {
	list := make([]router.Executor, n)
	for i := range list {
		list[i] = router.Executor{ID: fmt.Sprintf("e%02d", i), Zone: "z" + strconv.Itoa(i%3), Slots: slots, Total: slots}
	}
	return list
}

func snapshot(s decoder.Service, x []router.Executor) *router.Snapshot {
	return &router.Snapshot{
		Services:  map[string]decoder.Service{s.Name: s},
		Executors: map[string][]router.Executor{s.Name: x},
		Weights:   map[string]int{},
	}
}

// newRouter returns a router in front of f. Its random numbers are the same on
// every run.
func newRouter(f *fleet, s *router.Snapshot) *router.Router {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(1, 2))
	return &router.Router{
		Snapshot: func() *router.Snapshot { return s },
		Send:     f.send,
		Random: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return r.Float64()
		},
	}
}

var number struct {
	sync.Mutex

	n int
}

// request returns a request that runs for run.
func request(organisation, path string, run time.Duration) router.Request {
	number.Lock()
	defer number.Unlock()
	number.n++
	return router.Request{
		ID: "r" + strconv.Itoa(number.n), Organisation: organisation, Service: "label",
		Path: path, Method: http.MethodPost, Query: run.String(),
	}
}

// key returns an idempotency key minted now.
func key() string { return strconv.FormatInt(time.Now().Unix(), 10) + "-abcdefgh" }

// refusal returns the code and outcome of an error of Do.
func refusal(err error) string {
	var e *router.Refusal
	if !errors.As(err, &e) {
		return "none"
	}
	return fmt.Sprintf("%s %s", e.Code, e.Outcome)
}
