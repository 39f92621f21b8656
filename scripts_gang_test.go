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

// maxPart is how long a part of a gang may run: a lease and the age of the counts
// by which it is renewed, and as much again for a busy machine.
const maxPart = 2 * (leaser.TTL + 2*leaser.MaxCountAge)

// gang is an attempt of a job as the workers saw it.
type gang struct {
	starts, ends int
	partial      time.Duration // time in which some tasks ran and others had not started or had been stopped
	last         int64         // Unix milliseconds of the last event
	running      int
	size         int
}

// cmdGangsCheck reads what the tasks of workers did: gangs-check WORKER|FILE... A
// file is the history of a worker that was killed when the file was written. No
// task ran twice, and no attempt of a job ran in part for longer than leases
// last.
func cmdGangsCheck(t *testscript.TestScript, _ bool, a []string) {
	var events []standin.WorkerEvent
	for _, w := range a {
		events = append(events, history(t, w)...)
	}
	slices.SortStableFunc(events, func(a, b standin.WorkerEvent) int { return cmp.Compare(a.AtMS, b.AtMS) })
	started := map[leaser.ID]int{}
	gangs := map[string]*gang{}
	for _, e := range events {
		k := fmt.Sprintf("%s/%d", e.Lease.Job, e.Lease.Attempt)
		if gangs[k] == nil {
			gangs[k] = &gang{size: e.GangSize}
		}
		gangs[k].take(e)
		if e.Event == "start" {
			started[e.Lease]++
		}
		if started[e.Lease] > 1 {
			t.Fatalf("task %v started %d times", e.Lease, started[e.Lease])
		}
	}
	for k, g := range gangs {
		t.Logf("gang %s of %d: %d starts, %d ends, in part for %v", k, g.size, g.starts, g.ends, g.partial)
		if g.partial > maxPart {
			t.Fatalf("attempt %s ran in part for %v", k, g.partial)
		}
	}
}

// history returns the starts and ends of tasks on a worker, killed or not.
func history(t *testscript.TestScript, name string) []standin.WorkerEvent {
	var h standin.WorkerHistory
	if i, err := os.Stat(t.MkAbs(name)); err == nil {
		t.Check(json.Unmarshal([]byte(t.ReadFile(name)), &h))
		return withKill(h.Events, i.ModTime())
	}
	x := request(t, http.MethodGet, "http://"+t.Getenv(name)+"/history", "")
	t.Check(errors.Join(x.err(), json.Unmarshal([]byte(x.body), &h)))
	return h.Events
}

// withKill adds the ends of the tasks that ran when their worker was killed.
func withKill(events []standin.WorkerEvent, at time.Time) []standin.WorkerEvent {
	for _, e := range slices.Clone(events) {
		ended := slices.ContainsFunc(events, func(o standin.WorkerEvent) bool { return o.Lease == e.Lease && o.Event == "end" })
		if !ended {
			e.Event, e.AtMS = "end", at.UnixMilli()
			events = append(events, e)
		}
	}
	return events
}

// take counts an event.
func (g *gang) take(e standin.WorkerEvent) {
	if g.running > 0 && g.running < g.size {
		g.partial += time.Duration(e.AtMS-g.last) * time.Millisecond
	}
	g.last = e.AtMS
	switch {
	case e.Event == "start":
		g.starts++
		g.running++
	case e.State == leaser.StateSucceeded:
		g.ends++ // the others may go on without it
	default:
		g.ends++
		g.running--
	}
}
