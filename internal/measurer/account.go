package measurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The quantiles that are reported.
const (
	median = 0.5
	p95    = 0.95
	p99    = 0.99
)

const sampleEvery = time.Minute // between two looks at the fragmentation

// account sums up samples of the whole run.
type account struct {
	samples       int // while any gang waited for accelerators
	fragmentation float64
	idle          float64 // share of accelerators that were free while gangs waited
}

// Waits are quantiles of the time from submission to first start.
type Waits struct {
	Jobs int     `json:"jobs"`
	P50  float64 `json:"p50-seconds"`
	P95  float64 `json:"p95-seconds"`
	P99  float64 `json:"p99-seconds"`
	Max  float64 `json:"max-seconds"`
}

// Result is how one trace went under one policy.
type Result struct {
	Trace         string  `json:"trace"`
	Seed          int64   `json:"seed"`
	Faults        bool    `json:"faults"`
	Policy        string  `json:"policy"`
	Load          float64 `json:"load"`
	Jobs          int     `json:"jobs"`
	Unfinished    int     `json:"unfinished"`
	Mean          float64 `json:"mean-completion-seconds"` // from submission to success
	P95           float64 `json:"p95-completion-seconds"`
	MeanBound     float64 `json:"mean-completion-bound-seconds"` // no policy can do better
	Makespan      float64 `json:"makespan-seconds"`
	MakespanBound float64 `json:"makespan-bound-seconds"`
	Fragmentation float64 `json:"fragmentation"` // mean while a gang waits
	Idle          float64 `json:"idle"`          // mean share of free accelerators while a gang waits
	Rebuilds      Waits   `json:"rebuild-wait"`
	Short         Waits   `json:"short-wait"`
	ShortCrest    Waits   `json:"short-wait-at-crest"`
	Reclaim       Waits   `json:"reclaim"`
	ReclaimOver   int     `json:"reclaims-over-bound"`
	LostToReclaim float64 `json:"lost-to-reclaim-accelerator-seconds"`
	LostInAll     float64 `json:"lost-accelerator-seconds"`
	Attempts      int     `json:"attempts"`
	Deadlines     int     `json:"jobs-with-deadline"`
	Met           float64 `json:"deadlines-met"` // share of them that succeeded in time
}

func (d *Driver) sample() {
	var waiting []placer.Request
	for _, j := range d.Jobs {
		if j.waits(d.Now) {
			waiting = append(waiting, j.Job.Gang)
		}
	}
	if len(waiting) > 0 {
		free := 0
		for _, w := range d.Workers {
			free += w.Free.Accelerators
		}
		d.account.samples++
		d.account.fragmentation += placer.Fragmentation(d.Workers, distinct(waiting))
		d.account.idle += float64(free) / float64(d.Trace.Accelerators())
	}
	d.settled = d.isSettled()
	d.After(sampleEvery, d.sample)
}

// waits reports whether a job that has arrived neither runs nor has ended.
func (j *Job) waits(now time.Time) bool {
	return !j.At.After(now) && !j.Running && !j.Cancelled && !j.Abandoned && j.Finished.IsZero()
}

func distinct(waiting []placer.Request) []placer.Request {
	slices.SortFunc(waiting, func(a, b placer.Request) int {
		return cmp.Or(
			cmp.Compare(a.Tasks, b.Tasks),
			cmp.Compare(a.Adjacency, b.Adjacency),
			cmp.Compare(a.PerTask.Accelerators, b.PerTask.Accelerators),
			cmp.Compare(a.PerTask.MilliCores, b.PerTask.MilliCores),
			cmp.Compare(a.PerTask.MemoryMB, b.PerTask.MemoryMB),
		)
	})
	return slices.Compact(waiting)
}

func (d *Driver) result() Result {
	r := Result{
		Trace: d.Trace.Name, Seed: d.Trace.Seed, Faults: d.Trace.Bad != nil,
		Policy: d.policy.Name, Load: d.Trace.Load,
	}
	var completions, runs []float64
	last := d.Trace.From
	for _, j := range d.Jobs {
		r.LostToReclaim += j.LostStop
		r.LostInAll += j.Lost
		r.Attempts += j.attempts
		if j.Cancelled {
			continue
		}
		r.Jobs++
		if j.Finished.IsZero() {
			r.Unfinished++
			continue
		}
		completions = append(completions, j.Finished.Sub(j.At).Seconds())
		runs = append(runs, j.Run.Seconds())
		if j.Finished.After(last) {
			last = j.Finished
		}
	}
	r.Mean, r.P95 = mean(completions), quantile(completions, p95)
	r.MeanBound = mean(runs)
	r.Makespan = last.Sub(d.Trace.From).Seconds()
	r.MakespanBound = d.makespanBound()
	if n := float64(d.account.samples); n > 0 {
		r.Fragmentation = d.account.fragmentation / n
		r.Idle = d.account.idle / n
	}
	d.addWaits(&r)
	d.addDeadlines(&r)
	return r
}

// addDeadlines counts the jobs with a deadline that were not cancelled.
func (d *Driver) addDeadlines(r *Result) {
	met := 0
	for _, j := range d.Jobs {
		if j.Cancelled || j.Job.Deadline.IsZero() {
			continue
		}
		r.Deadlines++
		if !j.Finished.IsZero() && !j.Finished.After(j.Job.Deadline) {
			met++
		}
	}
	r.Met = float64(met) / float64(max(r.Deadlines, 1))
}

// makespanBound returns the seconds that no policy can finish all jobs in: the
// work that arrives from some time on, over the capacity, or the end of the
// longest job had it started at once.
func (d *Driver) makespanBound() float64 {
	bound, work := 0.0, 0.0
	for _, j := range slices.Backward(d.Jobs) {
		if j.Cancelled {
			continue
		}
		at := j.At.Sub(d.Trace.From).Seconds()
		work += workOf(&j.Arrival)
		bound = max(bound, at+work/float64(d.Trace.Accelerators()), at+j.Run.Seconds())
	}
	return bound
}

func (d *Driver) addWaits(r *Result) {
	var rebuilds, short, crest, reclaim []float64
	for _, j := range d.Jobs {
		if j.Cancelled {
			continue
		}
		w := d.wait(j)
		switch j.Kind {
		case KindRebuild:
			if j.Job.Gang.Adjacency == placer.AdjacencyWorker {
				rebuilds = append(rebuilds, w)
			}
		case KindShort:
			short = append(short, w)
			if !j.At.Before(d.Trace.CrestAt) && j.At.Before(d.Trace.CrestEnd) {
				crest = append(crest, w)
			}
		case KindOwner:
			reclaim = append(reclaim, w)
			if w > d.bound(j.Job.Organisation).Seconds() {
				r.ReclaimOver++
			}
		case KindLong:
		}
	}
	r.Rebuilds, r.Short, r.ShortCrest, r.Reclaim = waitsOf(rebuilds), waitsOf(short), waitsOf(crest), waitsOf(reclaim)
}

// wait returns the seconds from submission to the first start, or to the end of
// the run for a job that never started.
func (d *Driver) wait(j *Job) float64 {
	if !j.begun {
		return d.Now.Sub(j.At).Seconds()
	}
	return j.Waited.Seconds()
}

// bound returns the longest time that an organisation's guarantee may take to
// come back.
func (d *Driver) bound(name string) time.Duration {
	for _, o := range d.Trace.Config.Organisations {
		if o.Name == name && len(o.Guarantees) > 0 {
			return o.Guarantees[0].ReclaimBound
		}
	}
	return 0
}

func waitsOf(seconds []float64) Waits {
	return Waits{
		Jobs: len(seconds),
		P50:  quantile(seconds, median),
		P95:  quantile(seconds, p95),
		P99:  quantile(seconds, p99),
		Max:  quantile(seconds, 1),
	}
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / float64(max(len(all), 1))
}

// quantile returns the smallest value that the share q does not exceed.
func quantile(all []float64, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	at := int(q*float64(len(sorted))+0.999999) - 1 // rounds up
	return sorted[min(max(at, 0), len(sorted)-1)]
}
