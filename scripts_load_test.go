package main_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// The load of a script: requests of several callers, each with a body of its own.
const (
	loadCallers  = 8
	loadInterval = 25 * time.Millisecond // between two requests of one caller
)

// tally counts what became of the requests of a load.
type tally struct {
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // with the whole answer to the request
	Wrong    int    `json:"wrong"`    // with anything else that claims to be the answer
	NotRun   int    `json:"not-run"`  // refused with this outcome
	Unknown  int    `json:"unknown"`  // refused with this outcome
	Lost     int    `json:"lost"`     // no answer, or none that says what happened
	Refused  int    `json:"refused"`  // no connection was made
	Last     string // what was lost, wrong or unknown last
}

// load sends requests to one URL until it is stopped.
type load struct {
	urls    []string // each request goes to all of them at once
	keyed   bool
	stop    context.CancelFunc
	wait    func()
	mu      sync.Mutex
	tally   tally
	results map[string][]string // by digest of the body
}

// cmdLoad sends requests in the background: load NAME URL... [keyed]. With keyed
// each has an idempotency key. Several URLs get each request at the same time.
func cmdLoad(t *testscript.TestScript, _ bool, a []string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, results: map[string][]string{}}
	for _, u := range a[1:] {
		if u == "keyed" {
			l.keyed = true
			continue
		}
		l.urls = append(l.urls, os.Expand(u, t.Getenv))
	}
	l.wait = once(func() { l.run(ctx, a[0]) })
	t.Defer(func() { cancel(); l.wait() })
	processesOf(t).loads[a[0]] = l
}

func (l *load) run(ctx context.Context, name string) {
	var g sync.WaitGroup
	defer g.Wait()
	for c := range loadCallers {
		g.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.each(fmt.Sprintf("%s-%d-%d-%d", name, c, n, time.Now().UnixNano()))
				select {
				case <-time.After(loadInterval):
				case <-ctx.Done():
				}
			}
		})
	}
}

// each sends one request to every URL.
func (l *load) each(body string) {
	var g sync.WaitGroup
	defer g.Wait()
	key := fmt.Sprintf("%d-%x", time.Now().Unix(), sha256.Sum224([]byte(body)))
	for _, u := range l.urls {
		g.Go(func() { l.one(u, key, body) })
	}
}

// one sends one request and takes its answer.
func (l *load) one(url, key, body string) {
	h := sha256.Sum256([]byte(body))
	digest := hex.EncodeToString(h[:])
	r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	r.GetBody = nil // else net/http itself sends a request with a key again
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if l.keyed {
		r.Header.Set("Idempotency-Key", key)
	}
	var result, last string
	a, err := client.Do(r)
	if err == nil {
		b, err := io.ReadAll(a.Body)
		a.Body.Close()
		result, last = judge(a.StatusCode, b, err, digest)
	} else {
		result, last = "lost", err.Error()
		var o *net.OpError
		if errors.As(err, &o) && o.Op == "dial" {
			result = "refused"
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[digest] = append(l.results[digest], result)
	l.tally.Sent++
	if result == "lost" || result == "wrong" || result == "unknown" {
		l.tally.Last = last
	}
	m := map[string]*int{
		"answered": &l.tally.Answered, "wrong": &l.tally.Wrong, "not-run": &l.tally.NotRun,
		"unknown": &l.tally.Unknown, "lost": &l.tally.Lost, "refused": &l.tally.Refused,
	}
	*m[result]++
}

// judge says what an answer is.
func judge(status int, body []byte, err error, digest string) (string, string) {
	var a struct {
		Digest  string `json:"digest"`
		Outcome string `json:"outcome"`
	}
	text := fmt.Sprintf("status %d: %.300s: %v", status, body, err)
	if err != nil {
		return "lost", text
	}
	bad := json.Unmarshal(body, &a)
	switch {
	case status == http.StatusOK && bad == nil && a.Digest == digest:
		return "answered", text
	case status == http.StatusOK:
		return "wrong", text
	case a.Outcome == "not-run" || a.Outcome == "unknown":
		return a.Outcome, text
	default:
		return "lost", text
	}
}

// cmdLoadWait waits until so many more requests were answered: load-wait NAME
// COUNT.
func cmdLoadWait(t *testscript.TestScript, _ bool, a []string) {
	l := processesOf(t).loads[a[0]]
	var more int
	_, err := fmt.Sscan(a[1], &more)
	t.Check(err)
	from := l.now().Answered
	for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(pollInterval) {
		if l.now().Answered >= from+more {
			t.Logf("load %s: %+v", a[0], l.now())
			return
		}
	}
	t.Fatalf("load %s: %+v", a[0], l.now())
}

func (l *load) now() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// cmdLoadStop stops a load, waits for its answers, and writes the counts to
// NAME.json: load-stop NAME.
func cmdLoadStop(t *testscript.TestScript, _ bool, a []string) {
	l := processesOf(t).loads[a[0]]
	l.stop()
	l.wait()
	b, err := json.Marshal(l.now())
	t.Check(err)
	t.Logf("load %s: %s", a[0], b)
	t.Check(os.WriteFile(t.MkAbs(a[0]+".json"), b, 0o600))
}

// cmdLoadCheck compares a stopped load with what executors have run: load-check
// NAME EXECUTOR... What was refused as not-run did not run, and what was answered
// ran; with a key nothing ran twice.
func cmdLoadCheck(t *testscript.TestScript, _ bool, a []string) {
	l := processesOf(t).loads[a[0]]
	runs := map[string]int{}
	for _, e := range a[1:] {
		var h struct {
			Runs []struct{ Digest string }
		}
		x := request(t, http.MethodGet, "http://"+t.Getenv(e)+"/history", "")
		t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &h)))
		for _, r := range h.Runs {
			runs[r.Digest]++
		}
	}
	for d, results := range l.results {
		n := runs[d]
		answered := slices.Contains(results, "answered")
		refused := !slices.ContainsFunc(results, func(r string) bool { return r != "not-run" && r != "refused" })
		switch {
		case refused && n > 0:
			t.Fatalf("a request that was refused as %v has run %d times", results, n)
		case answered && n == 0:
			t.Fatalf("a request that was answered has not run")
		case l.keyed && n > 1:
			t.Fatalf("a request with an idempotency key (%v) has run %d times", results, n)
		}
	}
}
