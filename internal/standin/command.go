package standin

import (
	"net/http"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

func (w *Worker) inventory(a http.ResponseWriter, _ *http.Request) {
	answer(a, http.StatusOK, w.told(time.Now()))
}

func (w *Worker) fence(a http.ResponseWriter, r *http.Request) {
	var q connector.FenceRequest
	if !decode(a, r, &q) {
		return
	}
	err := w.change(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		return t.Fence(now, leaser.Token{Epoch: q.Epoch, Holder: q.VM})
	})
	if err != nil {
		w.reply(a, err)
		return
	}
	w.loseAnswer()
	w.mu.Lock()
	defer w.mu.Unlock()
	answer(a, http.StatusOK, w.table.Inventory(time.Now()))
}

func (w *Worker) renew(a http.ResponseWriter, r *http.Request) {
	var q connector.RenewRequest
	if !decode(a, r, &q) {
		return
	}
	_ = w.change(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		if i := t.Inventory(now).WithMark(); q.RenewKnown && i.Mark == q.Known {
			q.Renew = i.Running()
		}
		t = t.Renew(now, milliseconds(q.TTLMS), q.Renew)
		return t.Acknowledge(now, q.Acknowledged), nil
	})
	w.loseAnswer()
	answer(a, http.StatusOK, w.told(time.Now()).WithMark().Brief(q.Known))
}

func (w *Worker) prepare(a http.ResponseWriter, r *http.Request) {
	w.command(a, r, func(t leaser.Table, now time.Time, k leaser.Token, l leaser.Lease) (leaser.Table, error) {
		return t.Prepare(now, k, l)
	})
}

// checkpoint ends the task as checkpointed, or only says so.
func (w *Worker) checkpoint(a http.ResponseWriter, r *http.Request) {
	if w.control.get().IgnoreCheckpoint {
		w.command(a, r, func(t leaser.Table, now time.Time, k leaser.Token, _ leaser.Lease) (leaser.Table, error) {
			return t.Fence(now, k)
		})
		return
	}
	w.byID(leaser.Table.Checkpoint)(a, r)
}

// byID takes a command that needs only the id of the lease.
func (w *Worker) byID(f func(leaser.Table, time.Time, leaser.Token, leaser.ID) (leaser.Table, error)) http.HandlerFunc {
	return func(a http.ResponseWriter, r *http.Request) {
		w.command(a, r, func(t leaser.Table, now time.Time, k leaser.Token, l leaser.Lease) (leaser.Table, error) {
			return f(t, now, k, l.ID)
		})
	}
}

// command takes a command and answers it.
func (w *Worker) command(
	a http.ResponseWriter,
	r *http.Request,
	f func(leaser.Table, time.Time, leaser.Token, leaser.Lease) (leaser.Table, error),
) {
	var q connector.CommandRequest
	if !decode(a, r, &q) {
		return
	}
	err := w.change(func(t leaser.Table, now time.Time) (leaser.Table, error) {
		return f(t, now, leaser.Token{Epoch: q.Epoch, Holder: q.VM}, q.Lease)
	})
	w.reply(a, err)
}
