package scheduler_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/node/elector"
)

const (
	rivalsStep      = 20 * time.Millisecond
	rivalsStopTime  = 150 * time.Millisecond
	rivalsHeartbeat = 1500 * time.Millisecond // of a worker's entry
	entryLifetime   = 3 * rivalsHeartbeat
	recentEntries   = 8500 * time.Millisecond // how far back a new leader reads entries of workers
	storeTimeout    = 800 * time.Millisecond  // of an append
	readTimeout     = 1200 * time.Millisecond // of a read, beyond its wait
	callMargin      = 600 * time.Millisecond  // of a call to a worker, beyond its wait
	retryDelay      = 100 * time.Millisecond  // of a call to the store
	gracePeriod     = 6 * time.Second         // of a VM that shuts down
	startTries      = 3                       // of a start without an answer
	crashesToFail   = 3                       // workers that must crash under a task before it may be given up
)

// rivals simulates several VMs, each of which may believe that it is the leader, their store
// and workers in virtual time.
type rivals struct {
	now, began time.Time
	rand       *rand.Rand // of latencies and of which calls a fault affects
	timers     rivalTimers
	lastTimer  int
	broken     string // what the world gets wrong on purpose

	vms       []*rivalVM
	workers   []*rivalWorker
	jobs      []scheduler.Submitted // by offset
	durations map[string]time.Duration

	storeDown     bool
	entriesExpire bool // while the store is down
	claims        []elector.Claim
	claimWaiters  []func()
	progress      map[string][]byte
	progressEpoch int64
	entries       []rivalEntry // records of the list of workers
	entriesFrom   int          // offset of the first retained one
	cloudDown     bool

	lateCalls  int // percent of the calls to workers that are carried out late
	lostClaims int // percent of the claims, renewals and releases that are lost, late or not answered

	lastStart map[scheduler.TaskID]time.Time
	doneAt    map[scheduler.TaskID]time.Time // end of the last acknowledged success
	lines     []rivalLine
	violation string

	// What the draws reach.
	starts, takeovers, expired, late, restarts int
	overlaps                                   int // steps with several leaders
}

// rivalLine is a line of the trace.
type rivalLine struct {
	at     time.Time
	format string
	args   []any
}

// rivalEntry is a record in the list of workers; a worker without an entry has expired.
type rivalEntry struct {
	worker *rivalWorker
	info   *scheduler.WorkerInfo
}

type rivalTimer struct {
	at time.Time
	n  int
	do func()
}

type rivalTimers []rivalTimer

func (t rivalTimers) Len() int      { return len(t) }
func (t rivalTimers) Swap(i, k int) { t[i], t[k] = t[k], t[i] }
func (t rivalTimers) Less(i, k int) bool {
	return t[i].at.Before(t[k].at) || (t[i].at.Equal(t[k].at) && t[i].n < t[k].n)
}

// Push implements heap.Interface.
func (t *rivalTimers) Push(v any) { *t = append(*t, v.(rivalTimer)) }

// Pop implements heap.Interface.
func (t *rivalTimers) Pop() any {
	v := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = rivalTimer{}
	*t = (*t)[:len(*t)-1]
	return v
}

func newRivals(seed uint64, vms, workers int, broken string) *rivals {
	w := &rivals{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), broken: broken,
		durations: map[string]time.Duration{}, progress: map[string][]byte{},
		lastStart: map[scheduler.TaskID]time.Time{}, doneAt: map[scheduler.TaskID]time.Time{},
	}
	w.began = w.now
	for i := range workers {
		w.addWorker(i)
	}
	for i := range vms {
		v := &rivalVM{w: w, name: fmt.Sprintf("vm-%d", i+1), links: make([]rivalLink, workers)}
		w.vms = append(w.vms, v)
		v.boot()
	}
	return w
}

func (w *rivals) after(d time.Duration, do func()) {
	w.lastTimer++
	heap.Push(&w.timers, rivalTimer{w.now.Add(d), w.lastTimer, do})
}

func (w *rivals) chance(percent int) bool { return percent > 0 && w.rand.IntN(100) < percent }

// between returns a time from least to most.
func (w *rivals) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Int64N(int64(most-least)+1))
}

func (w *rivals) log(format string, args ...any) {
	w.lines = append(w.lines, rivalLine{w.now, format, args})
}

// trace returns the lines that contain one of the words.
func (w *rivals) trace(words ...string) string {
	var b strings.Builder
	for _, l := range w.lines {
		line := fmt.Sprintf(l.format, l.args...)
		if slices.ContainsFunc(words, func(s string) bool { return strings.Contains(line, s) }) {
			fmt.Fprintf(&b, "%9.3f %s\n", l.at.Sub(w.began).Seconds(), line)
		}
	}
	return b.String()
}

// advance lets time pass. It returns false once the property is violated.
func (w *rivals) advance(d time.Duration) bool {
	for end := w.now.Add(d); w.now.Before(end) && w.violation == ""; {
		next := w.now.Add(rivalsStep)
		for len(w.timers) > 0 && !w.timers[0].at.After(next) {
			t := heap.Pop(&w.timers).(rivalTimer)
			w.now = t.at
			t.do()
		}
		w.now = next
		for _, v := range w.workers {
			v.step()
		}
		for _, v := range w.vms {
			v.decide()
		}
		w.check()
	}
	return w.violation == ""
}

// check notes if two runs of a task exist on workers that are up.
func (w *rivals) check() {
	leaders := 0
	for _, v := range w.vms {
		if v.up && v.term.running() {
			leaders++
		}
	}
	if leaders > 1 {
		w.overlaps++
	}
	at := map[scheduler.TaskID]*rivalWorker{}
	runs := map[scheduler.TaskID]int64{}
	for _, v := range w.workers {
		if !v.up {
			continue
		}
		for _, r := range v.runs {
			if other, ok := at[r.task]; ok && w.violation == "" {
				w.violation = fmt.Sprintf("at %.3f: run %d of task %v exists on %s and run %d on %s", w.now.Sub(w.began).Seconds(), runs[r.task], r.task, other.id, r.run, v.id)
			}
			at[r.task], runs[r.task] = v, r.run
		}
	}
}

// submit stores a job.
func (w *rivals) submit(tasks int, d time.Duration) {
	id := fmt.Sprintf("j%d", len(w.jobs))
	w.durations[id] = d
	w.jobs = append(w.jobs, scheduler.Submitted{
		Offset: int64(len(w.jobs)),
		Job: scheduler.Job{
			ID: id, Queue: "q", QueueConfig: rivalsQueue, AcceptedMS: w.now.UnixMilli(),
			Steps: []scheduler.Step{{Tasks: tasks, Need: rivalResources(1), EstimateMS: int(d.Milliseconds())}},
		},
	})
	w.log("job %s: %d tasks of %v", id, tasks, d)
}

// completed reports whether all jobs are completed. A job may fail if enough workers have
// restarted for it to be blamed.
func (w *rivals) completed() bool {
	all := w.readProgress()
	for _, j := range w.jobs {
		s := all[j.Job.ID].State
		if s != scheduler.StateCompleted && (s != scheduler.StateFailed || w.restarts < crashesToFail) {
			return false
		}
	}
	return true
}

// appendClaim appends to the topic of the leadership if it ends at an offset.
func (w *rivals) appendClaim(c elector.Claim, at int64) (int64, bool) {
	if int64(len(w.claims)) != at {
		return 0, false
	}
	if c.Epoch == 0 {
		c.Epoch = at + 1
		w.takeovers++
		w.log("claim: %s leads in epoch %d", c.Holder, c.Epoch)
	} else if c.Released {
		w.log("release: %s epoch %d", c.Holder, c.Epoch)
	}
	w.claims = append(w.claims, c)
	waiters := w.claimWaiters
	w.claimWaiters = nil
	for _, do := range waiters {
		do()
	}
	return at, true
}

// recentWorkers returns the listed workers and those whose entries have expired within the
// last records.
func (w *rivals) recentWorkers() []scheduler.WorkerInfo {
	all := w.listedWorkers()
	from := max(w.entriesFrom, len(w.entries)-(int(recentEntries/rivalsHeartbeat)+1)*(len(all)+1))
	for {
		recent := map[*rivalWorker]scheduler.WorkerInfo{}
		seen := map[*rivalWorker]bool{}
		for _, e := range w.entries[from:] {
			seen[e.worker] = true
			if e.info != nil {
				recent[e.worker] = *e.info
			}
		}
		more := max(w.entriesFrom, len(w.entries)-(int(recentEntries/rivalsHeartbeat)+1)*(len(seen)+1))
		if more < from {
			from = more
			continue
		}
		for _, v := range w.workers {
			if l, ok := recent[v]; ok && v.entry == nil {
				l.Expired = true
				all = append(all, l)
			}
		}
		slices.SortFunc(all, func(a, b scheduler.WorkerInfo) int { return strings.Compare(a.ID, b.ID) })
		return all
	}
}

func (w *rivals) listedWorkers() []scheduler.WorkerInfo {
	var all []scheduler.WorkerInfo
	for _, v := range w.workers {
		if v.entry != nil {
			all = append(all, *v.entry)
		}
	}
	return all
}

// machines returns the platform's list of machines.
func (w *rivals) machines() scheduler.MachinesListed {
	e := scheduler.MachinesListed{OK: true}
	for _, v := range w.workers {
		e.Machines = append(e.Machines, scheduler.Machine{ID: "m-" + v.id, Up: v.up, Worker: v.id, Pool: "s", Capacity: v.info.Capacity})
	}
	return e
}

// setStoreDown makes the store unavailable for all, or available again.
func (w *rivals) setStoreDown(down, expire bool) {
	w.storeDown, w.entriesExpire = down, expire
	if down {
		return
	}
	for _, v := range w.workers {
		v.wroteAt = w.now.Add(-rivalsHeartbeat).Add(w.between(0, rivalsHeartbeat)) // entries are back within two seconds
	}
}

// readProgress returns the stored progress of a job.
func (w *rivals) readProgress() map[string]scheduler.Progress {
	all := map[string]scheduler.Progress{}
	for id, b := range w.progress {
		var p scheduler.Progress
		if err := json.Unmarshal(b, &p); err != nil {
			panic(err)
		}
		all[id] = p
	}
	return all
}

// storeProgress stores the progress of jobs unless a newer leader has written.
func (w *rivals) storeProgress(epoch int64, all map[string]json.RawMessage) bool {
	if epoch < w.progressEpoch {
		return false
	}
	w.progressEpoch = epoch
	for id, b := range all {
		w.progress[id] = b
	}
	return true
}

func encodeProgress(all map[string]scheduler.Progress) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	for id, p := range all {
		b, err := json.Marshal(p)
		if err != nil {
			panic(err)
		}
		out[id] = b
	}
	return out
}
