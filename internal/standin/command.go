package standin

import (
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

func (w *Worker) handleInventory(a http.ResponseWriter, _ *http.Request) {
	writeJSON(a, http.StatusOK, w.laggedInventory(time.Now()))
}

func (w *Worker) handleFence(a http.ResponseWriter, r *http.Request) {
	var q connector.FenceRequest
	if !decode(a, r, &q) {
		return
	}
	err := w.updateTable(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		return t.Fence(now, leaser.Token{Epoch: q.Epoch, Holder: q.VM})
	})
	if err != nil {
		w.respond(a, err)
		return
	}
	w.dropLostAnswer()
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(a, http.StatusOK, w.table.Inventory(time.Now()))
}

func (w *Worker) handleRenew(a http.ResponseWriter, r *http.Request) {
	var q connector.RenewRequest
	if !decode(a, r, &q) {
		return
	}
	_ = w.updateTable(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		if i := t.Inventory(now).WithMark(); q.RenewKnown && i.Mark == q.Known {
			q.Renew = i.Running()
		}
		t = t.Renew(now, milliseconds(q.TTLMS), q.Renew)
		return t.Acknowledge(now, q.Acknowledged), nil
	})
	w.dropLostAnswer()
	writeJSON(a, http.StatusOK, w.laggedInventory(time.Now()).WithMark().OmitIfUnchanged(q.Known))
}

func (w *Worker) handlePrepare(a http.ResponseWriter, r *http.Request) {
	w.handleCommand(a, r, func(t leaser.Table, now time.Time, k leaser.Token, l leaser.Lease) (leaser.Table, error) {
		return t.Prepare(now, k, l)
	})
}

// handleCheckpoint ends the task as checkpointed, or with IgnoreCheckpoint only acknowledges the command.
func (w *Worker) handleCheckpoint(a http.ResponseWriter, r *http.Request) {
	if w.control.get().IgnoreCheckpoint {
		w.handleCommand(a, r, func(t leaser.Table, now time.Time, k leaser.Token, _ leaser.Lease) (leaser.Table, error) {
			return t.Fence(now, k)
		})
		return
	}
	w.commandByID(leaser.Table.Checkpoint)(a, r)
}

// commandByID handles a command that needs only the lease's id.
func (w *Worker) commandByID(f func(leaser.Table, time.Time, leaser.Token, leaser.ID) (leaser.Table, error)) http.HandlerFunc {
	return func(a http.ResponseWriter, r *http.Request) {
		w.handleCommand(a, r, func(t leaser.Table, now time.Time, k leaser.Token, l leaser.Lease) (leaser.Table, error) {
			return f(t, now, k, l.ID)
		})
	}
}

// handleCommand decodes a command, applies it to the lease table and replies.
func (w *Worker) handleCommand(
	a http.ResponseWriter,
	r *http.Request,
	f func(leaser.Table, time.Time, leaser.Token, leaser.Lease) (leaser.Table, error),
) {
	var q connector.CommandRequest
	if !decode(a, r, &q) {
		return
	}
	err := w.updateTable(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		return f(t, now, leaser.Token{Epoch: q.Epoch, Holder: q.VM}, q.Lease)
	})
	w.respond(a, err)
}
