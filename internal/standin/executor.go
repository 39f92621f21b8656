package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// maxRuns is how many runs an executor remembers one by one.
const maxRuns = 100_000

// ExecutorControl is what POST /control on an executor can ask for.
type ExecutorControl struct {
	RunMS      int64 `json:"run-ms"`     // of requests that don't say
	LateMS     int64 `json:"late-ms"`    // wait before an answer, after the slot is free again
	Leaving    bool  `json:"leaving"`    // say so on every answer
	Crossed    int   `json:"crossed"`    // the next requests get the answer of another one
	Truncated  int   `json:"truncated"`  // the next answers are cut off in the middle
	Shortened  int   `json:"shortened"`  // the next answers lack their end, and only the digest tells
	Doubled    int   `json:"doubled"`    // the next answers are sent twice (HTTP/1.1 only)
	Unanswered int   `json:"unanswered"` // the next requests run, and the connection is dropped
	Failing    int   `json:"failing"`    // the next requests run and are answered with 500
}

// ExecutorAnswer is the body of an executor's answer.
type ExecutorAnswer struct {
	Executor  string `json:"executor"`
	RequestID string `json:"request-id"`
	Digest    string `json:"digest"` // hex SHA-256 of the body of the request
	Path      string `json:"path"`
	Padding   string `json:"padding,omitempty"` // as many bytes as ?answer-bytes= asks for
}

// ExecutorRun is one run of a request.
type ExecutorRun struct {
	RequestID string `json:"request-id"`
	Key       string `json:"idempotency-key"`
	Digest    string `json:"digest"`   // hex SHA-256 of the body
	BeganMS   int64  `json:"began-ms"` // Unix milliseconds
	EndedMS   int64  `json:"ended-ms"` // 0 while it runs
	Leaving   bool   `json:"leaving"`  // it began after the executor had said that it is leaving
}

// ExecutorHistory answers GET /history.
type ExecutorHistory struct {
	Count      int            `json:"count"`        // runs begun
	Refused    int            `json:"refused"`      // requests refused as not run
	MostAtOnce int            `json:"most-at-once"` // runs
	PerKey     map[string]int `json:"per-key"`      // runs begun per idempotency key
	Runs       []ExecutorRun  `json:"runs"`         // the first 100000
}

// Executor is a backend server with a number of slots.
type Executor struct {
	ID    string
	Slots int

	mu      sync.Mutex
	busy    int
	told    bool // it has said that it is leaving
	history ExecutorHistory
	last    reply // answer that a crossed one repeats
	control control[ExecutorControl]
	mux     *http.ServeMux
}

// NewExecutor returns an idle executor.
func NewExecutor(id string, slots int) *Executor {
	e := &Executor{ID: id, Slots: slots, mux: http.NewServeMux()}
	e.history.PerKey = map[string]int{}
	e.last = newReply(ExecutorAnswer{Executor: id, RequestID: "of-another-request"})
	e.mux.Handle("/control", &e.control)
	e.mux.HandleFunc("GET /history", e.tellHistory)
	e.mux.HandleFunc("/", e.serve)
	return e
}

// ServeHTTP answers one request.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Executor) tellHistory(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, e.history)
}

// serve runs a request in a free slot, or refuses it.
func (e *Executor) serve(w http.ResponseWriter, r *http.Request) {
	e.sayLeaving(w)
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "read request: "+err.Error(), http.StatusBadRequest)
		return
	}
	sum := sha256.Sum256(b)
	n, ok := e.begin(ExecutorRun{
		RequestID: r.Header.Get(connector.HeaderRequestID),
		Key:       r.Header.Get(connector.HeaderIdempotencyKey),
		Digest:    hex.EncodeToString(sum[:]),
		BeganMS:   time.Now().UnixMilli(),
	})
	if !ok {
		w.Header().Set(connector.HeaderRequestID, r.Header.Get(connector.HeaderRequestID))
		w.Header().Set(connector.HeaderOutcome, "not-run")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	pause(r.Context(), e.runTime(r, b))
	e.end(n)
	pause(r.Context(), milliseconds(e.control.get().LateMS))
	e.reply(w, newReply(ExecutorAnswer{
		Executor:  e.ID,
		RequestID: r.Header.Get(connector.HeaderRequestID),
		Digest:    hex.EncodeToString(sum[:]),
		Path:      r.URL.Path,
		Padding:   strings.Repeat(".", int(min(max(0, number(r, "answer-bytes", 0)), maxBody))),
	}))
}

func (e *Executor) sayLeaving(w http.ResponseWriter) {
	if !e.control.get().Leaving {
		return
	}
	w.Header().Set(connector.HeaderState, "leaving")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told = true
}

// runTime returns how long a request runs: by its query, its body, or the
// control.
func (e *Executor) runTime(r *http.Request, body []byte) time.Duration {
	var p Payload
	p.RunMS = e.control.get().RunMS
	_ = json.Unmarshal(body, &p) // a body of another kind says nothing about it
	return milliseconds(number(r, "run-ms", p.RunMS))
}

// begin takes a slot and notes the run; it returns the number of the run.
func (e *Executor) begin(r ExecutorRun) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= e.Slots {
		e.history.Refused++
		return 0, false
	}
	e.busy++
	h := &e.history
	h.MostAtOnce = max(h.MostAtOnce, e.busy)
	h.Count++
	if r.Key != "" {
		h.PerKey[r.Key]++
	}
	r.Leaving = e.told
	if len(h.Runs) < maxRuns {
		h.Runs = append(h.Runs, r)
	}
	return h.Count - 1, true
}

// end frees the slot of a run.
func (e *Executor) end(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	if n < len(e.history.Runs) {
		e.history.Runs[n].EndedMS = time.Now().UnixMilli()
	}
}
