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

// capacityTimeout bounds the time in which all workers report their capacity. It is
// less than the 5 s after which a publisher withdraws its change.
const capacityTimeout = 2 * time.Second

// checkGuarantees reports why the listed workers cannot provide the guarantees of a
// change. It checks only changes that guarantee more than the configuration in
// force, and only before the append: every VM must judge a record of the log by the
// same rule. If a reason to force the change is given, the error is logged instead
// of returned.
func (s *Server) checkGuarantees(ctx context.Context, c publisher.Change, force string) error {
	v := s.view.Load()
	after, err := publisher.Preview(v.config, c)
	if err != nil || !reducer.GuaranteesMore(v.config.Config(), after) {
		return nil //nolint:nilerr // the verdict on the record reports the error
	}
	workers, unresponsive := s.workerCapacities(ctx, v.workers())
	err = reducer.CheckGuarantees(after, workers)
	if err == nil {
		return nil
	}
	if len(unresponsive) > 0 {
		err = fmt.Errorf("%w, but for %d listed workers that did not answer, as %s", err, len(unresponsive), unresponsive[0])
	}
	if force == "" {
		return err
	}
	s.log("publish").WithField("change", c.ID).WithField("publisher", c.Publisher).
		WithField("reason", force).WithError(err).Warn("publication forced")
	return nil
}

// workerCapacities asks all workers that are not leaving for their capacity. It also
// returns the ids of those that did not answer.
func (s *Server) workerCapacities(ctx context.Context, list []connector.ListedVM) ([]placer.Worker, []string) {
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	list = slices.DeleteFunc(slices.Clone(list), func(l connector.ListedVM) bool { return l.Leaving })
	workers := make([]placer.Worker, len(list))
	var g errgroup.Group
	g.SetLimit(maxWorkerCalls)
	for n, l := range list {
		g.Go(func() error {
			i, err := s.worker(l.Address).Inventory(ctx)
			if err != nil {
				s.throttled.log("capacity", l.ID, err)
				return nil // the worker is reported as unresponsive
			}
			workers[n] = placer.Worker{ID: l.ID, Rack: l.Rack, Zone: l.Zone, Capacity: i.Capacity}
			return nil
		})
	}
	_ = g.Wait() // no function returns an error
	var unresponsive []string
	for n, l := range list {
		if workers[n].ID == "" {
			unresponsive = append(unresponsive, l.ID)
		}
	}
	return slices.DeleteFunc(workers, func(w placer.Worker) bool { return w.ID == "" }), unresponsive
}
