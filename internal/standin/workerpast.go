package standin

import (
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// WorkerEvent records the start or end of a task.
type WorkerEvent struct {
	Lease    leaser.ID    `json:"lease"`
	GangSize int          `json:"gang-size"`
	Event    string       `json:"event"` // "start" or "end"
	State    leaser.State `json:"state"` // state of the lease at the event
	Reason   string       `json:"reason"`
	AtMS     int64        `json:"at-ms"` // Unix milliseconds
}

// WorkerHistory is the response to GET /history.
type WorkerHistory struct {
	Events []WorkerEvent `json:"events"`
	Starts int           `json:"starts"`
}

// tableSnapshot is the lease table as of a given time.
type tableSnapshot struct {
	at    time.Time
	table leaser.Table
}

func (w *Worker) recordEvent(now time.Time, e WorkerEvent) {
	e.AtMS = now.UnixMilli()
	w.history.Events = append(w.history.Events, e)
}

// recordSnapshot adds the current table and discards snapshots older than the lag needs.
func (w *Worker) recordSnapshot(now time.Time) {
	w.snapshots = append(w.snapshots, tableSnapshot{at: now, table: w.table})
	w.snapshots = w.snapshots[w.snapshotIndex(now):]
}

// snapshotIndex returns the index of the latest snapshot that is at least LagMS old.
func (w *Worker) snapshotIndex(now time.Time) int {
	cutoff := now.Add(-milliseconds(w.control.get().LagMS))
	i := len(w.snapshots) - 1
	for i > 0 && w.snapshots[i].at.After(cutoff) {
		i--
	}
	return i
}

// laggedInventory returns the worker's inventory as of LagMS ago.
func (w *Worker) laggedInventory(now time.Time) leaser.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	lag := milliseconds(w.control.get().LagMS)
	return w.snapshots[w.snapshotIndex(now)].table.Inventory(now.Add(-lag))
}

func (w *Worker) handleHistory(a http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(a, http.StatusOK, w.history)
}
