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

// TestScripts runs the scripts in testdata in virtual time: a follower and an
// appender use one stream of a log with injected faults.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, s scripter.Script) {
		synctest.Test(t, func(t *testing.T) { newFixture().run(t, s) })
	})
}

var (
	errRejected = errors.New("refused") // certainly not appended
	errLost     = errors.New("lost")
)

// fixture is an in-memory log with a follower and an appender.
type fixture struct {
	ctx              context.Context // of the test; not cancelled by "stop"
	mu               sync.Mutex
	records          []follower.Record
	first            int64         // lowest offset that is kept
	appended         chan struct{} // closed when a record is appended
	down             bool
	latency          time.Duration
	rejectedID       string         // id of a record that the log always rejects
	faults           map[string]int // remaining number of injected faults, by name
	writes           int
	reads            int
	follower         follower.Follower
	appender         follower.Appender
	events           []string
	results          map[string]string
	handled          int
	handledAtCatchUp int // records handled before the first CaughtUp; -1 until then
	stop             func()
}

func newFixture() *fixture {
	b := &fixture{first: 1, appended: make(chan struct{}), faults: map[string]int{}, results: map[string]string{}, handledAtCatchUp: -1}
	b.appender = follower.Appender{
		Stream: "s", Write: b.write, BatchSize: 4, QueueSize: 8,
		Uncertain: func(err error) bool { return !errors.Is(err, errRejected) },
	}
	b.follower = follower.Follower{
		Stream: "s",
		Limit:  3,
		Read:   b.read,
		Handle: func(e follower.Entry) {
			b.addEvent(e.ID)
			b.handled++
			b.appender.Observe(e)
		},
		CaughtUp: func(next int64) {
			if b.handledAtCatchUp < 0 {
				b.handledAtCatchUp = b.handled
			}
			b.appender.CaughtUp(next)
		},
		Gap:                 func(from, first int64) { b.addEvent(fmt.Sprintf("gap(%d,%d)", from, first)) },
		Undecodable:         func(offset int64, _ []byte, _ error) { b.addEvent(fmt.Sprintf("undecodable(%d)", offset)) },
		AvailabilityChanged: func(up bool) { b.addEvent(fmt.Sprintf("up(%v)", up)) },
	}
	return b
}

func (b *fixture) addEvent(e string) { b.events = append(b.events, e) }

// consumeFault uses up one injected fault and reports whether there was one.
func (b *fixture) consumeFault(name string) bool {
	if b.faults[name] == 0 {
		return false
	}
	b.faults[name]--
	return true
}

func (b *fixture) addRecord(data []byte) {
	b.records = append(b.records, follower.Record{Offset: int64(len(b.records)) + 1, Data: data})
	close(b.appended)
	b.appended = make(chan struct{})
}

func (b *fixture) delay(ctx context.Context) error {
	select {
	case <-time.After(b.latency):
		return nil
	case <-ctx.Done():
		return errLost
	}
}

func (b *fixture) write(ctx context.Context, records []json.RawMessage) (int64, error) {
	err := b.delay(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes++
	for _, r := range records {
		if b.down || (b.rejectedID != "" && strings.Contains(string(r), `"`+b.rejectedID+`"`)) {
			return 0, errRejected
		}
	}
	if err != nil || b.consumeFault("lose-requests") {
		return 0, errLost
	}
	if b.consumeFault("late") {
		time.AfterFunc(3*time.Second, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.addRecords(records)
		})
		return 0, errLost
	}
	b.addRecords(records)
	if b.consumeFault("lose-answers") {
		return 0, errLost
	}
	return int64(len(b.records) - len(records) + 1), nil
}

func (b *fixture) addRecords(records []json.RawMessage) {
	for _, r := range records {
		b.addRecord(r)
	}
}

func (b *fixture) read(ctx context.Context, from int64, limit int, wait time.Duration) (follower.Page, error) {
	if b.delay(ctx) != nil {
		return follower.Page{}, errLost
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads++
	if b.down || b.consumeFault("fail-reads") {
		return follower.Page{}, errRejected
	}
	if int64(len(b.records)) < from {
		appended := b.appended
		b.mu.Unlock()
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		b.mu.Lock()
	}
	p := follower.Page{First: b.first, Next: int64(len(b.records)) + 1}
	if from > 1 && b.consumeFault("repeat") {
		from--
	}
	for o := max(from, b.first); o < p.Next && len(p.Records) < limit; o++ {
		if !b.consumeFault("skip") {
			p.Records = append(p.Records, b.records[o-1])
		}
	}
	return p, nil
}

func (b *fixture) run(t *testing.T, s scripter.Script) {
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

func (b *fixture) commands(ctx context.Context) scripter.Commands {
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
				b.addRecords([]json.RawMessage{encodeEnvelope(id)})
			}
		},
		"corrupt": func(data string) { b.addRecord([]byte(data)) },
		"down":    func() { b.down = true },
		"up":      func() { b.down = false },
		"slow":    func(d time.Duration) { b.latency = d },
		"expire":  func(first int64) { b.first = first },
		"forget":  func() { b.records = nil },
		"refuse":  func(id string) { b.rejectedID = id },
		"fault":   func(name string, count int) { b.faults[name] = count },
		"submit": func(deadline time.Duration, ids ...string) {
			for _, id := range ids {
				b.results[id] = "pending"
				go b.submit(id, deadline)
			}
		},
		"reset-writes": func() { b.writes = 0 },

		"events":    func(want ...string) error { return checkEqual(strings.Join(b.events, " "), strings.Join(want, " ")) },
		"result":    func(id, want string) error { return checkEqual(b.results[id], want) },
		"first-end": func(handled int) error { return checkEqual(b.handledAtCatchUp, handled) },
		"count": func(id string, times int) error {
			n := 0
			for _, r := range b.records {
				n += strings.Count(string(r.Data), `"`+id+`"`)
			}
			return checkEqual(n, times)
		},
		"reads-at-most":  func(n int) error { return checkEqual(max(b.reads, n), n) },
		"writes-at-most": func(n int) error { return checkEqual(max(b.writes, n), n) },
	}
}

func checkEqual[T comparable](got, want T) error {
	if got != want {
		return fmt.Errorf("got %v", got)
	}
	return nil
}

func (b *fixture) submit(id string, d time.Duration) {
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

func encodeEnvelope(id string) json.RawMessage {
	b, _ := json.Marshal(follower.Envelope{ID: id, Kind: "k", VM: "v"})
	return b
}

// Without an upper bound the delay would overflow after many failures.
func TestBackoffDoublesToCapWithFullJitter(t *testing.T) {
	is := is.New(t)
	b := follower.Backoff{Base: 100 * time.Millisecond, Cap: time.Second, Random: func() float64 { return 0.5 }}
	for n, ms := range map[int]int64{1: 100, 2: 200, 4: 800, 5: 1000, 1000: 1000} {
		is.Equal(b.Bound(n).Milliseconds(), ms)
		is.Equal(b.Delay(n).Milliseconds(), ms/2) // full jitter
	}
}
