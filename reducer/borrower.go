package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The cost of stopping a borrower, relative to losing all work of its attempt.
const (
	checkpointLostShare = 0.1  // of the work, for a gang that can checkpoint
	nonIdempotentCost   = 1e12 // accelerator-seconds added for a job that cannot run again
)

// graceEnd returns the time until which a borrower may checkpoint if the owner first
// reclaimed at since. Half of the bound is left for stopping and starting.
func graceEnd(g decoder.Guarantee, since time.Time) time.Time {
	grace := g.Grace
	if g.ReclaimBound > 0 {
		grace = min(grace, g.ReclaimBound/2)
	}
	return since.Add(grace)
}

// gangCoverage is a gang and whether the active guarantees of its organisation cover it.
type gangCoverage struct {
	job     *job
	gang    *gang
	covered bool
}

// borrowers returns the gangs of other organisations that the active guarantees of
// their own organisation do not cover.
func (p *pass) borrowers(j *job) []placer.Borrower {
	if !p.coverageKnown {
		p.computeCoverage()
	}
	var found []placer.Borrower
	for _, v := range p.coverage {
		if v.covered || v.job.Organisation == j.Organisation {
			continue
		}
		if g, ok := p.gangs.Get(v.job.ID); ok && g.attempt == v.gang.attempt {
			found = append(found, placer.Borrower{Job: v.job.ID, Held: allocations(v.job, g), Cost: p.stopCost(v.job, g)})
		}
	}
	return found
}

// computeCoverage determines which gangs are covered. Within an organisation, older
// jobs are covered first.
func (p *pass) computeCoverage() {
	p.coverageKnown = true
	for i := p.gangs.Iterator(); !i.Done(); {
		id, g, _ := i.Next()
		if v, ok := p.jobs.Get(id); ok {
			p.coverage = append(p.coverage, gangCoverage{job: v, gang: g})
		}
	}
	slices.SortFunc(p.coverage, func(a, b gangCoverage) int {
		return cmp.Or(
			cmp.Compare(a.job.Organisation, b.job.Organisation),
			a.job.accepted.Compare(b.job.accepted),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	var used placer.Resources
	for i, v := range p.coverage {
		if i > 0 && p.coverage[i-1].job.Organisation != v.job.Organisation {
			used = placer.Resources{}
		}
		n, _ := p.tenants.Get(v.job.Organisation)
		_, covered := n.coveringGuarantee(p.now, v.job.Gang, used)
		if covered && v.gang.stage != stageStopping {
			used = used.Plus(v.job.Gang.Total())
			p.coverage[i].covered = true
		}
	}
}

// stopCost returns the accelerator-seconds that are lost when a gang is stopped.
func (p *pass) stopCost(j *job, g *gang) float64 {
	if g.stage == stageStopping {
		return 0
	}
	ran := 0.0
	if !g.started.IsZero() {
		ran = p.now.Sub(g.started).Seconds()
	}
	lost := ran * float64(max(1, j.Gang.Total().Accelerators))
	if j.Checkpointable {
		lost *= checkpointLostShare
	}
	if j.NonIdempotent {
		lost += nonIdempotentCost
	}
	return 1 + lost
}
