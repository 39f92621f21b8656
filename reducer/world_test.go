package reducer_test

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
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
	down     bool // the process is gone, with all its tasks
	cut      bool // runs on but cannot be reached
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
		w.boot(v)
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

// boot starts the process of a VM anew; it knows nothing.
func (w *world) boot(v *vm) {
	v.life++
	v.alive, v.paused = true, false
	v.state = reducer.New(v.id).WithSettings(reducer.Settings{Retention: retention})
	v.next, v.inbox, v.told, v.live, v.listed, v.highest = w.first, nil, nil, nil, -1, leaser.Epoch{}
	v.beat = w.now
	life := v.life
	w.every(250*time.Millisecond, v, life, func() { w.tick(v) })
	w.every(time.Second, v, life, func() { w.renew(v) })
	w.feed(v, reducer.ConfigChanged{Config: w.config})
}

func (w *world) every(d time.Duration, v *vm, life int, do func()) {
	w.after(d, func() {
		if v.life != life || !v.alive {
			return
		}
		if !v.paused {
			do()
		}
		w.every(d, v, life, do)
	})
}

func (w *world) tick(v *vm) {
	if !w.logDown {
		w.feed(v, reducer.LogChanged{Up: true})
		for range 50 {
			if v.next < len(w.records) {
				v.next++
				w.feed(v, w.records[v.next-1])
			}
		}
		if v.next == len(w.records) {
			w.feed(v, reducer.CaughtUp{Next: int64(v.next) + 1})
		}
	} else {
		w.feed(v, reducer.LogChanged{Up: false})
	}
	w.feed(v, reducer.Ticked{})
}

// renew does what a VM does each second besides deciding: heartbeats, renewal of
// leases, and reports of inventories.
func (w *world) renew(v *vm) {
	v.beat = w.now
	var live []string
	var told []leaser.Told
	for _, o := range w.vms {
		if o.alive && w.now.Sub(o.beat) < 4*time.Second {
			live = append(live, o.id)
			told = append(told, leaser.Told{VM: o.id, At: o.beat, Gangs: o.told})
		}
	}
	if !slices.Equal(live, v.live) {
		v.live = live
		w.feed(v, reducer.PeersChanged{Live: live})
	}
	if v.listed != w.listed {
		v.listed = w.listed
		w.feed(v, reducer.WorkersListed{Workers: w.list()})
	}
	var readings []leaser.Reading
	for _, k := range w.workers {
		if k.down || k.cut || k.paused || leaser.Owner(k.table.Worker, live) != v.id {
			continue
		}
		i := k.table.Inventory(w.now)
		readings = append(readings, leaser.Reading{At: w.now, Inventory: i})
		k.table = k.table.Renew(w.now, leaser.TTL, leaser.Renewals(w.now, i, told))
		k.table = k.table.Acknowledge(w.now, leaser.Acknowledgements(i, v.state.Over))
		for _, o := range w.vms {
			e := reducer.WorkerReported{Inventory: i, Age: 10 * time.Millisecond}
			w.arrive(func() { w.feed(o, e) })
		}
	}
	v.told = leaser.Counts(w.now, readings)
}

func (w *world) list() []reducer.WorkerListed {
	var l []reducer.WorkerListed
	for _, k := range w.workers {
		l = append(l, reducer.WorkerListed{ID: k.table.Worker, Rack: k.table.Rack, Leaving: k.leaving})
	}
	return l
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

func (w *world) append(f reducer.AppendRecord, back func(reducer.Event)) {
	e := reducer.AppendEnded{Record: f.Record}
	if w.logDown {
		e.Err = "log is down"
		back(e)
		return
	}
	at := int64(len(w.records) + 1)
	w.records = append(w.records, reducer.RecordRead{Offset: at, Appended: w.now, Record: f.Record})
	if c, ok := f.Record.(reducer.LeaderClaimed); ok && c.Previous == w.term {
		w.term = at
	}
	w.terms[at] = w.term
	if w.loseAnswers > 0 {
		w.loseAnswers--
		e.Err = "no answer"
	}
	back(e)
}

func (w *world) worker(id string) *fakeWorker {
	for _, k := range w.workers {
		if k.table.Worker == id {
			return k
		}
	}
	panic("no worker " + id)
}

func (w *world) fence(v *vm, f reducer.Fence, back func(reducer.Event)) {
	k := w.worker(f.Worker)
	c := reducer.Command{Kind: reducer.CommandFence, Worker: f.Worker, Epoch: f.Epoch}
	if k.down || k.cut || k.paused || k.take(k.lost, reducer.CommandFence) {
		w.after(2*time.Second, func() { back(reducer.CommandEnded{Command: c, Result: reducer.CommandUnreachable}) })
		return
	}
	var err error
	k.table, err = k.table.Fence(w.now, leaser.Token{Epoch: f.Epoch, Holder: v.id})
	if err != nil {
		back(reducer.CommandEnded{Command: c, Result: reducer.CommandFenced, Seen: k.table.Seen().Epoch})
		return
	}
	back(reducer.InventoryRead{Epoch: f.Epoch, Asked: f.Asked, Inventory: k.table.Inventory(w.now)})
}

func (k *fakeWorker) take(m map[reducer.CommandKind]int, c reducer.CommandKind) bool {
	m[c]--
	return m[c] >= 0
}

func (w *world) command(v *vm, f reducer.Command, back func(reducer.Event)) {
	k := w.worker(f.Worker)
	e := reducer.CommandEnded{Command: f, Result: reducer.CommandUnreachable}
	lost := w.dice.IntN(100) < w.lossy
	if k.down || k.cut || k.paused || lost || k.take(k.lost, f.Kind) {
		w.after(2*time.Second, func() { back(e) })
		return
	}
	err := w.obey(k, leaser.Token{Epoch: f.Epoch, Holder: v.id}, f)
	if w.dice.IntN(100) < w.lossy || k.take(k.unheard, f.Kind) {
		w.after(2*time.Second, func() { back(e) })
		return
	}
	e.Seen = k.table.Seen().Epoch
	e.Result = reducer.CommandDone
	if err != nil {
		e.Result = reducer.CommandRefused
		e.Reason = err.Error()
		if strings.Contains(e.Reason, "fenced") {
			e.Result = reducer.CommandFenced
		}
		if strings.Contains(e.Reason, leaser.ErrNoRoom.Error()) {
			w.noRoom++
		}
	}
	back(e)
}

func (w *world) obey(k *fakeWorker, token leaser.Token, f reducer.Command) error {
	var err error
	id := f.Lease.ID
	switch f.Kind {
	case reducer.CommandPrepare:
		k.table, err = k.table.Prepare(w.now, token, f.Lease)
	case reducer.CommandStart:
		before := len(k.table.Running())
		k.table, err = k.table.Start(w.now, token, id)
		if len(k.table.Running()) > before {
			w.began(k, id)
		}
	case reducer.CommandCheckpoint:
		if !k.ignoring {
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

// began counts the start of a task and lets it end as its payload says: a
// duration, perhaps followed by "once" and "fail".
func (w *world) began(k *fakeWorker, id leaser.ID) {
	w.starts[fmt.Sprintf("%s/%d", id.Job, id.Task)]++
	var payload string
	for _, l := range k.table.Running() {
		if l.ID == id {
			payload = l.Payload
		}
	}
	words := strings.Fields(payload)
	if slices.Contains(words, "once") && w.starts[fmt.Sprintf("%s/%d", id.Job, id.Task)] > 1 {
		w.breaks("non-idempotent task %v started again", id)
	}
	d, err := time.ParseDuration(words[0])
	if err != nil {
		w.breaks("task %v has payload %q", id, payload)
	}
	state := leaser.StateSucceeded
	if slices.Contains(words, "fail") || k.failing {
		state = leaser.StateFailed
	}
	if k.failing {
		d = 0
	}
	w.after(d, func() { w.endTask(k, id, state) })
}

func (w *world) endTask(k *fakeWorker, id leaser.ID, s leaser.State) {
	if k.paused {
		w.after(time.Second, func() { w.endTask(k, id, s) })
		return
	}
	k.table, _ = k.table.End(w.now, id, s, "by itself")
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
