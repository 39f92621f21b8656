package assembler

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdoor/lacewingdoor/internal/node/acceptor"
	"github.com/lacewingdoor/lacewingdoor/internal/node/budgeter"
)

// acceptor returns the acceptor of a listener.
func (a *Assembler) acceptor(name string, s budgeter.Share, refusal bool) *acceptor.Acceptor {
	x := &acceptor.Acceptor{
		Name: name, Share: s, Refusal: refusal, Count: a.metrics.Count, Now: a.Now,
		Report: func(closed map[budgeter.Reason]int) {
			f := logrus.Fields{"listener": name}
			for r, n := range closed {
				f[string(r)] = n
			}
			a.log("limit").WithFields(f).Warn("connections were closed to stay within the VM's limits")
		},
	}
	a.acceptors = append(a.acceptors, x)
	return x
}

// serveMetrics serves the metrics with the present holdings of the listeners and of jobs.
func (a *Assembler) serveMetrics(w http.ResponseWriter, q *http.Request) {
	for _, x := range a.acceptors {
		for name, n := range x.Gauges() {
			a.metrics.Set(name, n)
		}
	}
	for name, n := range a.admission.gauges() {
		a.metrics.Set(name, n)
	}
	a.metrics.ServeHTTP(w, q)
}
