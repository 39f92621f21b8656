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
	"net/http"
	"os"
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
	Sent     int `json:"sent"`
	Answered int `json:"answered"` // with the whole answer to the request
	Wrong    int `json:"wrong"`    // with anything else that claims to be the answer
	NotRun   int `json:"not-run"`  // refused with this outcome
	Unknown  int `json:"unknown"`  // refused with this outcome
	Lost     int `json:"lost"`     // no answer, or none that says what happened
	Last     string
}

// load sends requests to one URL until it is stopped.
type load struct {
	url    string
	keyed  bool
	stop   context.CancelFunc
	wait   func()
	mu     sync.Mutex
	tally  tally
	result map[string]string // by digest of the body
}

// cmdLoad sends requests in the background: load NAME URL [keyed]. With keyed
// each has an idempotency key.
func cmdLoad(t *testscript.TestScript, _ bool, a []string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{url: os.Expand(a[1], t.Getenv), keyed: len(a) > 2, stop: cancel, result: map[string]string{}}
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
				l.one(fmt.Sprintf("%s-%d-%d-%d", name, c, n, time.Now().UnixNano()))
				select {
				case <-time.After(loadInterval):
				case <-ctx.Done():
				}
			}
		})
	}
}

// one sends one request and takes its answer.
func (l *load) one(body string) {
	h := sha256.Sum256([]byte(body))
	digest := hex.EncodeToString(h[:])
	r, _ := http.NewRequest(http.MethodPost, l.url, bytes.NewReader([]byte(body)))
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	if l.keyed {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%s", time.Now().Unix(), digest[:32]))
	}
	result := "lost"
	var last string
	a, err := client.Do(r)
	if err == nil {
		b, err := io.ReadAll(a.Body)
		a.Body.Close()
		result, last = judge(a.StatusCode, b, err, digest)
	} else {
		last = err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result[digest] = result
	l.tally.Sent++
	if result != "answered" {
		l.tally.Last = last
	}
	m := map[string]*int{
		"answered": &l.tally.Answered, "wrong": &l.tally.Wrong, "not-run": &l.tally.NotRun,
		"unknown": &l.tally.Unknown, "lost": &l.tally.Lost,
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
	for d, result := range l.result {
		switch n := runs[d]; {
		case result == "not-run" && n > 0:
			t.Fatalf("a request that was refused as not-run has run %d times", n)
		case result == "answered" && n == 0:
			t.Fatalf("a request that was answered has not run")
		case l.keyed && n > 1:
			t.Fatalf("a request with an idempotency key (%s) has run %d times", result, n)
		}
	}
}
