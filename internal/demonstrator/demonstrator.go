// Package demonstrator runs the whole path in one process: stand-ins for the
// platform, three entry VMs, two organisations and one service of each. It
// checks the promises while things fail, and takes the four measures.
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

// The size of the demonstration.
const (
	entryVMs           = 3
	executors          = 3 // of each service
	slots              = 8 // of each executor
	racks              = 2
	workersPerRack     = 2
	accelerators       = 8 // of each worker
	allAccelerators    = racks * workersPerRack * accelerators
	reclaimBound       = 5 * time.Second
	stepTimeout        = 30 * time.Second // of each wait; many times longer than it takes
	checkpointableTime = 10 * time.Minute // run time of the borrowing job; it is reclaimed long before
)

// Demonstrator runs the demonstration. Its fields are set before Run.
type Demonstrator struct {
	Out    io.Writer      // the report
	Logger *logrus.Logger // of the entry VMs
}

// Report is the result of a demonstration.
type Report struct {
	Promises []Promise `json:"promises"`
	Measures []Measure `json:"measures"`
}

// Promise is one of the things that must always hold, as the run showed it.
type Promise struct {
	Name string `json:"name"`
	Kept bool   `json:"kept"`
	Seen string `json:"seen"`
}

// Measure is one of the four measures.
type Measure struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Kept reports whether every promise was kept.
func (r Report) Kept() bool {
	for _, p := range r.Promises {
		if !p.Kept {
			return false
		}
	}
	return true
}

func (r *Report) promise(name string, kept bool, format string, args ...any) {
	r.Promises = append(r.Promises, Promise{name, kept, fmt.Sprintf(format, args...)})
}

func (r *Report) measure(name, format string, args ...any) {
	r.Measures = append(r.Measures, Measure{name, fmt.Sprintf(format, args...)})
}

// Run runs the demonstration and returns what it showed. The error says that a
// step could not be made at all.
func (d *Demonstrator) Run(ctx context.Context) (Report, error) {
	w := newWorld(d.Logger)
	defer w.stop()
	var r Report
	steps := []struct {
		name string
		do   func(context.Context, *world, *Report) error
	}{
		{"start the platform and the entry VMs", start},
		{"bring a configuration into force", configure},
		{"answer requests", requests},
		{"answer a crest with long work among short", crest},
		{"run a gang of a borrower", borrow},
		{"return guaranteed capacity to its owner", reclaim},
		{"kill the leading entry VM", killLeader},
		{"go on without it", goOn},
		{"shut an entry VM down under load", drain},
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
	w.judge(ctx, &r)
	return r, nil
}

// until polls f until it is true or the step's time is over.
func until(ctx context.Context, what string, f func() (bool, error)) error {
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

// status returns what every live entry VM says of itself.
func (w *world) status(ctx context.Context) ([]responder.StatusResponse, error) {
	var all []responder.StatusResponse
	for _, v := range w.vms {
		if v.dead {
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
