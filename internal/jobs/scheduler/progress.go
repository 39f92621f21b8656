package scheduler

import (
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/quarantiner"
)

// progress returns the progress to be stored.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Done: make([][]int, len(j.steps)), Failures: map[string][]int64{}, Checkpoints: map[string]string{}}
	if !j.endedAt.IsZero() {
		p.EndedMS = j.endedAt.UnixMilli()
	}
	p.Abandoned = j.abandonedRuns()
	if j.state.Ended() {
		p.Done = nil
		return p
	}
	p.Suspicions = j.suspicions()
	for i, s := range j.steps {
		for k := range s.tasks {
			if s.tasks[k].state == taskDone {
				p.Done[i] = append(p.Done[i], k)
				continue
			}
			key := taskKey(i, k)
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

// Reduced returns less of the progress, by level from 0 on, and what it leaves out: first what
// saves work, then what a later leader has to assume or count anew. After the last level it
// returns an empty string.
func (p Progress) Reduced(level int) (smaller Progress, left string) {
	switch level {
	case 0:
		p.Checkpoints, left = nil, "checkpoints"
	case 1:
		p.Abandoned, left = abandonedBySteps(p.Abandoned), "which tasks of a step had runs without proof of their end"
	case 2:
		p.Suspicions, left = nil, "crashes of workers"
	case 3: //nolint:mnd // the last level
		p.Failures, left = nil, "failed runs"
	}
	return p, left
}

// abandonedBySteps returns the highest of the given runs of each step. It then counts for all
// unfinished tasks of the step.
func abandonedBySteps(runs map[string]int64) map[string]int64 {
	all := map[string]int64{}
	for key, run := range runs {
		step, _, _ := strings.Cut(key, ".")
		all[step] = max(all[step], run)
	}
	return all
}

// suspicions returns what is recorded of crashes under unfinished tasks, by key.
func (j *job) suspicions() map[string]quarantiner.Record {
	all := map[string]quarantiner.Record{}
	for i, s := range j.steps {
		for k := range s.tasks {
			if r := s.tasks[k].suspicion; !r.IsZero() && s.tasks[k].state != taskDone {
				all[taskKey(i, k)] = r
			}
		}
	}
	return all
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
			key := taskKey(i, k)
			s.tasks[k].failures = p.Failures[key]
			s.tasks[k].suspicion = p.Suspicions[key]
			s.tasks[k].checkpoint = p.Checkpoints[key]
			if run := max(p.Abandoned[key], p.Abandoned[strconv.Itoa(i)]); run > 0 {
				s.tasks[k].abandoned = abandonment{run: run, inherited: true}
			}
		}
	}
}

// taskKey returns the key of a task, or of the gang that it is the first task of.
func taskKey(step, index int) string { return strconv.Itoa(step) + "." + strconv.Itoa(index) }

// abandonedRuns returns the runs that were given up, by key of the step where they are the
// same for all its unfinished tasks, else by key of the task or gang.
func (j *job) abandonedRuns() map[string]int64 {
	all := map[string]int64{}
	for i, s := range j.steps { // each has a task, see Job.Validate
		first, same := s.tasks[0].abandoned.run, true
		for k := range s.tasks {
			same = same && s.tasks[k].abandoned.run == first
		}
		if same {
			if first > 0 {
				all[strconv.Itoa(i)] = first
			}
			continue
		}
		for k := range s.tasks {
			if run := s.tasks[k].abandoned.run; run > 0 {
				all[taskKey(i, k)] = run
			}
		}
	}
	return all
}
