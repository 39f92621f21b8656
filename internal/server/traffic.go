package server

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/heartbeater"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// settleTime is how long a VM waits before it uses slots gained by a change of
// membership: their former owner has heard of the change by then.
const settleTime = 2 * heartbeater.Interval

// defaultSlots is the number of slots of an executor whose list row names none.
const defaultSlots = 8

// retraffic builds the snapshot for traffic, if anything that it depends on has
// changed.
func (s *Server) retraffic(now time.Time, v view) view {
	present := v.members.Present(now)
	leaving := union(v.leaving, v.members.LeavingExecutors(now))
	if !slices.Equal(present, s.traffic.present) {
		s.traffic.settled = now.Add(settleTime)
	}
	settled := !now.Before(s.traffic.settled)
	t := trafficInputs{
		revision: v.config.Revision(), list: v.list,
		present: present, leaving: leaving, settled: s.traffic.settled, isSettled: settled,
	}
	if v.traffic != nil && s.traffic.equal(t) {
		return v
	}
	s.traffic = t
	v.settled = v.settled || settled
	v.traffic = s.snapshot(v, t)
	return v
}

// trafficInputs is what a snapshot for traffic was built from.
type trafficInputs struct {
	revision  int64
	list      []connector.ListedVM
	present   []string // entry VMs that share the slots
	leaving   []string // executors
	settled   time.Time
	isSettled bool
}

func (t trafficInputs) equal(o trafficInputs) bool {
	return t.revision == o.revision && t.isSettled == o.isSettled &&
		slices.Equal(t.present, o.present) && slices.Equal(t.leaving, o.leaving) &&
		slices.Equal(t.list, o.list)
}

func (s *Server) snapshot(v view, t trafficInputs) *router.Snapshot {
	c := v.config.Config()
	n := &router.Snapshot{
		Revision:  c.Revision,
		Zone:      s.Settings.Zone,
		Services:  map[string]decoder.Service{},
		Executors: map[string][]router.Executor{},
		Weights:   map[string]int{},
	}
	for _, o := range c.Organisations {
		n.Weights[o.Name] = o.Weight
	}
	for _, x := range c.Services {
		n.Services[x.Name] = x
	}
	for _, l := range v.list {
		if l.Role == connector.RoleExecutor {
			n.Executors[l.Service] = append(n.Executors[l.Service], s.executor(v, t, l))
		}
	}
	return n
}

// executor returns an executor with the slots that this VM may use of it.
func (s *Server) executor(v view, t trafficInputs, l connector.ListedVM) router.Executor {
	total := l.Slots
	if total == 0 {
		total = defaultSlots
	}
	slots := limiter.Own(t.present, s.Settings.VM, l.ID, total)
	if !t.isSettled {
		slots = min(slots, ownedBefore(v.traffic, l))
	}
	_, leaving := slices.BinarySearch(t.leaving, l.ID)
	return router.Executor{
		ID: l.ID, Address: l.Address, Zone: l.Zone,
		Slots: slots, Total: total, Leaving: l.Leaving || leaving,
	}
}

// ownedBefore returns the slots that this VM had of an executor before.
func ownedBefore(n *router.Snapshot, l connector.ListedVM) int {
	if n == nil {
		return 0
	}
	for _, x := range n.Executors[l.Service] {
		if x.ID == l.ID {
			return x.Slots
		}
	}
	return 0
}

// union returns the sorted elements of both sorted slices, each once.
func union(a, b []string) []string {
	u := append(slices.Clone(a), b...)
	slices.Sort(u)
	return slices.Compact(u)
}
