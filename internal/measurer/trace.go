// Package measurer runs policies of placement over the same traces of jobs in
// virtual time, and reports how long the jobs waited and what was lost.
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

// Kind groups jobs in the report.
type Kind string

// The kinds of jobs.
const (
	KindShort   Kind = "short"   // seconds to a minute, on one accelerator
	KindLong    Kind = "long"    // batches of minutes to hours
	KindRebuild Kind = "rebuild" // 8 accelerators of one worker or 16 of one rack
	KindOwner   Kind = "owner"   // covered by a guarantee of its organisation
)

// Arrival is one job of a trace and what becomes of it.
type Arrival struct {
	At             time.Time
	Job            reducer.Job
	Kind           Kind
	Run            time.Duration // true run time, which no policy is told
	CheckpointTime time.Duration // time that a checkpoint takes; it may exceed the grace
	CancelAt       time.Time     // zero when it is not cancelled
}

// Trace is what happens to one deployment, whatever the policy.
type Trace struct {
	Name     string
	Seed     int64
	Load     float64 // work over capacity while jobs arrive
	From     time.Time
	To       time.Time // last arrivals
	CrestAt  time.Time
	CrestEnd time.Time
	Workers  []placer.Worker
	Bad      map[string]bool // workers that fail all that they start; nil without faults
	Config   decoder.Config
	Arrivals []Arrival // by time
}

// Options chooses a trace.
type Options struct {
	Deployment string
	Seed       int64
	Load       float64 // work over capacity while jobs arrive, as 0.8
	Faults     bool    // with waves of cancellations and workers that fail everything
}

// NewTrace returns the trace of the options; equal options give equal traces.
func NewTrace(o Options) (*Trace, error) {
	d, err := load(o.Deployment)
	if err != nil {
		return nil, err
	}
	return d.trace(o), nil
}

func (d *deployment) trace(o Options) *Trace {
	midnight := time.Date(2026, time.March, 2, 0, 0, 0, 0, time.UTC)
	from := midnight.Add(d.Start.Duration)
	crest := from.Add(d.Crest.After.Duration)
	m := &maker{
		rnd: rand.New(rand.NewSource(o.Seed)), //nolint:gosec // the same seed must give the same trace
		trace: &Trace{
			Name:     d.Name,
			Seed:     o.Seed,
			From:     from,
			To:       from.Add(d.Length.Duration),
			CrestAt:  crest,
			CrestEnd: crest.Add(d.Crest.Length.Duration),
			Workers:  d.workers(),
			Config:   d.config(),
		},
	}
	m.addStreams(d.Streams, o.Load)
	if o.Faults {
		m.addFaults()
	}
	return m.trace
}

// Accelerators returns how many accelerators the workers have.
func (t *Trace) Accelerators() int {
	n := 0
	for _, w := range t.Workers {
		n += w.Capacity.Accelerators
	}
	return n
}

// capacity returns how much work, in accelerator-seconds, fits between the
// first and the last arrival.
func (t *Trace) capacity() float64 {
	return float64(t.Accelerators()) * t.To.Sub(t.From).Seconds()
}

// workOf returns the work of a job in accelerator-seconds.
func workOf(a *Arrival) float64 {
	return float64(a.Job.Gang.Total().Accelerators) * a.Run.Seconds()
}

// maker builds a trace from one source of chance.
type maker struct {
	rnd   *rand.Rand
	trace *Trace
	work  float64
}

func (m *maker) addStreams(all []stream, load float64) {
	for _, s := range all {
		for w := range s.Waves.Count {
			after := s.Waves.After.Duration + time.Duration(w)*s.Waves.Spaced.Duration
			for i := range s.Waves.Jobs {
				m.add(m.soonAfter(m.trace.From.Add(after), s.Waves.Within.Duration), s, i)
			}
		}
	}
	left := load*m.trace.capacity() - m.work
	for _, s := range all {
		until := m.work + s.Share*left
		for i := 0; m.work < until; i++ {
			m.add(m.arrival(s, i), s, i)
		}
	}
	m.trace.Load = m.work / m.trace.capacity()
	slices.SortStableFunc(m.trace.Arrivals, func(a, b Arrival) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Job.ID, b.Job.ID))
	})
}

// arrival draws when the i-th job of a stream arrives; every other one of a
// stream with bursts comes in a burst.
func (m *maker) arrival(s stream, i int) time.Time {
	if s.Bursts.Count == 0 || i%2 == 0 {
		return m.soonAfter(m.trace.From, m.trace.To.Sub(m.trace.From))
	}
	burst := time.Duration(m.rnd.Intn(s.Bursts.Count)) * s.Bursts.Apart.Duration
	return m.soonAfter(m.trace.From.Add(burst), s.Bursts.Within.Duration)
}

func (m *maker) soonAfter(at time.Time, within time.Duration) time.Time {
	return at.Add(time.Duration(m.rnd.Int63n(int64(within))))
}

const (
	declaredSpread  = 1.2 // standard deviation of the logarithm of declared over median run time
	stragglerShare  = 0.02
	stragglerFactor = 10   // times the run time that it would have had
	silentShare     = 0.05 // jobs that never end a checkpoint that they are told to take
	silentTime      = time.Hour
	slowestSave     = 20 // seconds
)

// add appends the i-th job of a stream.
func (m *maker) add(at time.Time, s stream, i int) {
	run := scaled(s.Median.Duration, s.Spread*m.rnd.NormFloat64())
	if m.rnd.Float64() < stragglerShare {
		run *= stragglerFactor
	}
	save := time.Second * time.Duration(1+m.rnd.Intn(slowestSave))
	if m.rnd.Float64() < silentShare {
		save = silentTime
	}
	o := s.Organisations[i%len(s.Organisations)]
	tasks := s.Tasks[i/len(s.Organisations)%len(s.Tasks)]
	a := Arrival{
		At:             at,
		Kind:           s.Kind,
		Run:            run,
		CheckpointTime: save,
		Job: reducer.Job{
			ID:             fmt.Sprintf("%s-%s-%06d", o, s.Service, len(m.trace.Arrivals)),
			Organisation:   o,
			Team:           o,
			Service:        o + "-" + s.Service,
			Class:          s.Class,
			Gang:           placer.Request{Tasks: tasks, PerTask: s.Task.resources(), Adjacency: s.Adjacency},
			DeclaredRun:    scaled(s.Median.Duration, declaredSpread*m.rnd.NormFloat64()),
			Deadline:       m.opening(at, s, i/len(s.Organisations)),
			Checkpointable: s.Checkpointable,
		},
	}
	m.work += workOf(&a)
	m.trace.Arrivals = append(m.trace.Arrivals, a)
}

// openingLead is how long before an opening work for it may still be submitted.
const openingLead = time.Hour

// opening returns the time by which a job of a stream is to be done: in turn one
// of the openings, but the next one that is openingLead away at least, and after
// the last one the first of the next day. It is zero when the stream names none.
func (m *maker) opening(at time.Time, s stream, turn int) time.Time {
	if len(s.Openings) == 0 {
		return time.Time{}
	}
	for _, o := range s.Openings[turn%len(s.Openings):] {
		if t := m.trace.From.Add(o.Duration); !t.Before(at.Add(openingLead)) {
			return t
		}
	}
	return m.trace.From.Add(24*time.Hour + s.Openings[0].Duration)
}

func scaled(d time.Duration, exponent float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(exponent)).Round(time.Millisecond)
}

const (
	cancelledWaves = 2
	badWorkers     = 2
)

// addFaults adds waves of cancellations and workers that fail everything.
func (m *maker) addFaults() {
	t := m.trace
	for range cancelledWaves {
		m.cancelWave()
	}
	t.Bad = make(map[string]bool)
	for len(t.Bad) < badWorkers {
		t.Bad[t.Workers[m.rnd.Intn(len(t.Workers))].ID] = true
	}
}

// cancelWave cancels half of the long jobs that one organisation submitted in
// the last hour.
func (m *maker) cancelWave() {
	t := m.trace
	half := t.To.Sub(t.From) / 2
	at := m.soonAfter(t.From.Add(half), half)
	who := t.Config.Organisations[m.rnd.Intn(len(t.Config.Organisations))].Name
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		recent := a.At.Before(at) && a.At.After(at.Add(-time.Hour))
		if recent && a.Kind == KindLong && a.Job.Organisation == who && m.rnd.Intn(2) == 0 {
			a.CancelAt = at
		}
	}
}
