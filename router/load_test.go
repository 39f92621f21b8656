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

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/router"
)

func TestLoad(t *testing.T) {
	a, err := txtar.ParseFile("testdata/load.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, string(f.Data)) })
		})
	}
}

// stage is what a script runs on.
type stage struct {
	service   decoder.Service
	executors []router.Executor
	fleet     *fleet
	weights   map[string]int
	learned   map[string]time.Duration
	router    *router.Router
	work      sync.WaitGroup

	mu       sync.Mutex
	measured map[string]int64 // "ORGANISATION PATH WHAT": a count, or nanoseconds
}

func play(t *testing.T, script string) {
	s := &stage{
		service: decoder.Service{Name: "label", Organisation: "etiquetar", QueueLimit: 1000},
		weights: map[string]int{}, learned: map[string]time.Duration{}, measured: map[string]int64{},
	}
	for line := range strings.SplitSeq(strings.TrimSpace(script), "\n") {
		s.step(t, strings.Fields(line))
	}
}

func (s *stage) step(t *testing.T, w []string) {
	switch w[0] {
	case "executors":
		n, slots, _ := strings.Cut(w[1], "x")
		s.fleet = newFleet(8)
		s.executors = executors(number1(t, n), number1(t, slots))
	case "lag":
		s.fleet.lag = amount(t, w[1])
	case "weight":
		s.weights[w[1]] = number1(t, w[2])
	case "share":
		s.service.Share = number1(t, w[1])
	case "queue":
		s.service.QueueLimit = number1(t, w[1])
	case "learned":
		s.learned[w[1]] = options(t, "x="+w[2])["x"]
	case "route", "route-non-idempotent":
		o := options(t, w[3:]...)
		s.service.Routes = append(s.service.Routes, decoder.Route{Path: w[1], Class: w[2], DeclaredRun: o["run"], Deadline: o["deadline"], NonIdempotent: w[0] != "route"})
	case "load":
		s.load(t, w)
	case "expect":
		s.expect(t, w[1:])
	default:
		t.Fatalf("unknown command %q", w[0])
	}
}

func number1(t *testing.T, v string) int {
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// options reads NAME=VALUE; a value is a duration, or a count of nanoseconds.
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

func (s *stage) load(t *testing.T, w []string) {
	if s.router == nil {
		n := snapshot(s.service, s.executors)
		n.Weights = s.weights
		s.router = newRouter(s.fleet, n)
		s.router.Estimate = func(_ string, o *decoder.Route) time.Duration { return s.learned[o.Path] }
		s.router.Observe = s.observe
	}
	o := options(t, w[3:]...)
	s.work.Go(func() {
		time.Sleep(o["from"])
		for i := range int(o["count"]) {
			q := request(w[1], w[2], o["run"])
			if n := int(o["nth"]); n > 0 && i%n == n-1 {
				q.Query = o["straggle"].String()
			}
			if d := o["deadline"]; d > 0 {
				q.Deadline = time.Now().Add(d)
			}
			s.work.Go(func() { s.do(t, q) })
			time.Sleep(o["every"])
		}
	})
}

func (s *stage) do(t *testing.T, q router.Request) {
	_, err := s.router.Do(t.Context(), q)
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

func (s *stage) observe(o router.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measured[fmt.Sprintf("%s %s attempts", o.Organisation, o.Route)] += int64(o.Attempts)
	name := fmt.Sprintf("%s %s wait", o.Organisation, o.Route)
	if o.Code != "" {
		name = fmt.Sprintf("%s %s kept", o.Organisation, o.Route)
	}
	s.measured[name] = max(s.measured[name], int64(o.Wait))
}

func (s *stage) expect(t *testing.T, w []string) {
	s.work.Wait()
	got := s.measured[strings.Join(w[:3], " ")]
	if w[2] == "busiest" {
		for _, n := range s.fleet.most {
			got = max(got, int64(n))
		}
	}
	want := int64(amount(t, w[4]))
	ok := map[string]bool{"=": got == want, "<=": got <= want, ">=": got >= want}[w[3]]
	if !ok {
		t.Errorf("expect %s, got %d", strings.Join(w, " "), got)
	}
}
