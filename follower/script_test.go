package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/follower"
)

// TestScripts runs the scripts of testdata: a log that fails, a follower and an
// appender of one stream, in virtual time.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, f := range files {
		b, err := os.ReadFile(f)
		is.New(t).NoErr(err)
		for _, c := range txtar.Parse(b).Files {
			t.Run(filepath.Base(f)+"/"+c.Name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { newBench(t).run(string(c.Data)) })
			})
		}
	}
}

var (
	errRefused = errors.New("refused") // surely without effect
	errLost    = errors.New("lost")
)

// bench is a log in memory with a follower and an appender.
type bench struct {
	t        *testing.T
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

func newBench(t *testing.T) *bench {
	b := &bench{t: t, first: 1, grown: make(chan struct{}), counts: map[string]int{}, results: map[string]string{}, firstEnd: -1}
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

func (b *bench) run(script string) {
	ctx, cancel := context.WithCancel(b.t.Context())
	defer synctest.Wait()
	defer cancel()
	b.stop = cancel
	for n, line := range strings.Split(script, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		if f[0] == "pass" { // DURATION
			d, err := time.ParseDuration(f[1])
			is.New(b.t).NoErr(err)
			time.Sleep(d)
			continue
		}
		synctest.Wait()
		b.mu.Lock()
		err := b.do(ctx, f[0], f[1:])
		b.mu.Unlock()
		if err != nil {
			b.t.Fatalf("line %d: %s: %v", n+1, line, err)
		}
	}
}

// do runs one command.
func (b *bench) do(ctx context.Context, name string, a []string) error {
	switch name {
	case "start":
		go b.follower.Run(ctx)
		go b.appender.Run(ctx)
	case "stop":
		b.stop()
	case "from":
		b.follower.From = int64(number(a[0]))
	case "appended": // ID...
		for _, id := range a {
			b.addAll([]json.RawMessage{encode(id)})
		}
	case "corrupt": // DATA
		b.add([]byte(a[0]))
	case "down", "up":
		b.down = name == "down"
	case "slow": // DURATION
		b.slow, _ = time.ParseDuration(a[0])
	case "expire": // FIRST
		b.first = int64(number(a[0]))
	case "forget":
		b.records = nil
	case "refuse": // ID
		b.refuse = a[0]
	case "fault": // NAME COUNT
		b.counts[a[0]] = number(a[1])
	case "submit": // DEADLINE ID...
		d, err := time.ParseDuration(a[0])
		for _, id := range a[1:] {
			b.results[id] = "pending"
			go b.submit(id, d)
		}
		return err
	case "reset-writes":
		b.writes = 0
	default:
		return b.check(name, a)
	}
	return nil
}

// check compares what was seen with what is wanted.
func (b *bench) check(name string, a []string) error {
	var got string
	switch name {
	case "events": // EVENT...
		got = strings.Join(b.events, " ")
	case "result": // ID RESULT
		got = a[0] + " " + b.results[a[0]]
	case "first-end": // COUNT
		got = strconv.Itoa(b.firstEnd)
	case "count": // ID TIMES
		n := 0
		for _, r := range b.records {
			n += strings.Count(string(r.Data), `"`+a[0]+`"`)
		}
		got = fmt.Sprintf("%s %d", a[0], n)
	case "reads-at-most": // COUNT
		if b.reads <= number(a[0]) {
			return nil
		}
		got = strconv.Itoa(b.reads)
	case "writes-at-most": // COUNT
		if b.writes <= number(a[0]) {
			return nil
		}
		got = strconv.Itoa(b.writes)
	default:
		return errors.New("unknown command")
	}
	if got != strings.Join(a, " ") {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func (b *bench) submit(id string, d time.Duration) {
	c, cancel := context.WithTimeout(b.t.Context(), d)
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

func number(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := follower.Backoff{Base: 100 * time.Millisecond, Cap: time.Second, Random: func() float64 { return 0.5 }}
	for n, ms := range map[int]int64{1: 100, 2: 200, 4: 800, 5: 1000, 1000: 1000} {
		is.Equal(b.Bound(n).Milliseconds(), ms)
		is.Equal(b.Delay(n).Milliseconds(), ms/2) // full jitter
	}
}
