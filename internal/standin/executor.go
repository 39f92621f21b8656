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

// maxRecordedRuns limits the runs in ExecutorHistory.Runs.
const maxRecordedRuns = 100_000

// ExecutorControl is the body of POST /control on an executor.
type ExecutorControl struct {
	RunMS      int64 `json:"run-ms"`     // run time of requests that specify none
	LateMS     int64 `json:"late-ms"`    // delay before a response, after the slot was freed
	Leaving    bool  `json:"leaving"`    // announce in every response that the executor is leaving
	Crossed    int   `json:"crossed"`    // number of next requests answered with another request's response
	Truncated  int   `json:"truncated"`  // number of next responses aborted halfway through the body
	Shortened  int   `json:"shortened"`  // number of next responses that lack half the body, which only the digest shows
	Doubled    int   `json:"doubled"`    // number of next responses sent twice (HTTP/1.1 only)
	Unanswered int   `json:"unanswered"` // number of next requests that run but get no response
	Failing    int   `json:"failing"`    // number of next requests that run and get status 500
}

// ExecutorResponse is the body of an executor's response.
type ExecutorResponse struct {
	Executor  string `json:"executor"`
	RequestID string `json:"request-id"`
	Digest    string `json:"digest"` // hex SHA-256 of the request body
	Path      string `json:"path"`
	Padding   string `json:"padding,omitempty"` // as many bytes as the query parameter answer-bytes requests
}

// ExecutorRun records one run of a request.
type ExecutorRun struct {
	RequestID string `json:"request-id"`
	Key       string `json:"idempotency-key"`
	Digest    string `json:"digest"`   // hex SHA-256 of the request body
	BeganMS   int64  `json:"began-ms"` // Unix milliseconds
	EndedMS   int64  `json:"ended-ms"` // 0 while it runs
	Leaving   bool   `json:"leaving"`  // started after the executor had announced that it is leaving
}

// ExecutorHistory is the response to GET /history.
type ExecutorHistory struct {
	Count      int            `json:"count"`        // runs started
	Refused    int            `json:"refused"`      // requests rejected without running, as no slot was free
	MostAtOnce int            `json:"most-at-once"` // maximum number of concurrent runs
	PerKey     map[string]int `json:"per-key"`      // runs started per idempotency key
	Runs       []ExecutorRun  `json:"runs"`         // the first 100000 runs
}

// Executor is a stand-in backend server with a fixed number of slots.
type Executor struct {
	ID    string
	Slots int

	mu               sync.Mutex
	busySlots        int
	announcedLeaving bool // some response has said that the executor is leaving
	history          ExecutorHistory
	lastResponse     encodedResponse // previous response, sent in place of the right one by faultCrossed
	control          control[ExecutorControl]
	mux              *http.ServeMux
}

// NewExecutor returns an idle executor.
func NewExecutor(id string, slots int) *Executor {
	e := &Executor{ID: id, Slots: slots, mux: http.NewServeMux()}
	e.history.PerKey = map[string]int{}
	e.lastResponse = encodeResponse(ExecutorResponse{Executor: id, RequestID: "of-another-request"})
	e.mux.Handle("/control", &e.control)
	e.mux.HandleFunc("GET /history", e.handleHistory)
	e.mux.HandleFunc("/", e.handleRequest)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Executor) handleHistory(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.history)
}

// handleRequest runs a request in a free slot, or rejects it with status 503.
func (e *Executor) handleRequest(w http.ResponseWriter, r *http.Request) {
	e.announceLeaving(w)
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "read request: "+err.Error(), http.StatusBadRequest)
		return
	}
	sum := sha256.Sum256(b)
	n, ok := e.beginRun(ExecutorRun{
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
	sleep(r.Context(), e.runTime(r, b))
	e.endRun(n)
	sleep(r.Context(), milliseconds(e.control.get().LateMS))
	e.respond(w, encodeResponse(ExecutorResponse{
		Executor:  e.ID,
		RequestID: r.Header.Get(connector.HeaderRequestID),
		Digest:    hex.EncodeToString(sum[:]),
		Path:      r.URL.Path,
		Padding:   strings.Repeat(".", int(min(max(0, queryInt(r, "answer-bytes", 0)), maxBody))),
	}))
}

func (e *Executor) announceLeaving(w http.ResponseWriter) {
	if !e.control.get().Leaving {
		return
	}
	w.Header().Set(connector.HeaderState, "leaving")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcedLeaving = true
}

// runTime returns how long a request runs: from its query, else its body, else
// ExecutorControl.
func (e *Executor) runTime(r *http.Request, body []byte) time.Duration {
	var p Payload
	p.RunMS = e.control.get().RunMS
	_ = json.Unmarshal(body, &p) // a body in another format sets no run time
	return milliseconds(queryInt(r, "run-ms", p.RunMS))
}

// beginRun occupies a slot and records the run; it returns the index of the run.
func (e *Executor) beginRun(r ExecutorRun) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busySlots >= e.Slots {
		e.history.Refused++
		return 0, false
	}
	e.busySlots++
	h := &e.history
	h.MostAtOnce = max(h.MostAtOnce, e.busySlots)
	h.Count++
	if r.Key != "" {
		h.PerKey[r.Key]++
	}
	r.Leaving = e.announcedLeaving
	if len(h.Runs) < maxRecordedRuns {
		h.Runs = append(h.Runs, r)
	}
	return h.Count - 1, true
}

// endRun frees the slot of a run and records its end.
func (e *Executor) endRun(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busySlots--
	if n < len(e.history.Runs) {
		e.history.Runs[n].EndedMS = time.Now().UnixMilli()
	}
}
