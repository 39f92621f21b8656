package main_test

import (
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
	soakSeed  = flag.Uint64("soak.seed", 0, "first seed of the soak, 0 for those that once failed")
	soakRuns  = flag.Int("soak.runs", 1, "seeds to run")
	soakVMs   = flag.Int("soak.vms", 3, "entry VMs of each run")
	soakSpan  = flag.Duration("soak.span", 5*time.Second, "time of faults in each run")
	soakBreak = flag.String("soak.break", "", "a promise to break on purpose: twice, lost or refused")
)

const (
	soakExecutors = 5
	soakSlots     = 6                // accelerators of an executor
	soakSettle    = 90 * time.Second // far more than any job needs once the faults are over
	soakJobs      = 30
)

// soakRates are the rates of executors' clocks, in percent: they may be 2 % slow.
var soakRates = []int{100, 99, 98}

// TestSoak runs entry VMs as processes against stand-ins, with faults from outside
// that the seed draws, and checks what callers and executors see. Without a seed
// it runs those that once failed.
func TestSoak(t *testing.T) {
	seeds := failedSeeds(t)
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

// failedSeeds reads the seeds that once failed.
func failedSeeds(t *testing.T) []uint64 {
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

// soak is one run.
type soak struct {
	t         *testing.T
	random    *rand.Rand // of the faults; one goroutine uses it
	dir       string
	store     *platformstandin.Store
	doors     []*platformstandin.StoreProxy
	links     []*standin.Link // of each VM to the store, then of each executor
	executors []*platformstandin.Executor
	addresses []string // of the executors' links
	vms       []*soakVM
	version   int
	faults    []string

	mu       sync.Mutex
	done     map[string]bool // tasks whose success was acknowledged
	jobs     map[string]*soakJob
	problems []string
}

type soakVM struct {
	name, callers, readiness, peers, settings string
	process                                   *exec.Cmd
	log                                       *os.File
}

// soakJob is a job as its caller knows it.
type soakJob struct {
	tasks     int
	accepted  bool
	uncertain bool // an attempt may have been stored
	cancelled bool // a cancellation was accepted, or may have been stored
	started   bool
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), store: platformstandin.NewStore(),
		done: map[string]bool{}, jobs: map[string]*soakJob{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.configure()
	clocks := rand.New(rand.NewPCG(seed, 8)) // apart, so that the faults of a seed stay as they were
	for i := range soakExecutors {
		x := platformstandin.NewExecutor()
		x.ClockPercent = soakRates[clocks.IntN(len(soakRates))]
		x.Started = func(task string) { s.started(i, task) }
		x.EndReported = s.noted
		s.executors = append(s.executors, x)
		s.addresses = append(s.addresses, s.link(ctx, x))
		s.list(i, "ready")
	}
	for i := range *soakVMs {
		d := &platformstandin.StoreProxy{Store: s.store}
		s.doors = append(s.doors, d)
		v := &soakVM{name: fmt.Sprintf("vm%d", i), callers: soakAddress(t), readiness: soakAddress(t), peers: soakAddress(t)}
		v.settings = filepath.Join(s.dir, v.name+".json")
		b, err := platformstandin.SettingsFile(v.name, s.link(ctx, d), v.callers, v.readiness, v.peers, 4*time.Second)
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

func soakAddress(t *testing.T) string {
	a, err := platformstandin.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// link serves a handler behind a proxy and returns the proxy's address.
func (s *soak) link(ctx context.Context, h http.Handler) string {
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
	s.set(l, `{"to":{"x":"`+server.Listener.Addr().String()+`"}}`)
	return l.Addresses()["x"]
}

func (*soak) set(l *standin.Link, body string) {
	l.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
}

func (s *soak) configure() {
	s.version++
	s.store.Configure(s.version, platformstandin.Key)
}

func (s *soak) list(i int, state string) {
	s.store.PutExecutor(fmt.Sprintf("x%d", i), "s", s.addresses[i], fmt.Sprintf("r1-%d", i%2), soakSlots, state, s.executors[i].Born())
}

func (s *soak) startVM(v *soakVM) {
	v.process = exec.Command("lacewingdoor", "schedule")
	v.process.Env = append(os.Environ(), "LACEWINGDOOR_SETTINGS="+v.settings)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	v.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // as for the processes of scripts
	if err := v.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// signal sends a signal to the process of a VM, which this run has started.
func (v *soakVM) signal(n os.Signal) { _ = v.process.Process.Signal(n) }

// end ends the process of a VM and waits for it.
func (v *soakVM) end(n os.Signal) {
	v.signal(n)
	_ = v.process.Wait()
}

func (s *soak) stopAll() {
	for _, v := range s.vms {
		v.signal(syscall.SIGCONT)
		v.end(syscall.SIGKILL)
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

func (s *soak) problem(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, a...))
}

// started checks a start as executor i sees it.
func (s *soak) started(i int, task string) {
	id, _, _ := strings.Cut(task, ".")
	s.mu.Lock()
	j, ok := s.jobs[id]
	again := s.done[task] || *soakBreak == "twice"
	if ok {
		j.started = true
	}
	s.mu.Unlock()
	if !ok {
		s.problem("x%d starts %s, which nobody submitted", i, task)
	}
	if again {
		s.problem("x%d starts %s, whose success was acknowledged", i, task)
	}
	for k, x := range s.executors {
		for _, r := range x.Running() {
			if k != i && r == task {
				s.problem("x%d starts %s, which runs on x%d", i, task, k)
			}
		}
	}
	if n := len(s.executors[i].Running()); n > soakSlots {
		s.problem("x%d runs %d tasks, it has room for %d", i, n, soakSlots)
	}
}

func (s *soak) noted(task, how string) {
	if how == "done" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.done[task] = true
	}
}

// run plays the faults and the callers, heals everything, and checks the end.
func (s *soak) run() {
	for _, v := range s.vms {
		s.await("a VM is ready", func() bool { return soakCall(http.MethodGet, v.readiness, "/ready", "").status == http.StatusOK })
	}
	var callers sync.WaitGroup
	for i := range soakJobs {
		r := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		callers.Go(func() { s.caller(r, i) })
	}
	for end := time.Now().Add(*soakSpan); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
	}
	s.heal()
	callers.Wait()
	s.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.problems {
		s.t.Error(p)
	}
}

// fault brings one fault about; some are over when it returns, others last.
func (s *soak) fault() {
	v := s.random.IntN(len(s.vms))
	x := s.random.IntN(soakExecutors)
	states := []string{"cut", "silent", "silent-away", "silent-back"}
	state := states[s.random.IntN(len(states))]
	kinds := []func() string{
		func() string {
			s.vms[v].end(syscall.SIGKILL)
			s.startVM(s.vms[v])
			return "kill and start " + s.vms[v].name
		},
		func() string {
			p := s.vms[v].process.Process // the VM may have another by the time that this one goes on
			_ = p.Signal(syscall.SIGSTOP)
			time.AfterFunc(time.Duration(s.random.IntN(5000))*time.Millisecond, func() { _ = p.Signal(syscall.SIGCONT) })
			return "pause " + s.vms[v].name
		},
		func() string { s.vms[v].signal(syscall.SIGHUP); return "hang up " + s.vms[v].name },
		func() string {
			s.set(s.links[soakExecutors+v], `{"state":{"x":"`+state+`"}}`)
			return state + " store of " + s.vms[v].name
		},
		func() string {
			s.set(s.links[soakExecutors+v], `{"state":{"x":"up"}}`)
			return "heal store of " + s.vms[v].name
		},
		func() string { s.doors[v].Unavailable.Store(true); return "shut store for " + s.vms[v].name },
		func() string { s.doors[v].Unavailable.Store(false); return "open store for " + s.vms[v].name },
		func() string {
			s.set(s.links[x], `{"state":{"x":"`+state+`"}}`)
			return fmt.Sprintf("%s x%d", state, x)
		},
		func() string { s.set(s.links[x], `{"state":{"x":"up"}}`); return fmt.Sprintf("heal x%d", x) },
		func() string { s.executors[x].Restart(); s.list(x, "ready"); return fmt.Sprintf("new life of x%d", x) },
		func() string { s.list(x, "draining"); return fmt.Sprintf("drain x%d", x) },
		func() string { s.list(x, "ready"); return fmt.Sprintf("ready x%d", x) },
		func() string { s.configure(); return fmt.Sprintf("configuration %d", s.version) },
	}
	s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+kinds[s.random.IntN(len(kinds))]())
}

func (s *soak) heal() {
	s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+"heal all")
	for i, v := range s.vms {
		s.doors[i].Unavailable.Store(false)
		v.signal(syscall.SIGCONT)
	}
	for _, l := range s.links {
		s.set(l, `{"state":{"x":"up"}}`)
	}
	for i := range s.executors {
		s.list(i, "ready")
	}
}

type soakAnswer struct {
	status int
	body   string
}

// soakClient gives up as callers do.
var soakClient = &http.Client{Timeout: 3 * time.Second}

func soakCall(method, address, path, body string) soakAnswer {
	status, answer := platformstandin.Call(soakClient, method, address, path, platformstandin.Key, body)
	return soakAnswer{status, answer}
}

// caller submits a job until it is accepted, and may cancel it.
func (s *soak) caller(r *rand.Rand, i int) {
	time.Sleep(time.Duration(r.Int64N(int64(*soakSpan))))
	j := &soakJob{tasks: 1 + r.IntN(5)}
	id, queue := fmt.Sprintf("%016x", i+1), []string{"/slow/", "/fast/"}[r.IntN(2)]
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
	j.cancelled = a.status != http.StatusServiceUnavailable && a.status != http.StatusGone // else it is certain that nothing was stored
}

// settle checks that every accepted job ends as it should, that refusals were
// true, and that nothing runs on.
func (s *soak) settle() {
	if *soakBreak == "lost" {
		s.jobs["ffffffffffffffff"] = &soakJob{accepted: true}
	}
	if *soakBreak == "refused" {
		s.jobs["ffffffffffffffff"] = &soakJob{started: true}
	}
	for id, j := range s.jobs {
		if !j.accepted {
			if j.started && !j.uncertain {
				s.problem("job %s ran, though every attempt to submit it was refused", id)
			}
			continue
		}
		want := []string{"completed"}
		if j.cancelled {
			want = append(want, "cancelled")
		}
		if !s.ends(id, want) {
			s.problem("job %s is accepted and does not end as one of %v", id, want)
		}
	}
	s.await("nothing runs any more", func() bool {
		for _, x := range s.executors {
			if len(x.Running()) > 0 {
				return false
			}
		}
		return true
	})
}

func (s *soak) ends(id string, want []string) bool {
	limit := soakSettle
	if *soakBreak == "lost" {
		limit = time.Second
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, v := range s.vms {
			a := soakCall(http.MethodGet, v.callers, "/slow/"+id, "")
			for _, w := range want {
				if strings.Contains(a.body, `"`+w+`"`) {
					return true
				}
			}
		}
	}
	return false
}

func (s *soak) await(what string, holds func() bool) {
	for end := time.Now().Add(soakSettle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.problem("waited %v until %s", soakSettle, what)
}
