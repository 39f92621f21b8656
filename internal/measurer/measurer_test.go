package measurer

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/placer"
)

func smallTrace(t *testing.T, seed int64, faults bool) *Trace {
	i := is.New(t)
	text, err := os.ReadFile("testdata/small.toml")
	i.NoErr(err)
	d, err := decodeDeployment("small", text)
	i.NoErr(err)
	return d.trace(Options{Seed: seed, Load: 0.9, Faults: faults})
}

// withResourceChecks checks the free resources of the workers before each call of
// a policy: within capacity, and allocated only to running jobs.
func withResourceChecks(t *testing.T, p Policy) Policy {
	check := func(d *Driver) {
		var held placer.Resources
		for k, w := range d.Workers {
			if !(placer.Resources{}).Fits(w.Free) || !w.Free.Fits(d.Trace.Workers[k].Capacity) {
				t.Fatalf("%s: worker %s has %v free", p.Name, w.ID, w.Free)
			}
			held = held.Plus(w.Capacity.Minus(w.Free))
		}
		for _, j := range d.Jobs {
			if j.Running && !j.external {
				held = held.Minus(j.Job.Gang.Total())
			}
		}
		if p.Name != Reducer().Name && held != (placer.Resources{}) {
			t.Fatalf("%s: %v is held by no job", p.Name, held)
		}
	}
	submitted, ended := p.Submitted, p.Ended
	p.Submitted = func(d *Driver, j *Job) { check(d); submitted(d, j) }
	p.Ended = func(d *Driver, j *Job, e End) { check(d); ended(d, j, e) }
	return p
}

// Guards against jobs that a policy never finishes, results better than the lower
// bounds, and decisions that depend on map order or wall-clock time.
func TestPoliciesFinishAllJobsDeterministically(t *testing.T) {
	for _, faults := range []bool{false, true} {
		for _, p := range Policies() {
			i := is.New(t)
			r := Run(smallTrace(t, 7, faults), withResourceChecks(t, p()))
			i.Equal(r.Unfinished, 0)
			i.True(r.Jobs > 10)
			i.True(r.MeanCompletion >= r.MeanCompletionBound)
			i.True(r.Makespan >= r.MakespanBound)
			i.True(r.Attempts > r.Jobs || !faults) // jobs on bad workers are retried
			i.True(reflect.DeepEqual(r, Run(smallTrace(t, 7, faults), p())))
		}
	}
}

// Guards against borrowers that keep guaranteed capacity longer than the reclaim
// bound. FirstCome never stops borrowers and exceeds the bound.
func TestReclaimingPoliciesMeetReclaimBound(t *testing.T) {
	i := is.New(t)
	for _, p := range []func() Policy{Placer, Reducer} {
		r := Run(smallTrace(t, 7, false), p())
		i.Equal(r.ReclaimsOverBound, 0)
		i.True(r.ReclaimWait.Max <= 60)
		i.True(r.LostToReclaim > 0) // borrowers were stopped
	}
	i.Equal(Run(smallTrace(t, 7, false), FirstCome()).ReclaimsOverBound, 1)
}

// Guards against traces that differ for equal options, miss the requested load or
// contain gangs that fit on no workers.
func TestDeploymentTracesHaveRequestedLoad(t *testing.T) {
	for _, name := range Deployments() {
		i := is.New(t)
		a, err := NewTrace(Options{Deployment: name, Seed: 1, Load: 0.5, Faults: true})
		i.NoErr(err)
		b, err := NewTrace(Options{Deployment: name, Seed: 1, Load: 0.5, Faults: true})
		i.NoErr(err)
		i.True(reflect.DeepEqual(a.Arrivals, b.Arrivals))
		i.True(a.Load >= 0.5 && a.Load < 0.53) // exceeded by at most one job per stream
		i.Equal(len(a.Workers), 50)
		i.Equal(len(a.BadWorkers), badWorkerCount)
		for _, v := range a.Arrivals {
			i.NoErr(placer.Feasible(v.Job.Gang, a.Workers))
		}
	}
}

// Guards against wrong accounting of lost work: a checkpoint keeps the work done
// until its request, a stop loses the work since the last periodic checkpoint.
func TestCheckpointKeepsWorkAndStopLosesIt(t *testing.T) {
	i := is.New(t)
	var d *Driver
	var ends []End
	tr := smallTrace(t, 7, false)
	tr.Arrivals, tr.To = tr.Arrivals[:1], tr.From.Add(2*time.Hour)
	tr.Arrivals[0].Run, tr.Arrivals[0].CheckpointTime = time.Hour, 5*time.Second
	p := Policy{
		Submitted: func(e *Driver, j *Job) {
			d = e
			start := func() {
				at, _ := placer.Place(j.Job.Gang, d.Workers)
				i.True(d.Start(j, at))
				i.True(!d.Start(j, at)) // already running
			}
			start()
			d.After(15*time.Minute, func() { d.Checkpoint(j, 20*time.Second) })
			d.After(20*time.Minute, start)
			d.After(32*time.Minute, func() { d.Stop(j) })
			d.After(40*time.Minute, start)
		},
		Ended: func(_ *Driver, _ *Job, e End) { ends = append(ends, e) },
	}
	r := Run(tr, p)
	i.Equal(ends[:2], []End{EndStopped, EndStopped})
	// The requested checkpoint saved 15 minutes, and a periodic one 10 of the next 12.
	i.Equal(r.MeanCompletion, (40*time.Minute + 35*time.Minute).Seconds())
	tasks := float64(tr.Arrivals[0].Job.Gang.Total().Accelerators)
	i.Equal(r.LostToReclaim, tasks*(5*time.Second+2*time.Minute).Seconds())
}

// Guards against goals that are missing from the text report or wrongly judged.
func TestReportListsGoalsOfPolicies(t *testing.T) {
	var rep Report
	for _, p := range []func() Policy{FirstCome, FirstFit, Placer} {
		rep.Results = append(rep.Results, Run(smallTrace(t, 7, false), p()))
	}
	var b bytes.Buffer
	rep.WriteText(&b)
	i := is.New(t)
	i.True(strings.Contains(b.String(), "small placer: mean completion 1/1;"))
	i.True(strings.Contains(b.String(), "small fcfs-first-fit: mean completion 0/1 (missed on seed 7);"))
}

// Guards against a wrong count of met deadlines: a job that ends exactly at its
// deadline meets it, a job that ends 1 ms later does not.
func TestDeadlineIsMetWhenJobEndsInTime(t *testing.T) {
	i := is.New(t)
	tr := smallTrace(t, 7, false)
	r := Run(tr, FirstFit())
	i.Equal(r.WithDeadline, 0)
	tr.Arrivals[0].Job.Deadline = tr.Arrivals[0].At.Add(tr.Arrivals[0].Run)
	tr.Arrivals[1].Job.Deadline = tr.Arrivals[1].At.Add(tr.Arrivals[1].Run - time.Millisecond)
	r = Run(tr, FirstFit())
	i.Equal(r.WithDeadline, 2)
	i.Equal(r.DeadlinesMet, 0.5)
}

// Guards against deadlines that a job cannot meet because it arrives less than
// minDeadlineLead before them.
func TestDeadlinesAreAssignedInTurnUnlessTooNear(t *testing.T) {
	i := is.New(t)
	m := traceBuilder{trace: &Trace{From: time.Unix(0, 0)}}
	s := stream{Deadlines: []duration{{6 * time.Hour}, {7 * time.Hour}}}
	for _, c := range []struct {
		at, want time.Duration
		turn     int
	}{
		{at: 0, turn: 0, want: 6 * time.Hour},
		{at: 0, turn: 3, want: 7 * time.Hour},
		{at: 5*time.Hour + time.Second, turn: 0, want: 7 * time.Hour},
		{at: 6*time.Hour + time.Second, turn: 1, want: 30 * time.Hour},
	} {
		i.Equal(m.deadline(m.trace.From.Add(c.at), s, c.turn), m.trace.From.Add(c.want))
	}
	i.True(m.deadline(m.trace.From, stream{}, 0).IsZero())
}
