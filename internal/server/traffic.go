package server

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// defaultSlots is the number of slots of an executor whose list row names none.
const defaultSlots = 8

// retraffic builds the snapshot for traffic, if anything that it depends on has
// changed.
func (s *Server) retraffic(now time.Time, v view) view {
	v.division = v.division.With(now, limiter.Sight{
		Present: v.members.Others(now), Mutual: v.members.Mutual(now), Known: v.members.Known(),
		Paused: !v.members.Woke().Equal(s.traffic.woke),
	})
	t := trafficInputs{
		revision: v.config.Revision(), list: v.list, leaving: union(v.leaving, v.members.LeavingExecutors(now)),
		sharing: v.division.VMs(), joined: v.division.Joined(), woke: v.members.Woke(),
	}
	if v.traffic != nil && s.traffic.equal(t) {
		return v
	}
	s.traffic = t
	v.settled = v.settled || t.joined
	v.traffic = s.snapshot(v, t)
	return v
}

// trafficInputs is what a snapshot for traffic was built from.
type trafficInputs struct {
	revision int64
	list     []connector.ListedVM
	sharing  []string // entry VMs that share the slots
	joined   bool     // this one may use its share
	leaving  []string // executors
	woke     time.Time
}

func (t trafficInputs) equal(o trafficInputs) bool {
	return t.revision == o.revision && t.joined == o.joined && t.woke.Equal(o.woke) &&
		slices.Equal(t.sharing, o.sharing) && slices.Equal(t.leaving, o.leaving) &&
		slices.Equal(t.list, o.list)
}

func (s *Server) snapshot(v view, t trafficInputs) *router.Snapshot {
	c := v.config.Config()
	n := &router.Snapshot{
		Revision:  c.Revision,
		Zone:      s.Settings.Zone,
		Apart:     !t.joined,
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
			n.Executors[l.Service] = append(n.Executors[l.Service], executor(v, t, l))
		}
	}
	return n
}

// executor returns an executor with the slots that this VM may use of it.
func executor(v view, t trafficInputs, l connector.ListedVM) router.Executor {
	total := l.Slots
	if total == 0 {
		total = defaultSlots
	}
	_, leaving := slices.BinarySearch(t.leaving, l.ID)
	return router.Executor{
		ID: l.ID, Address: l.Address, Zone: l.Zone,
		Slots: v.division.Own(l.ID, total), Total: total, Leaving: l.Leaving || leaving,
	}
}

// union returns the sorted elements of both sorted slices, each once.
func union(a, b []string) []string {
	u := append(slices.Clone(a), b...)
	slices.Sort(u)
	return slices.Compact(u)
}
