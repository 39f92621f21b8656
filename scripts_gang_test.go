package main_test

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
)

// maxPartialRun is how long a gang may run with only some of its tasks: the lease TTL plus
// the age of the task counts by which leases are renewed, doubled for a busy machine.
const maxPartialRun = 2 * (leaser.TTL + 2*leaser.MaxCountAge)

// gangAttempt is one attempt of a job, computed from the events of the workers.
type gangAttempt struct {
	starts, ends int
	partial      time.Duration // total time in which some tasks ran and others had not started or were stopped
	last         int64         // time of the last event, Unix milliseconds
	running      int
	size         int
}

// cmdGangsCheck checks the task histories of workers: gangs-check WORKER|FILE... FILE is
// the saved history of a worker that was killed when the file was written. No task may
// have run twice, and no attempt of a job may have run with only some of its tasks for
// longer than maxPartialRun.
func cmdGangsCheck(t *testscript.TestScript, _ bool, a []string) {
	var events []standin.WorkerEvent
	for _, w := range a {
		events = append(events, workerEvents(t, w)...)
	}
	slices.SortStableFunc(events, func(a, b standin.WorkerEvent) int { return cmp.Compare(a.AtMS, b.AtMS) })
	started := map[leaser.ID]int{}
	gangs := map[string]*gangAttempt{}
	for _, e := range events {
		k := fmt.Sprintf("%s/%d", e.Lease.Job, e.Lease.Attempt)
		if gangs[k] == nil {
			gangs[k] = &gangAttempt{size: e.GangSize}
		}
		gangs[k].add(e)
		if e.Event == "start" {
			started[e.Lease]++
		}
		if started[e.Lease] > 1 {
			t.Fatalf("task %v started %d times", e.Lease, started[e.Lease])
		}
	}
	for k, g := range gangs {
		t.Logf("gang %s of %d tasks: %d starts, %d ends, partially running for %v", k, g.size, g.starts, g.ends, g.partial)
		if g.partial > maxPartialRun {
			t.Fatalf("attempt %s ran with only some of its tasks for %v", k, g.partial)
		}
	}
}

// workerEvents returns the starts and ends of tasks on a worker: from the file of that
// name if there is one, else from the running worker.
func workerEvents(t *testscript.TestScript, name string) []standin.WorkerEvent {
	var h standin.WorkerHistory
	if i, err := os.Stat(t.MkAbs(name)); err == nil {
		t.Check(json.Unmarshal([]byte(t.ReadFile(name)), &h))
		return endKilledTasks(h.Events, i.ModTime())
	}
	x := request(t, http.MethodGet, "http://"+t.Getenv(name)+"/history", "")
	t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &h)))
	return h.Events
}

// endKilledTasks adds an end event for each task that was running when its worker was
// killed.
func endKilledTasks(events []standin.WorkerEvent, at time.Time) []standin.WorkerEvent {
	for _, e := range slices.Clone(events) {
		ended := slices.ContainsFunc(events, func(o standin.WorkerEvent) bool { return o.Lease == e.Lease && o.Event == "end" })
		if !ended {
			e.Event, e.AtMS = "end", at.UnixMilli()
			events = append(events, e)
		}
	}
	return events
}

// add counts an event. Events are added in the order of time.
func (g *gangAttempt) add(e standin.WorkerEvent) {
	if g.running > 0 && g.running < g.size {
		g.partial += time.Duration(e.AtMS-g.last) * time.Millisecond
	}
	g.last = e.AtMS
	switch {
	case e.Event == "start":
		g.starts++
		g.running++
	case e.State == leaser.StateSucceeded:
		g.ends++ // the other tasks may run on after it
	default:
		g.ends++
		g.running--
	}
}
