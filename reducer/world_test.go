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

// cluster simulates several entry VMs with a fake log and fake workers in virtual
// time, and checks the invariants after every event.
type cluster struct {
	now         time.Time
	queue       []scheduledCall // sorted by time, then by sequence
	sequence    int
	vms         []*vm
	workers     []*fakeWorker
	config      decoder.Config
	listVersion int // incremented when the list of workers changes
	rng         *rand.Rand
	lossPercent int // percent of commands whose request, and of those whose answer, is lost

	records           []reducer.RecordRead
	firstKept         int // index of the oldest record in the log
	term              int64
	termAt            map[int64]int64 // term in force after each offset
	logDown           bool
	lostAppendAnswers int // number of next appends that take effect without an answer

	startCount     map[string]int // starts of a task, by job and task
	noRoomCount    int            // prepares refused for lack of room
	partialSince   map[string]time.Time
	longestPartial time.Duration // longest time that only part of a gang ran
	acceptedAt     map[string]time.Time
	completeAt     map[string]time.Time // last time that all tasks of an attempt were running or succeeded, by job and attempt
	violations     []string             // invariants that were violated
}

type scheduledCall struct {
	at       time.Time
	sequence int
	do       func()
}

type vm struct {
	id            string
	state         reducer.State
	alive         bool
	paused        bool
	incarnation   int // number of the process, incremented by a restart
	nextRecord    int // index of the next record to read
	inbox         []reducer.Event
	heartbeatAt   time.Time
	renewalCounts []leaser.GangCount
	livePeers     []string
	listVersion   int
	highestEpoch  leaser.Epoch // highest epoch that the process has seen
}

type fakeWorker struct {
	table              leaser.Table
	down               bool   // the process has died, with all its tasks
	unreachable        bool   // keeps running but no VM can reach it
	unreachableFrom    string // the only VM that cannot reach it
	paused             bool
	failing            bool // tasks fail as soon as they start
	ignoresCheckpoints bool // confirms a checkpoint and keeps running the task
	leaving            bool
	lostCommands       map[reducer.CommandKind]int // number of next commands that have no effect and no answer
	lostAnswers        map[reducer.CommandKind]int // number of next commands that take effect without an answer
}

const retention = 2 * time.Minute

func newCluster(vms int, seed uint64) *cluster {
	w := &cluster{
		now:          time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC),
		rng:          rand.New(rand.NewPCG(seed, 1)),
		startCount:   map[string]int{},
		termAt:       map[int64]int64{},
		partialSince: map[string]time.Time{}, acceptedAt: map[string]time.Time{}, completeAt: map[string]time.Time{},
	}
	for i := range vms {
		v := &vm{id: fmt.Sprintf("vm-%d", i+1)}
		w.vms = append(w.vms, v)
		w.startVM(v)
	}
	return w
}

func (w *cluster) addViolation(format string, a ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, a...))
}

func (w *cluster) after(d time.Duration, do func()) {
	w.sequence++
	n := scheduledCall{at: w.now.Add(d), sequence: w.sequence, do: do}
	i, _ := slices.BinarySearchFunc(w.queue, n, func(a, b scheduledCall) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
	})
	w.queue = slices.Insert(w.queue, i, n)
}

func (w *cluster) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && len(w.violations) == 0 {
		n := w.queue[0]
		w.queue = w.queue[1:]
		w.now = n.at
		n.do()
		w.checkGangs()
	}
	w.now = end
}

// checkGangs checks that no gang runs in part for longer than its leases can last after
// the loss of a task.
func (w *cluster) checkGangs() {
	count := map[string]int{}
	size := map[string]int{}
	for _, k := range w.workers {
		if k.down || k.paused {
			continue
		}
		k.table, _ = k.table.Expire(w.now)
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
			w.completeAt[id] = w.now
		}
		if n == size[id] || size[id+" runs"] == 0 {
			delete(w.partialSince, id)
			continue
		}
		if _, ok := w.partialSince[id]; !ok {
			w.partialSince[id] = w.now
		}
		w.longestPartial = max(w.longestPartial, w.now.Sub(w.partialSince[id]))
		if w.now.Sub(w.partialSince[id]) > bound {
			w.addViolation("gang %s has run only in part for %s", id, w.now.Sub(w.partialSince[id]))
		}
	}
	for id := range w.partialSince {
		if count[id] == 0 {
			delete(w.partialSince, id)
		}
	}
}

// expire drops the records that are older than age from the log.
func (w *cluster) expire(age time.Duration) {
	for w.firstKept < len(w.records) && w.now.Sub(w.records[w.firstKept].Appended) > age {
		w.firstKept++
	}
}

// deliver calls do after a short random delay. With message loss it is sometimes late
// or called twice.
func (w *cluster) deliver(do func()) {
	d := time.Duration(1+w.rng.IntN(40)) * time.Millisecond
	if w.lossPercent > 0 && w.rng.IntN(100) < w.lossPercent {
		d += time.Duration(w.rng.IntN(3000)) * time.Millisecond
		w.after(d+time.Duration(w.rng.IntN(2000))*time.Millisecond, do)
	}
	w.after(d, do)
}

// feed passes an event to a VM. Every event is reduced twice, to check that the effects
// are deterministic and that the previous state is not modified.
func (w *cluster) feed(v *vm, e reducer.Event) {
	if !v.alive {
		return
	}
	if v.paused {
		v.inbox = append(v.inbox, e)
		return
	}
	w.noteEpoch(v, e)
	s, effects := reducer.Reduce(w.now, v.state, e)
	_, again := reducer.Reduce(w.now, v.state, e)
	if !reflect.DeepEqual(effects, again) {
		w.addViolation("%s: the same event gave different effects: %#v", v.id, e)
	}
	v.state = s
	if v.highestEpoch.Less(s.Epoch()) {
		v.highestEpoch = s.Epoch()
	}
	incarnation := v.incarnation
	for _, f := range effects {
		w.perform(v, incarnation, f)
	}
}

// noteEpoch records the epoch that an event reveals to a VM.
func (w *cluster) noteEpoch(v *vm, e reducer.Event) {
	var seen leaser.Epoch
	switch e := e.(type) {
	case reducer.RecordRead:
		seen.Term = w.termAt[e.Offset]
	case reducer.InventoryRead:
		seen = e.Inventory.Epoch
	case reducer.CommandEnded:
		seen = e.HighestEpoch
	}
	if v.highestEpoch.Less(seen) {
		v.highestEpoch = seen
	}
}

func (w *cluster) perform(v *vm, incarnation int, f reducer.Effect) {
	reply := func(e reducer.Event) {
		w.deliver(func() {
			if v.incarnation == incarnation {
				w.feed(v, e)
			}
		})
	}
	switch f := f.(type) {
	case reducer.AppendRecord:
		w.deliverOnce(func() { w.append(f, reply) })
	case reducer.Fence:
		w.checkEpoch(v, f.Epoch)
		w.deliver(func() { w.fence(v, f, reply) })
	case reducer.Command:
		w.checkEpoch(v, f.Epoch)
		w.deliver(func() { w.command(v, f, reply) })
	}
}

func (w *cluster) deliverOnce(do func()) {
	w.after(time.Duration(1+w.rng.IntN(20))*time.Millisecond, do)
}

// checkEpoch checks that a VM sends no command under an epoch that is older than one
// that it has seen.
func (w *cluster) checkEpoch(v *vm, e leaser.Epoch) {
	if e.Less(v.highestEpoch) {
		w.addViolation("%s sends a command under epoch %v although it has seen %v", v.id, e, v.highestEpoch)
	}
}

// submit validates a job and appends it, as the server does.
func (w *cluster) submit(j reducer.Job) error {
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
	w.acceptedAt[j.ID] = w.now
	w.append(reducer.AppendRecord{Record: reducer.JobAccepted{Job: j, Accepted: w.now}}, func(reducer.Event) {})
	return nil
}

func (w *cluster) addWorker(id, rack string, accelerators int) {
	w.workers = append(w.workers, &fakeWorker{
		table:        leaser.Table{Worker: id, Rack: rack, Capacity: placer.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: accelerators}},
		lostCommands: map[reducer.CommandKind]int{}, lostAnswers: map[reducer.CommandKind]int{},
	})
	slices.SortFunc(w.workers, func(a, b *fakeWorker) int { return cmp.Compare(a.table.Worker, b.table.Worker) })
	w.listVersion++
}

// leader returns the VM that leads under the highest epoch, or nil.
func (w *cluster) leader() *vm {
	var found *vm
	for _, v := range w.vms {
		if v.alive && !v.paused && v.state.Leading() && (found == nil || found.state.Epoch().Less(v.state.Epoch())) {
			found = v
		}
	}
	return found
}

// status returns the status of a job from the leader, or from the first VM without one.
func (w *cluster) status(id string) reducer.JobStatus {
	v := w.leader()
	if v == nil {
		v = w.vms[0]
	}
	s, _ := v.state.Job(id)
	return s
}

// ends returns the first JobEnded of each job in the log.
func (w *cluster) ends() map[string]reducer.JobEnded {
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

// why returns the leader's reason why a job waits.
func (w *cluster) why(id string) string {
	v := w.leader()
	if v == nil {
		return "there is no leader"
	}
	return v.state.ExplainWait(w.now, id)
}

func (w *cluster) restartWorker(k *fakeWorker) {
	k.down = false
	k.table = leaser.Table{Worker: k.table.Worker, Rack: k.table.Rack, Capacity: k.table.Capacity}
}

func (w *cluster) resume(v *vm) {
	v.paused = false
	inbox := v.inbox
	v.inbox = nil
	for _, e := range inbox {
		w.feed(v, e)
	}
}
