package reducer_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func (w *cluster) append(f reducer.AppendRecord, reply func(reducer.Event)) {
	e := reducer.AppendEnded{Record: f.Record}
	if w.logDown {
		e.Err = "log is down"
		reply(e)
		return
	}
	at := int64(len(w.records) + 1)
	w.records = append(w.records, reducer.RecordRead{Offset: at, Appended: w.now, Record: f.Record})
	if c, ok := f.Record.(reducer.LeaderClaimed); ok && c.Previous == w.term {
		w.term = at
	}
	w.termAt[at] = w.term
	if w.lostAppendAnswers > 0 {
		w.lostAppendAnswers--
		e.Err = "no answer"
	}
	reply(e)
}

func (w *cluster) worker(id string) *fakeWorker {
	for _, k := range w.workers {
		if k.table.Worker == id {
			return k
		}
	}
	panic("no worker " + id)
}

func (w *cluster) fence(v *vm, f reducer.Fence, reply func(reducer.Event)) {
	k := w.worker(f.Worker)
	c := reducer.Command{Kind: reducer.CommandFence, Worker: f.Worker, Epoch: f.Epoch}
	if !k.reachable(v) || k.consume(k.lostCommands, reducer.CommandFence) {
		w.after(2*time.Second, func() { reply(reducer.CommandEnded{Command: c, Result: reducer.CommandUnreachable}) })
		return
	}
	var err error
	k.table, err = k.table.Fence(w.now, leaser.Token{Epoch: f.Epoch, Holder: v.id})
	if err != nil {
		reply(reducer.CommandEnded{Command: c, Result: reducer.CommandFenced, HighestEpoch: k.table.HighestToken().Epoch})
		return
	}
	reply(reducer.InventoryRead{Epoch: f.Epoch, SentAt: f.SentAt, Inventory: k.table.Inventory(w.now)})
}

func (k *fakeWorker) reachable(v *vm) bool {
	return !k.down && !k.unreachable && !k.paused && k.unreachableFrom != v.id
}

func (k *fakeWorker) consume(m map[reducer.CommandKind]int, c reducer.CommandKind) bool {
	m[c]--
	return m[c] >= 0
}

func (w *cluster) command(v *vm, f reducer.Command, reply func(reducer.Event)) {
	k := w.worker(f.Worker)
	e := reducer.CommandEnded{Command: f, Result: reducer.CommandUnreachable}
	lost := w.rng.IntN(100) < w.lossPercent
	if !k.reachable(v) || lost || k.consume(k.lostCommands, f.Kind) {
		w.after(2*time.Second, func() { reply(e) })
		return
	}
	err := w.execute(k, leaser.Token{Epoch: f.Epoch, Holder: v.id}, f)
	if w.rng.IntN(100) < w.lossPercent || k.consume(k.lostAnswers, f.Kind) {
		w.after(2*time.Second, func() { reply(e) })
		return
	}
	e.HighestEpoch = k.table.HighestToken().Epoch
	e.Result = reducer.CommandDone
	if err != nil {
		e.Result = reducer.CommandRefused
		e.Reason = err.Error()
		if strings.Contains(e.Reason, "fenced") {
			e.Result = reducer.CommandFenced
		}
		if strings.Contains(e.Reason, leaser.ErrInsufficientResources.Error()) {
			w.noRoomCount++
		}
	}
	reply(e)
}

func (w *cluster) execute(k *fakeWorker, token leaser.Token, f reducer.Command) error {
	var err error
	id := f.Lease.ID
	switch f.Kind {
	case reducer.CommandPrepare:
		k.table, err = k.table.Prepare(w.now, token, f.Lease)
	case reducer.CommandStart:
		before := len(k.table.Running())
		k.table, err = k.table.Start(w.now, token, id)
		if len(k.table.Running()) > before {
			w.taskStarted(k, id)
		}
	case reducer.CommandCheckpoint:
		if !k.ignoresCheckpoints {
			k.table, err = k.table.Checkpoint(w.now, token, id)
		}
	case reducer.CommandStop:
		k.table, err = k.table.Stop(w.now, token, id)
	case reducer.CommandThrottle:
		k.table, err = k.table.Throttle(w.now, token, id)
	case reducer.CommandFence:
	}
	return err
}

// taskStarted counts the start of a task and schedules its end as its payload says: a
// duration, optionally followed by "once" and "fail".
func (w *cluster) taskStarted(k *fakeWorker, id leaser.ID) {
	w.startCount[fmt.Sprintf("%s/%d", id.Job, id.Task)]++
	var payload string
	for _, l := range k.table.Running() {
		if l.ID == id {
			payload = l.Payload
		}
	}
	fields := strings.Fields(payload)
	if slices.Contains(fields, "once") && w.startCount[fmt.Sprintf("%s/%d", id.Job, id.Task)] > 1 {
		w.addViolation("non-idempotent task %v started again", id)
	}
	d, err := time.ParseDuration(fields[0])
	if err != nil {
		w.addViolation("task %v has payload %q", id, payload)
	}
	state := leaser.StateSucceeded
	if slices.Contains(fields, "fail") || k.failing {
		state = leaser.StateFailed
	}
	if k.failing {
		d = 0
	}
	w.after(d, func() { w.endTask(k, id, state) })
}

func (w *cluster) endTask(k *fakeWorker, id leaser.ID, s leaser.State) {
	if k.paused {
		w.after(time.Second, func() { w.endTask(k, id, s) })
		return
	}
	k.table, _ = k.table.End(w.now, id, s, "by itself")
}
