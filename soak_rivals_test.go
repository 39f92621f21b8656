package main_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

var soakLarge = flag.Bool("soak.large", false, "let TestSoakRivals run 48 executors and 7 VMs instead of 12 and 5")

const (
	rivalVMs       = 5
	rivalExecutors = 12
	rivalLease     = 10 * time.Second
	rivalWarmUp    = 5 * time.Second        // before the first fault
	rivalInterval  = 50 * time.Millisecond  // between two looks at what runs
	rivalStates    = 200 * time.Millisecond // between two queries for the states of all jobs
	rivalAnswer    = 500 * time.Millisecond // longest wait for one of them
)

// rivalClockRates are the clock rates of executors in percent; clocks may run 2 % slow.
var rivalClockRates = []int{98, 98, 99, 100}

// rivalSeeds run in CI. With seed 203 a task had two runs while leases were extended without
// a bound.
var rivalSeeds = []uint64{203}

// rivalKinds have tasks that last for up to 40 s, so that many outlast a change of the leader.
var rivalKinds = []standingKind{
	{
		queue: "template-rebuild", attempts: 3, perSecond: 0.7, width: 6, maxWidth: 30, need: standingNeed{11000, 16000, 0}, gpus: []int{1},
		work: 12 * time.Second, spread: 0.9, maxWork: 40 * time.Second, estimate: 0.9, labelled: 0.1, apart: 0.1, cancelled: 0.05,
	}, {
		queue: "template-rebuild", attempts: 3, perSecond: 0.25, width: 4, maxWidth: 12, need: standingNeed{11000, 16000, 0}, gpus: []int{1},
		work: 5 * time.Second, spread: 0.8, maxWork: 15 * time.Second, estimate: 0.9, twoSteps: 1, failing: 0.05,
	}, {
		queue: "promo-batch", attempts: 2, perSecond: 0.2, width: 3, maxWidth: 8, need: standingNeed{26000, 55000, 0}, gpus: []int{1, 2},
		work: 6 * time.Second, spread: 0.5, maxWork: 10 * time.Second, estimate: 0.5, gang: 1, sameRack: 0.5, failing: 0.05,
	}, {
		queue: "preview", attempts: 3, perSecond: 0.2, width: 3, maxWidth: 8, need: standingNeed{15000, 39000, 0}, gpus: []int{1, 2},
		work: 4 * time.Second, spread: 0.8, maxWork: 10 * time.Second, estimate: 0.9, gang: 0.5,
	},
}

// TestSoakRivals runs entry VMs as processes of which several believe to lead at the same
// time: the leader is cut off from the store and the other VMs, and still reaches executors
// that the others don't reach. At no time may a task have two runs on executors that are up,
// and none may start after an end of it as done that was acknowledged.
func TestSoakRivals(t *testing.T) {
	seeds := rivalSeeds
	if *soakSeed > 0 {
		seeds = nil
		for i := range *soakRuns {
			seeds = append(seeds, *soakSeed+uint64(i))
		}
	}
	for _, n := range seeds {
		t.Run(fmt.Sprintf("seed-%d", n), func(t *testing.T) {
			if *soakRuns > 1 {
				t.Parallel()
			}
			newRivalSoak(t, n).run()
		})
	}
}

// rivalSoak is the run of one seed.
type rivalSoak struct {
	*standingSoak
	networks  []*rivalNetwork               // by VM
	stores    []*rivalEndpoint              // by VM
	proxies   []*platformstandin.StoreProxy // by VM, behind stores
	endpoints []*rivalEndpoint              // by executor
	machines  *platformstandin.MachineService
	ledger    *rivalLedger

	ends     map[string]string // by job, state that a VM has shown; standingSoak.mu protects it
	presence []rivalPresence   // by executor; standingSoak.mu protects it, and outages
	outages  int               // of the store, that have not ended
}

// rivalPresence says why an executor has no entry in the store.
type rivalPresence struct{ down, unheard int }

func newRivalSoak(t *testing.T, seed uint64) *rivalSoak {
	s := &rivalSoak{
		standingSoak: &standingSoak{
			t: t, seed: seed, dir: t.TempDir(), store: platformstandin.NewStore(), faultRand: rand.New(rand.NewPCG(seed, 27)),
			jobs: map[string]*standingJob{}, kinds: rivalKinds, gangs: &platformstandin.Gangs{Timeout: 3 * time.Second},
		},
		machines: &platformstandin.MachineService{},
		ledger:   newRivalLedger(),
		ends:     map[string]string{},
	}
	vms, executors := rivalVMs, rivalExecutors
	if *soakLarge {
		vms, executors = standingVMs, standingExecutors
	}
	s.presence = make([]rivalPresence, executors)
	s.openLog()
	s.configure()
	for i := range executors {
		s.addExecutor(i)
	}
	for range vms {
		s.addVM()
	}
	machines := s.serve(s.machines)
	for i := range vms {
		s.addNetwork(i, machines)
	}
	for i, n := range s.networks {
		n.rewrite = s.replacer(i)
	}
	for i := range executors {
		s.relist(i)
	}
	for i, v := range s.vms {
		s.startFirst(v, s.settings(i))
	}
	t.Cleanup(s.stopAll)
	return s
}

func (s *rivalSoak) addExecutor(i int) {
	r := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
	w := s.addWorker()
	x := w.link.executor
	x.ClockPercent, x.MaxLease = rivalClockRates[r.IntN(len(rivalClockRates))], rivalLease
	x.Work = func(task string) platformstandin.Work { s.noteRun(i, task); return s.work(task) }
	x.Started = func(task string) { s.recordStart(task); s.checkStart(i, task) }
	x.Ended = func(task string, run int64, reason string) {
		s.recordEnd(task, run, reason)
		s.noteEnd(i, task, run, reason)
	}
	x.EndReported = func(task, reason string) { s.noteAcknowledged(i, task, reason) }
	e := &rivalEndpoint{handler: x, executor: x, rand: r, vms: map[string]string{}, called: func(vm, path string, body []byte, late bool) {
		s.noteCall(w.id, vm, path, body, late)
	}}
	s.endpoints = append(s.endpoints, e)
	w.address = s.serve(e)
}

// settings returns the settings of a VM, which has addresses of its own for all services.
func (s *rivalSoak) settings(i int) []byte {
	v, n := s.vms[i], s.networks[i]
	b, err := platformstandin.SettingsFileFor(v.name, n.address("store"), v.callers, v.readiness, v.peers, rivalLease, *soakParts)
	if err != nil {
		s.t.Fatal(err)
	}
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		s.t.Fatal(err)
	}
	var seeds []string
	for k, other := range s.vms {
		if k != i {
			seeds = append(seeds, n.address(other.name))
		}
	}
	m["cloud"], m["seeds"] = map[string]any{"address": n.address("machines")}, seeds
	m["bounds"].(map[string]any)["graceS"] = standingGrace.Seconds()
	if b, err = json.Marshal(m); err != nil {
		s.t.Fatal(err)
	}
	return b
}

// run injects series of faults while callers submit jobs, then awaits the end of all jobs.
func (s *rivalSoak) run() {
	for _, v := range s.vms {
		s.awaitReady(v)
	}
	stop, trafficEnd := make(chan struct{}), make(chan struct{})
	var callers, checks sync.WaitGroup
	checks.Go(func() { s.checkRunning(stop) })
	checks.Go(func() { s.askForStates(stop) })
	callers.Go(func() { s.runTraffic(trafficEnd, &callers) })
	time.Sleep(rivalWarmUp)
	outagesEnd, outages := make(chan struct{}), sync.WaitGroup{}
	outages.Go(func() { failPartitions(s.store, s.seed, outagesEnd, s.beginOutage) })
	for range *soakRounds {
		s.injectSeries(&callers)
		s.inEffect.Wait()
	}
	close(outagesEnd)
	outages.Wait()
	s.begin("all faults have ended")()
	close(trafficEnd)
	callers.Wait()
	s.awaitJobs()
	close(stop)
	checks.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d jobs, %d runs, %d of their ends acknowledged as done", len(s.jobs), s.ledger.runs, len(s.ledger.acknowledged))
	for _, p := range s.problems {
		s.t.Error(p)
	}
}

// runTraffic submits jobs of all kinds until stop is closed.
func (s *rivalSoak) runTraffic(stop chan struct{}, callers *sync.WaitGroup) {
	r, rate := rand.New(rand.NewPCG(s.seed, 28)), 0.0
	for _, k := range rivalKinds {
		rate += k.perSecond
	}
	size := float64(len(s.workers)) / rivalExecutors
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.ExpFloat64() / (rate * size) * float64(time.Second))):
		}
		pick, k := r.Float64()*rate, 0
		for ; k < len(rivalKinds)-1 && pick >= rivalKinds[k].perSecond; k++ {
			pick -= rivalKinds[k].perSecond
		}
		j, own := s.newJob(&rivalKinds[k], r), rand.New(rand.NewPCG(r.Uint64(), 0))
		callers.Go(func() { s.submit(j, own) })
	}
}

// awaitJobs waits until callers have been told that each accepted job has ended, and until
// nothing runs any more.
func (s *rivalSoak) awaitJobs() {
	left := s.unended()
	for end := time.Now().Add(soakSettleTimeout); time.Now().Before(end) && (len(left) > 0 || s.anyRunning()); left = s.unended() {
		time.Sleep(rivalStates)
	}
	for _, j := range left {
		s.problemf("job %s was accepted and has not ended %v after the last fault\n%s", j.id, soakSettleTimeout, s.historyOf(j.id))
	}
	if s.anyRunning() {
		s.problemf("tasks are still running %v after the last fault", soakSettleTimeout)
	}
}

// unended returns the accepted jobs of which no VM has said yet that they have ended.
func (s *rivalSoak) unended() []*standingJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []*standingJob
	for _, j := range s.jobs {
		if !j.accepted.IsZero() && s.ends[j.id] == "" {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// askForStates asks for the states of the accepted jobs, until stop is closed: a VM forgets a
// job some time after its end.
func (s *rivalSoak) askForStates(stop chan struct{}) {
	client := &http.Client{Timeout: rivalAnswer}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(rivalStates):
		}
		for _, j := range s.unended() {
			_, body := platformstandin.Call(client, http.MethodGet, s.vms[i%len(s.vms)].callers, "/"+j.kind.queue+"/"+j.id, platformstandin.Key, "")
			s.noteState(j, body)
		}
	}
}

// noteState notes that a job has ended and checks that it has done so with reason.
func (s *rivalSoak) noteState(j *standingJob, body string) {
	var a struct{ State string }
	_ = json.Unmarshal([]byte(body), &a) // an answer without a state tells nothing
	s.mu.Lock()
	ended, mayFail, cancelled := j.ended(), j.mayFail, j.cancelled
	if slices.Contains([]string{"completed", "failed", "cancelled"}, a.State) {
		s.ends[j.id] = a.State
	}
	s.mu.Unlock()
	if a.State == "completed" && !ended || a.State == "failed" && !mayFail || a.State == "cancelled" && !cancelled {
		s.problemf("job %s is shown as %s without reason\n%s", j.id, a.State, s.historyOf(j.id))
	}
}

func (s *rivalSoak) anyRunning() bool {
	return slices.ContainsFunc(s.executors, func(x *platformstandin.Executor) bool { return len(x.Running()) > 0 })
}

// openLog creates the log of the commands to executors and what runs on them.
func (s *rivalSoak) openLog() {
	log, err := os.Create(filepath.Join(s.dir, "executors.log"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.ledger.log = log
	s.t.Cleanup(func() {
		s.ledger.mu.Lock()
		defer s.ledger.mu.Unlock()
		_ = log.Close()
		if name := os.Getenv("SOAK_LOGS"); name != "" {
			b, _ := os.ReadFile(log.Name())
			_ = os.WriteFile(filepath.Join(name, strings.ReplaceAll(s.t.Name(), "/", "-")+"-executors.log"), b, 0o600)
		}
	})
}
