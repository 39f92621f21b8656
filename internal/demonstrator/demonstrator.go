// Package demonstrator runs a whole cluster in one process: stand-ins for the
// platform, three entry VMs, two organisations and one service of each. It
// checks the promised invariants under failures, and takes four measurements.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/internal/responder"
)

// The size and timing of the demonstration.
const (
	entryVMs          = 3
	executors         = 3 // of each service
	slots             = 8 // of each executor
	racks             = 2
	workersPerRack    = 2
	accelerators      = 8 // of each worker
	totalAccelerators = racks * workersPerRack * accelerators
	reclaimBound      = 5 * time.Second
	stepTimeout       = 30 * time.Second // of each wait; many times its usual duration
	borrowerRunTime   = 10 * time.Minute // much longer than the time until its capacity is reclaimed
)

// Demonstrator runs the demonstration. Its fields are set before Run.
type Demonstrator struct {
	Out    io.Writer      // progress of the steps
	Logger *logrus.Logger // of the entry VMs
}

// Report holds the results of a demonstration.
type Report struct {
	Promises []Promise `json:"promises"`
	Measures []Measure `json:"measures"`
}

// Promise is an invariant of the system and the result of its check.
type Promise struct {
	Name string `json:"name"`
	Kept bool   `json:"kept"`
	Seen string `json:"seen"`
}

// Measure is one of the four measurements.
type Measure struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Kept reports whether every invariant held.
func (r Report) Kept() bool {
	for _, p := range r.Promises {
		if !p.Kept {
			return false
		}
	}
	return true
}

func (r *Report) addPromise(name string, kept bool, format string, args ...any) {
	r.Promises = append(r.Promises, Promise{name, kept, fmt.Sprintf(format, args...)})
}

func (r *Report) addMeasure(name, format string, args ...any) {
	r.Measures = append(r.Measures, Measure{name, fmt.Sprintf(format, args...)})
}

// Run runs the demonstration and returns its report. It returns an error if a
// step could not be carried out.
func (d *Demonstrator) Run(ctx context.Context) (Report, error) {
	w := newCluster(d.Logger)
	defer w.stop()
	var r Report
	steps := []struct {
		name string
		do   func(context.Context, *cluster, *Report) error
	}{
		{"start the platform and the entry VMs", startCluster},
		{"publish a configuration", publishConfig},
		{"send requests", sendRequests},
		{"send a load peak of short and long requests", sendPeak},
		{"run a gang of the borrower", runBorrowerGang},
		{"return guaranteed capacity to its owner", reclaimGuarantee},
		{"kill the leading entry VM", killLeader},
		{"run jobs under the new leader", runAfterFailover},
		{"shut down an entry VM under load", drainVM},
	}
	for _, s := range steps {
		_, _ = fmt.Fprintf(d.Out, "%s ... ", s.name)
		at := time.Now()
		if err := s.do(ctx, w, &r); err != nil {
			_, _ = fmt.Fprintln(d.Out, "failed")
			return r, fmt.Errorf("%s: %w", s.name, err)
		}
		_, _ = fmt.Fprintf(d.Out, "%v\n", time.Since(at).Round(time.Millisecond))
	}
	w.checkPromises(ctx, &r)
	return r, nil
}

// waitUntil polls f until it reports true without an error or stepTimeout expires.
func waitUntil(ctx context.Context, what string, f func() (bool, error)) error {
	c, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	var last error
	for {
		ok, err := f()
		if ok && err == nil {
			return nil
		}
		last = err
		select {
		case <-c.Done():
			return errors.Join(fmt.Errorf("wait until %s: %w", what, c.Err()), last)
		case <-t.C:
		}
	}
}

// statuses returns the status of every running entry VM.
func (w *cluster) statuses(ctx context.Context) ([]responder.StatusResponse, error) {
	var all []responder.StatusResponse
	for _, v := range w.vms {
		if v.stopped {
			continue
		}
		var s responder.StatusResponse
		if err := w.call(ctx, v, "GET", "/-/status", w.operatorKey, nil, &s); err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}
