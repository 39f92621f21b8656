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

// scene is some entry VMs that renew stand-in workers, in time that the test
// advances.
type scene struct {
	now     time.Time
	servers []*Server
	mu      sync.Mutex
	calls   map[string]int             // "VM>WORKER"
	cut     map[string]bool            // "VM>WORKER"
	workers map[string]*standin.Worker // by address
}

// path counts the calls of a VM, and fails those that are cut.
type path struct {
	c  *scene
	vm string
}

var errCut = errors.New("cut")

// RoundTrip carries a request to the worker that is named by the host.
func (p path) RoundTrip(q *http.Request) (*http.Response, error) {
	k := p.vm + ">" + q.URL.Host
	p.c.mu.Lock()
	p.c.calls[k]++
	p.c.mu.Unlock()
	if p.c.cut[k] {
		return nil, errCut
	}
	w := httptest.NewRecorder()
	p.c.workers[q.URL.Host].ServeHTTP(w, q)
	return w.Result(), nil
}

// newScene returns VMs that know each other and a list of workers of one rack.
func newScene(vms, workers []string) *scene {
	c := &scene{now: time.Now(), calls: map[string]int{}, cut: map[string]bool{}, workers: map[string]*standin.Worker{}}
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
			workers: &http.Client{Transport: path{c, vm}}, inbox: make(chan message, inboxSize),
		}
		s.quiet = &quietLogger{to: l, now: s.Now}
		s.digests, s.renewer, s.reporter = newDigests(), newRenewer(s), newReporter(s)
		m := heartbeater.New(vm)
		for _, o := range vms {
			m = m.WithHeard(c.now.Add(time.Hour), heartbeater.Digest{VM: o, Sequence: 1})
		}
		s.view.Store(&view{self: vm, list: list, members: m, control: s.newControl()})
		c.servers = append(c.servers, s)
	}
	return c
}

// pass lets seconds go by: all VMs renew, and tell each other each second. It
// returns the most calls of one tick.
func (c *scene) pass(t *testing.T, seconds int) int {
	t.Helper()
	most := 0
	for n := range seconds * int(time.Second/leaser.CallTick) {
		before := c.sum()
		for _, s := range c.servers {
			s.renewer.turn(t.Context())
		}
		most = max(most, c.sum()-before)
		c.now = c.now.Add(leaser.CallTick)
		if n%int(time.Second/leaser.CallTick) == 0 {
			c.tell()
		}
	}
	return most
}

// tell has all VMs tell each other.
func (c *scene) tell() {
	for _, s := range c.servers {
		d := &peerv1.Digest{Vm: s.Settings.VM, Gangs: s.renewer.gangs(c.now), Unreached: s.renewer.unreached()}
		for _, o := range c.servers {
			if o != s {
				o.renewer.told(c.now, d)
			}
		}
	}
}

func (c *scene) sum() int {
	n := 0
	for _, x := range c.calls {
		n += x
	}
	return n
}

// start starts a task that runs until it is stopped.
func (c *scene) start(t *testing.T, worker string) {
	t.Helper()
	w := connector.Worker{Address: worker, VM: "leader", Client: &http.Client{Transport: path{c, "leader"}}}
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

// renewing returns the VMs that have read a worker lately.
func (c *scene) renewing(worker string) []string {
	var vms []string
	for _, s := range c.servers {
		if x, ok := s.renewer.readings[worker]; ok && c.now.Sub(x.At) <= leaser.MaxCountAge {
			vms = append(vms, s.Settings.VM)
		}
	}
	return vms
}

func TestAWorkerThatItsVMCannotReachIsRenewedByAnother(t *testing.T) {
	is := is.New(t)
	c := newScene([]string{"a", "b", "c"}, []string{"w1", "w2", "w3"})
	c.pass(t, 3)
	first := c.renewing("w1")
	is.Equal(c.renewing("w2"), first) // one rack, one VM
	c.cut[first[0]+">w1"] = true
	c.pass(t, 8)
	second := c.renewing("w1")
	is.Equal(len(second), 1)
	is.True(second[0] != first[0])
	is.Equal(c.renewing("w2"), first) // only what is cut changes hands
	for _, w := range []string{"w1", "w2", "w3"} {
		c.cut[first[0]+">"+w] = true
	}
	c.pass(t, 8)
	is.Equal(c.renewing("w3"), second)
	c.cut = map[string]bool{}
	c.pass(t, 8)
	is.Equal(c.renewing("w1"), first)
}

func TestAVMTellsOfABoundedNumberThatItCannotReach(t *testing.T) {
	is := is.New(t)
	var r leaser.Reach
	var p []leaser.Place
	for i := range 200 {
		w := string(rune('a'+i/26)) + string(rune('a'+i%26))
		p = append(p, leaser.Place{Worker: w, Rack: "r" + w[:1]})
		r = r.WithMiss(time.Unix(1000, 0), w, false)
	}
	is.Equal(len(r.Unreached(p)), 8) // racks
	for i := range 8 {
		r = r.WithAnswer(p[26*i].Worker)
	}
	is.Equal(len(r.Unreached(p)), leaser.MaxUnreached)
	is.Equal(len(r.WithListed(p[:1]).Unreached(p[:1])), 0)
}

func TestSteadyWorkersAreCalledLessOftenAndEvenly(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	c := newScene([]string{"a"}, names)
	c.pass(t, 6)
	clear(c.calls)
	most := c.pass(t, 11) // 4 steady intervals
	is.Equal(c.sum(), 4*len(names))
	is.True(most <= 12) // of 160 calls in 44 ticks
	for _, x := range c.servers[0].renewer.readings {
		is.True(c.now.Sub(x.At) <= leaser.MaxCountAge-leaser.CallTimeout)
	}

	// one on which something starts is noticed, and is steady again once nothing changes
	c.start(t, "w7")
	s := c.servers[0]
	for n := 0; len(s.renewer.last("w7").Leases) == 0; n++ {
		is.True(n < 3) // seconds
		c.pass(t, 1)
	}
	c.pass(t, 4)
	clear(c.calls)
	c.pass(t, 11)
	is.Equal(c.calls["a>w7"], 4)

	// while jobs wait, all are called each second
	v := *s.view.Load()
	v.members = v.members.WithHeard(c.now.Add(time.Hour), heartbeater.Digest{VM: "b", Sequence: 1, Leading: true, Leaving: true, Waiting: true})
	s.view.Store(&v)
	c.pass(t, 2)
	clear(c.calls)
	c.pass(t, 11)
	is.Equal(c.sum(), 11*len(names))
}

func TestChangesAreReportedAtOnceAndTheRestInBatches(t *testing.T) {
	is := is.New(t)
	c := newScene([]string{"a"}, []string{"w1", "w2"})
	r := c.servers[0].renewer
	r.turn(t.Context())
	is.Equal(len(r.batch(c.now)), 2) // news
	c.now = c.now.Add(leaser.CallInterval)
	r.turn(t.Context())
	is.Equal(len(r.batch(c.now)), 2) // like before, and due
	c.now = c.now.Add(leaser.CallTick)
	r.news = []leaser.Reading{{}}
	is.Equal(len(r.batch(c.now)), 0) // too early
	r.changed = true
	is.Equal(len(r.batch(c.now)), 1)
	is.Equal(len(r.news), 0)
}
