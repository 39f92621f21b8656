package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// tenant is the configuration of an organisation.
type tenant struct{ decoder.Organisation }

// configChanged puts a configuration into force, unless it is older than the current
// one.
func (t *transition) configChanged(e ConfigChanged) {
	if e.Config.Revision < t.config.Revision {
		return
	}
	t.config = e.Config
	t.tenants = newTable[*tenant]()
	t.feasibleKeys = newTable[struct{}]()
	for _, o := range e.Config.Organisations {
		t.tenants = t.tenants.Set(o.Name, &tenant{o})
	}
	t.placementNeeded = true
}

// GuaranteeActive reports whether a guarantee is in force at a time, by the local
// time of its zone. The default zone is UTC.
func GuaranteeActive(g decoder.Guarantee, at time.Time) bool {
	c := timeOfDay(g, at)
	switch {
	case g.From == g.To:
		return true
	case g.From < g.To:
		return g.From <= c && c < g.To
	default:
		return c >= g.From || c < g.To
	}
}

// timeOfDay returns the local time of day in the zone of a guarantee.
func timeOfDay(g decoder.Guarantee, at time.Time) time.Duration {
	zone := g.Location
	if zone == nil {
		zone = time.UTC
	}
	h, m, s := at.In(zone).Clock()
	return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute + time.Duration(s)*time.Second
}

// guaranteeTotal returns the sum of all blocks of a guarantee.
func guaranteeTotal(g decoder.Guarantee) placer.Resources { return g.Block.Times(g.Blocks) }

// activeGuarantees returns the guarantees of an organisation that are in force now.
func (n *tenant) activeGuarantees(now time.Time) []decoder.Guarantee {
	var active []decoder.Guarantee
	for _, g := range n.Guarantees {
		if GuaranteeActive(g, now) {
			active = append(active, g)
		}
	}
	return active
}

// weight returns the fair-share weight of an organisation.
func (n *tenant) weight() float64 {
	if n == nil || n.Weight <= 0 {
		return 1
	}
	return float64(n.Weight)
}

// coveringGuarantee returns the guarantee that covers a gang whose organisation
// already uses used, and whether there is one.
func (n *tenant) coveringGuarantee(now time.Time, r placer.Request, used placer.Resources) (decoder.Guarantee, bool) {
	if n == nil {
		return decoder.Guarantee{}, false
	}
	var guaranteed placer.Resources
	var found decoder.Guarantee
	ok := false
	for _, g := range n.activeGuarantees(now) {
		guaranteed = guaranteed.Plus(guaranteeTotal(g))
		if !ok && fitsGuarantee(g, r) {
			found, ok = g, true
		}
	}
	return found, ok && used.Plus(r.Total()).Fits(guaranteed)
}

// fitsGuarantee reports whether the blocks of a guarantee can hold a gang: each task
// within a block, with the adjacency that the gang requires.
func fitsGuarantee(g decoder.Guarantee, r placer.Request) bool {
	tasksPerBlock := placer.TasksThatFit(r.PerTask, g.Block)
	if r.Adjacency == placer.AdjacencyNone || r.Adjacency == "" {
		return tasksPerBlock*g.Blocks >= r.Tasks
	}
	return tasksPerBlock >= r.Tasks && (g.Adjacency == r.Adjacency || g.Adjacency == placer.AdjacencyWorker)
}
