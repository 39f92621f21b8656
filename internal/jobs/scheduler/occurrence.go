package scheduler

import (
	"strconv"
	"strings"
	"time"
)

const occurrenceSeparator = "#" // between the ID of a scheduled job and the number of an occurrence

// OccurrenceID returns the ID of an occurrence of a scheduled job.
func OccurrenceID(job string, number int) string {
	return job + occurrenceSeparator + strconv.Itoa(number)
}

// SplitOccurrence returns the job and the number of an occurrence, or the ID
// itself and 0 for a job that is not scheduled.
func SplitOccurrence(id string) (string, int) {
	job, number, ok := strings.Cut(id, occurrenceSeparator)
	if !ok {
		return id, 0
	}
	n, err := strconv.Atoi(number)
	if err != nil {
		return id, 0
	}
	return job, n
}

// canonicalID returns the scheduler's ID of a task that a worker reports. Workers
// know the first occurrence of a scheduled job by the ID of the job.
func (s *Scheduler) canonicalID(id TaskID) TaskID {
	if j, ok := s.jobs[id.Job]; ok && j.occurrences != nil {
		id.Job = OccurrenceID(id.Job, 0)
	}
	return id
}

// addOccurrences creates the occurrences of a scheduled job. Each is scheduled as
// a job of its own; occurrences may overlap.
func (s *Scheduler) addOccurrences(parent *job, e Submitted) {
	parent.occurrences = []*job{}
	for k := range parent.Times {
		c := parent.Job
		c.ID, c.Times = OccurrenceID(parent.ID, k), 0
		c.AcceptedMS = parent.FirstMS + int64(k)*parent.IntervalMS
		n := newJob(c, parent.inherited)
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

// handleOccurrenceEnd ends a scheduled job once all its occurrences have ended.
func (s *Scheduler) handleOccurrenceEnd(now time.Time, parent *job) {
	if parent.state.Ended() {
		return
	}
	state, reason := StateCompleted, "all occurrences have succeeded"
	for _, c := range parent.occurrences {
		if !c.state.Ended() {
			return
		}
		if c.state != StateCompleted {
			state, reason = StateFailed, "an occurrence has failed"
		}
	}
	s.endJob(now, parent, state, reason)
}
