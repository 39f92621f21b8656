package server

import (
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// Parameters of the run time estimates.
const (
	maxEstimatedRoutes = 4096 // 180 teams with about 20 routes each
	runTimeQuantile    = 0.9  // a tenth of the requests, including stragglers, may take longer
)

// runTimeEstimator estimates how long requests of each route run at executors.
type runTimeEstimator struct {
	mu        sync.Mutex
	estimates estimator.Estimator
}

func newRunTimeEstimator() *runTimeEstimator {
	return &runTimeEstimator{estimates: estimator.New(maxEstimatedRoutes)}
}

// observe adds the run time of an answered request.
func (l *runTimeEstimator) observe(o router.Observation) {
	if o.Code != "" || o.Run <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimates = l.estimates.With(estimator.RouteKey(o.Service, o.Route), o.Run)
}

// estimate returns the expected run time of a request of a route, with the declared
// run time as prior; 0 if nothing is known.
func (l *runTimeEstimator) estimate(service string, o *decoder.Route) time.Duration {
	l.mu.Lock()
	k := l.estimates
	l.mu.Unlock()
	return k.Quantile(estimator.RouteKey(service, o.Path), runTimeQuantile, o.DeclaredRun)
}
