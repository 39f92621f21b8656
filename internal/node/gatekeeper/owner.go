package gatekeeper

import (
	"slices"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
)

// owns reports whether a job belongs to the queue and the organisation of a request. Only then
// may the request read, repeat or cancel the job. A public queue has no organisation of its own,
// so it owns the jobs that were submitted to it and no others. A job whose queue the
// configuration no longer names stays available to its organisation.
func (g *Gatekeeper) owns(t Target, e registrar.Entry) bool {
	if t.Route.Public {
		return e.Job.Queue == t.Route.Name
	}
	return e.Job.Organisation == t.Organisation && (e.Job.Queue == t.Route.Name || !g.named(e.Job.Queue))
}

// named reports whether the configuration names a queue.
func (g *Gatekeeper) named(queue string) bool {
	c := g.Config()
	return c != nil && slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Name == queue })
}

// repeated answers a submission whose id has a job. The job of another owner is not disclosed,
// and the submission is not stored: every reader would ignore its record.
func (g *Gatekeeper) repeated(t Target, e registrar.Entry) Answer {
	if !g.owns(t, e) {
		return Answer{Verdict: VerdictRefused, Reason: "the id can't be used, choose another one", RetryAfter: storeRetryDelay}
	}
	return Answer{Verdict: VerdictOK, Reason: "the job is already stored"}
}
