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

// loan is a gang, and whether its organisation's guarantees of this hour cover it.
type loan struct {
	job     *job
	gang    *gang
	covered bool
}

// borrowers returns the gangs that use more than their organisation's guarantees
// of this hour, other than those of the job's own organisation.
func (p *pass) borrowers(j *job) []placer.Borrower {
	if !p.read {
		p.readLoans()
	}
	var found []placer.Borrower
	for _, v := range p.loans {
		if v.covered || v.job.Organisation == j.Organisation {
			continue
		}
		if g, ok := p.gangs.Get(v.job.ID); ok && g.attempt == v.gang.attempt {
			found = append(found, placer.Borrower{Job: v.job.ID, Held: allocations(v.job, g), Cost: p.cost(v.job, g)})
		}
	}
	return found
}

// readLoans finds out which gangs are covered. Within one organisation the oldest
// jobs are.
func (p *pass) readLoans() {
	p.read = true
	for i := p.gangs.Iterator(); !i.Done(); {
		id, g, _ := i.Next()
		if v, ok := p.jobs.Get(id); ok {
			p.loans = append(p.loans, loan{job: v, gang: g})
		}
	}
	slices.SortFunc(p.loans, func(a, b loan) int {
		return cmp.Or(
			cmp.Compare(a.job.Organisation, b.job.Organisation),
			a.job.accepted.Compare(b.job.accepted),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	var used placer.Resources
	for i, v := range p.loans {
		if i > 0 && p.loans[i-1].job.Organisation != v.job.Organisation {
			used = placer.Resources{}
		}
		n, _ := p.tenants.Get(v.job.Organisation)
		_, covered := n.coveringGuarantee(p.now, v.job.Gang, used)
		if covered && v.gang.stage != stageStopping {
			used = used.Plus(v.job.Gang.Total())
			p.loans[i].covered = true
		}
	}
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
