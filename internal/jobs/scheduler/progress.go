package scheduler

import (
	"strconv"
	"time"
)

// progress returns the progress to be stored.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Done: make([][]int, len(j.steps)), Failures: map[string][]int64{}, Checkpoints: map[string]string{}}
	if !j.endedAt.IsZero() {
		p.EndedMS = j.endedAt.UnixMilli()
	}
	if j.state.Ended() {
		p.Done = nil
		return p
	}
	for i, s := range j.steps {
		for k := range s.tasks {
			if s.tasks[k].state == taskDone {
				p.Done[i] = append(p.Done[i], k)
				continue
			}
			key := strconv.Itoa(i) + "." + strconv.Itoa(k)
			if len(s.tasks[k].failures) > 0 {
				p.Failures[key] = s.tasks[k].failures
			}
			if s.tasks[k].checkpoint != "" {
				p.Checkpoints[key] = s.tasks[k].checkpoint
			}
		}
	}
	return p
}

// restore applies the progress that an earlier leader stored.
func (j *job) restore(p Progress) {
	if p.State != "" {
		j.state = p.State
	}
	if p.EndedMS != 0 {
		j.endedAt = time.UnixMilli(p.EndedMS)
	}
	for i, done := range p.Done {
		for _, k := range done {
			if i < len(j.steps) && k < len(j.steps[i].tasks) {
				j.steps[i].markDone(k)
			}
		}
	}
	for i, s := range j.steps {
		for k := range s.tasks {
			key := strconv.Itoa(i) + "." + strconv.Itoa(k)
			s.tasks[k].failures = p.Failures[key]
			s.tasks[k].checkpoint = p.Checkpoints[key]
		}
	}
}
