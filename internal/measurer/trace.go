// Package measurer simulates scheduling policies on the same traces of jobs in
// virtual time, and reports waiting times and lost work.
package measurer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// Kind is a kind of job; the report groups jobs by it.
type Kind string

// The kinds of jobs.
const (
	KindShort   Kind = "short"   // seconds to a minute on one accelerator
	KindLong    Kind = "long"    // batches that run for minutes to hours
	KindRebuild Kind = "rebuild" // 8 accelerators of one worker or 16 of one rack
	KindOwner   Kind = "owner"   // covered by a guarantee of its organisation
)

// Arrival is one job of a trace.
type Arrival struct {
	At             time.Time
	Job            reducer.Job
	Kind           Kind
	Run            time.Duration // true run time, unknown to the policies
	CheckpointTime time.Duration // duration of a checkpoint; may exceed the grace period
	CancelAt       time.Time     // zero if the job is not cancelled
}

// Trace holds the inputs of a simulation, which do not depend on the policy.
type Trace struct {
	Name       string
	Seed       int64
	Load       float64 // ratio of work to capacity between From and To
	From       time.Time
	To         time.Time // end of the arrivals
	PeakStart  time.Time
	PeakEnd    time.Time
	Workers    []placer.Worker
	BadWorkers map[string]bool // workers on which every task fails; nil without faults
	Config     decoder.Config
	Arrivals   []Arrival // in order of time
}

// Options selects a trace.
type Options struct {
	Deployment string
	Seed       int64
	Load       float64 // ratio of work to capacity while jobs arrive, as 0.8
	Faults     bool    // adds waves of cancellations and workers on which every task fails
}

// NewTrace generates the trace of the options; equal options give equal traces.
func NewTrace(o Options) (*Trace, error) {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	return d.trace(o), nil
}

func (d *deployment) trace(o Options) *Trace {
	midnight := time.Date(2026, time.March, 2, 0, 0, 0, 0, time.UTC)
	from := midnight.Add(d.Start.Duration)
	peak := from.Add(d.Peak.After.Duration)
	m := &traceBuilder{
		rnd: rand.New(rand.NewSource(o.Seed)), //nolint:gosec // the same seed must give the same trace
		trace: &Trace{
			Name:      d.Name,
			Seed:      o.Seed,
			From:      from,
			To:        from.Add(d.Length.Duration),
			PeakStart: peak,
			PeakEnd:   peak.Add(d.Peak.Length.Duration),
			Workers:   d.workers(),
			Config:    d.config(),
		},
	}
	m.addStreams(d.Streams, o.Load)
	if o.Faults {
		m.addFaults()
	}
	return m.trace
}

// Accelerators returns the number of accelerators of all workers.
func (t *Trace) Accelerators() int {
	n := 0
	for _, w := range t.Workers {
		n += w.Capacity.Accelerators
	}
	return n
}

// capacity returns the capacity, in accelerator-seconds, between From and To.
func (t *Trace) capacity() float64 {
	return float64(t.Accelerators()) * t.To.Sub(t.From).Seconds()
}

// workOf returns the work of a job in accelerator-seconds.
func workOf(a *Arrival) float64 {
	return float64(a.Job.Gang.Total().Accelerators) * a.Run.Seconds()
}

// traceBuilder builds a trace from one random source.
type traceBuilder struct {
	rnd   *rand.Rand
	trace *Trace
	work  float64
}

func (m *traceBuilder) addStreams(all []stream, load float64) {
	for _, s := range all {
		for w := range s.Waves.Count {
			after := s.Waves.After.Duration + time.Duration(w)*s.Waves.Interval.Duration
			for i := range s.Waves.Jobs {
				m.add(m.randomTime(m.trace.From.Add(after), s.Waves.Within.Duration), s, i)
			}
		}
	}
	left := load*m.trace.capacity() - m.work
	for _, s := range all {
		target := m.work + s.Share*left
		for i := 0; m.work < target; i++ {
			m.add(m.arrivalTime(s, i), s, i)
		}
	}
	m.trace.Load = m.work / m.trace.capacity()
	slices.SortStableFunc(m.trace.Arrivals, func(a, b Arrival) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Job.ID, b.Job.ID))
	})
}

// arrivalTime draws the arrival time of the i-th job of a stream. In a stream with
// bursts, every other job arrives in a burst.
func (m *traceBuilder) arrivalTime(s stream, i int) time.Time {
	if s.Bursts.Count == 0 || i%2 == 0 {
		return m.randomTime(m.trace.From, m.trace.To.Sub(m.trace.From))
	}
	burst := time.Duration(m.rnd.Intn(s.Bursts.Count)) * s.Bursts.Interval.Duration
	return m.randomTime(m.trace.From.Add(burst), s.Bursts.Within.Duration)
}

func (m *traceBuilder) randomTime(at time.Time, within time.Duration) time.Time {
	return at.Add(time.Duration(m.rnd.Int63n(int64(within))))
}

const (
	declaredSpread       = 1.2 // standard deviation of the logarithm of the ratio of declared to median run time
	stragglerShare       = 0.02
	stragglerFactor      = 10   // multiplies the run time
	stuckCheckpointShare = 0.05 // of jobs whose requested checkpoints never complete in time
	stuckCheckpointTime  = time.Hour
	maxCheckpointSeconds = 20
)

// add adds the i-th job of a stream, arriving at the given time.
func (m *traceBuilder) add(at time.Time, s stream, i int) {
	run := scaled(s.Median.Duration, s.Spread*m.rnd.NormFloat64())
	if m.rnd.Float64() < stragglerShare {
		run *= stragglerFactor
	}
	checkpoint := time.Second * time.Duration(1+m.rnd.Intn(maxCheckpointSeconds))
	if m.rnd.Float64() < stuckCheckpointShare {
		checkpoint = stuckCheckpointTime
	}
	o := s.Organisations[i%len(s.Organisations)]
	tasks := s.Tasks[i/len(s.Organisations)%len(s.Tasks)]
	a := Arrival{
		At:             at,
		Kind:           s.Kind,
		Run:            run,
		CheckpointTime: checkpoint,
		Job: reducer.Job{
			ID:             fmt.Sprintf("%s-%s-%06d", o, s.Service, len(m.trace.Arrivals)),
			Organisation:   o,
			Team:           o,
			Service:        o + "-" + s.Service,
			Class:          s.Class,
			Gang:           placer.Request{Tasks: tasks, PerTask: s.Task.resources(), Adjacency: s.Adjacency},
			DeclaredRun:    scaled(s.Median.Duration, declaredSpread*m.rnd.NormFloat64()),
			Deadline:       m.deadline(at, s, i/len(s.Organisations)),
			Checkpointable: s.Checkpointable,
		},
	}
	m.work += workOf(&a)
	m.trace.Arrivals = append(m.trace.Arrivals, a)
}

// minDeadlineLead is the shortest time from the arrival of a job to its deadline.
const minDeadlineLead = time.Hour

// deadline returns the deadline of a job: the stream's deadlines in turn, skipping
// those less than minDeadlineLead away, and after the last one the first of the
// next day. It is zero if the stream has no deadlines.
func (m *traceBuilder) deadline(at time.Time, s stream, turn int) time.Time {
	if len(s.Deadlines) == 0 {
		return time.Time{}
	}
	for _, o := range s.Deadlines[turn%len(s.Deadlines):] {
		if t := m.trace.From.Add(o.Duration); !t.Before(at.Add(minDeadlineLead)) {
			return t
		}
	}
	return m.trace.From.Add(24*time.Hour + s.Deadlines[0].Duration)
}

func scaled(d time.Duration, exponent float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(exponent)).Round(time.Millisecond)
}

const (
	cancellationWaves = 2
	badWorkerCount    = 2
)

// addFaults adds waves of cancellations and workers on which every task fails.
func (m *traceBuilder) addFaults() {
	t := m.trace
	for range cancellationWaves {
		m.cancelWave()
	}
	t.BadWorkers = make(map[string]bool)
	for len(t.BadWorkers) < badWorkerCount {
		t.BadWorkers[t.Workers[m.rnd.Intn(len(t.Workers))].ID] = true
	}
}

// cancelWave cancels, at a random time, about half of the long jobs that one
// organisation submitted in the hour before.
func (m *traceBuilder) cancelWave() {
	t := m.trace
	half := t.To.Sub(t.From) / 2
	at := m.randomTime(t.From.Add(half), half)
	organisation := t.Config.Organisations[m.rnd.Intn(len(t.Config.Organisations))].Name
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		recent := a.At.Before(at) && a.At.After(at.Add(-time.Hour))
		if recent && a.Kind == KindLong && a.Job.Organisation == organisation && m.rnd.Intn(2) == 0 {
			a.CancelAt = at
		}
	}
}
