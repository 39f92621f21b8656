package reducer

import (
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// tenant is an organisation as configured.
type tenant struct{ decoder.Organisation }

// configChanged takes a configuration into force, unless it is older than the one
// in force.
func (t *turn) configChanged(e ConfigChanged) {
	if e.Config.Revision < t.config.Revision {
		return
	}
	t.config = e.Config
	t.tenants = newTable[*tenant]()
	t.possible = newTable[struct{}]()
	for _, o := range e.Config.Organisations {
		t.tenants = t.tenants.Set(o.Name, &tenant{o})
	}
	t.placeable = true
}

// InHours reports whether a guarantee holds at a time, by the clock on the wall
// in its time zone. One without a zone goes by UTC.
func InHours(g decoder.Guarantee, at time.Time) bool {
	c := clock(g, at)
	switch {
	case g.From == g.To:
		return true
	case g.From < g.To:
		return g.From <= c && c < g.To
	default:
		return c >= g.From || c < g.To
	}
}

// clock returns the time of day by the wall clock of a guarantee's zone.
func clock(g decoder.Guarantee, at time.Time) time.Duration {
	zone := g.Location
	if zone == nil {
		zone = time.UTC
	}
	h, m, s := at.In(zone).Clock()
	return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute + time.Duration(s)*time.Second
}

// total returns what all blocks of a guarantee amount to.
func total(g decoder.Guarantee) placer.Resources { return g.Block.Times(g.Blocks) }

// inHours returns the guarantees of an organisation that hold now.
func (n *tenant) inHours(now time.Time) []decoder.Guarantee {
	var in []decoder.Guarantee
	for _, g := range n.Guarantees {
		if InHours(g, now) {
			in = append(in, g)
		}
	}
	return in
}

// weight returns the share of an organisation relative to others.
func (n *tenant) weight() float64 {
	if n == nil || n.Weight <= 0 {
		return 1
	}
	return float64(n.Weight)
}

// covers returns the guarantee that a gang may call on when its organisation uses
// used besides, and whether there is one.
func (n *tenant) covers(now time.Time, r placer.Request, used placer.Resources) (decoder.Guarantee, bool) {
	if n == nil {
		return decoder.Guarantee{}, false
	}
	var all placer.Resources
	var found decoder.Guarantee
	ok := false
	for _, g := range n.inHours(now) {
		all = all.Plus(total(g))
		if !ok && holds(g, r) {
			found, ok = g, true
		}
	}
	return found, ok && used.Plus(r.Total()).Fits(all)
}

// holds reports whether the blocks of a guarantee can hold a gang: each task in a
// block, and as close together as the gang needs.
func holds(g decoder.Guarantee, r placer.Request) bool {
	per := placer.Count(r.PerTask, g.Block)
	if r.Adjacency == placer.AdjacencyNone || r.Adjacency == "" {
		return per*g.Blocks >= r.Tasks
	}
	return per >= r.Tasks && (g.Adjacency == r.Adjacency || g.Adjacency == placer.AdjacencyWorker)
}
