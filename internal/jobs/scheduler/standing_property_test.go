package scheduler_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// drawnScript draws the lines of a script and runs each at once, so that a failure prints a
// script that shows it.
type drawnScript struct {
	t          *rapid.T
	w          *world
	commands   scripter.Commands
	lines      []string
	racks      []string
	rackSize   int // of the largest one
	jobs       int
	advised    bool
	deadlyJobs int
	occupied   bool
	waves      int
	workers    int
}

func newDrawnScript(t *rapid.T) *drawnScript {
	w := newWorld()
	return &drawnScript{t: t, w: w, commands: w.commands()}
}

// do runs a line.
func (d *drawnScript) do(format string, a ...any) {
	line := strings.TrimSpace(fmt.Sprintf(format, a...))
	d.lines = append(d.lines, line)
	if err := d.commands.Do(strings.Fields(line)); err != nil {
		d.t.Fatalf("%v, after this script:\n%s", err, strings.Join(d.lines, "\n"))
	}
}

func (d *drawnScript) number(name string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.t, name)
}

func (d *drawnScript) chance(name string, percent int) bool {
	return d.number(name, 1, 100) <= percent
}

func (d *drawnScript) pick(name string, from ...string) string {
	return rapid.SampledFrom(from).Draw(d.t, name)
}

// wait waits for a drawn time in steps of 100 ms.
func (d *drawnScript) wait(least, most time.Duration) {
	const unit = 100 * time.Millisecond
	d.do("after %v", time.Duration(d.number("wait", int(least/unit), int(most/unit)))*unit)
}

// anyWorker returns a worker that is alive.
func (d *drawnScript) anyWorker() string {
	var all []string
	for _, id := range slices.Sorted(maps.Keys(d.w.workers)) {
		if d.w.workers[id].alive {
			all = append(all, id)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return d.pick("worker", all...)
}

// addQueues adds queues of all kinds.
func (d *drawnScript) addQueues() {
	d.do("queue u 0 %d", d.number("attempts", 2, 4))
	d.do("queue q 1 %d", d.number("attempts", 2, 9))
	d.do("queue b 2 %d", d.number("attempts", 2, 4))
	if d.chance("guarantee", 50) {
		d.do("guarantee o %d", d.number("guaranteed", 1, 16))
	}
}

// addSite adds racks of different sizes, labels, a second pool and a queue with advice.
func (d *drawnScript) addSite() {
	accelerators := d.pick("accelerators", "8", "8", "4")
	d.rackSize = d.number("largest rack", 1, 4)
	for r := range d.number("racks", 2, 5) {
		rack, size := fmt.Sprintf("r%d", r+1), d.rackSize
		d.racks = append(d.racks, rack)
		if d.chance("smaller", 30) {
			size = d.number("size", 1, d.rackSize)
		}
		for range size {
			d.workers++
			d.do("worker w%d %s %s", d.workers, rack, accelerators)
			if d.chance("labelled", 30) {
				d.do("label w%d special", d.workers)
			}
		}
	}
	d.addQueues()
	if d.chance("second pool", 30) {
		d.do("pool s")
		d.do("%s t", d.pick("pool", "pool", "standby-pool"))
		for i := range d.number("size", 1, 3) {
			d.do("worker-of t v%d r1 8", i+1)
		}
		d.do("queue-of t p 1 2")
	}
	if d.chance("advice", 30) {
		d.advised = true
		d.do("advised-queue v %dms", 100*d.number("validity", 6, 40))
		for i := range d.workers {
			if d.chance("allowed", 60) {
				d.do("allow w%d", i+1)
			}
		}
	}
	d.do("watch")
	d.do("after 100ms")
	d.occupy()
}

// occupy submits jobs that hold a part of most workers for long.
func (d *drawnScript) occupy() {
	if d.occupied = d.chance("occupied", 70); d.occupied {
		d.jobs++
		d.do("job j%d q o %d %d 1000 %s", d.jobs, max(1, d.workers-d.number("free", 0, 2)), d.number("gpus", 2, 4), d.pick("kind", "lasts apart", "lasts apart cores:24", "apart", "apart", "apart cores:30"))
	}
}

// queue returns a drawn queue.
func (d *drawnScript) queue() string {
	all := []string{"q", "q", "b", "u"}
	if d.advised {
		all = append(all, "v")
	}
	if _, ok := d.w.config.Queues["p"]; ok {
		all = append(all, "p")
	}
	return d.pick("queue", all...)
}

// submitAny submits a job of a drawn kind.
func (d *drawnScript) submitAny() {
	d.jobs++
	id := fmt.Sprintf("j%d", d.jobs)
	queue, organisation := d.queue(), d.pick("organisation", "o", "o2")
	kind := d.pick("kind", "one", "one", "wide", "wide", "gang", "rack gang", "tight gang", "tight gang", "tight gang", "tight gang", "tight gang", "tight gang", "tight gang", "large gang", "steps", "lasting", "serving", "filler", "scheduled", "hopeless", "failing", "long", "deadly", "many")
	one := func(least, most, gpus, seconds int) string {
		return fmt.Sprintf("%d %d %d %s", d.number("tasks", least, most), d.number("gpus", 0, gpus), d.number("seconds", 1, seconds), d.options())
	}
	words := one(1, 2, 2, 3)
	switch kind {
	case "one":
		words = one(1, 1, 8, 6)
	case "wide":
		words = one(2, 16, 3, 4)
	case "gang":
		words = one(2, 6, 6, 6) + " gang"
	case "rack gang":
		words = one(2, 6, 6, 6) + " gang rack"
	case "tight gang": // often fits into no rack beside what runs there
		words = fmt.Sprintf("%d %d %d gang rack", d.number("tasks", d.rackSize+1, d.rackSize+2), d.number("gpus", 3, 4), d.number("seconds", 1, 6))
	case "large gang":
		words = fmt.Sprintf("%d %d %d cores:52 memory:110 gang %s", d.number("tasks", 2, 10), d.number("gpus", 0, 4), d.number("seconds", 1, 6), d.pick("rack", "", "rack"))
	case "steps":
		words = one(1, 6, 2, 3) + " / " + one(1, 4, 4, 3) + d.pick("second", "", " gang", " gang rack")
	case "lasting":
		words = fmt.Sprintf("%d %d 1000 lasts may-miss:%d %s", d.number("tasks", 1, 6), d.number("gpus", 0, 5), d.number("may miss", 1, 2), d.pick("spread", "", "apart", "labelled"))
	case "serving":
		words = fmt.Sprintf("%d %d 1000 serves %s", d.number("tasks", 1, 3), d.number("gpus", 0, 2), d.pick("spread", "", "apart"))
	case "filler":
		words = fmt.Sprintf("%d 0 %d cores:%d fills", d.number("tasks", 1, 4), d.number("seconds", 1, 8), d.number("cores", 1, 32))
	case "scheduled":
		d.do("scheduled %d %dms %dms %s %s %s %s", d.number("times", 1, 5), 100*d.number("delay", 0, 30), 100*d.number("interval", 5, 40), id, queue, organisation, one(1, 4, 3, 3)+d.pick("gang", "", " gang"))
		return
	case "hopeless":
		words = fmt.Sprintf("%d 16 2 %s", d.number("tasks", 1, 4), d.pick("gang", "", "gang", "gang rack", "labelled"))
	case "failing":
		words = one(1, 4, 4, 2) + " fails" + d.pick("gang", "", " gang")
	case "long":
		words = fmt.Sprintf("%d %d %d %s", d.number("tasks", 1, 10), d.number("gpus", 0, 5), d.number("seconds", 30, 300), d.options())
	case "deadly":
		if d.deadlyJobs++; d.deadlyJobs > 3 { // each crash ends the calm
			break
		}
		d.do("deadly %s %dms", id, 10*d.number("delay", 1, 150))
	case "many":
		d.submitMany(queue, organisation)
		return
	}
	d.do("job %s %s %s %s", id, queue, organisation, words)
}

// submitMany submits several equal jobs at once, some of which no worker can hold.
func (d *drawnScript) submitMany(queue, organisation string) {
	if d.chance("hopeless", 50) {
		queue = "u"
	}
	words := fmt.Sprintf("%d %s %d %s", d.number("tasks", 1, 4), d.pick("gpus", "1", "2", "16"), d.number("seconds", 1, 3), d.pick("gang", "", "gang", "gang rack"))
	for range d.number("jobs", 2, 30) {
		d.jobs++
		d.do("job j%d %s %s %s", d.jobs, queue, organisation, words)
	}
}

// options returns drawn options of a step.
func (d *drawnScript) options() string {
	return d.pick("options", "", "", "", "", "apart", "per-worker:2", "labelled", "data-r2", "checkpoints", "copies", "cores:16", "cores:52 memory:110", "memory:100", "apart labelled", "checkpoints copies")
}

// disrupt injects a drawn disruption.
func (d *drawnScript) disrupt() {
	id := d.anyWorker()
	kind := d.pick("disruption", "cut", "deafen", "crash", "fail", "resize", "drain", "wave", "store", "lead", "leads", "release", "pause", "unsure", "unread", "heal")
	if id == "" {
		return
	}
	switch kind {
	case "cut":
		d.do("cut %s", id)
	case "deafen":
		d.do("deafen %s", id)
	case "crash":
		d.do("crash %s", id)
	case "fail":
		d.do("fail %s", id)
	case "resize":
		d.do("resize %s %d %d", id, d.number("gpus", 1, 8), 1000*d.number("cores", 16, 128))
	case "drain":
		d.drain(id)
	case "wave":
		d.startWave()
	case "store":
		d.do("store-down")
		d.wait(100*time.Millisecond, 6*time.Second)
		d.do("store-up")
		if d.chance("leader dies", 30) {
			d.do("lead")
		}
	case "lead", "leads":
		d.changeLeaders(kind == "leads")
	case "release":
		d.do("release")
		d.wait(0, 500*time.Millisecond)
		d.changeLeaders(d.chance("several", 30))
	case "pause":
		d.do("pause %dms", 100*d.number("pause", 2, 40))
	case "unsure":
		d.do("unsure")
		d.wait(100*time.Millisecond, 5*time.Second)
		if d.chance("job", 60) {
			d.submitAny()
		}
		d.do("sure")
	case "unread":
		d.do("release") // a leader starts no job that it reads later
		d.submitAny()
		d.do("lead-without j%d", d.jobs)
		d.wait(0, 2*time.Second)
		if d.w.unreadJob != "" {
			d.do("read-late")
		}
	case "heal":
		d.heal()
	}
}

// drain drains a worker, which then leaves; another one may take its place.
func (d *drawnScript) drain(id string) {
	rack, gpus := d.w.workers[id].info.Rack, d.w.workers[id].info.Capacity.Accelerators
	service := d.w.workers[id].info.Service
	d.do("drain-for %s %dms", id, 100*d.number("remaining", 5, 40))
	d.wait(500*time.Millisecond, 5*time.Second)
	if d.w.workers[id] == nil {
		return
	}
	d.do("leave %s", id)
	if d.chance("replaced", 70) {
		d.workers++
		d.do("worker-of %s w%d %s %d", service, d.workers, rack, gpus)
	}
}

// startWave starts a wave of upkeep, whose progress may get lost for a while.
func (d *drawnScript) startWave() {
	var machines []string
	for _, id := range slices.Sorted(maps.Keys(d.w.workers)) {
		if m := "m-" + machineOf(id); d.chance("in wave", 30) && !slices.Contains(d.w.upkeepDone, m) && !slices.Contains(machines, m) {
			machines = append(machines, m)
		}
	}
	if len(machines) == 0 {
		return
	}
	d.waves++
	lost := d.chance("lost", 20)
	if lost {
		d.do("waves-lost")
	}
	d.do("wave %d %d %s", d.waves, d.number("most", 1, 2), strings.Join(machines, " "))
	if lost {
		d.wait(0, time.Second)
		d.changeLeaders(false)
		d.do("waves-kept")
	}
}

// changeLeaders changes the leader, or does so several times within a second.
func (d *drawnScript) changeLeaders(several bool) {
	n := 1
	if several {
		n = d.number("changes", 2, 3)
	}
	for i := range n {
		if i > 0 {
			d.wait(0, 500*time.Millisecond)
		}
		if d.chance("job", 30) {
			d.submitAny()
		}
		if d.w.unreadJob != "" {
			d.do("read-late")
		}
		d.do("lead")
	}
}

// heal ends all disruptions that last.
func (d *drawnScript) heal() {
	for _, id := range slices.Sorted(maps.Keys(d.w.unreachable)) {
		d.do("heal %s", id)
	}
	for _, id := range slices.Sorted(maps.Keys(d.w.answersLost)) {
		d.do("undeafen %s", id)
	}
	for _, id := range slices.Sorted(maps.Keys(d.w.workers)) {
		if d.w.workers[id].failing {
			d.do("recover %s", id)
		}
	}
}

// cancelAny cancels a job that has been submitted.
func (d *drawnScript) cancelAny() {
	if len(d.w.jobs) == 0 {
		return
	}
	all := slices.Sorted(maps.Keys(d.w.jobs))
	if d.occupied && len(all) > 1 { // mostly not the job that occupies most workers
		all = all[1:]
	}
	d.do("cancel %s", d.pick("cancelled", all...))
}

// trouble draws jobs and disruptions, calm draws jobs in a time without disruption.
func (d *drawnScript) trouble() {
	for range d.number("events", 1, 6) {
		if d.chance("disruption", 50) {
			d.disrupt()
		} else {
			d.submitAny()
		}
		d.wait(0, 2*time.Second)
	}
}

func (d *drawnScript) calm() {
	d.heal()
	d.do("after %v", calmBefore)
	for range d.number("jobs", 6, 12) {
		if d.chance("cancelled", 20) {
			d.cancelAny()
		}
		d.submitAny()
		d.wait(0, 2*time.Second)
	}
	d.do("after 4s")
}

// TestNoJobStandsInCalm draws sites, jobs of all kinds and disruptions. No job may stand
// in calm while its service has ample room (checked by the world).
func TestNoJobStandsInCalm(t *testing.T) {
	var draws, calm, waited, waitedLong int
	rapid.Check(t, func(t *rapid.T) {
		d := newDrawnScript(t)
		d.addSite()
		for range d.number("rounds", 1, 2) {
			d.trouble()
			d.calm()
		}
		draws++
		v := d.w.watch
		if v.calm >= 5*time.Second {
			calm++
		}
		if v.waits > 0 {
			waited++
		}
		if v.longestWait >= time.Second {
			waitedLong++
		}
	})
	t.Logf("%d draws: %d with 5 s of calm, %d with jobs that waited in calm although there was room, %d for 1 s", draws, calm, waited, waitedLong)
	if calm < draws/2 || waited < draws/2 || waitedLong < draws/20 {
		t.Errorf("too few draws reach the state to check")
	}
}

// TestNoJobStandsOnLongDays draws days of minutes with one leader, 48 workers and hundreds
// of jobs.
func TestNoJobStandsOnLongDays(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value.String()
	n, err := strconv.Atoi(checks)
	if err != nil {
		t.Fatal(err)
	}
	const share = 100 // each takes as long as many of the other draws
	_ = flag.Set("rapid.checks", strconv.Itoa(max(1, n/share)))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", checks) })
	var days, jobs, reached int
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		d := newDrawnScript(t)
		for i := range 48 {
			d.racks = append(d.racks, fmt.Sprintf("r%d", i/8+1))
			d.do("worker w%d r%d 8", i+1, i/8+1)
			if i%5 == 0 {
				d.do("label w%d special", i+1)
			}
		}
		d.workers, d.rackSize = 48, 8
		d.addQueues()
		d.do("watch")
		d.do("after 1s")
		d.occupy()
		for d.w.now.Sub(d.w.began) < 2*time.Minute {
			d.submitAny()
			if d.chance("cancelled", 20) {
				d.cancelAny()
			}
			d.wait(0, time.Second)
		}
		d.do("after 8s")
		days++
		jobs += d.jobs
		if d.w.watch.calm >= time.Minute && d.w.watch.waits > 0 {
			reached++
		}
		longest = max(longest, d.w.watch.longestWait)
	})
	t.Logf("%d days with %d jobs: %d with a minute of calm and with jobs that waited although there was room, for %v at most", days, jobs, reached, longest)
	if reached < (days+1)/2 {
		t.Errorf("too few days reach the state to check")
	}
}
