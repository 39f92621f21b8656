package scheduler_test

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What -rivals.break can bring back.
const (
	breakLeases = "leases" // each hold extends the leases for as long as workers grant
	breakStarts = "starts" // starts are sent however late they are
)

const foreignToken = 1 << 40 // above all epochs

var rivalsBreak = flag.String("rivals.break", "", "earlier behaviour to bring back, to show that the property fails with it: leases or starts")

// drawnRivals draws faults and injects them.
type drawnRivals struct {
	*rivals

	t *rapid.T
}

func (d *drawnRivals) number(name string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.t, name)
}

// seconds draws a time in steps of 100 ms.
func (d *drawnRivals) seconds(name string, least, most float64) time.Duration {
	return time.Duration(d.number(name, int(10*least), int(10*most))) * 100 * time.Millisecond
}

// leader returns the VM that leads in the highest epoch.
func (d *drawnRivals) leader() *rivalVM {
	best := d.vms[0]
	for _, v := range d.vms {
		if v.up && v.term.running() && (!best.term.running() || v.term.epoch > best.term.epoch) {
			best = v
		}
	}
	return best
}

// vm draws a VM, often the leader.
func (d *drawnRivals) vm() *rivalVM {
	if n := d.number("vm", 0, 2*len(d.vms)-1); n < len(d.vms) {
		return d.vms[n]
	}
	return d.leader()
}

func (d *drawnRivals) worker() *rivalWorker {
	return d.workers[d.number("worker", 0, len(d.workers)-1)]
}

// cut cuts a link for a while.
func (w *rivals) cut(l *rivalLink, mode string, refused bool, d time.Duration) {
	l.cuts++
	n := l.cuts
	l.requestsLost, l.answersLost, l.refused = mode != "answers", mode != "requests", refused
	w.after(d, func() {
		if l.cuts == n {
			*l = rivalLink{cuts: n}
		}
	})
}

func (d *drawnRivals) mode() (string, bool) {
	return rapid.SampledFrom([]string{"both", "both", "requests", "answers"}).Draw(d.t, "mode"), rapid.Bool().Draw(d.t, "refused")
}

// inject injects a drawn fault.
func (d *drawnRivals) inject() {
	kind := rapid.SampledFrom([]string{
		"job", "job", "matrix", "only-leader", "takeover", "takeover", "takeover", "store-cut", "store-cut", "store-down", "release", "release", "kill", "freeze", "freeze-at-start",
		"late-calls", "lost-claims", "restart", "restart-behind-cut", "no-heartbeats", "no-machines", "slow-reads", "foreign-token",
	}).Draw(d.t, "fault")
	switch kind {
	case "job":
		d.submit(d.number("tasks", 1, 4), d.seconds("duration", 0.5, 40))
	case "matrix":
		mode, refused := d.mode()
		percent := d.number("percent", 10, 70)
		d.log("fault: %d %% of the links to workers are cut: %s, refused %t", percent, mode, refused)
		for _, v := range d.vms {
			for i := range v.links {
				if d.chance(percent) {
					d.cut(&v.links[i], mode, refused, d.seconds("time", 1, 25))
				}
			}
		}
	case "only-leader":
		d.cutOffOthers(5)
	case "takeover":
		d.takeOver()
	case "store-cut":
		v, span := d.vm(), d.seconds("time", 1, 25)
		mode, refused := d.mode()
		d.log("fault: %s does not reach the store for %v: %s", v.name, span, mode)
		d.cut(&v.storeLink, mode, refused, span)
	case "store-down":
		d.takeStoreDown()
	case "release":
		d.vm().shutDown(d.seconds("down", 0.5, 5))
	case "kill":
		d.vm().exit(d.seconds("down", 0.5, 5))
	case "freeze":
		d.vm().freeze(d.seconds("time", 0.5, 15))
	case "freeze-at-start":
		d.freezeAtStart()
	default:
		d.injectLoss(kind)
	}
}

// takeOver lets another VM take the leadership over while some workers are cut off from it,
// and lets the time pass in which it may conclude that their runs have ended.
func (d *drawnRivals) takeOver() {
	leader := d.leader()
	if d.number("workers are cut off", 0, 3) > 0 {
		d.cutOffOthers(12)
	}
	d.run(d.seconds("before", 0, 1))
	switch rapid.SampledFrom([]string{"store-cut", "release", "freeze", "kill"}).Draw(d.t, "how") {
	case "store-cut":
		d.log("fault: %s does not reach the store", leader.name)
		d.cut(&leader.storeLink, "both", rapid.Bool().Draw(d.t, "refused"), d.seconds("time", 4, 25))
	case "release":
		leader.shutDown(d.seconds("down", 0.5, 5))
	case "freeze":
		leader.freeze(d.seconds("time", 2.5, 15))
	case "kill":
		leader.exit(d.seconds("down", 0.5, 5))
	}
	if d.number("crash", 0, 2) == 0 {
		d.crashBusy()
	}
	for range d.number("more faults", 0, 2) {
		d.run(d.seconds("wait", 0, 3))
		d.inject()
	}
	d.run(d.seconds("after", 0, 14))
}

// crashBusy restarts workers that run something or have ends that are not acknowledged, one
// after the other.
func (d *drawnRivals) crashBusy() {
	for range d.number("crashes", 1, 2) {
		d.run(d.seconds("crash after", 0, 7))
		busy := slices.DeleteFunc(slices.Clone(d.workers), func(x *rivalWorker) bool { return x.lastEnd == 0 && len(x.runs) == 0 })
		if len(busy) > 0 {
			busy[d.number("busy", 0, len(busy)-1)].restart(d.seconds("down", 1.5, 6))
		}
	}
}

// cutOffOthers cuts some workers off from all VMs but the leader, and perhaps the others from
// the leader, for a time in seconds.
func (d *drawnRivals) cutOffOthers(least float64) {
	leader, span := d.leader(), d.seconds("time", least, 25)
	mode, refused := d.mode()
	split := rapid.Bool().Draw(d.t, "split")
	for i, x := range d.workers {
		only := d.chance(50)
		if !only && !split {
			continue
		}
		d.log("fault: %s is reached by %s: %t, by others: %t, for %v: %s, refused %t", x.id, leader.name, only, !only, span, mode, refused)
		for _, v := range d.vms {
			if only != (v == leader) {
				d.cut(&v.links[i], mode, refused, span)
			}
		}
	}
}

// freezeAtStart lets the leader stand still once it has decided a start, which it sends late,
// perhaps to a later instance of the worker that no other VM reaches.
func (d *drawnRivals) freezeAtStart() {
	leader, span := d.leader(), d.seconds("time", 0.5, 15)
	restart, cut, down := rapid.Bool().Draw(d.t, "restart"), rapid.Bool().Draw(d.t, "cut"), d.seconds("down", 1.5, 5)
	leader.atStart = func(i int) {
		leader.freeze(span)
		if restart {
			d.workers[i].restart(down)
		}
		for _, v := range d.vms {
			if cut && v != leader {
				d.cut(&v.links[i], "both", true, 20*time.Second)
			}
		}
	}
	d.submit(d.number("tasks", 1, 2), d.seconds("duration", 10, 40))
	d.run(d.seconds("after", 0, 14))
}

func (d *drawnRivals) takeStoreDown() {
	if d.storeDown {
		return
	}
	span := d.seconds("time", 0.5, 9)
	d.log("fault: the store is down for %v", span)
	d.setStoreDown(true, rapid.Bool().Draw(d.t, "entries expire"))
	d.after(span, func() { d.setStoreDown(false, false) })
}

// injectLoss injects faults of calls, workers and lists.
func (d *drawnRivals) injectLoss(kind string) {
	span := d.seconds("time", 1, 20)
	switch kind {
	case "late-calls":
		d.lateCalls = d.number("percent", 5, 40)
		d.log("fault: %d %% of the calls to workers are late", d.lateCalls)
		d.after(span, func() { d.lateCalls = 0 })
	case "lost-claims":
		d.lostClaims = d.number("percent", 10, 80)
		d.log("fault: %d %% of the claims are lost", d.lostClaims)
		d.after(span, func() { d.lostClaims = 0 })
	case "restart":
		d.worker().restart(d.seconds("down", 1.5, 6))
	case "restart-behind-cut":
		x, v := d.worker(), d.vm()
		mode, refused := d.mode()
		for i := range d.workers {
			if d.workers[i] == x {
				d.cut(&v.links[i], mode, refused, span)
			}
		}
		d.log("fault: %s does not reach %s for %v: %s", v.name, x.id, span, mode)
		x.restart(d.seconds("down", 1.5, 6))
	case "no-heartbeats":
		x := d.worker()
		x.noStore = true
		d.log("fault: %s does not reach the store for %v", x.id, span)
		d.after(span, func() { x.noStore = false })
	case "no-machines":
		d.cloudDown = true
		d.after(span, func() { d.cloudDown = false })
	case "foreign-token":
		x := d.workers[0] // one only: the others must do its work until it restarts
		d.log("fault: another system calls %s with a high fencing token", x.id)
		x.epoch = foreignToken
	case "slow-reads":
		v := d.vm()
		v.readDelay = d.seconds("delay", 0.1, 1.5)
		d.after(span, func() { v.readDelay = 0 })
	}
}

// heal ends all faults.
func (d *drawnRivals) heal() {
	d.log("all faults end")
	d.setStoreDown(false, false)
	d.cloudDown, d.lateCalls, d.lostClaims = false, 0, 0
	for _, v := range d.vms {
		v.readDelay, v.atStart = 0, nil
		for i := range v.links {
			v.links[i] = rivalLink{cuts: v.links[i].cuts + 1}
		}
		v.storeLink = rivalLink{cuts: v.storeLink.cuts + 1}
	}
	for _, x := range d.workers {
		x.noStore = false
	}
}

// run lets time pass, and fails the test if the property is violated.
func (d *drawnRivals) run(span time.Duration) {
	if d.advance(span) {
		return
	}
	words := []string{"fault", "stands still", "goes on", "lead", "shuts down", " ends, again", "recovery", "claim", "release", "restart", "is up again"}
	if _, rest, ok := strings.Cut(d.violation, "of task {"); ok {
		id, _, _ := strings.Cut(rest, "}")
		words = append(words, "{"+id+"}")
	}
	d.t.Fatalf("%s, after:\n%s", d.violation, d.trace(words...))
}

// TestOneRunPerTaskUnderRivalLeaders draws faults of VMs, links, the store and workers. No
// two runs of a task may exist on workers that are up, and no task may start after an
// acknowledged success; all jobs complete after the last fault.
func TestOneRunPerTaskUnderRivalLeaders(t *testing.T) {
	fixSeed(t, "32")
	var draws, starts, takeovers, overlaps, expired, late int
	rapid.Check(t, func(t *rapid.T) {
		w := newRivals(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "vms"), rapid.IntRange(4, 10).Draw(t, "workers"), *rivalsBreak)
		d := &drawnRivals{w, t}
		for range d.number("jobs", 1, 4) {
			d.submit(d.number("tasks", 1, 4), d.seconds("duration", 5, 40))
		}
		d.run(d.seconds("begin", 1, 5))
		for range d.number("faults", 3, 16) {
			d.inject()
			d.run(d.seconds("wait", 0, 5))
		}
		d.heal()
		for range 180 {
			if d.run(time.Second); d.completed() {
				break
			}
		}
		if !d.completed() {
			t.Fatalf("not all jobs complete after:\n%s", d.trace(""))
		}
		draws++
		starts, takeovers, expired, late = starts+d.starts, takeovers+d.takeovers, expired+d.expired, late+d.late
		if d.overlaps > 0 {
			overlaps++
		}
	})
	t.Logf("%d draws: %d starts, %d takeovers, %d draws with several leaders at once, %d expired leases, %d late calls", draws, starts, takeovers, overlaps, expired, late)
	if overlaps < draws/4 || takeovers < 2*draws {
		t.Error("too few draws reach the state to check")
	}
}

// fixSeed lets a property draw from another seed than the package's, unless the command line
// has a seed.
func fixSeed(t *testing.T, seed string) {
	t.Helper()
	f := flag.Lookup("rapid.seed")
	if before := f.Value.String(); before == packageSeed {
		_ = f.Value.Set(seed)
		t.Cleanup(func() { _ = f.Value.Set(before) })
	}
}
