package scheduler

import (
	"strconv"
	"strings"
	"time"
)

const occurrenceMark = "#" // between the id of a scheduled job and an occurrence's number

// OccurrenceID returns the id under which an occurrence of a scheduled job is kept.
func OccurrenceID(job string, number int) string {
	return job + occurrenceMark + strconv.Itoa(number)
}

// SplitOccurrence returns the job of an id and the number of the occurrence, 0 for
// a job that is not scheduled.
func SplitOccurrence(id string) (string, int) {
	job, number, ok := strings.Cut(id, occurrenceMark)
	if !ok {
		return id, 0
	}
	n, err := strconv.Atoi(number)
	if err != nil {
		return id, 0
	}
	return job, n
}

// canonical returns the id under which a task is kept that a worker names: the
// first occurrence of a scheduled job goes by the job's own id there.
func (s *Scheduler) canonical(id TaskID) TaskID {
	if j, ok := s.jobs[id.Job]; ok && j.occurrences != nil {
		id.Job = OccurrenceID(id.Job, 0)
	}
	return id
}

// spread makes the occurrences of a scheduled job, which are scheduled as jobs of
// their own. They may overlap.
func (s *Scheduler) spread(parent *job, e Submitted) {
	parent.occurrences = []*job{}
	for k := range parent.Times {
		c := parent.Job
		c.ID, c.Times = OccurrenceID(parent.ID, k), 0
		c.AcceptedMS = parent.FirstMS + int64(k)*parent.IntervalMS
		n := newJob(c, parent.offset)
		n.queue = parent.queue
		n.notBefore = time.UnixMilli(c.AcceptedMS)
		n.parent = parent
		n.unconfirmedSince = parent.unconfirmedSince
		n.restore(e.Occurrences[k])
		parent.occurrences = append(parent.occurrences, n)
		s.jobs[n.ID] = n
		if !n.state.Ended() && !parent.state.Ended() {
			s.active = append(s.active, n)
		}
	}
}

// childEnded ends a scheduled job once all of its occurrences have ended.
func (s *Scheduler) childEnded(now time.Time, parent *job) {
	if parent.state.Ended() {
		return
	}
	state, why := StateCompleted, "all occurrences have succeeded"
	for _, c := range parent.occurrences {
		if !c.state.Ended() {
			return
		}
		if c.state != StateCompleted {
			state, why = StateFailed, "an occurrence has failed"
		}
	}
	s.endJob(now, parent, state, why)
}
