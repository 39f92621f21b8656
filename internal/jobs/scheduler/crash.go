package scheduler

import "time"

// noteCrash logs that an instance of a worker has ended without notice, with the runs that
// ended with it.
func (s *Scheduler) noteCrash(now time.Time, w *worker, evidence string) {
	if w.left() || w.crashNoted {
		return
	}
	w.crashNoted = true
	n := Decision{Message: "worker has crashed", Counter: "worker-crashes", Worker: w.ID, Details: Details{"evidence": evidence, "address": w.Address, "rack": w.Rack, detailRuns: len(w.runs)}}
	if !w.unresponsiveSince.IsZero() {
		n.Details["silent-ms"] = now.Sub(w.unresponsiveSince).Milliseconds()
	}
	s.logDecision(n)
	for _, p := range w.order {
		s.logDecision(Decision{
			Message: "run was on a crashed worker", Job: p.task.Job, Task: p.task, Run: p.run, Worker: w.ID,
			Details: Details{detailAfterMS: now.Sub(p.sentAt).Milliseconds(), "listed-ms": max(0, p.listedAt.Sub(p.sentAt).Milliseconds())},
		})
	}
}

// left reports whether a worker has ended as announced or as requested.
func (w *worker) left() bool { return w.Draining || w.evacuating }
