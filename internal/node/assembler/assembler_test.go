package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/internal/node/assembler"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/platform/standin"
)

const (
	waitTimeout  = time.Minute // generous, as it only bounds a failing test
	pollInterval = 10 * time.Millisecond
)

// cluster is a store, a machine service, an adviser, executors and entry VMs, all in this
// process.
type cluster struct {
	t              *testing.T
	store          *standin.Store
	executors      []*standin.Executor
	addresses      []string // of the executors
	machineService *standin.MachineService
	adviser        *standin.Adviser
	vms            []*vm
	parts          int // partitions of each topic, 0 for a platform that names none
	jobMemoryMB    int // that accepted jobs may take, 0 for the default

	machineServiceAddress, adviceAddress string
}

// vm is an entry VM.
type vm struct {
	storeProxy *standin.StoreProxy
	settings   platform.Settings
	cancel     context.CancelFunc
	done       chan struct{}
}

func newCluster(t *testing.T, executors, vms int) *cluster {
	t.Helper()
	s := &cluster{t: t, store: standin.NewStore(), machineService: &standin.MachineService{}, adviser: &standin.Adviser{Valid: time.Minute}}
	s.machineServiceAddress, s.adviceAddress = serve(t, s.machineService), serve(t, s.adviser)
	s.store.Configure(1, standin.Key)
	for i := range executors {
		x := standin.NewExecutor()
		s.executors = append(s.executors, x)
		s.addresses = append(s.addresses, serve(t, x))
		s.listExecutor(i, fmt.Sprintf("x%d", i), "s")
	}
	for i := range vms {
		s.startVM(fmt.Sprintf("vm%d", i))
	}
	return s
}

// serve starts a server that runs until the test ends, and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const executorGPUs = 8 // of each executor

// listExecutor adds an executor to the list of workers.
func (s *cluster) listExecutor(i int, id, service string) {
	s.store.PutExecutor(id, service, s.addresses[i], "r1", executorGPUs, "ready", s.executors[i].Born())
}

// freeAddress returns an unused local address.
func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := standin.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// logBuffer collects the log of a VM. It is printed if the test fails.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// startVM starts a VM and waits until it is ready.
func (s *cluster) startVM(name string) {
	s.t.Helper()
	v := &vm{storeProxy: &standin.StoreProxy{Store: s.store}, done: make(chan struct{})}
	server := httptest.NewServer(v.storeProxy)
	s.t.Cleanup(server.Close)
	v.settings = platform.Settings{
		VM: name, Callers: freeAddress(s.t), Readiness: freeAddress(s.t), Peers: freeAddress(s.t), Metrics: freeAddress(s.t),
		MachineService: s.machineServiceAddress, Advice: s.adviceAddress,
		Store: server.Listener.Addr().String(), Lease: 10 * time.Second, Grace: 6 * time.Second,
		Heartbeat: 1500 * time.Millisecond, Parts: s.parts,
	}
	log, lines := logrus.New(), &logBuffer{}
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "05.000", DisableColors: true})
	log.SetOutput(lines)
	a := &assembler.Assembler{Settings: v.settings, Logger: log, Dropped: func() int64 { return 0 }, Now: time.Now, JobMemoryMB: s.jobMemoryMB}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	var once sync.Once
	s.t.Cleanup(func() {
		cancel()
		once.Do(func() { <-v.done })
		if s.t.Failed() {
			s.t.Logf("[log of %s]\n%s", name, lines.String())
		}
	})
	go func() {
		defer close(v.done)
		if err := a.Run(ctx); err != nil {
			s.t.Errorf("VM %s: %v", name, err)
		}
	}()
	s.vms = append(s.vms, v)
	s.waitFor("VM "+name+" is ready", func() bool { return getStatus("http://"+v.settings.Readiness+"/ready") == http.StatusOK })
}

func getStatus(url string) int {
	a, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// waitFor waits until a condition is true.
func (s *cluster) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out after %v waiting until %s", waitTimeout, what)
}

// call sends a caller's request to a VM.
func (v *vm) call(method, path, key, body string) (int, string) {
	return standin.Call(http.DefaultClient, method, v.settings.Callers, path, key, body)
}

// state returns the state of a job of the queue "slow" as reported by a VM.
func (v *vm) state(id string) string { return v.stateInQueue("/slow/", id) }

// stateInQueue returns the state of a job of any queue, given by its path prefix.
func (v *vm) stateInQueue(queue, id string) string {
	_, b := v.call(http.MethodGet, queue+id, "key", "")
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(b), &a)
	return a.State
}

func jobBody(spec string, tasks int) string { return standin.Job(spec, tasks, false) }

const jobID = "00000000000000a1"

// A job that is submitted to one VM must be visible on all, and a second submission of it
// to another VM must not run it again.
func TestEveryVMReportsCompletedJob(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 2, 3)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("100ms", 3))
	is.Equal(status, http.StatusOK)
	for _, v := range s.vms {
		s.waitFor("the job is completed", func() bool { return v.state(jobID) == "completed" })
	}
	status, _ = s.vms[1].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("100ms", 3)) // submits the same job again
	is.Equal(status, http.StatusOK)
	is.Equal(len(s.executors[0].Starts())+len(s.executors[1].Starts()), 3)
	status, body := s.vms[2].call(http.MethodGet, "/slow/", "key", "")
	is.Equal(status, http.StatusOK)
	is.Equal(strings.TrimSpace(body), `{"pending":0}`)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	v := newCluster(t, 1, 1).vms[0]
	for _, c := range []struct {
		method, path, key, body string
		status                  int
	}{
		{http.MethodPost, "/other/" + jobID, "key", jobBody("1ms", 1), http.StatusNotFound},
		{http.MethodPost, "/slow/" + jobID, "wrong", jobBody("1ms", 1), http.StatusUnauthorized},
		{http.MethodPost, "/slow/short", "key", jobBody("1ms", 1), http.StatusBadRequest},
		{http.MethodPost, "/slow/" + jobID, "key", "{", http.StatusBadRequest},
		{http.MethodPost, "/slow/" + jobID, "key", `{"spec":"","steps":[]}`, http.StatusBadRequest},
		{http.MethodPost, "/slow/" + jobID, "key", `{"spec":"","steps":[{"count":1,"dependsOn":[0]}]}`, http.StatusBadRequest},
		{http.MethodPost, "/slow/" + jobID, "key", strings.Repeat("x", 20000), http.StatusRequestEntityTooLarge},
		{http.MethodGet, "/slow/" + jobID, "key", "", http.StatusGone},
		{http.MethodDelete, "/slow/" + jobID, "key", "", http.StatusGone},
	} {
		status, body := v.call(c.method, c.path, c.key, c.body)
		if status != c.status {
			t.Errorf("%s %s: %d %s, want %d", c.method, c.path, status, body, c.status)
		}
	}
	is.Equal(v.state(jobID), "")
}

func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 1, 2)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("1h", 2))
	is.Equal(status, http.StatusOK)
	s.waitFor("the job runs", func() bool { return s.vms[1].state(jobID) == "running" })
	status, _ = s.vms[1].call(http.MethodDelete, "/slow/"+jobID, "key", "")
	is.Equal(status, http.StatusOK)
	s.waitFor("the job is cancelled", func() bool { return s.vms[0].state(jobID) == "cancelled" })
}

// A new leader must adopt the runs of the leader that has shut down, not start them again.
func TestNewLeaderTakesOverRunsAfterShutdown(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 1, 1)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("3s", 1))
	is.Equal(status, http.StatusOK)
	s.waitFor("the job runs", func() bool { return s.vms[0].state(jobID) == "running" })
	s.startVM("vm1")
	s.vms[0].cancel()
	<-s.vms[0].done
	s.waitFor("the job is completed", func() bool { return s.vms[1].state(jobID) == "completed" })
	is.Equal(len(s.executors[0].Starts()), 1) // the new leader has adopted the run
}

// The entry of a worker may have expired when a new leader reads the list, while the
// worker still runs a task. The new leader must not start that task on another worker.
func TestNewLeaderTakesOverRunsOfExpiredWorker(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 2, 1)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("4s", 1))
	is.Equal(status, http.StatusOK)
	s.waitFor("the job runs", func() bool { return s.vms[0].state(jobID) == "running" })
	s.startVM("vm1")
	busy := 0
	if len(s.executors[1].Running()) > 0 {
		busy = 1
	}
	s.store.Put("keyed.servers", fmt.Sprintf("x%d", busy), nil)
	s.vms[0].cancel()
	<-s.vms[0].done
	s.waitFor("the job is completed", func() bool { return s.vms[1].state(jobID) == "completed" })
	is.Equal(len(s.executors[busy].Starts()), 1)
	is.Equal(len(s.executors[1-busy].Starts()), 0)
}

func TestVMRefusedByStoreRelaysThroughPeer(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 1, 2)
	s.waitFor("the VMs have registered", func() bool { return s.store.Get("keyed.vms", "vm1") != nil })
	s.vms[1].storeProxy.Unavailable.Store(true)
	const unknown = "00000000000000ff"
	s.waitFor("the VM has read the address of the other one", func() bool {
		status, _ := s.vms[1].call(http.MethodGet, "/slow/"+unknown, "key", "")
		return status == http.StatusGone
	})
	status, body := s.vms[1].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("50ms", 1))
	is.Equal(status, http.StatusOK)
	if status != http.StatusOK {
		t.Log(body)
	}
	s.waitFor("the job is completed", func() bool { return s.vms[1].state(jobID) == "completed" })
	// A removed key must be refused by the relaying VM too.
	s.store.Configure(2, "other")
	s.waitFor("the key is refused", func() bool {
		status, _ := s.vms[1].call(http.MethodGet, "/slow/"+jobID, "key", "")
		return status == http.StatusUnauthorized
	})
}

func TestSubmissionWithoutTheStoreIsRefused(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 1, 1)
	s.vms[0].storeProxy.Unavailable.Store(true)
	status, _ := s.vms[0].call(http.MethodPost, "/slow/"+jobID, "key", jobBody("50ms", 1))
	is.Equal(status, http.StatusServiceUnavailable)
	s.vms[0].storeProxy.Unavailable.Store(false)
	s.waitFor("the VM is ready", func() bool { return getStatus("http://"+s.vms[0].settings.Readiness+"/ready") == http.StatusOK })
	is.Equal(s.vms[0].state(jobID), "") // a refused job must never run
	is.Equal(len(s.executors[0].Starts()), 0)
}
