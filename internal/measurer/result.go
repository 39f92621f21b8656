package measurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

// The reported quantiles.
const (
	median = 0.5
	p95    = 0.95
	p99    = 0.99
)

const sampleInterval = time.Minute // of fragmentation and idle accelerators

// sampleSums holds the sums of the samples of a run.
type sampleSums struct {
	count         int // of samples; taken only while a gang waits
	fragmentation float64
	idle          float64 // share of free accelerators
}

// Waits holds quantiles of the time from submission to first start.
type Waits struct {
	Jobs int     `json:"jobs"`
	P50  float64 `json:"p50-seconds"`
	P95  float64 `json:"p95-seconds"`
	P99  float64 `json:"p99-seconds"`
	Max  float64 `json:"max-seconds"`
}

// Result holds the metrics of one trace under one policy.
type Result struct {
	Trace               string  `json:"trace"`
	Seed                int64   `json:"seed"`
	Faults              bool    `json:"faults"`
	Policy              string  `json:"policy"`
	Load                float64 `json:"load"`
	Jobs                int     `json:"jobs"`
	Unfinished          int     `json:"unfinished"`
	MeanCompletion      float64 `json:"mean-completion-seconds"` // from submission to success
	P95Completion       float64 `json:"p95-completion-seconds"`
	MeanCompletionBound float64 `json:"mean-completion-bound-seconds"` // lower bound for any policy
	Makespan            float64 `json:"makespan-seconds"`
	MakespanBound       float64 `json:"makespan-bound-seconds"`
	Fragmentation       float64 `json:"fragmentation"` // mean while any gang waits
	Idle                float64 `json:"idle"`          // mean share of free accelerators while any gang waits
	RebuildWait         Waits   `json:"rebuild-wait"`
	ShortWait           Waits   `json:"short-wait"`
	ShortWaitAtPeak     Waits   `json:"short-wait-at-crest"`
	ReclaimWait         Waits   `json:"reclaim"`
	ReclaimsOverBound   int     `json:"reclaims-over-bound"`
	LostToReclaim       float64 `json:"lost-to-reclaim-accelerator-seconds"`
	LostTotal           float64 `json:"lost-accelerator-seconds"`
	Attempts            int     `json:"attempts"`
	WithDeadline        int     `json:"jobs-with-deadline"`
	DeadlinesMet        float64 `json:"deadlines-met"` // share of the jobs with a deadline
}

func (d *Driver) sample() {
	var waiting []placer.Request
	for _, j := range d.Jobs {
		if j.isWaiting(d.Now) {
			waiting = append(waiting, j.Job.Gang)
		}
	}
	if len(waiting) > 0 {
		free := 0
		for _, w := range d.Workers {
			free += w.Free.Accelerators
		}
		d.sums.count++
		d.sums.fragmentation += placer.Fragmentation(d.Workers, distinct(waiting))
		d.sums.idle += float64(free) / float64(d.Trace.Accelerators())
	}
	d.settled = d.isSettled()
	d.After(sampleInterval, d.sample)
}

// isWaiting reports whether a job has arrived, and neither runs nor has ended.
func (j *Job) isWaiting(now time.Time) bool {
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
		Trace: d.Trace.Name, Seed: d.Trace.Seed, Faults: d.Trace.BadWorkers != nil,
		Policy: d.policy.Name, Load: d.Trace.Load,
	}
	var completions, runs []float64
	last := d.Trace.From
	for _, j := range d.Jobs {
		r.LostToReclaim += j.LostToStops
		r.LostTotal += j.Lost
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
	r.MeanCompletion, r.P95Completion = mean(completions), quantile(completions, p95)
	r.MeanCompletionBound = mean(runs)
	r.Makespan = last.Sub(d.Trace.From).Seconds()
	r.MakespanBound = d.makespanBound()
	if n := float64(d.sums.count); n > 0 {
		r.Fragmentation = d.sums.fragmentation / n
		r.Idle = d.sums.idle / n
	}
	d.addWaits(&r)
	d.addDeadlines(&r)
	return r
}

// addDeadlines adds the metrics of deadlines. Cancelled jobs are not counted.
func (d *Driver) addDeadlines(r *Result) {
	met := 0
	for _, j := range d.Jobs {
		if j.Cancelled || j.Job.Deadline.IsZero() {
			continue
		}
		r.WithDeadline++
		if !j.Finished.IsZero() && !j.Finished.After(j.Job.Deadline) {
			met++
		}
	}
	r.DeadlinesMet = float64(met) / float64(max(r.WithDeadline, 1))
}

// makespanBound returns a lower bound of the makespan in seconds: the maximum,
// over the arrivals, of the arrival time plus the run time of the job or the work
// that arrives from then on divided by the capacity.
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
	var rebuilds, short, peak, reclaim []float64
	for _, j := range d.Jobs {
		if j.Cancelled {
			continue
		}
		w := d.waitSeconds(j)
		switch j.Kind {
		case KindRebuild:
			if j.Job.Gang.Adjacency == placer.AdjacencyWorker {
				rebuilds = append(rebuilds, w)
			}
		case KindShort:
			short = append(short, w)
			if !j.At.Before(d.Trace.PeakStart) && j.At.Before(d.Trace.PeakEnd) {
				peak = append(peak, w)
			}
		case KindOwner:
			reclaim = append(reclaim, w)
			if w > d.reclaimBound(j.Job.Organisation).Seconds() {
				r.ReclaimsOverBound++
			}
		case KindLong:
		}
	}
	r.RebuildWait, r.ShortWait, r.ShortWaitAtPeak, r.ReclaimWait = waitsOf(rebuilds), waitsOf(short), waitsOf(peak), waitsOf(reclaim)
}

// waitSeconds returns the seconds from submission to the first start, or to the
// end of the simulation for a job that never started.
func (d *Driver) waitSeconds(j *Job) float64 {
	if !j.hasStarted {
		return d.Now.Sub(j.At).Seconds()
	}
	return j.Waited.Seconds()
}

// reclaimBound returns the longest time allowed for reclaiming an organisation's
// guarantee.
func (d *Driver) reclaimBound(name string) time.Duration {
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

func mean(values []float64) float64 {
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum / float64(max(len(values), 1))
}

// quantile returns the smallest value that at least the share q does not exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	at := int(q*float64(len(sorted))+0.999999) - 1 // rounds up
	return sorted[min(max(at, 0), len(sorted)-1)]
}
