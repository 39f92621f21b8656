package server

import (
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/limiter"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// defaultSlots is the number of slots of an executor whose list row gives none.
const defaultSlots = 8

// updateRouting builds a new routing snapshot if any of its inputs has changed.
func (s *Server) updateRouting(now time.Time, v view) view {
	v.division = v.division.WithView(now, limiter.View{
		Present: v.members.Others(now), Mutual: v.members.Mutual(now), Known: v.members.Known(),
		Paused: !v.members.ResumedAt().Equal(s.routingInputs.resumed),
	})
	t := routingInputs{
		revision: v.config.Revision(), list: v.list, leavingExecutors: union(v.leavingExecutors, v.members.LeavingExecutors(now)),
		sharingVMs: v.division.VMs(), mayUseShare: v.division.Joined(), resumed: v.members.ResumedAt(),
	}
	if v.routing != nil && s.routingInputs.equal(t) {
		return v
	}
	s.routingInputs = t
	v.hadShare = v.hadShare || t.mayUseShare
	v.routing = s.routingSnapshot(v, t)
	return v
}

// routingInputs holds the inputs of a routing snapshot.
type routingInputs struct {
	revision         int64
	list             []connector.ListedVM
	sharingVMs       []string // entry VMs that share the slots
	mayUseShare      bool     // this VM may use its share
	leavingExecutors []string
	resumed          time.Time
}

func (t routingInputs) equal(o routingInputs) bool {
	return t.revision == o.revision && t.mayUseShare == o.mayUseShare && t.resumed.Equal(o.resumed) &&
		slices.Equal(t.sharingVMs, o.sharingVMs) && slices.Equal(t.leavingExecutors, o.leavingExecutors) &&
		slices.Equal(t.list, o.list)
}

func (s *Server) routingSnapshot(v view, t routingInputs) *router.Snapshot {
	c := v.config.Config()
	n := &router.Snapshot{
		Revision:             c.Revision,
		Zone:                 s.Settings.Zone,
		ExcludedFromDivision: !t.mayUseShare,
		Services:             map[string]decoder.Service{},
		Executors:            map[string][]router.Executor{},
		Weights:              map[string]int{},
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

// executor returns an executor with the slots that this VM may use.
func executor(v view, t routingInputs, l connector.ListedVM) router.Executor {
	total := l.Slots
	if total == 0 {
		total = defaultSlots
	}
	_, leaving := slices.BinarySearch(t.leavingExecutors, l.ID)
	return router.Executor{
		ID: l.ID, Address: l.Address, Zone: l.Zone,
		Slots: v.division.OwnedSlots(l.ID, total), Total: total, Leaving: l.Leaving || leaving,
	}
}

// union returns the sorted union of two sorted slices without duplicates.
func union(a, b []string) []string {
	u := append(slices.Clone(a), b...)
	slices.Sort(u)
	return slices.Compact(u)
}
