package server

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// capacityTimeout is the longest time that all workers together get to report their
// capacity; less than the 5 s after which a publisher withdraws its change.
const capacityTimeout = 2 * time.Second

// promised reports why the listed workers could not hold the guarantees of a change.
// It judges only a change that promises more than is in force, before the change is
// appended, since every VM must judge a record of the log by the same rule. A reason
// to force the change is logged instead.
func (s *Server) promised(ctx context.Context, c publisher.Change, force string) error {
	v := s.view.Load()
	after, err := publisher.Preview(v.config, c)
	if err != nil || !reducer.PromisesMore(v.config.Config(), after) {
		return nil //nolint:nilerr // the verdict on the record tells what is wrong with it
	}
	workers, silent := s.capacity(ctx, v.workers())
	err = reducer.Promised(after, workers)
	if err == nil {
		return nil
	}
	if len(silent) > 0 {
		err = fmt.Errorf("%w, but for %d listed workers that did not answer, as %s", err, len(silent), silent[0])
	}
	if force == "" {
		return err
	}
	s.log("publish").WithField("change", c.ID).WithField("publisher", c.Publisher).
		WithField("reason", force).WithError(err).Warn("publication forced")
	return nil
}

// capacity asks workers for their sizes, but for those that leave. It also returns the
// ids of those that did not answer.
func (s *Server) capacity(ctx context.Context, list []connector.ListedVM) ([]placer.Worker, []string) {
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	list = slices.DeleteFunc(slices.Clone(list), func(l connector.ListedVM) bool { return l.Leaving })
	workers := make([]placer.Worker, len(list))
	var g errgroup.Group
	g.SetLimit(maxRenewals)
	for n, l := range list {
		g.Go(func() error {
			i, err := s.worker(l.Address).Inventory(ctx)
			if err != nil {
				s.quiet.log("capacity", l.ID, err)
				return nil // named among the silent ones
			}
			workers[n] = placer.Worker{ID: l.ID, Rack: l.Rack, Zone: l.Zone, Capacity: i.Capacity}
			return nil
		})
	}
	_ = g.Wait() // no function returns an error
	var silent []string
	for n, l := range list {
		if workers[n].ID == "" {
			silent = append(silent, l.ID)
		}
	}
	return slices.DeleteFunc(workers, func(w placer.Worker) bool { return w.ID == "" }), silent
}
