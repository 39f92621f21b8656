package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// workerTick is how often a worker looks for tasks and leases that end.
const workerTick = 20 * time.Millisecond

// WorkerControl is what POST /control on a worker can ask for.
type WorkerControl struct {
	Paused           bool  `json:"paused"`            // hold every request, and let no lease lapse, until false
	SlowMS           int64 `json:"slow-ms"`           // wait before each request is taken
	FailEverything   bool  `json:"fail-everything"`   // tasks fail as soon as they start
	IgnoreCheckpoint bool  `json:"ignore-checkpoint"` // say that a task was checkpointed, and let it run
	LagMS            int64 `json:"lag-ms"`            // age of the inventories that are told
	LoseAnswers      int   `json:"lose-answers"`      // the next commands take effect and are not answered
	LoseRequests     int   `json:"lose-requests"`     // the next commands have no effect and are not answered
}

// Payload says what a task does; a stand-in worker reads it from the payload of
// the lease.
type Payload struct {
	RunMS int64 `json:"run-ms"` // how long it runs; until it is stopped when zero
	Fail  bool  `json:"fail"`   // it ends as failed
}

// Worker is a worker of the platform, whose tasks are timers.
type Worker struct {
	Table leaser.Table // as it starts; set before Run

	mu      sync.Mutex
	table   leaser.Table
	past    []workerPast // tables of the time that a lag can ask for, oldest first
	tasks   map[leaser.ID]task
	history WorkerHistory
	control control[WorkerControl]
	mux     *http.ServeMux
}

// task is a running task.
type task struct {
	ends time.Time // zero when it runs until it is stopped
	fail bool
}

// NewWorker returns a worker without leases.
func NewWorker(t leaser.Table) *Worker {
	w := &Worker{Table: t, table: t, tasks: map[leaser.ID]task{}, mux: http.NewServeMux()}
	w.past = []workerPast{{table: t}}
	w.mux.Handle("/control", &w.control)
	w.mux.HandleFunc("GET /history", w.tellHistory)
	w.mux.HandleFunc("GET /inventory", w.held(w.inventory))
	w.mux.HandleFunc("POST /fence", w.held(w.fence))
	w.mux.HandleFunc("POST /renew", w.held(w.renew))
	w.mux.HandleFunc("POST /prepare", w.held(w.prepare))
	w.mux.HandleFunc("POST /start", w.held(w.byID(leaser.Table.Start)))
	w.mux.HandleFunc("POST /throttle", w.held(w.byID(leaser.Table.Throttle)))
	w.mux.HandleFunc("POST /checkpoint", w.held(w.checkpoint))
	w.mux.HandleFunc("POST /stop", w.held(w.byID(leaser.Table.Stop)))
	return w
}

// ServeHTTP answers one request.
func (w *Worker) ServeHTTP(a http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(a, r) }

// Run ends tasks and lets leases lapse until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	t := time.NewTicker(workerTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if !w.control.get().Paused {
				w.tick()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tick ends what is due.
func (w *Worker) tick() {
	_ = w.change(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		t, _ = t.Lapse(now)
		for _, l := range t.Running() {
			k := w.tasks[l.ID]
			if k.ends.IsZero() || now.Before(k.ends) {
				continue
			}
			s := leaser.StateSucceeded
			if k.fail {
				s = leaser.StateFailed
			}
			t, _ = t.End(now, l.ID, s, "task ended by itself")
		}
		return t, nil
	})
}

// change replaces the table, then starts and ends tasks to match it.
func (w *Worker) change(f func(leaser.Table, time.Time) (leaser.Table, error)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	t, err := f(w.table, now)
	w.table = t
	w.match(now)
	w.remember(now)
	return err
}

// match starts the tasks that may run, and ends those that may not.
func (w *Worker) match(now time.Time) {
	running := map[leaser.ID]bool{}
	for _, l := range w.table.Running() {
		running[l.ID] = true
		if _, ok := w.tasks[l.ID]; !ok {
			w.tasks[l.ID] = newTask(now, l, w.control.get().FailEverything)
			w.history.Starts++
			w.note(now, WorkerEvent{Lease: l.ID, GangSize: l.GangSize, Event: "start", State: l.State})
		}
	}
	for _, l := range w.table.Over() {
		if _, ok := w.tasks[l.ID]; ok && !running[l.ID] {
			delete(w.tasks, l.ID)
			w.note(now, WorkerEvent{Lease: l.ID, GangSize: l.GangSize, Event: "end", State: l.State, Reason: l.Reason})
		}
	}
}

func newTask(now time.Time, l leaser.Lease, fail bool) task {
	var p Payload
	_ = json.Unmarshal([]byte(l.Payload), &p) // a payload of another kind runs until it is stopped
	k := task{fail: p.Fail || fail}
	if p.RunMS > 0 {
		k.ends = now.Add(milliseconds(p.RunMS))
	}
	if fail {
		k.ends = now
	}
	return k
}

// held lets the failures that hold for every request act first.
func (w *Worker) held(f http.HandlerFunc) http.HandlerFunc {
	return func(a http.ResponseWriter, r *http.Request) {
		pause(r.Context(), milliseconds(w.control.get().SlowMS))
		w.control.wait(r.Context(), func(c WorkerControl) bool { return !c.Paused })
		lost := false
		if r.Method == http.MethodPost {
			w.control.update(func(c *WorkerControl) {
				lost = c.LoseRequests > 0
				c.LoseRequests = max(0, c.LoseRequests-1)
			})
		}
		if lost {
			drop()
		}
		f(a, r)
	}
}

// loseAnswer drops the connection when an answer is to be lost.
func (w *Worker) loseAnswer() {
	lost := false
	w.control.update(func(c *WorkerControl) {
		lost = c.LoseAnswers > 0
		c.LoseAnswers = max(0, c.LoseAnswers-1)
	})
	if lost {
		drop()
	}
}

// status returns the status that tells an error of the table.
func status(err error) int {
	var f *leaser.FencedError
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &f):
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// reply answers a command.
func (w *Worker) reply(a http.ResponseWriter, err error) {
	w.loseAnswer()
	w.mu.Lock()
	c := connector.CommandResponse{Epoch: w.table.Seen().Epoch}
	w.mu.Unlock()
	if err != nil {
		c.Reason = err.Error()
	}
	answer(a, status(err), c)
}
