package reducer_test

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// world runs several entry VMs on fakes of the log and the workers, in virtual
// time, and checks after every event what must always hold.
type world struct {
	now     time.Time
	queue   []delivery // by time, then by number
	number  int
	vms     []*vm
	workers []*fakeWorker
	config  decoder.Config
	listed  int // changes of the list of workers
	dice    *rand.Rand
	lossy   int // percent of commands of which the request or the answer is lost

	records     []reducer.RecordRead
	first       int // record that is still kept
	term        int64
	terms       map[int64]int64 // in force after each offset
	logDown     bool
	loseAnswers int // appends that take effect without an answer

	starts   map[string]int // of tasks, by job and task
	noRoom   int            // prepares refused because the resources were not free
	partial  map[string]time.Time
	tearing  time.Duration // longest time that part of a gang ran
	accepted map[string]time.Time
	running  map[string]time.Time // first time that all tasks of a job ran
	broken   []string             // what did not hold
}

type delivery struct {
	at     time.Time
	number int
	do     func()
}

type vm struct {
	id      string
	state   reducer.State
	alive   bool
	paused  bool
	life    int // of the process
	next    int // record to be read
	inbox   []reducer.Event
	beat    time.Time
	told    []leaser.GangCount
	live    []string
	listed  int
	highest leaser.Epoch // that the process was shown
}

type fakeWorker struct {
	table    leaser.Table
	down     bool   // the process is gone, with all its tasks
	cut      bool   // runs on but cannot be reached
	cutFrom  string // VM that alone cannot reach it
	paused   bool
	failing  bool // all tasks fail at once
	ignoring bool // checkpoints are confirmed and not made
	leaving  bool
	lost     map[reducer.CommandKind]int // commands that have no effect and no answer
	unheard  map[reducer.CommandKind]int // commands that take effect without an answer
}

const retention = 2 * time.Minute

func newWorld(vms int, seed uint64) *world {
	w := &world{
		now:     time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC),
		dice:    rand.New(rand.NewPCG(seed, 1)),
		starts:  map[string]int{},
		terms:   map[int64]int64{},
		partial: map[string]time.Time{}, accepted: map[string]time.Time{}, running: map[string]time.Time{},
	}
	for i := range vms {
		v := &vm{id: fmt.Sprintf("vm-%d", i+1)}
		w.vms = append(w.vms, v)
		w.startVM(v)
	}
	return w
}

func (w *world) breaks(format string, a ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, a...))
}

func (w *world) after(d time.Duration, do func()) {
	w.number++
	n := delivery{at: w.now.Add(d), number: w.number, do: do}
	i, _ := slices.BinarySearchFunc(w.queue, n, func(a, b delivery) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
	})
	w.queue = slices.Insert(w.queue, i, n)
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && len(w.broken) == 0 {
		n := w.queue[0]
		w.queue = w.queue[1:]
		w.now = n.at
		n.do()
		w.check()
	}
	w.now = end
}

// check looks at what runs: no part of a gang without the rest for longer than
// leases last.
func (w *world) check() {
	count := map[string]int{}
	size := map[string]int{}
	for _, k := range w.workers {
		if k.down || k.paused {
			continue
		}
		k.table, _ = k.table.Lapse(w.now)
		for _, l := range k.table.Inventory(w.now).Leases {
			if l.State != leaser.StateRunning && l.State != leaser.StateSucceeded {
				continue
			}
			id := fmt.Sprintf("%s/%d", l.ID.Job, l.ID.Attempt)
			count[id]++
			size[id] = l.GangSize
			if l.State == leaser.StateRunning {
				size[id+" runs"]++
			}
		}
	}
	const bound = leaser.TTL + 2*leaser.MaxCountAge + 2*time.Second
	for id, n := range count {
		if n == size[id] {
			w.running[id] = w.now
		}
		if n == size[id] || size[id+" runs"] == 0 {
			delete(w.partial, id)
			continue
		}
		if _, ok := w.partial[id]; !ok {
			w.partial[id] = w.now
		}
		w.tearing = max(w.tearing, w.now.Sub(w.partial[id]))
		if w.now.Sub(w.partial[id]) > bound {
			w.breaks("part of gang %s runs for %s", id, w.now.Sub(w.partial[id]))
		}
	}
	for id := range w.partial {
		if count[id] == 0 {
			delete(w.partial, id)
		}
	}
}

// expire drops the records of an age from the log.
func (w *world) expire(age time.Duration) {
	for w.first < len(w.records) && w.now.Sub(w.records[w.first].Appended) > age {
		w.first++
	}
}

// arrive delivers something after a short while, in a lossy world now and then
// late or twice.
func (w *world) arrive(do func()) {
	d := time.Duration(1+w.dice.IntN(40)) * time.Millisecond
	if w.lossy > 0 && w.dice.IntN(100) < w.lossy {
		d += time.Duration(w.dice.IntN(3000)) * time.Millisecond
		w.after(d+time.Duration(w.dice.IntN(2000))*time.Millisecond, do)
	}
	w.after(d, do)
}

// feed has a VM take an event. Everything is reduced twice to see that the same
// event gives the same effects, and leaves the state before it as it was.
func (w *world) feed(v *vm, e reducer.Event) {
	if !v.alive {
		return
	}
	if v.paused {
		v.inbox = append(v.inbox, e)
		return
	}
	w.show(v, e)
	s, effects := reducer.Reduce(w.now, v.state, e)
	_, again := reducer.Reduce(w.now, v.state, e)
	if !reflect.DeepEqual(effects, again) {
		w.breaks("%s: the same event gave other effects: %#v", v.id, e)
	}
	v.state = s
	if v.highest.Less(s.Epoch()) {
		v.highest = s.Epoch()
	}
	life := v.life
	for _, f := range effects {
		w.perform(v, life, f)
	}
}

// show notes the epochs that an event shows to a VM.
func (w *world) show(v *vm, e reducer.Event) {
	var seen leaser.Epoch
	switch e := e.(type) {
	case reducer.RecordRead:
		seen.Term = w.terms[e.Offset]
	case reducer.InventoryRead:
		seen = e.Inventory.Epoch
	case reducer.CommandEnded:
		seen = e.Seen
	}
	if v.highest.Less(seen) {
		v.highest = seen
	}
}

func (w *world) perform(v *vm, life int, f reducer.Effect) {
	back := func(e reducer.Event) {
		w.arrive(func() {
			if v.life == life {
				w.feed(v, e)
			}
		})
	}
	switch f := f.(type) {
	case reducer.AppendRecord:
		w.arriveOnce(func() { w.append(f, back) })
	case reducer.Fence:
		w.obeys(v, f.Epoch)
		w.arrive(func() { w.fence(v, f, back) })
	case reducer.Command:
		w.obeys(v, f.Epoch)
		w.arrive(func() { w.command(v, f, back) })
	}
}

func (w *world) arriveOnce(do func()) {
	w.after(time.Duration(1+w.dice.IntN(20))*time.Millisecond, do)
}

// obeys checks that a VM commands nothing under an epoch older than one that it
// was shown.
func (w *world) obeys(v *vm, e leaser.Epoch) {
	if e.Less(v.highest) {
		w.breaks("%s commands under %v though it was shown %v", v.id, e, v.highest)
	}
}

// submit appends a job as the server does after validating it.
func (w *world) submit(j reducer.Job) error {
	for _, v := range w.vms {
		if v.alive && !v.paused {
			if err := reducer.Validate(w.now, v.state, j); err != nil {
				return err
			}
			break
		}
	}
	if w.logDown {
		return errors.New("log is down: not accepted")
	}
	w.accepted[j.ID] = w.now
	w.append(reducer.AppendRecord{Record: reducer.JobAccepted{Job: j, Accepted: w.now}}, func(reducer.Event) {})
	return nil
}

func (w *world) addWorker(id, rack string, accelerators int) {
	w.workers = append(w.workers, &fakeWorker{
		table: leaser.Table{Worker: id, Rack: rack, Capacity: placer.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: accelerators}},
		lost:  map[reducer.CommandKind]int{}, unheard: map[reducer.CommandKind]int{},
	})
	slices.SortFunc(w.workers, func(a, b *fakeWorker) int { return cmp.Compare(a.table.Worker, b.table.Worker) })
	w.listed++
}

// leader returns the VM that decides, nil when none does.
func (w *world) leader() *vm {
	var found *vm
	for _, v := range w.vms {
		if v.alive && !v.paused && v.state.Leading() && (found == nil || found.state.Epoch().Less(v.state.Epoch())) {
			found = v
		}
	}
	return found
}

// status returns what the leader says of a job, or else any VM.
func (w *world) status(id string) reducer.JobStatus {
	v := w.leader()
	if v == nil {
		v = w.vms[0]
	}
	s, _ := v.state.Job(id)
	return s
}

// ends returns the first end of each job in the log.
func (w *world) ends() map[string]reducer.JobEnded {
	ends := map[string]reducer.JobEnded{}
	for _, r := range w.records {
		if e, ok := r.Record.(reducer.JobEnded); ok {
			if _, ok := ends[e.Job]; !ok {
				ends[e.Job] = e
			}
		}
	}
	return ends
}

// why returns the leader's reason why a job does not run.
func (w *world) why(id string) string {
	v := w.leader()
	if v == nil {
		return "nobody leads"
	}
	return v.state.Why(w.now, id)
}

func (w *world) restartWorker(k *fakeWorker) {
	k.down = false
	k.table = leaser.Table{Worker: k.table.Worker, Rack: k.table.Rack, Capacity: k.table.Capacity}
}

func (w *world) resume(v *vm) {
	v.paused = false
	inbox := v.inbox
	v.inbox = nil
	for _, e := range inbox {
		w.feed(v, e)
	}
}
