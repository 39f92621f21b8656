package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/follower"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// TestScripts runs the scripts of testdata: a log that fails, a follower and an
// appender of one stream, in virtual time.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, s scripter.Script) {
		synctest.Test(t, func(t *testing.T) { newBench().play(t, s) })
	})
}

var (
	errRefused = errors.New("refused") // surely without effect
	errLost    = errors.New("lost")
)

// bench is a log in memory with a follower and an appender.
type bench struct {
	ctx      context.Context // of the test, which "stop" leaves alone
	mu       sync.Mutex
	records  []follower.Record
	first    int64 // lowest offset kept
	grown    chan struct{}
	down     bool
	slow     time.Duration
	refuse   string         // id of a record that the log never takes
	counts   map[string]int // faults to come, by name
	writes   int
	reads    int
	follower follower.Follower
	appender follower.Appender
	events   []string
	results  map[string]string
	handled  int
	firstEnd int // records handled when CaughtUp was first called, -1 before
	stop     func()
}

func newBench() *bench {
	b := &bench{first: 1, grown: make(chan struct{}), counts: map[string]int{}, results: map[string]string{}, firstEnd: -1}
	b.appender = follower.Appender{
		Stream: "s", Write: b.write, Batch: 4, Queue: 8,
		Uncertain: func(err error) bool { return !errors.Is(err, errRefused) },
	}
	b.follower = follower.Follower{
		Stream: "s",
		Limit:  3,
		Read:   b.read,
		Handle: func(e follower.Entry) {
			b.event(e.ID)
			b.handled++
			b.appender.Observe(e)
		},
		CaughtUp: func(next int64) {
			if b.firstEnd < 0 {
				b.firstEnd = b.handled
			}
			b.appender.CaughtUp(next)
		},
		Gap:         func(from, first int64) { b.event(fmt.Sprintf("gap(%d,%d)", from, first)) },
		Undecodable: func(offset int64, _ []byte, _ error) { b.event(fmt.Sprintf("undecodable(%d)", offset)) },
		Up:          func(up bool) { b.event(fmt.Sprintf("up(%v)", up)) },
	}
	return b
}

func (b *bench) event(e string) { b.events = append(b.events, e) }

// take takes one of the faults to come.
func (b *bench) take(name string) bool {
	if b.counts[name] == 0 {
		return false
	}
	b.counts[name]--
	return true
}

func (b *bench) add(data []byte) {
	b.records = append(b.records, follower.Record{Offset: int64(len(b.records)) + 1, Data: data})
	close(b.grown)
	b.grown = make(chan struct{})
}

func (b *bench) wait(ctx context.Context) error {
	select {
	case <-time.After(b.slow):
		return nil
	case <-ctx.Done():
		return errLost
	}
}

func (b *bench) write(ctx context.Context, records []json.RawMessage) (int64, error) {
	err := b.wait(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes++
	for _, r := range records {
		if b.down || (b.refuse != "" && strings.Contains(string(r), `"`+b.refuse+`"`)) {
			return 0, errRefused
		}
	}
	if err != nil || b.take("lose-requests") {
		return 0, errLost
	}
	if b.take("late") {
		time.AfterFunc(3*time.Second, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.addAll(records)
		})
		return 0, errLost
	}
	b.addAll(records)
	if b.take("lose-answers") {
		return 0, errLost
	}
	return int64(len(b.records) - len(records) + 1), nil
}

func (b *bench) addAll(records []json.RawMessage) {
	for _, r := range records {
		b.add(r)
	}
}

func (b *bench) read(ctx context.Context, from int64, limit int, wait time.Duration) (follower.Page, error) {
	if b.wait(ctx) != nil {
		return follower.Page{}, errLost
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads++
	if b.down || b.take("fail-reads") {
		return follower.Page{}, errRefused
	}
	if int64(len(b.records)) < from {
		grown := b.grown
		b.mu.Unlock()
		select {
		case <-grown:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		b.mu.Lock()
	}
	p := follower.Page{First: b.first, Next: int64(len(b.records)) + 1}
	if from > 1 && b.take("repeat") {
		from--
	}
	for o := max(from, b.first); o < p.Next && len(p.Records) < limit; o++ {
		if !b.take("skip") {
			p.Records = append(p.Records, b.records[o-1])
		}
	}
	return p, nil
}

func (b *bench) play(t *testing.T, s scripter.Script) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	b.ctx, b.stop = t.Context(), cancel
	s.Play(t, b.commands(ctx), func(line string, do func() error) error {
		if strings.HasPrefix(line, "pass ") {
			return do()
		}
		synctest.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		return do()
	})
}

func (b *bench) commands(ctx context.Context) scripter.Commands {
	return scripter.Commands{
		"pass": time.Sleep,
		"start": func() {
			go b.follower.Run(ctx)
			go b.appender.Run(ctx)
		},
		"stop": func() { b.stop() },
		"from": func(n int64) { b.follower.From = n },
		"appended": func(ids ...string) {
			for _, id := range ids {
				b.addAll([]json.RawMessage{encode(id)})
			}
		},
		"corrupt": func(data string) { b.add([]byte(data)) },
		"down":    func() { b.down = true },
		"up":      func() { b.down = false },
		"slow":    func(d time.Duration) { b.slow = d },
		"expire":  func(first int64) { b.first = first },
		"forget":  func() { b.records = nil },
		"refuse":  func(id string) { b.refuse = id },
		"fault":   func(name string, count int) { b.counts[name] = count },
		"submit": func(deadline time.Duration, ids ...string) {
			for _, id := range ids {
				b.results[id] = "pending"
				go b.submit(id, deadline)
			}
		},
		"reset-writes": func() { b.writes = 0 },

		"events":    func(want ...string) error { return equal(strings.Join(b.events, " "), strings.Join(want, " ")) },
		"result":    func(id, want string) error { return equal(b.results[id], want) },
		"first-end": func(handled int) error { return equal(b.firstEnd, handled) },
		"count": func(id string, times int) error {
			n := 0
			for _, r := range b.records {
				n += strings.Count(string(r.Data), `"`+id+`"`)
			}
			return equal(n, times)
		},
		"reads-at-most":  func(n int) error { return equal(max(b.reads, n), n) },
		"writes-at-most": func(n int) error { return equal(max(b.writes, n), n) },
	}
}

func equal[T comparable](got, want T) error {
	if got != want {
		return fmt.Errorf("got %v", got)
	}
	return nil
}

func (b *bench) submit(id string, d time.Duration) {
	c, cancel := context.WithTimeout(b.ctx, d)
	defer cancel()
	err := b.appender.Append(c, follower.Envelope{ID: id, Kind: "k", VM: "v"})
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil:
		b.results[id] = "ok"
	case errors.Is(err, follower.ErrNotAppended):
		b.results[id] = "not-appended"
	case errors.Is(err, follower.ErrUnknown):
		b.results[id] = "unknown"
	default:
		b.results[id] = err.Error()
	}
}

func encode(id string) json.RawMessage {
	b, _ := json.Marshal(follower.Envelope{ID: id, Kind: "k", VM: "v"})
	return b
}

func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := follower.Backoff{Base: 100 * time.Millisecond, Cap: time.Second, Random: func() float64 { return 0.5 }}
	for n, ms := range map[int]int64{1: 100, 2: 200, 4: 800, 5: 1000, 1000: 1000} {
		is.Equal(b.Bound(n).Milliseconds(), ms)
		is.Equal(b.Delay(n).Milliseconds(), ms/2) // full jitter
	}
}
