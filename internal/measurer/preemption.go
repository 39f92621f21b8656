package measurer

import (
	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// isCovered reports whether the job fits in the guarantee of its organisation.
func (p *placerPolicy) isCovered(d *Driver, j *Job) bool {
	g, ok := guaranteeOf(d.Trace, j.Job.Organisation)
	if !ok {
		return false
	}
	used := j.Job.Gang.Total().Accelerators
	for _, r := range p.running {
		if r.Job.Organisation == j.Job.Organisation {
			used += r.Job.Gang.Total().Accelerators
		}
	}
	return used <= g.Blocks*g.Block.Accelerators
}

func guaranteeOf(t *Trace, name string) (decoder.Guarantee, bool) {
	for _, o := range t.Config.Organisations {
		if o.Name == name && len(o.Guarantees) > 0 {
			return o.Guarantees[0], true
		}
	}
	return decoder.Guarantee{}, false
}

// reclaim preempts the borrowers whose stop loses the least work.
func (p *placerPolicy) reclaim(d *Driver, j *Job) {
	g, _ := guaranteeOf(d.Trace, j.Job.Organisation)
	var borrowers []placer.Borrower
	jobs := make(map[string]*Job)
	for _, r := range p.running {
		if _, ok := p.stopping[r]; ok || r.Kind == KindOwner {
			continue
		}
		jobs[r.Job.ID] = r
		borrowers = append(borrowers, placer.Borrower{Job: r.Job.ID, Held: placer.AllocationsOf(r.Placement, r.Job.Gang.PerTask), Cost: d.Lost(r)})
	}
	victims, at, ok := placer.Victims(j.Job.Gang, p.quarantine.usable(d), borrowers)
	if !ok {
		return
	}
	p.preemptions[j] = preemption{placement: at, deadline: d.Now.Add(g.Grace + reclaimMargin)}
	for _, v := range victims {
		p.stopping[jobs[v.Job]] = d.Now.Add(g.Grace)
		d.Checkpoint(jobs[v.Job], g.Grace)
	}
}

// defragment moves gangs to other workers if that brings a reservation forward
// and costs less than the waiting time that it saves. It returns the reservation
// to hold.
func (p *placerPolicy) defragment(d *Driver, j *Job, v placer.Reservation, workers []placer.Worker) placer.Reservation {
	deadline := d.Now.Add(movingGrace + reclaimMargin)
	if !p.moving || !v.At.After(deadline) {
		return v
	}
	var movable []placer.Movable
	jobs := make(map[string]*Job)
	for _, r := range p.running {
		if _, ok := p.stopping[r]; ok || !r.Job.Checkpointable || r.Kind == KindOwner {
			continue
		}
		jobs[r.Job.ID] = r
		cost := movingCost.Seconds() * float64(r.Job.Gang.Total().Accelerators)
		movable = append(movable, placer.Movable{Job: r.Job.ID, Gang: r.Job.Gang, At: r.Placement, Cost: cost})
	}
	saved := v.At.Sub(deadline).Seconds() * float64(j.Job.Gang.Total().Accelerators)
	moves, at, ok := placer.Defragment(j.Job.Gang, workers, movable, saved)
	if !ok {
		return v
	}
	for _, m := range moves {
		p.stopping[jobs[m.Job]] = deadline
		d.Checkpoint(jobs[m.Job], movingGrace)
	}
	p.preemptions[j] = preemption{placement: at, deadline: deadline}
	return placer.ReserveAt(deadline, at, j.Job.Gang.PerTask, workers, p.expectedEnds(d))
}
