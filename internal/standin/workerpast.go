package standin

import (
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// WorkerEvent is a start or an end of a task.
type WorkerEvent struct {
	Lease    leaser.ID    `json:"lease"`
	GangSize int          `json:"gang-size"`
	Event    string       `json:"event"` // "start" or "end"
	State    leaser.State `json:"state"` // in which it ended
	Reason   string       `json:"reason"`
	AtMS     int64        `json:"at-ms"` // Unix milliseconds
}

// WorkerHistory answers GET /history.
type WorkerHistory struct {
	Events []WorkerEvent `json:"events"`
	Starts int           `json:"starts"`
}

// workerPast is a table as it was from a time on.
type workerPast struct {
	at    time.Time
	table leaser.Table
}

func (w *Worker) note(now time.Time, e WorkerEvent) {
	e.AtMS = now.UnixMilli()
	w.history.Events = append(w.history.Events, e)
}

// remember keeps the tables that a lag can ask for.
func (w *Worker) remember(now time.Time) {
	w.past = append(w.past, workerPast{at: now, table: w.table})
	w.past = w.past[w.pastAt(now):]
}

// pastAt returns the place of the table that a lagging inventory tells.
func (w *Worker) pastAt(now time.Time) int {
	then := now.Add(-milliseconds(w.control.get().LagMS))
	i := len(w.past) - 1
	for i > 0 && w.past[i].at.After(then) {
		i--
	}
	return i
}

// told returns the inventory as far as the lag lets it be known.
func (w *Worker) told(now time.Time) leaser.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	lag := milliseconds(w.control.get().LagMS)
	return w.past[w.pastAt(now)].table.Inventory(now.Add(-lag))
}

func (w *Worker) tellHistory(a http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer(a, http.StatusOK, w.history)
}
