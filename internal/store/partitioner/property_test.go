package partitioner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdoor/lacewingdoor/internal/store/partitioner"
)

const (
	worldParts  = 12
	worldStep   = 10 * time.Millisecond
	worldEnd    = 8 * time.Second
	answerDelay = 20 * time.Millisecond
	giveUpAfter = 800 * time.Millisecond // of an append without an answer
	deadline    = 2500 * time.Millisecond
	lateness    = 3 * time.Second
)

// outage is a time in which a partition fails.
type outage struct {
	from, to time.Duration
	kind     string // of outageKinds
}

// outageKinds are how appends fail: refused at once, without an answer and not carried out,
// carried out without an answer, or carried out later without an answer.
var outageKinds = []string{"busy", "silent", "lost", "late"}

// world is one VM that appends records to a store with partitions.
type world struct {
	t          *rapid.T
	start, now time.Time
	p          partitioner.Partitioner
	outages    map[int]outage
	records    []*record
	due        []event
}

type event struct {
	at time.Time
	do func()
}

// record is a record that a caller submits.
type record struct {
	began   time.Time
	attempt partitioner.Attempt
	holders int // partitions that hold it
	ended   bool
	result  partitioner.Result
	endedAt time.Time
	wakeAt  time.Time
	sentTo  []int
}

func (w *world) after(d time.Duration, do func()) { w.due = append(w.due, event{w.now.Add(d), do}) }

func (w *world) send(r *record, part int) {
	r.sentTo = append(r.sentTo, part)
	answer := func(d time.Duration, result partitioner.Result) {
		w.after(d, func() {
			if r.ended {
				return
			}
			r.attempt.Record(part, result)
			if result == partitioner.Stored {
				w.p.RecordSuccess(part)
			} else {
				w.p.RecordFailure(w.now, part)
			}
			w.advance(r)
		})
	}
	store := func() { r.holders++ }
	o := w.outages[part]
	if at := w.now.Sub(w.start); at < o.from || at >= o.to {
		w.after(answerDelay/2, store)
		answer(answerDelay, partitioner.Stored)
		return
	}
	switch o.kind {
	case "busy":
		answer(answerDelay, partitioner.NotStored)
		return
	case "lost":
		w.after(answerDelay/2, store)
	case "late":
		w.after(lateness, store)
	}
	answer(giveUpAfter, partitioner.Unknown)
}

// advance carries out the steps of a record that are due.
func (w *world) advance(r *record) {
	for !r.ended {
		s := r.attempt.Next(w.now, &w.p, rapid.Float64Range(0, 0.99).Draw(w.t, "random"))
		switch {
		case s.Done:
			w.end(r, s.Result)
		case s.Send:
			if s.Part >= w.p.Parts() {
				w.t.Fatalf("record is sent to partition %d of %d", s.Part, w.p.Parts())
			}
			w.send(r, s.Part)
		default:
			r.wakeAt = s.Until
			return
		}
	}
}

func (w *world) end(r *record, result partitioner.Result) {
	r.ended, r.result, r.endedAt = true, result, w.now
	if result == partitioner.Stored && r.holders == 0 {
		w.t.Fatalf("a record counts as stored that no partition holds; it was sent to %v", r.sentTo)
	}
}

// step lets time pass.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	due := w.due
	w.due = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.due = append(w.due, e)
			continue
		}
		e.do()
	}
	for _, r := range w.records {
		if !r.ended && !r.wakeAt.IsZero() && !w.now.Before(r.wakeAt) {
			w.advance(r)
		}
		if !r.ended && w.now.Sub(r.began) >= deadline+lateness/10 {
			w.end(r, r.attempt.Abandon(&w.p))
		}
	}
}

func (w *world) submit() {
	r := &record{began: w.now, attempt: partitioner.Attempt{Deadline: w.now.Add(deadline)}}
	w.records = append(w.records, r)
	w.advance(r)
}

// failed returns the number of partitions that fail at some time.
func (w *world) failed(from, to time.Duration) int {
	n := 0
	for _, o := range w.outages {
		if o.from < to && from < o.to {
			n++
		}
	}
	return n
}

// Guards against a record that counts as refused although a partition holds it, or will, and
// against one that counts as stored although none does; against refusals while most partitions
// serve; against appends to partitions that the leader does not read; and against many repeated
// appends while the store is away. Outages by partition, lost and late appends, and takeovers by
// leaders that read other partitions are drawn at random.
func TestResultsAreTrueWhateverPartitionsFail(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		start := time.Unix(1_000_000, 0)
		w := &world{t: r, start: start, now: start, outages: map[int]outage{}}
		w.p.SetParts(worldParts)
		takeovers := rapid.Bool().Draw(r, "takeovers")
		share := rapid.SampledFrom([]int{1, 3, 6, worldParts}).Draw(r, "failing partitions")
		together := rapid.Bool().Draw(r, "together")
		begin := rapid.IntRange(0, 3000)
		from := time.Duration(begin.Draw(r, "from")) * time.Millisecond
		length := time.Duration(rapid.IntRange(500, 4500).Draw(r, "for")) * time.Millisecond
		for _, part := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(r, "partitions")[:share] {
			if !together {
				from = time.Duration(begin.Draw(r, "from")) * time.Millisecond
			}
			w.outages[part] = outage{from, from + length, rapid.SampledFrom(outageKinds).Draw(r, "kind")}
		}
		for i := 0; w.now.Sub(start) < worldEnd; i++ {
			if i%3 == 0 && w.now.Sub(start) < worldEnd-lateness {
				w.submit()
			}
			if takeovers && i%150 == 0 {
				w.p.SetParts(rapid.SampledFrom([]int{1, 4, worldParts}).Draw(r, "parts"))
			}
			w.step()
		}
		for end := w.now.Add(lateness + deadline); w.now.Before(end); {
			w.step()
		}
		w.check(takeovers)
	})
}

func (w *world) check(takeovers bool) {
	for i, r := range w.records {
		began := r.began.Sub(w.start)
		name := fmt.Sprintf("record %d, submitted at %v and sent to %v,", i, began, r.sentTo)
		switch {
		case !r.ended:
			w.t.Fatalf("%s has no result", name)
		case r.result == partitioner.NotStored && r.holders > 0:
			w.t.Fatalf("%s counts as refused, but %d partitions hold it", name, r.holders)
		case takeovers || w.failed(began, began+deadline) > worldParts/4:
		case r.result != partitioner.Stored:
			w.t.Fatalf("%s has the result %d although most partitions serve", name, r.result)
		case r.endedAt.Sub(r.began) > time.Second+100*time.Millisecond:
			w.t.Fatalf("%s is stored after %v", name, r.endedAt.Sub(r.began))
		}
	}
	if limit := 10 + 10*int(w.now.Sub(w.start).Seconds()); w.repeats() > limit {
		w.t.Fatalf("%d repeated appends, want at most %d", w.repeats(), limit)
	}
}

// repeats returns the number of appends that were certainly repeated: a record tries at most
// four partitions before.
func (w *world) repeats() int {
	n := 0
	for _, r := range w.records {
		n += max(0, len(r.sentTo)-4)
	}
	return n
}

// Guards against more reads by the leader than the specification allows.
func TestLeaderReadsOtherPartitionsWithinItsLimit(t *testing.T) {
	for n := range worldParts {
		others := worldParts - 1
		perSecond := 0.0
		for i := range others {
			active := i < n
			d := partitioner.ReadInterval(active, n, others)
			if !active {
				d = max(d, partitioner.ReadWait(false)) // a poll that the store answers in time
			}
			perSecond += 1 / d.Seconds()
		}
		if perSecond > 12.01 {
			t.Errorf("%d active partitions: %.1f reads a second", n, perSecond)
		}
	}
}
