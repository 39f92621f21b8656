package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The costs of stopping a borrower, relative to stopping one that runs for its
// whole time in vain.
const (
	checkpointLoss = 0.1  // share of the work that is lost with a checkpoint
	lastResort     = 1e12 // accelerator-seconds added for work that cannot be run again
)

// graceEnd returns until when a borrower may checkpoint itself if the owner
// called at since. Half of the bound is left for stopping and starting.
func graceEnd(g decoder.Guarantee, since time.Time) time.Time {
	grace := g.Grace
	if g.ReclaimBound > 0 {
		grace = min(grace, g.ReclaimBound/2)
	}
	return since.Add(grace)
}

// borrowers returns the gangs that use more than their organisation's guarantees
// of this hour, other than those of the job's own organisation. Within one
// organisation the oldest gangs count as covered.
func (p *pass) borrowers(j *job) []placer.Borrower {
	type running struct {
		job  *job
		gang *gang
	}
	var all []running
	for i := p.gangs.Iterator(); !i.Done(); {
		id, g, _ := i.Next()
		if v, ok := p.jobs.Get(id); ok && v.Organisation != j.Organisation {
			all = append(all, running{v, g})
		}
	}
	slices.SortFunc(all, func(a, b running) int {
		return cmp.Or(
			cmp.Compare(a.job.Organisation, b.job.Organisation),
			a.job.accepted.Compare(b.job.accepted),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	var found []placer.Borrower
	used := placer.Resources{}
	for i, v := range all {
		if i > 0 && all[i-1].job.Organisation != v.job.Organisation {
			used = placer.Resources{}
		}
		n, _ := p.tenants.Get(v.job.Organisation)
		if _, covered := n.covers(p.now, v.job.Gang, used); covered && v.gang.stage != stageStopping {
			used = used.Plus(v.job.Gang.Total())
			continue
		}
		found = append(found, placer.Borrower{Job: v.job.ID, Held: allocations(v.job, v.gang), Cost: p.cost(v.job, v.gang)})
	}
	return found
}

// cost returns the accelerator-seconds that stopping a gang loses.
func (p *pass) cost(j *job, g *gang) float64 {
	if g.stage == stageStopping {
		return 0
	}
	ran := 0.0
	if !g.started.IsZero() {
		ran = p.now.Sub(g.started).Seconds()
	}
	lost := ran * float64(max(1, j.Gang.Total().Accelerators))
	if j.Checkpointable {
		lost *= checkpointLoss
	}
	if j.NonIdempotent {
		lost += lastResort
	}
	return 1 + lost
}
