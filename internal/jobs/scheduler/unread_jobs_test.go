package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
)

// unreadWorld is a leader that has not read all jobs yet. w1 runs a task of the job "a", which
// is not known.
type unreadWorld struct {
	*restartWorld

	running []scheduler.Running
	stops   int
	clock   int64
}

func newUnreadWorld() *unreadWorld {
	w := &unreadWorld{
		restartWorld: newRestartWorld(), clock: oldClock,
		running: []scheduler.Running{{Task: scheduler.TaskID{Job: "a"}, Run: 7, Percent: 1}},
	}
	w.s.JobsUnread = true
	return w
}

// wait lets time pass. w1 answers each hold.
func (w *unreadWorld) wait(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now, w.clock = w.now.Add(step), w.clock+step.Milliseconds()
		w.feed(scheduler.Confirmed{Sent: w.now}, scheduler.Ticked{})
		pending := w.pending
		w.pending = nil
		for _, f := range pending {
			switch f.(type) {
			case scheduler.Hold:
				w.feed(scheduler.HoldResult{Worker: "w1", Sent: w.now, Outcome: scheduler.OutcomeDone, ClockMS: w.clock, StartedMS: 1, Running: w.running})
			case scheduler.Stop:
				w.stops++
			}
		}
	}
}

// A partition that can't be read may hold the job of a run that nobody knows. The run must be
// kept until all have been read, and be adopted by its job even long after the recovery.
func TestRunOfAnUnreadJobIsKeptUntilAllJobsAreRead(t *testing.T) {
	for _, found := range []bool{false, true} {
		is := is.New(t)
		w := newUnreadWorld()
		w.wait(20 * time.Second)
		is.Equal(w.stops, 0)
		if found {
			w.feed(inheritedJob("a"))
		}
		w.feed(scheduler.JobsRead{})
		w.wait(time.Second)
		is.Equal(w.stops, 0)
		w.wait(10 * time.Second)
		is.Equal(w.stops > 0, !found)
		is.True(!slices.ContainsFunc(w.starts, func(v scheduler.Start) bool { return v.Task.Job == "a" }))
	}
}

// The lease of a run may have expired before its job was read. The run is not known then, so the
// task must not start before the store has the mark that earlier runs do not count.
func TestLateInheritedJobStartsAfterItsMarkIsStored(t *testing.T) {
	is := is.New(t)
	w := newUnreadWorld()
	w.running = nil
	w.wait(2 * time.Second)
	before := len(w.starts)
	var marked bool
	for _, f := range w.s.Reduce(w.now, inheritedJob("a"), scheduler.JobsRead{}) {
		if v, ok := f.(scheduler.Store); ok {
			marked = len(v.Progress["a"].Abandoned) > 0
		}
		if _, ok := f.(scheduler.Start); ok {
			t.Error("the task is started before the mark is stored")
		}
	}
	is.True(marked)
	w.feed(scheduler.Stored{})
	w.wait(time.Second)
	is.Equal(len(w.starts), before+1)
}
