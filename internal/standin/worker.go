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

// workerInterval is how often a worker checks for finished tasks and expired leases.
const workerInterval = 20 * time.Millisecond

// WorkerControl is the body of POST /control on a worker.
type WorkerControl struct {
	Paused           bool  `json:"paused"`            // block all requests and expire no leases until set to false
	SlowMS           int64 `json:"slow-ms"`           // delay before each request is processed
	FailEverything   bool  `json:"fail-everything"`   // tasks fail as soon as they start
	IgnoreCheckpoint bool  `json:"ignore-checkpoint"` // acknowledge checkpoint commands but keep the task running
	LagMS            int64 `json:"lag-ms"`            // age of the inventories returned
	LoseAnswers      int   `json:"lose-answers"`      // number of next commands that take effect but get no response
	LoseRequests     int   `json:"lose-requests"`     // number of next commands that have no effect and get no response
}

// Payload configures a task of a stand-in worker; it is the JSON payload of the
// lease.
type Payload struct {
	RunMS int64 `json:"run-ms"` // run time; 0 runs until stopped
	Fail  bool  `json:"fail"`   // the task ends as failed
}

// Worker is a stand-in for a worker of the platform; its tasks are timers.
type Worker struct {
	Table leaser.Table // initial lease table, as given to NewWorker

	mu        sync.Mutex
	table     leaser.Table
	snapshots []tableSnapshot // lease tables as far back as the inventory lag reaches, oldest first
	tasks     map[leaser.ID]task
	history   WorkerHistory
	control   control[WorkerControl]
	mux       *http.ServeMux
}

// task is a running task.
type task struct {
	endTime time.Time // zero for a task that runs until stopped
	fail    bool
}

// NewWorker returns a worker without leases.
func NewWorker(t leaser.Table) *Worker {
	w := &Worker{Table: t, table: t, tasks: map[leaser.ID]task{}, mux: http.NewServeMux()}
	w.snapshots = []tableSnapshot{{table: t}}
	w.mux.Handle("/control", &w.control)
	w.mux.HandleFunc("GET /history", w.handleHistory)
	w.mux.HandleFunc("GET /inventory", w.withFaults(w.handleInventory))
	w.mux.HandleFunc("POST /fence", w.withFaults(w.handleFence))
	w.mux.HandleFunc("POST /renew", w.withFaults(w.handleRenew))
	w.mux.HandleFunc("POST /prepare", w.withFaults(w.handlePrepare))
	w.mux.HandleFunc("POST /start", w.withFaults(w.commandByID(leaser.Table.Start)))
	w.mux.HandleFunc("POST /throttle", w.withFaults(w.commandByID(leaser.Table.Throttle)))
	w.mux.HandleFunc("POST /checkpoint", w.withFaults(w.handleCheckpoint))
	w.mux.HandleFunc("POST /stop", w.withFaults(w.commandByID(leaser.Table.Stop)))
	return w
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(a http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(a, r) }

// Run ends finished tasks and expires leases until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	t := time.NewTicker(workerInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if !w.control.get().Paused {
				w.endDueTasks()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// endDueTasks expires leases and ends the tasks whose run time is over.
func (w *Worker) endDueTasks() {
	_ = w.updateTable(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		t, _ = t.Expire(now)
		for _, l := range t.Running() {
			k := w.tasks[l.ID]
			if k.endTime.IsZero() || now.Before(k.endTime) {
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

// updateTable replaces the lease table, then reconciles the tasks with it.
func (w *Worker) updateTable(f func(leaser.Table, time.Time) (leaser.Table, error)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	t, err := f(w.table, now)
	w.table = t
	w.reconcileTasks(now)
	w.recordSnapshot(now)
	return err
}

// reconcileTasks starts tasks whose leases are running and ends those whose leases are over.
func (w *Worker) reconcileTasks(now time.Time) {
	running := map[leaser.ID]bool{}
	for _, l := range w.table.Running() {
		running[l.ID] = true
		if _, ok := w.tasks[l.ID]; !ok {
			w.tasks[l.ID] = newTask(now, l, w.control.get().FailEverything)
			w.history.Starts++
			w.recordEvent(now, WorkerEvent{Lease: l.ID, GangSize: l.GangSize, Event: "start", State: l.State})
		}
	}
	for _, l := range w.table.Ended() {
		if _, ok := w.tasks[l.ID]; ok && !running[l.ID] {
			delete(w.tasks, l.ID)
			w.recordEvent(now, WorkerEvent{Lease: l.ID, GangSize: l.GangSize, Event: "end", State: l.State, Reason: l.Reason})
		}
	}
}

func newTask(now time.Time, l leaser.Lease, fail bool) task {
	var p Payload
	_ = json.Unmarshal([]byte(l.Payload), &p) // with a payload in another format the task runs until stopped
	k := task{fail: p.Fail || fail}
	if p.RunMS > 0 {
		k.endTime = now.Add(milliseconds(p.RunMS))
	}
	if fail {
		k.endTime = now
	}
	return k
}

// withFaults applies the faults common to all requests before calling the handler.
func (w *Worker) withFaults(f http.HandlerFunc) http.HandlerFunc {
	return func(a http.ResponseWriter, r *http.Request) {
		sleep(r.Context(), milliseconds(w.control.get().SlowMS))
		w.control.wait(r.Context(), func(c WorkerControl) bool { return !c.Paused })
		lost := false
		if r.Method == http.MethodPost {
			w.control.update(func(c *WorkerControl) {
				lost = c.LoseRequests > 0
				c.LoseRequests = max(0, c.LoseRequests-1)
			})
		}
		if lost {
			dropConnection()
		}
		f(a, r)
	}
}

// dropLostAnswer drops the connection if the response is to be lost.
func (w *Worker) dropLostAnswer() {
	lost := false
	w.control.update(func(c *WorkerControl) {
		lost = c.LoseAnswers > 0
		c.LoseAnswers = max(0, c.LoseAnswers-1)
	})
	if lost {
		dropConnection()
	}
}

// statusCode returns the HTTP status for an error of the lease table.
func statusCode(err error) int {
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

// respond sends the response to a command.
func (w *Worker) respond(a http.ResponseWriter, err error) {
	w.dropLostAnswer()
	w.mu.Lock()
	c := connector.CommandResponse{Epoch: w.table.HighestToken().Epoch}
	w.mu.Unlock()
	if err != nil {
		c.Reason = err.Error()
	}
	writeJSON(a, statusCode(err), c)
}
