package main_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// rivalRun is a task on an executor.
type rivalRun struct {
	executor int
	task     string
}

// rivalLedger is what the executors know of all runs.
type rivalLedger struct {
	mu           sync.Mutex
	log          *os.File
	runs         int
	present      map[rivalRun]bool      // that have not ended
	started      map[string]time.Time   // by task, last start
	done         map[rivalRun]time.Time // last end as done
	acknowledged map[string]bool        // tasks with an end as done that was acknowledged
	history      map[string][]string    // by task
	reported     map[string]bool        // findings, by task
	held         map[string]time.Time   // by executor and VM, last hold in the log
}

func newRivalLedger() *rivalLedger {
	return &rivalLedger{
		present: map[rivalRun]bool{}, started: map[string]time.Time{}, done: map[rivalRun]time.Time{},
		acknowledged: map[string]bool{}, history: map[string][]string{}, reported: map[string]bool{}, held: map[string]time.Time{},
	}
}

// logf writes a line to the log. l.mu must be held.
func (l *rivalLedger) logf(format string, a ...any) string {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, a...)
	_, _ = l.log.WriteString(line + "\n")
	return line
}

// note adds a line to the history of a task. l.mu must be held.
func (l *rivalLedger) note(task, format string, a ...any) {
	l.history[task] = append(l.history[task], l.logf("task %s "+format, append([]any{task}, a...)...))
}

// noteCall writes a call of a VM to an executor to the log, but at most ten holds a second.
func (s *rivalSoak) noteCall(executor, vm, path string, body []byte, late bool) {
	l, pair := s.ledger, executor+" "+vm
	l.mu.Lock()
	defer l.mu.Unlock()
	if path == "/hold" && !late {
		if time.Since(l.held[pair]) < rivalHoldLog {
			return
		}
		l.held[pair] = time.Now()
	}
	l.logf("%s %s late %v %s", pair, path, late, body)
}

const rivalHoldLog = 100 * time.Millisecond

// finding reports a finding about a task, once, with all that is known of the task.
func (s *rivalSoak) finding(task, format string, a ...any) {
	l := s.ledger
	l.mu.Lock()
	if l.reported[task] {
		l.mu.Unlock()
		return
	}
	l.reported[task] = true
	l.note(task, "finding: "+format, a...)
	history := strings.Join(l.history[task], "\n")
	l.mu.Unlock()
	s.problemf("task %s %s\n%s", task, fmt.Sprintf(format, a...), history)
}

// noteRun notes that a run begins. The executor is locked.
func (s *rivalSoak) noteRun(i int, task string) {
	l, r := s.ledger, rivalRun{i, task}
	l.mu.Lock()
	l.runs++
	again := l.present[r]
	l.present[r], l.started[task] = true, time.Now()
	l.note(task, "starts on x%d", i)
	l.mu.Unlock()
	if again {
		s.finding(task, "starts on x%d, where another run of it has not ended", i)
	}
}

// noteEnd notes that a run has ended. The executor is locked.
func (s *rivalSoak) noteEnd(i int, task string, run int64, reason string) {
	l, r := s.ledger, rivalRun{i, task}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.present, r)
	if reason == "done" {
		l.done[r] = time.Now()
	}
	l.note(task, "run %d has ended as %s on x%d", run, reason, i)
}

// noteRestart notes that an executor has lost all its runs.
func (s *rivalSoak) noteRestart(i int) {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.present {
		if r.executor == i {
			delete(l.present, r)
			l.note(r.task, "is lost as x%d restarts", i)
		}
	}
}

// noteAcknowledged notes that an end was acknowledged and checks that the task has not
// started since. An end as done of a member stands for its whole gang.
func (s *rivalSoak) noteAcknowledged(i int, task, reason string) {
	if reason != "done" {
		return
	}
	l := s.ledger
	for _, t := range s.withGang(task) {
		l.mu.Lock()
		l.acknowledged[t] = true
		l.note(t, "end as done of %s on x%d is acknowledged", task, i)
		again := l.started[t].After(l.done[rivalRun{i, task}])
		l.mu.Unlock()
		if again {
			s.finding(t, "had started again when its end on x%d was acknowledged", i)
		}
	}
}

// withGang returns the tasks of the gang of a task, or only itself.
func (s *rivalSoak) withGang(task string) []string {
	j, step, _ := s.find(task)
	if j == nil || !j.steps[step].gang {
		return []string{task}
	}
	var all []string
	for i := range j.steps[step].tasks {
		all = append(all, fmt.Sprintf("%s.%d", task[:strings.LastIndexByte(task, '.')], i))
	}
	return all
}

// checkStart checks a start: the task runs nowhere else, and no end of it as done has been
// acknowledged.
func (s *rivalSoak) checkStart(i int, task string) {
	l := s.ledger
	l.mu.Lock()
	acknowledged := l.acknowledged[task]
	l.mu.Unlock()
	if acknowledged {
		s.finding(task, "starts on x%d after an end of it as done was acknowledged", i)
	}
	for k := range s.executors {
		if k != i && s.isRunning(k, task) {
			s.finding(task, "starts on x%d and is running on x%d", i, k)
		}
	}
}

func (s *rivalSoak) isRunning(i int, task string) bool {
	_, ok := s.executors[i].Paces()[task]
	return ok
}

// checkRunning checks until stop is closed that no task has two runs at the same time.
func (s *rivalSoak) checkRunning(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(rivalInterval):
		}
		on := map[string]int{}
		for i, x := range s.executors {
			for _, task := range x.Running() {
				k, ok := on[task]
				on[task] = i
				if ok && s.isRunning(k, task) && s.isRunning(i, task) && s.isRunning(k, task) {
					s.finding(task, "has runs on x%d and x%d", k, i)
				}
			}
		}
	}
}

// historyOf returns what is known of the tasks of a job.
func (s *rivalSoak) historyOf(id string) string {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for task, h := range l.history {
		if strings.HasPrefix(task, id) {
			lines = append(lines, h[max(0, len(h)-3):]...)
		}
	}
	return strings.Join(lines[:min(len(lines), 60)], "\n")
}
