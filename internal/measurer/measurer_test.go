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
	d, err := decode("small", text)
	i.NoErr(err)
	return d.trace(Options{Seed: seed, Load: 0.9, Faults: faults})
}

// checked looks at the workers before each call of a policy.
func checked(t *testing.T, p Policy) Policy {
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

func TestEveryPolicyFinishesAllJobsAndRepeatsItself(t *testing.T) {
	for _, faults := range []bool{false, true} {
		for _, p := range Policies() {
			i := is.New(t)
			r := Run(smallTrace(t, 7, faults), checked(t, p()))
			i.Equal(r.Unfinished, 0)
			i.True(r.Jobs > 10)
			i.True(r.Mean >= r.MeanBound)
			i.True(r.Makespan >= r.MakespanBound)
			i.True(r.Attempts > r.Jobs || !faults) // bad workers make for more attempts
			i.True(reflect.DeepEqual(r, Run(smallTrace(t, 7, faults), p())))
		}
	}
}

func TestOnlyPoliciesThatReclaimKeepTheBound(t *testing.T) {
	i := is.New(t)
	for _, p := range []func() Policy{Planned, Reducer} {
		r := Run(smallTrace(t, 7, false), p())
		i.Equal(r.ReclaimOver, 0)
		i.True(r.Reclaim.Max <= 60)
		i.True(r.LostToReclaim > 0) // the workers were lent out
	}
	i.Equal(Run(smallTrace(t, 7, false), FirstCome()).ReclaimOver, 1)
}

func TestTracesOfTheDeploymentsHaveTheLoadAskedFor(t *testing.T) {
	for _, name := range Deployments() {
		i := is.New(t)
		a, err := NewTrace(Options{Deployment: name, Seed: 1, Load: 0.5, Faults: true})
		i.NoErr(err)
		b, err := NewTrace(Options{Deployment: name, Seed: 1, Load: 0.5, Faults: true})
		i.NoErr(err)
		i.True(reflect.DeepEqual(a.Arrivals, b.Arrivals))
		i.True(a.Load >= 0.5 && a.Load < 0.53) // over by at most one job of each stream
		i.Equal(len(a.Workers), 50)
		i.Equal(len(a.Bad), badWorkers)
		for _, v := range a.Arrivals {
			i.NoErr(placer.Feasible(v.Job.Gang, a.Workers))
		}
	}
}

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
				i.True(!d.Start(j, at)) // it runs already
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
	// 15 minutes were saved by the checkpoint, and 10 of the next 12 by the job itself.
	i.Equal(r.Mean, (40*time.Minute + 35*time.Minute).Seconds())
	tasks := float64(tr.Arrivals[0].Job.Gang.Total().Accelerators)
	i.Equal(r.LostToReclaim, tasks*(5*time.Second+2*time.Minute).Seconds())
}

func TestReportNamesEveryPolicyAndGoal(t *testing.T) {
	var rep Report
	for _, p := range []func() Policy{FirstCome, FirstFit, Planned} {
		rep.Results = append(rep.Results, Run(smallTrace(t, 7, false), p()))
	}
	var b bytes.Buffer
	rep.WriteText(&b)
	i := is.New(t)
	i.True(strings.Contains(b.String(), "small placer: mean completion 1/1;"))
	i.True(strings.Contains(b.String(), "small fcfs-first-fit: mean completion 0/1 (missed on seed 7);"))
}

func TestWorkForAnOpeningCountsAsMetWhenItEndsBefore(t *testing.T) {
	i := is.New(t)
	tr := smallTrace(t, 7, false)
	r := Run(tr, FirstFit())
	i.Equal(r.Deadlines, 0)
	tr.Arrivals[0].Job.Deadline = tr.Arrivals[0].At.Add(tr.Arrivals[0].Run)
	tr.Arrivals[1].Job.Deadline = tr.Arrivals[1].At.Add(tr.Arrivals[1].Run - time.Millisecond)
	r = Run(tr, FirstFit())
	i.Equal(r.Deadlines, 2)
	i.Equal(r.Met, 0.5)
}

func TestOpeningsAreTakenInTurnUnlessTooNear(t *testing.T) {
	i := is.New(t)
	m := maker{trace: &Trace{From: time.Unix(0, 0)}}
	s := stream{Openings: []duration{{6 * time.Hour}, {7 * time.Hour}}}
	for _, c := range []struct {
		at, want time.Duration
		turn     int
	}{
		{at: 0, turn: 0, want: 6 * time.Hour},
		{at: 0, turn: 3, want: 7 * time.Hour},
		{at: 5*time.Hour + time.Second, turn: 0, want: 7 * time.Hour},
		{at: 6*time.Hour + time.Second, turn: 1, want: 30 * time.Hour},
	} {
		i.Equal(m.opening(m.trace.From.Add(c.at), s, c.turn), m.trace.From.Add(c.want))
	}
	i.True(m.opening(m.trace.From, stream{}, 0).IsZero())
}
