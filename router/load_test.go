package router_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/router"
)

func TestLoadScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/load.txtar", func(t *testing.T, s scripter.Script) {
		synctest.Test(t, func(t *testing.T) { s.Play(t, newScenario(t).commands(), nil) })
	})
}

// scenario is the state of one script.
type scenario struct {
	t         *testing.T
	service   decoder.Service
	executors []router.Executor
	fleet     *fleet
	weights   map[string]int
	estimates map[string]time.Duration
	router    *router.Router
	work      sync.WaitGroup

	mu       sync.Mutex
	measured map[string]int64 // by "ORGANISATION PATH WHAT"; a count or nanoseconds
}

func newScenario(t *testing.T) *scenario {
	return &scenario{
		t: t, service: decoder.Service{Name: "label", Organisation: "etiquetar", QueueLimit: 1000},
		weights: map[string]int{}, estimates: map[string]time.Duration{}, measured: map[string]int64{},
	}
}

func (s *scenario) commands() scripter.Commands {
	return scripter.Commands{
		"executors": func(size string) {
			n, slots, _ := strings.Cut(size, "x")
			s.fleet = newFleet(8)
			s.executors = executors(int(amount(s.t, n)), int(amount(s.t, slots)))
		},
		"weight":               func(organisation string, n int) { s.weights[organisation] = n },
		"share":                func(n int) { s.service.Share = n },
		"queue":                func(n int) { s.service.QueueLimit = n },
		"learned":              func(path string, d time.Duration) { s.estimates[path] = d },
		"lag":                  func(d time.Duration) { s.fleet.cancelLag = d },
		"route":                func(path, class string, words ...string) { s.route(path, class, false, words) },
		"route-non-idempotent": func(path, class string, words ...string) { s.route(path, class, true, words) },
		"load":                 s.load,
		"expect":               s.expect,
	}
}

func (s *scenario) route(path, class string, nonIdempotent bool, words []string) {
	o := options(s.t, words...)
	s.service.Routes = append(s.service.Routes, decoder.Route{
		Path: path, Class: class, DeclaredRun: o["run"], Deadline: o["deadline"], NonIdempotent: nonIdempotent,
	})
}

// options parses NAME=VALUE words; a value is a duration or a plain number.
func options(t *testing.T, words ...string) map[string]time.Duration {
	m := map[string]time.Duration{}
	for _, w := range words {
		name, v, _ := strings.Cut(w, "=")
		m[name] = amount(t, v)
	}
	return m
}

func amount(t *testing.T, v string) time.Duration {
	if n, err := strconv.ParseInt(v, 10, 64); err == nil {
		return time.Duration(n)
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (s *scenario) load(organisation, path string, words ...string) {
	if s.router == nil {
		n := snapshot(s.service, s.executors)
		n.Weights = s.weights
		s.router = newRouter(s.fleet, n)
		s.router.Estimate = func(_ string, o *decoder.Route) time.Duration { return s.estimates[o.Path] }
		s.router.Observe = s.observe
	}
	o := options(s.t, words...)
	s.work.Go(func() {
		time.Sleep(o["from"])
		for i := range int(o["count"]) {
			q := request(organisation, path, o["run"])
			if n := int(o["nth"]); n > 0 && i%n == n-1 {
				q.Query = o["straggle"].String()
			}
			if d := o["deadline"]; d > 0 {
				q.Deadline = time.Now().Add(d)
			}
			s.work.Go(func() { s.do(q) })
			time.Sleep(o["every"])
		}
	})
}

func (s *scenario) do(q router.Request) {
	_, err := s.router.Do(s.t.Context(), q)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := q.Organisation + " " + q.Path + " "
	var e *router.Refusal
	if !errors.As(err, &e) {
		s.measured[name+"answered"]++
		return
	}
	s.measured[name+"refused"]++
	s.measured[name+string(e.Code)]++
	s.measured[name+"retry"] = max(s.measured[name+"retry"], int64(e.RetryAfter))
}

func (s *scenario) observe(o router.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measured[fmt.Sprintf("%s %s attempts", o.Organisation, o.Route)] += int64(o.Attempts)
	name := fmt.Sprintf("%s %s wait", o.Organisation, o.Route)
	if o.Code != "" {
		name = fmt.Sprintf("%s %s kept", o.Organisation, o.Route)
	}
	s.measured[name] = max(s.measured[name], int64(o.Wait))
}

func (s *scenario) expect(organisation, path, what, relation, value string) error {
	s.work.Wait()
	got := s.measured[organisation+" "+path+" "+what]
	if what == "busiest" {
		for _, n := range s.fleet.maxBusy {
			got = max(got, int64(n))
		}
	}
	want := int64(amount(s.t, value))
	ok := map[string]bool{"=": got == want, "<=": got <= want, ">=": got >= want}[relation]
	if !ok {
		return fmt.Errorf("got %d", got)
	}
	return nil
}
