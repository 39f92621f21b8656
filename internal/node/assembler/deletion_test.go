package assembler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/registrar"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
	"github.com/lacewingdoor/lacewingdoor/internal/store/tailer"
	"github.com/lacewingdoor/lacewingdoor/platform"
	"github.com/lacewingdoor/lacewingdoor/recorder"
)

// faultyStore is a store whose next appends have the given outcomes.
type faultyStore struct {
	mu       sync.Mutex
	parts    int                          // of the topic of jobs
	topics   map[string][]accessor.Record // by topic or partition of one
	epoch    int64
	sequence int64
	outcomes []appendOutcome
	late     []lateAppend
	changed  func() // called after each append that was carried out
	endTerm  func() // ends the term of the present leader
}

// appendOutcome is what happens to an append.
type appendOutcome struct {
	kind    string // of outcomeKinds
	endTerm bool   // the term of the leader ends before it gets the answer
}

// lateAppend is an append that is still to be carried out.
type lateAppend struct {
	accessor.Append

	at time.Time
}

const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeLost    = "lost" // carried out, without an answer
	outcomeLate    = "late" // carried out lateDelay later, without an answer
	lateDelay      = 5 * time.Second
)

var errNoAnswer = errors.New("no answer")

func (s *faultyStore) client() accessor.Client {
	return accessor.Client{
		Append: s.append,
		Read: func(_ context.Context, topic string, from int64, _ time.Duration) ([]accessor.Record, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.carryOutLate()
			all := s.topics[topic]
			return all[from:], int64(len(all)), nil
		},
	}
}

func (s *faultyStore) append(_ context.Context, a accessor.Append) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carryOutLate()
	o := appendOutcome{kind: outcomeDone}
	if len(s.outcomes) > 0 {
		o, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	if o.endTerm {
		s.endTerm()
	}
	switch o.kind {
	case outcomeRefused:
		return 0, accessor.ErrNotDone
	case outcomeLate:
		s.late = append(s.late, lateAppend{a, time.Now().Add(lateDelay)})
		return 0, errNoAnswer
	case outcomeLost:
		_, _ = s.carryOut(a)
		return 0, errNoAnswer
	default:
		return s.carryOut(a)
	}
}

// carryOutLate carries out the late appends that are due.
func (s *faultyStore) carryOutLate() {
	for len(s.late) > 0 && !s.late[0].at.After(time.Now()) {
		a := s.late[0]
		s.late = s.late[1:]
		_, _ = s.carryOut(a.Append) // its answer is lost
	}
}

func (s *faultyStore) carryOut(a accessor.Append) (int64, error) {
	offset := int64(len(s.topics[a.Topic]))
	if a.Writer.Name != "" {
		switch {
		case a.Writer.Epoch < s.epoch:
			return 0, accessor.ErrFenced
		case a.Writer.Epoch > s.epoch:
			s.epoch, s.sequence = a.Writer.Epoch, a.Writer.Sequence
		case len(a.Records) > 0 && a.Writer.Sequence != s.sequence:
			return 0, &accessor.SequenceError{Expected: s.sequence}
		}
		if len(a.Records) > 0 {
			s.sequence++
		}
	}
	for i, r := range a.Records {
		r.Offset = offset + int64(i)
		s.topics[a.Topic] = append(s.topics[a.Topic], r)
	}
	s.changed()
	return offset, nil
}

// newest returns the records of a topic that are not deleted, by offset.
func (s *faultyStore) newest(topic string) []accessor.Record {
	byKey := map[string]accessor.Record{}
	for _, r := range s.topics[topic] {
		byKey[r.Key] = r
		if len(r.Value) == 0 {
			delete(byKey, r.Key)
		}
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b accessor.Record) int { return cmp.Compare(a.Offset, b.Offset) })
}

// entries returns the jobs as a VM sees them that has just started.
func (s *faultyStore) entries() []registrar.Entry {
	r := registrar.New()
	r.ApplyProgress(tailer.Batch{Records: s.newest(platform.WireTopic(registrar.TopicProgress)), Snapshot: true})
	for part := range s.parts {
		r.ApplyJobsOf(part, tailer.Batch{Records: s.newest(jobsPartition(part)), Snapshot: true})
	}
	return r.Entries()
}

// addEndedJobs stores completed jobs, one of them scheduled and one cancelled. Each job is in the
// given partitions, and its cancellation in the last one.
func (s *faultyStore) addEndedJobs(holders [][]int) error {
	var failed error
	add := func(topic string, r accessor.Record, err error) {
		failed = cmp.Or(failed, err)
		r.Offset = int64(len(s.topics[topic]))
		s.topics[topic] = append(s.topics[topic], r)
	}
	for i, times := range []int{0, 2, 0} {
		j := scheduler.Job{ID: fmt.Sprintf("j%d", i), Steps: []scheduler.Step{{Tasks: 1}}, Times: times}
		r, err := registrar.JobRecord(j)
		for _, part := range holders[i] {
			add(jobsPartition(part), r, err)
		}
		ids := []string{j.ID}
		for k := range times {
			ids = append(ids, scheduler.OccurrenceID(j.ID, k))
		}
		for _, id := range ids {
			r, err := registrar.ProgressRecord(id, scheduler.Progress{State: scheduler.StateCompleted, EndedMS: 1})
			add(platform.WireTopic(registrar.TopicProgress), r, err)
		}
	}
	add(jobsPartition(holders[0][len(holders[0])-1]), registrar.CancelRecord("j0"), nil)
	return failed
}

// lead takes over, and deletes the jobs that have ended.
func (s *faultyStore) lead(ctx context.Context, epoch int64) {
	a := newLeader()
	a.Logger.SetLevel(logrus.PanicLevel)
	a.metrics = recorder.New()
	a.store = s.client()
	a.Settings.Parts = s.parts
	w := &progressWriter{assembler: a, epoch: epoch}
	ctx, cancel := context.WithCancel(ctx)
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	a.leading.Store(true)
	a.parts.beginTerm(s.parts)
	if w.takeOver(ctx, &following) != nil {
		return
	}
	for part := 1; part < s.parts; part++ {
		following.Go(func() { a.followPart(ctx, part) })
	}
	var ended []string
	for _, e := range a.registrar.Entries() {
		if !e.State().Ended() {
			continue
		}
		ended = append(ended, e.Job.ID)
		for k := range e.Job.Times {
			ended = append(ended, scheduler.OccurrenceID(e.Job.ID, k))
		}
	}
	w.deleteJobs(ctx, ended)
}

// Guards against jobs that run again because their progress is deleted without them: appends
// are refused, lose their answers or are carried out late, leaders change between them, and jobs
// are in one or several partitions.
func TestJobWhoseDeletionFailsNeverSeemsUnfinished(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var outcomes []appendOutcome
		var vacancies []time.Duration
		for range rapid.IntRange(0, 12).Draw(r, "appends") {
			outcomes = append(outcomes, appendOutcome{
				kind:    rapid.SampledFrom([]string{outcomeDone, outcomeRefused, outcomeLost, outcomeLate}).Draw(r, "outcome"),
				endTerm: rapid.IntRange(0, 3).Draw(r, "end of term") == 0,
			})
			vacancies = append(vacancies, rapid.SampledFrom([]time.Duration{0, 2 * lateDelay}).Draw(r, "vacancy"))
		}
		parts := rapid.SampledFrom([]int{1, 3}).Draw(r, "partitions")
		var holders [][]int
		for range 3 {
			n := rapid.IntRange(1, parts).Draw(r, "holders")
			holders = append(holders, rapid.Permutation([]int{0, 1, 2}[:parts]).Draw(r, "held by")[:n])
		}
		var err error
		synctest.Test(t, func(*testing.T) { err = deleteWithFaults(parts, holders, outcomes, vacancies) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// deleteWithFaults deletes ended jobs from a faulty store. It returns an error if one of
// them seems unfinished at any time, or if records are left in the end.
func deleteWithFaults(parts int, holders [][]int, outcomes []appendOutcome, vacancies []time.Duration) error {
	s := &faultyStore{parts: parts, topics: map[string][]accessor.Record{}, outcomes: outcomes}
	if err := s.addEndedJobs(holders); err != nil {
		return err
	}
	var unfinished error
	s.changed = func() {
		for _, e := range s.entries() {
			if !e.Progress.State.Ended() {
				unfinished = cmp.Or(unfinished, fmt.Errorf("job %s has the state %q after it was completed", e.Job.ID, e.Progress.State))
			}
		}
	}
	epoch := int64(0)
	for _, d := range append(vacancies, 2*lateDelay) {
		epoch++
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		s.endTerm = cancel
		s.lead(ctx, epoch)
		cancel()
		time.Sleep(d)
	}
	s.lead(context.Background(), epoch+1)
	topics := []string{platform.WireTopic(registrar.TopicProgress)}
	for part := range parts {
		topics = append(topics, jobsPartition(part))
	}
	for _, topic := range topics {
		if left := s.newest(topic); len(left) > 0 {
			return errors.Join(unfinished, fmt.Errorf("records are left in %s: %v", topic, left))
		}
	}
	return unfinished
}
