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

// fleet is the simulated executors of one service, with slots, run times and faults
// set by the test. It uses the virtual time of synctest.
type fleet struct {
	mu                 sync.Mutex
	slots              int
	busy               map[string]int
	maxBusy            map[string]int // greatest number of slots in use
	sent               []string       // executor ids in the order of attempts
	started            int            // runs that got a slot
	refused            int            // attempts refused for lack of a slot or by a leaving executor
	unreachable        map[string]bool
	leaving            map[string]bool
	failing            map[string]bool // executors that answer with status 500 at once
	hanging            map[string]bool // executors that run each request for an hour
	pendingResets      int             // coming attempts whose connection is reset before they run
	cancelLag          time.Duration   // from the cancellation of an attempt to its end
	pendingLostAnswers int             // coming runs whose connection is reset at their end
}

func newFleet(slots int) *fleet {
	return &fleet{
		slots: slots, busy: map[string]int{}, maxBusy: map[string]int{},
		unreachable: map[string]bool{}, leaving: map[string]bool{}, hanging: map[string]bool{}, failing: map[string]bool{},
	}
}

// send runs a request for the time given in its query.
func (f *fleet) send(ctx context.Context, x router.Executor, q router.Request) (router.Answer, error) {
	run, _ := time.ParseDuration(q.Query)
	a := router.Answer{Status: http.StatusOK, Header: http.Header{}}
	a.Header.Set(connector.HeaderRequestID, q.ID)
	f.mu.Lock()
	f.sent = append(f.sent, x.ID)
	if f.unreachable[x.ID] {
		f.mu.Unlock()
		return router.Answer{}, &router.SendError{Code: router.CodeExecutorUnreachable, Step: "connect", Peer: x.ID, Err: errors.New("refused")}
	}
	if f.failing[x.ID] {
		f.mu.Unlock()
		a.Status = http.StatusInternalServerError
		return a, nil
	}
	if f.pendingResets > 0 {
		f.pendingResets--
		f.mu.Unlock()
		return router.Answer{}, &router.SendError{Code: router.CodeConnectionLost, MayHaveRun: true, Step: "send", Peer: x.ID, Err: errors.New("reset")}
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
	f.maxBusy[x.ID] = max(f.maxBusy[x.ID], f.busy[x.ID])
	if f.hanging[x.ID] {
		run = time.Hour
	}
	lost := f.pendingLostAnswers > 0
	if lost {
		f.pendingLostAnswers--
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
			return router.Answer{}, &router.SendError{Code: router.CodeConnectionLost, MayHaveRun: true, Step: "send", Peer: x.ID, Err: errors.New("reset")}
		}
		return a, nil
	case <-ctx.Done():
		time.Sleep(f.cancelLag)
		return router.Answer{}, &router.SendError{Code: router.CodeDeadlinePassed, MayHaveRun: true, Final: true, Step: "send", Peer: x.ID, Err: ctx.Err()}
	}
}

// attempts returns the number of attempts so far.
func (f *fleet) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

// service returns the label service, with default routes if none are given.
func service(routes ...decoder.Route) decoder.Service {
	if len(routes) == 0 {
		routes = []decoder.Route{
			{Path: "/proof", Class: "short", Deadline: 2 * time.Second, DeclaredRun: 100 * time.Millisecond},
			{Path: "/print", Class: "short", Deadline: 2 * time.Second, DeclaredRun: 100 * time.Millisecond, NonIdempotent: true},
		}
	}
	return decoder.Service{Name: "label", Organisation: "etiquetar", RetryPercent: 10, QueueLimit: 1000, Routes: routes}
}

// executors returns n executors with the given slots, spread over three zones.
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

// newRouter returns a router that sends to f. Its random numbers have a fixed seed.
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

var requestCount struct {
	sync.Mutex

	n int
}

// request returns a request with the run time run.
func request(organisation, path string, run time.Duration) router.Request {
	requestCount.Lock()
	defer requestCount.Unlock()
	requestCount.n++
	return router.Request{
		ID: "r" + strconv.Itoa(requestCount.n), Organisation: organisation, Service: "label",
		Path: path, Method: http.MethodPost, Query: run.String(),
	}
}

// newKey returns an idempotency key issued now.
func newKey() string { return strconv.FormatInt(time.Now().Unix(), 10) + "-abcdefgh" }

// refusal returns the code and outcome of an error of Do, or "none".
func refusal(err error) string {
	var e *router.Refusal
	if !errors.As(err, &e) {
		return "none"
	}
	return fmt.Sprintf("%s %s", e.Code, e.Outcome)
}
