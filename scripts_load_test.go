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

// The load of a script: concurrent callers that send requests with distinct bodies.
const (
	loadCallers  = 8
	loadInterval = 25 * time.Millisecond // between consecutive requests of a caller
)

// loadCounts counts the requests of a load by their result.
type loadCounts struct {
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // complete and correct response
	Wrong    int    `json:"wrong"`    // status 200 with any other body
	NotRun   int    `json:"not-run"`  // refused with outcome not-run
	Unknown  int    `json:"unknown"`  // refused with outcome unknown
	Lost     int    `json:"lost"`     // no response, or an error without an outcome
	Refused  int    `json:"refused"`  // connection failed
	Last     string // last response that was lost, wrong or unknown
}

// load sends requests to its URLs until it is stopped.
type load struct {
	urls    []string // each request is sent to all of them concurrently
	keyed   bool
	stop    context.CancelFunc
	wait    func()
	mu      sync.Mutex
	counts  loadCounts
	results map[string][]string // results by digest of the request body
}

// cmdLoad sends requests in the background: load NAME URL... [keyed]. With "keyed" each
// request has an idempotency key. Each request is sent to all URLs concurrently.
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
	l.wait = runInBackground(func() { l.run(ctx, a[0]) })
	t.Defer(func() { cancel(); l.wait() })
	processesOf(t).loads[a[0]] = l
}

func (l *load) run(ctx context.Context, name string) {
	var g sync.WaitGroup
	defer g.Wait()
	for c := range loadCallers {
		g.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.sendToAll(fmt.Sprintf("%s-%d-%d-%d", name, c, n, time.Now().UnixNano()))
				select {
				case <-time.After(loadInterval):
				case <-ctx.Done():
				}
			}
		})
	}
}

// sendToAll sends one request to every URL concurrently, with the same key.
func (l *load) sendToAll(body string) {
	var g sync.WaitGroup
	defer g.Wait()
	key := fmt.Sprintf("%d-%x", time.Now().Unix(), sha256.Sum224([]byte(body)))
	for _, u := range l.urls {
		g.Go(func() { l.send(u, key, body) })
	}
}

// send sends one request and records its result.
func (l *load) send(url, key, body string) {
	h := sha256.Sum256([]byte(body))
	digest := hex.EncodeToString(h[:])
	r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	r.GetBody = nil // with a body to rewind, net/http retries requests that have a key
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if l.keyed {
		r.Header.Set("Idempotency-Key", key)
	}
	var result, detail string
	a, err := client.Do(r)
	if err == nil {
		b, err := io.ReadAll(a.Body)
		a.Body.Close()
		result, detail = classify(a.StatusCode, b, err, digest)
	} else {
		result, detail = "lost", err.Error()
		var o *net.OpError
		if errors.As(err, &o) && o.Op == "dial" {
			result = "refused"
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[digest] = append(l.results[digest], result)
	l.counts.Sent++
	if result == "lost" || result == "wrong" || result == "unknown" {
		l.counts.Last = detail
	}
	m := map[string]*int{
		"answered": &l.counts.Answered, "wrong": &l.counts.Wrong, "not-run": &l.counts.NotRun,
		"unknown": &l.counts.Unknown, "lost": &l.counts.Lost, "refused": &l.counts.Refused,
	}
	*m[result]++
}

// classify returns the result that a response counts as, and its text.
func classify(status int, body []byte, err error, digest string) (string, string) {
	var a struct {
		Digest  string `json:"digest"`
		Outcome string `json:"outcome"`
	}
	text := fmt.Sprintf("status %d: %.300s: %v", status, body, err)
	if err != nil {
		return "lost", text
	}
	decodeErr := json.Unmarshal(body, &a)
	switch {
	case status == http.StatusOK && decodeErr == nil && a.Digest == digest:
		return "answered", text
	case status == http.StatusOK:
		return "wrong", text
	case a.Outcome == "not-run" || a.Outcome == "unknown":
		return a.Outcome, text
	default:
		return "lost", text
	}
}

// cmdLoadWait waits until COUNT more requests have been answered: load-wait NAME COUNT.
func cmdLoadWait(t *testscript.TestScript, _ bool, a []string) {
	l := processesOf(t).loads[a[0]]
	var more int
	_, err := fmt.Sscan(a[1], &more)
	t.Check(err)
	from := l.snapshot().Answered
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if l.snapshot().Answered >= from+more {
			t.Logf("load %s: %+v", a[0], l.snapshot())
			return
		}
	}
	t.Fatalf("load %s: %+v", a[0], l.snapshot())
}

func (l *load) snapshot() loadCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// cmdLoadStop stops a load, waits for its pending requests and writes the counts to
// NAME.json: load-stop NAME.
func cmdLoadStop(t *testscript.TestScript, _ bool, a []string) {
	l := processesOf(t).loads[a[0]]
	l.stop()
	l.wait()
	b, err := json.Marshal(l.snapshot())
	t.Check(err)
	t.Logf("load %s: %s", a[0], b)
	t.Check(os.WriteFile(t.MkAbs(a[0]+".json"), b, 0o600))
}

// cmdLoadCheck compares a stopped load with the histories of executors: load-check NAME
// EXECUTOR... A request that was refused as not-run, or whose connection failed, must not
// have run; one that was answered must have run; one with a key must not have run twice.
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
			t.Fatalf("a request that was refused (%v) has run %d times", results, n)
		case answered && n == 0:
			t.Fatalf("a request that was answered has not run")
		case l.keyed && n > 1:
			t.Fatalf("a request with an idempotency key (%v) has run %d times", results, n)
		}
	}
}
