package server

import (
	"sync"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/estimator"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// How run times of requests are learned.
const (
	learnedRoutes   = 4096 // routes remembered; 180 teams with some 20 each
	learnedQuantile = 0.9  // a tenth of the requests, stragglers among them, may take longer
)

// learner learns how long requests of each route run at executors.
type learner struct {
	mu    sync.Mutex
	known estimator.Estimator
}

func newLearner() *learner { return &learner{known: estimator.New(learnedRoutes)} }

// observe takes the run time of an answered request.
func (l *learner) observe(o router.Observation) {
	if o.Code != "" || o.Run <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = l.known.With(estimator.RouteKey(o.Service, o.Route), o.Run)
}

// estimate returns how long a request of a route should run, with the declared
// time as a prior; 0 when nothing is known.
func (l *learner) estimate(service string, o *decoder.Route) time.Duration {
	l.mu.Lock()
	k := l.known
	l.mu.Unlock()
	return k.Quantile(estimator.RouteKey(service, o.Path), learnedQuantile, o.DeclaredRun)
}
