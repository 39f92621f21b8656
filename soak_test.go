package main_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	platformstandin "github.com/lacewingdoor/lacewingdoor/platform/standin"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 0, "first seed to run, 0 for the regression seeds in testdata/soak-seeds.txt")
	soakRuns  = flag.Int("soak.runs", 1, "number of seeds to run")
	soakVMs   = flag.Int("soak.vms", 3, "entry VMs per run")
	soakSpan  = flag.Duration("soak.span", 5*time.Second, "how long each run injects faults")
	soakBreak = flag.String("soak.break", "", "promise to break deliberately, to show that its check fails: twice, lost, refused, crash, capacity, evacuation, stands or rivals")
)

const (
	soakExecutors     = 5
	soakSlots         = 6                // accelerators per executor
	soakSettleTimeout = 90 * time.Second // far longer than any job needs after the last fault
	soakJobs          = 30
)

// soakSpeeds are the speeds of executors in turn, in percent: schedulers must keep all rules when
// run times differ by up to a factor of two.
var soakSpeeds = []int{100, 55, 120, 120}

// soakClockRates are the clock rates of executors in percent; clocks may run 2 % slow.
var soakClockRates = []int{100, 99, 98}

// TestSoak runs entry VMs as processes against stand-ins of the platform, injects random
// faults drawn from the seed, and checks what callers and executors observe: no task runs
// twice, every accepted job ends, a job whose submission was refused does not run, and
// nothing starts in an evacuated zone later than the platform allows.
// Without -soak.seed it runs the seeds that failed in the past.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds(t)
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
			newSoak(t, n).run()
		})
	}
}

// regressionSeeds returns the seeds of testdata/soak-seeds.txt, which failed in the past.
func regressionSeeds(t *testing.T) []uint64 {
	b, err := os.ReadFile(filepath.Join("testdata", "soak-seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var seeds []uint64
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		word, _, _ := strings.Cut(line, " ")
		n, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			t.Fatalf("seed %q: %v", line, err)
		}
		seeds = append(seeds, n)
	}
	return seeds
}

// soak is the run of one seed.
type soak struct {
	t                 *testing.T
	faultRand         *rand.Rand // draws the faults; used by one goroutine only
	seed              uint64
	args              []string // of the VMs
	beforeCheck       func()   // called before the final state is checked, nil for nothing
	dir               string
	store             *platformstandin.Store
	storeEndpoints    []*platformstandin.StoreProxy
	links             []*standin.Link // of the executors, then of each VM to the store
	executors         []*platformstandin.Executor
	executorAddresses []string // of the executors' links, by executor
	vms               []*soakVM
	configVersion     int
	faults            []string

	evacuations  soakEvacuations
	operatorRand *rand.Rand // draws evacuations

	extraRand *rand.Rand // draws crashing jobs and capacities, so that these do not change the faults of a seed

	mu           sync.Mutex
	capacities   [soakExecutors]soakCapacity
	crashes      map[string]int  // executors that a task has crashed
	laterStarts  map[string]int  // its starts after three crashes
	acknowledged map[string]bool // tasks whose success was acknowledged to their executor
	jobs         map[string]*soakJob
	problems     []string
}

type soakVM struct {
	name, callers, readiness, peers, settings string
	process                                   *exec.Cmd
	log                                       *os.File
}

// soakJob is the state of a job as its caller knows it.
type soakJob struct {
	queue     string // path of the queue that it was submitted to, /slow/ if empty
	tasks     int
	accepted  bool
	uncertain bool // a submission that was not accepted may have been stored
	cancelled bool // a cancellation was or may have been stored
	crashing  bool // its tasks crash the executors that start them
	started   bool
}

func newSoak(t *testing.T, seed uint64) *soak { return newSoakWith(t, seed) }

// newSoakWith starts everything with further arguments of the VMs.
func newSoakWith(t *testing.T, seed uint64, args ...string) *soak {
	s := &soak{
		t: t, seed: seed, args: args, faultRand: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), store: platformstandin.NewStore(),
		acknowledged: map[string]bool{}, jobs: map[string]*soakJob{}, extraRand: rand.New(rand.NewPCG(seed, 9)),
		crashes: map[string]int{}, laterStarts: map[string]int{}, operatorRand: rand.New(rand.NewPCG(seed, 10)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.configure()
	clocks := rand.New(rand.NewPCG(seed, 8)) // a separate source, so that clock rates do not change the faults of a seed
	for i := range soakExecutors {
		x := platformstandin.NewExecutor()
		x.ClockPercent = soakClockRates[clocks.IntN(len(soakClockRates))]
		x.SpeedPercent = soakSpeeds[i%len(soakSpeeds)]
		x.Started = func(task string) { s.checkStart(i, task) }
		x.EndReported = s.recordAcknowledged
		x.Crashed = func(task string) { s.recordCrash(i, task) }
		s.capacities[i] = soakCapacity{now: soakSlots, before: soakSlots}
		s.executors = append(s.executors, x)
		s.executorAddresses = append(s.executorAddresses, s.startLink(ctx, x))
		s.listExecutor(i, "ready")
	}
	for i := range *soakVMs {
		d := &platformstandin.StoreProxy{Store: s.store}
		s.storeEndpoints = append(s.storeEndpoints, d)
		v := &soakVM{name: fmt.Sprintf("vm%d", i), callers: freeAddress(t), readiness: freeAddress(t), peers: freeAddress(t)}
		v.settings = filepath.Join(s.dir, v.name+".json")
		b, err := platformstandin.SettingsFileFor(v.name, s.startLink(ctx, d), v.callers, v.readiness, v.peers, 4*time.Second, *soakParts)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(v.settings, b, 0o600); err != nil {
			t.Fatal(err)
		}
		log, err := os.Create(filepath.Join(s.dir, v.name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		v.log = log
		s.vms = append(s.vms, v)
		s.startVM(v)
	}
	t.Cleanup(s.stopAll)
	return s
}

func freeAddress(t *testing.T) string {
	a, err := platformstandin.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startLink serves a handler behind a link stand-in, a proxy that can inject faults, and
// returns the proxy's address.
func (s *soak) startLink(ctx context.Context, h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	if x, ok := h.(*platformstandin.Executor); ok {
		server.Config.ConnContext = x.ConnContext
	}
	server.Start()
	s.t.Cleanup(server.Close)
	l, err := standin.NewLink(ctx, "127.0.0.1", []string{"x"})
	if err != nil {
		s.t.Fatal(err)
	}
	go func() { _ = l.Run(ctx) }()
	s.links = append(s.links, l)
	s.controlLink(l, `{"to":{"x":"`+server.Listener.Addr().String()+`"}}`)
	return l.Addresses()["x"]
}

func (*soak) controlLink(l *standin.Link, body string) {
	l.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
}

func (s *soak) configure() {
	s.configVersion++
	s.store.Put("keyed.op", "config", withOtherOrganisation(platformstandin.Configuration(s.configVersion, platformstandin.Key)))
}

func (s *soak) listExecutor(i int, state string) {
	s.store.PutExecutorInZone(soakZone(i), fmt.Sprintf("x%d", i), "s", s.executorAddresses[i], fmt.Sprintf("r1-%d", i%2), s.capacityOf(i), state, s.executors[i].Born())
}

func (s *soak) startVM(v *soakVM) {
	v.process = exec.Command("lacewingdoor", append([]string{"schedule"}, s.args...)...)
	v.process.Env = append(os.Environ(), "LACEWINGDOOR_SETTINGS="+v.settings)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	v.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // for the same reason as in startProcess
	if err := v.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// signal sends a signal to the process of the VM.
func (v *soakVM) signal(n os.Signal) { _ = v.process.Process.Signal(n) }

// signalAndWait sends a signal to the process of the VM and waits until it exits.
func (v *soakVM) signalAndWait(n os.Signal) {
	v.signal(n)
	_ = v.process.Wait()
}

func (s *soak) stopAll() {
	for _, v := range s.vms {
		v.signal(syscall.SIGCONT)
		v.signalAndWait(syscall.SIGKILL)
		_ = v.log.Close()
	}
	if !s.t.Failed() {
		return
	}
	s.t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	for _, v := range s.vms {
		b, _ := os.ReadFile(v.log.Name())
		if name := os.Getenv("SOAK_LOGS"); name != "" {
			_ = os.WriteFile(filepath.Join(name, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+v.name+".log"), b, 0o600)
		}
	}
}

func (s *soak) problemf(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, a...))
}

// checkStart checks a task start that executor i observes.
func (s *soak) checkStart(i int, task string) {
	id, _, _ := strings.Cut(task, ".")
	s.mu.Lock()
	j, ok := s.jobs[id]
	acknowledged := s.acknowledged[task] || *soakBreak == "twice"
	if ok {
		j.started = true
	}
	s.mu.Unlock()
	if !ok {
		s.problemf("x%d starts task %s, which no caller submitted", i, task)
	}
	if acknowledged {
		s.problemf("x%d starts task %s, whose success was already acknowledged", i, task)
	}
	for k, x := range s.executors {
		for _, r := range x.Running() {
			if k != i && r == task {
				s.problemf("x%d starts task %s, which is running on x%d", i, task, k)
			}
		}
	}
	n := len(s.executors[i].Running())
	if n > soakSlots {
		s.problemf("x%d runs %d tasks but has only %d slots", i, n, soakSlots)
	}
	s.checkCapacity(i, task, n)
	s.checkLaterStart(i, task)
	s.checkZone(i, task)
}

func (s *soak) recordAcknowledged(task, how string) {
	if how == "done" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.acknowledged[task] = true
	}
}

// run injects faults while callers submit jobs, then clears all faults and checks the final
// state.
func (s *soak) run() {
	for _, v := range s.vms {
		s.waitUntil("each VM is ready", func() bool { return soakCall(http.MethodGet, v.readiness, "/ready", "").status == http.StatusOK })
	}
	var callers sync.WaitGroup
	for i := range soakJobs {
		r := rand.New(rand.NewPCG(s.faultRand.Uint64(), uint64(i)))
		callers.Go(func() { s.runCaller(r, i) })
	}
	s.runCrashingJobs(&callers)
	callers.Go(func() { s.runOperator(s.operatorRand) })
	stop, partFaults := make(chan struct{}), make(chan []string, 1)
	go func() { partFaults <- s.partFaults(stop) }()
	for end := time.Now().Add(*soakSpan); time.Now().Before(end); {
		s.injectFault()
		s.changeCapacity()
		time.Sleep(time.Duration(s.faultRand.IntN(400)) * time.Millisecond)
	}
	close(stop)
	s.faults = append(s.faults, <-partFaults...)
	s.clearFaults()
	callers.Wait()
	if s.beforeCheck != nil {
		s.beforeCheck()
	}
	s.checkFinalState()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.problems {
		s.t.Error(p)
	}
}

// injectFault injects or clears one random fault. Faults may last after it returns.
func (s *soak) injectFault() {
	v := s.faultRand.IntN(len(s.vms))
	x := s.faultRand.IntN(soakExecutors)
	states := []string{"cut", "silent", "silent-away", "silent-back"}
	state := states[s.faultRand.IntN(len(states))]
	kinds := []func() string{
		func() string {
			s.vms[v].signalAndWait(syscall.SIGKILL)
			s.startVM(s.vms[v])
			return "kill and restart " + s.vms[v].name
		},
		func() string {
			p := s.vms[v].process.Process // resume this process even if the VM has been restarted meanwhile
			_ = p.Signal(syscall.SIGSTOP)
			time.AfterFunc(time.Duration(s.faultRand.IntN(5000))*time.Millisecond, func() { _ = p.Signal(syscall.SIGCONT) })
			return "pause " + s.vms[v].name
		},
		func() string { s.vms[v].signal(syscall.SIGHUP); return "send SIGHUP to " + s.vms[v].name },
		func() string {
			s.controlLink(s.links[soakExecutors+v], `{"state":{"x":"`+state+`"}}`)
			return state + " store link of " + s.vms[v].name
		},
		func() string {
			s.controlLink(s.links[soakExecutors+v], `{"state":{"x":"up"}}`)
			return "restore store link of " + s.vms[v].name
		},
		func() string {
			s.storeEndpoints[v].Unavailable.Store(true)
			return "make store unavailable to " + s.vms[v].name
		},
		func() string {
			s.storeEndpoints[v].Unavailable.Store(false)
			return "make store available to " + s.vms[v].name
		},
		func() string {
			s.controlLink(s.links[x], `{"state":{"x":"`+state+`"}}`)
			return fmt.Sprintf("%s link of x%d", state, x)
		},
		func() string {
			s.controlLink(s.links[x], `{"state":{"x":"up"}}`)
			return fmt.Sprintf("restore link of x%d", x)
		},
		func() string {
			s.executors[x].Restart()
			s.listExecutor(x, "ready")
			return fmt.Sprintf("restart x%d", x)
		},
		func() string { s.listExecutor(x, "draining"); return fmt.Sprintf("drain x%d", x) },
		func() string { s.listExecutor(x, "ready"); return fmt.Sprintf("set x%d ready", x) },
		func() string { s.configure(); return fmt.Sprintf("configuration %d", s.configVersion) },
	}
	s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+kinds[s.faultRand.IntN(len(kinds))]())
}

func (s *soak) clearFaults() {
	s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+"clear all faults")
	for i, v := range s.vms {
		s.storeEndpoints[i].Unavailable.Store(false)
		v.signal(syscall.SIGCONT)
	}
	for _, l := range s.links {
		s.controlLink(l, `{"state":{"x":"up"}}`)
	}
	for i := range s.executors {
		s.setCapacity(i, soakSlots)
		s.listExecutor(i, "ready")
	}
}

type soakResponse struct {
	status int
	body   string
}

// soakClient has the timeout of a caller.
var soakClient = &http.Client{Timeout: 3 * time.Second}

func soakCall(method, address, path, body string) soakResponse {
	status, answer := platformstandin.Call(soakClient, method, address, path, platformstandin.Key, body)
	return soakResponse{status, answer}
}

// runCaller submits a job, retrying until it is accepted or the attempts are used up, and
// cancels some of the accepted jobs.
func (s *soak) runCaller(r *rand.Rand, i int) {
	time.Sleep(time.Duration(r.Int64N(int64(*soakSpan))))
	j := &soakJob{tasks: 1 + r.IntN(5)}
	id, queue := fmt.Sprintf("%016x", i+1), []string{"/slow/", "/fast/"}[r.IntN(2)]
	j.queue = queue
	s.mu.Lock()
	s.jobs[id] = j
	s.mu.Unlock()
	body := platformstandin.Job(fmt.Sprintf("%dms", 100+r.IntN(1500)), j.tasks, true)
	for range 6 {
		a := soakCall(http.MethodPost, s.vms[r.IntN(len(s.vms))].callers, queue+id, body)
		s.mu.Lock()
		j.accepted = j.accepted || a.status == http.StatusOK
		j.uncertain = j.uncertain || (a.status != http.StatusOK && a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests)
		s.mu.Unlock()
		if j.accepted {
			break
		}
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	}
	if !j.accepted || r.IntN(5) > 0 {
		return
	}
	a := soakCall(http.MethodDelete, s.vms[r.IntN(len(s.vms))].callers, queue+id, "")
	s.mu.Lock()
	defer s.mu.Unlock()
	j.cancelled = a.status != http.StatusServiceUnavailable && a.status != http.StatusGone // on both statuses nothing was stored
}

// checkFinalState checks that every accepted job completes, or is cancelled if its caller
// asked so, that no job ran whose submissions were all refused, and that no task is left
// running.
func (s *soak) checkFinalState() {
	if *soakBreak == "lost" {
		s.jobs["ffffffffffffffff"] = &soakJob{accepted: true}
	}
	if *soakBreak == "refused" {
		s.jobs["ffffffffffffffff"] = &soakJob{started: true}
	}
	for id, j := range s.jobs {
		if !j.accepted {
			if j.started && !j.uncertain {
				s.problemf("job %s ran although every submission was refused", id)
			}
			continue
		}
		want := []string{"completed"}
		if j.crashing {
			want = []string{"failed"}
		}
		if j.cancelled {
			want = append(want, "cancelled")
		}
		if !s.jobEnds(id, want) {
			s.problemf("job %s was accepted but does not end as one of %v", id, want)
		}
	}
	s.waitUntil("no task is running", func() bool {
		for _, x := range s.executors {
			if len(x.Running()) > 0 {
				return false
			}
		}
		return true
	})
}

// path returns the path of a job. A job is known in its own queue only.
func (j *soakJob) path(id string) string { return cmp.Or(j.queue, "/slow/") + id }

func (s *soak) jobEnds(id string, want []string) bool {
	limit := soakSettleTimeout
	if *soakBreak == "lost" {
		limit = time.Second
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, v := range s.vms {
			a := soakCall(http.MethodGet, v.callers, s.jobs[id].path(id), "")
			for _, w := range want {
				if strings.Contains(a.body, `"`+w+`"`) {
					return true
				}
			}
		}
	}
	return false
}

func (s *soak) waitUntil(what string, condition func() bool) {
	for end := time.Now().Add(soakSettleTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.problemf("timed out after %v waiting until %s", soakSettleTimeout, what)
}
