package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/internal/standin"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
)

// testCluster is a set of entry VMs that renew simulated workers, on a clock that
// the test advances.
type testCluster struct {
	now     time.Time
	servers []*Server
	mu      sync.Mutex
	calls   map[string]int             // "VM>WORKER"
	blocked map[string]bool            // "VM>WORKER"
	workers map[string]*standin.Worker // by address
}

// testTransport counts the calls of a VM and fails those on blocked paths.
type testTransport struct {
	c  *testCluster
	vm string
}

var errBlocked = errors.New("cut")

// RoundTrip passes a request to the worker named by the host of its URL.
func (p testTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	k := p.vm + ">" + q.URL.Host
	p.c.mu.Lock()
	p.c.calls[k]++
	p.c.mu.Unlock()
	if p.c.blocked[k] {
		return nil, errBlocked
	}
	w := httptest.NewRecorder()
	p.c.workers[q.URL.Host].ServeHTTP(w, q)
	return w.Result(), nil
}

// newTestCluster returns VMs that know each other and a list of workers in one rack.
func newTestCluster(vms, workers []string) *testCluster {
	c := &testCluster{now: time.Now(), calls: map[string]int{}, blocked: map[string]bool{}, workers: map[string]*standin.Worker{}}
	l := logrus.New()
	l.SetOutput(io.Discard)
	var list []connector.ListedVM
	for _, w := range workers {
		c.workers[w] = standin.NewWorker(leaser.Table{Worker: w, Rack: "r", Capacity: placer.Resources{Accelerators: 8}})
		list = append(list, connector.ListedVM{ID: w, Role: connector.RoleWorker, Address: w, Rack: "r"})
	}
	for _, vm := range vms {
		s := &Server{
			Settings: decoder.Settings{VM: vm}, Now: func() time.Time { return c.now },
			workers: &http.Client{Transport: testTransport{c, vm}}, inbox: make(chan message, inboxSize),
		}
		s.throttled = &throttledLogger{to: l, now: s.Now}
		s.digests, s.renewer, s.reporter = newDigestCache(), newRenewer(s), newReporter(s)
		m := heartbeater.New(vm)
		for _, o := range vms {
			m = m.WithHeard(c.now.Add(time.Hour), heartbeater.Digest{VM: o, Sequence: 1})
		}
		s.view.Store(&view{self: vm, list: list, members: m, control: s.newControl()})
		c.servers = append(c.servers, s)
	}
	return c
}

// advance advances the clock by some seconds: all VMs renew at each tick and
// exchange digests each second. It returns the maximum number of calls in one tick.
func (c *testCluster) advance(t *testing.T, seconds int) int {
	t.Helper()
	most := 0
	for n := range seconds * int(time.Second/leaser.CallTick) {
		before := c.totalCalls()
		for _, s := range c.servers {
			s.renewer.callDueWorkers(t.Context())
		}
		most = max(most, c.totalCalls()-before)
		c.now = c.now.Add(leaser.CallTick)
		if n%int(time.Second/leaser.CallTick) == 0 {
			c.exchangeDigests()
		}
	}
	return most
}

// exchangeDigests passes the digest of each VM to all others.
func (c *testCluster) exchangeDigests() {
	for _, s := range c.servers {
		d := &peerv1.Digest{Vm: s.Settings.VM, Gangs: s.renewer.partialGangs(c.now), Unreached: s.renewer.unreachable()}
		for _, o := range c.servers {
			if o != s {
				o.renewer.recordPeerDigest(c.now, d)
			}
		}
	}
}

func (c *testCluster) totalCalls() int {
	n := 0
	for _, x := range c.calls {
		n += x
	}
	return n
}

// startTask starts a task that runs until it is stopped.
func (c *testCluster) startTask(t *testing.T, worker string) {
	t.Helper()
	w := connector.Worker{Address: worker, VM: "leader", Client: &http.Client{Transport: testTransport{c, "leader"}}}
	e := leaser.Epoch{Term: 1}
	_, err := w.Fence(t.Context(), e)
	is.New(t).NoErr(err)
	for _, k := range []string{"prepare", "start"} {
		a, r := w.Command(t.Context(), k, e, leaser.Lease{ID: leaser.ID{Job: "j", Attempt: 1}, GangSize: 1})
		if r != connector.ResultDone {
			t.Fatalf("%s: %s: %s", k, r, a.Reason)
		}
	}
}

// renewersOf returns the VMs with a recent reading of a worker.
func (c *testCluster) renewersOf(worker string) []string {
	var vms []string
	for _, s := range c.servers {
		if x, ok := s.renewer.readings[worker]; ok && c.now.Sub(x.At) <= leaser.MaxCountAge {
			vms = append(vms, s.Settings.VM)
		}
	}
	return vms
}

// TestUnreachableWorkerIsRenewedByAnotherVM guards against leases that expire because
// the renewing VM alone cannot reach a worker: another VM must take over this worker,
// but not its rack, and return it once it can be reached again.
func TestUnreachableWorkerIsRenewedByAnotherVM(t *testing.T) {
	is := is.New(t)
	c := newTestCluster([]string{"a", "b", "c"}, []string{"w1", "w2", "w3"})
	c.advance(t, 3)
	first := c.renewersOf("w1")
	is.Equal(c.renewersOf("w2"), first) // one rack has one renewing VM
	c.blocked[first[0]+">w1"] = true
	c.advance(t, 8)
	second := c.renewersOf("w1")
	is.Equal(len(second), 1)
	is.True(second[0] != first[0])
	is.Equal(c.renewersOf("w2"), first) // only unreachable workers move to another VM
	for _, w := range []string{"w1", "w2", "w3"} {
		c.blocked[first[0]+">"+w] = true
	}
	c.advance(t, 8)
	is.Equal(c.renewersOf("w3"), second)
	c.blocked = map[string]bool{}
	c.advance(t, 8)
	is.Equal(c.renewersOf("w1"), first)
}

// TestUnreachableNamesAreBounded guards against digests that grow with the number of
// workers that a VM cannot reach: whole racks are combined and the rest is limited.
func TestUnreachableNamesAreBounded(t *testing.T) {
	is := is.New(t)
	var r leaser.Reachability
	var p []leaser.WorkerLocation
	for i := range 200 {
		w := string(rune('a'+i/26)) + string(rune('a'+i%26))
		p = append(p, leaser.WorkerLocation{Worker: w, Rack: "r" + w[:1]})
		r = r.WithFailure(time.Unix(1000, 0), w, false)
	}
	is.Equal(len(r.Unreachable(p)), 8) // racks
	for i := range 8 {
		r = r.WithAnswer(p[26*i].Worker)
	}
	is.Equal(len(r.Unreachable(p)), leaser.MaxUnreachable)
	is.Equal(len(r.Retain(p[:1]).Unreachable(p[:1])), 0)
}

// TestSteadyWorkersAreCalledLessOftenAndEvenly guards against calls to unchanged
// workers that are too frequent or come in bursts, and against readings that become
// too old. A change or waiting jobs must bring back the shorter interval.
func TestSteadyWorkersAreCalledLessOftenAndEvenly(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	c := newTestCluster([]string{"a"}, names)
	c.advance(t, 6)
	clear(c.calls)
	most := c.advance(t, 11) // 4 steady intervals
	is.Equal(c.totalCalls(), 4*len(names))
	is.True(most <= 12) // of 160 calls in 44 ticks
	for _, x := range c.servers[0].renewer.readings {
		is.True(c.now.Sub(x.At) <= leaser.MaxCountAge-leaser.CallTimeout)
	}

	// A worker on which a task starts is called more often until it is steady again.
	c.startTask(t, "w7")
	s := c.servers[0]
	for n := 0; len(s.renewer.lastInventory("w7").Leases) == 0; n++ {
		is.True(n < 3) // seconds
		c.advance(t, 1)
	}
	c.advance(t, 4)
	clear(c.calls)
	c.advance(t, 11)
	is.Equal(c.calls["a>w7"], 4)

	// While jobs wait, all workers are called each second.
	v := *s.view.Load()
	v.members = v.members.WithHeard(c.now.Add(time.Hour), heartbeater.Digest{VM: "b", Sequence: 1, Leading: true, Leaving: true, JobsWaiting: true})
	s.view.Store(&v)
	c.advance(t, 2)
	clear(c.calls)
	c.advance(t, 11)
	is.Equal(c.totalCalls(), 11*len(names))
}

// TestChangesAreReportedAtOnceOthersInBatches guards against changes that wait for a
// batch, and against reports of unchanged readings at every tick.
func TestChangesAreReportedAtOnceOthersInBatches(t *testing.T) {
	is := is.New(t)
	c := newTestCluster([]string{"a"}, []string{"w1", "w2"})
	r := c.servers[0].renewer
	r.callDueWorkers(t.Context())
	is.Equal(len(r.takeBatch(c.now)), 2) // first readings
	c.now = c.now.Add(leaser.CallInterval)
	r.callDueWorkers(t.Context())
	is.Equal(len(r.takeBatch(c.now)), 2) // unchanged, but reportBatchInterval has passed
	c.now = c.now.Add(leaser.CallTick)
	r.unreported = []leaser.Reading{{}}
	is.Equal(len(r.takeBatch(c.now)), 0) // reportBatchInterval has not passed
	r.changePending = true
	is.Equal(len(r.takeBatch(c.now)), 1)
	is.Equal(len(r.unreported), 0)
}
