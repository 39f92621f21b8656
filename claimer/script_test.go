package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/claimer"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
)

// TestClaimScripts runs the file "session" of each archive in virtual time.
func TestClaimScripts(t *testing.T) {
	scripter.Archives(t, "testdata/claims/*.txtar", func(t *testing.T, a scripter.Archive) {
		synctest.Test(t, func(t *testing.T) { claimScript(t, a) })
	})
}

func claimScript(t *testing.T, a scripter.Archive) {
	w := newWorld()
	session := a.Script(t, "session")
	session.Session().Play(t, w.commands(), func(line string, do func() error) error {
		fmt.Fprintf(&w.out, "> %s\n", line)
		defer w.settle()
		return do()
	})
	for _, v := range w.vms {
		v.stop()
	}
	is.New(t).Equal(w.out.String(), session.Text)
}

// logMode is how the log treats an append.
type logMode string

const (
	modeUp   logMode = "up"
	modeDown logMode = "down" // nothing is appended
	modeLost logMode = "lost" // the records are appended, the answer is lost
	modeLate logMode = "late" // the answer is lost, the records come at the step "arrive"
)

// entry is a record of the stream and when it was appended.
type entry struct {
	record   claimer.Record // nil when it cannot be decoded
	appended time.Time
}

// world is a stream of the log and the VMs of a script.
type world struct {
	mu      sync.Mutex
	mode    logMode
	first   int64
	records []entry // the one at index i has offset i+1
	late    []claimer.Record
	vms     map[string]*vm
	names   []string
	results []string
	ids     int
	out     strings.Builder
}

// vm is an entry VM.
type vm struct {
	*claimer.Claimer

	next   int64
	paused bool
	stop   context.CancelFunc
}

func newWorld() *world { return &world{mode: modeUp, first: 1, vms: map[string]*vm{}} }

var errNoAnswer = errors.New("no answer")

func (w *world) append(_ context.Context, records []claimer.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.mode {
	case modeUp:
		w.add(records...)
		return nil
	case modeLost:
		w.add(records...)
	case modeLate:
		w.late = append(w.late, records...)
	case modeDown:
	}
	return errNoAnswer
}

func (w *world) add(records ...claimer.Record) {
	for _, r := range records {
		w.records = append(w.records, entry{r, time.Now()})
	}
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("id%d", w.ids)
}

// settle gives all VMs what was appended, until nothing goes on, and prints the
// claims that have ended.
func (w *world) settle() {
	for again := true; again; {
		synctest.Wait()
		again = false
		for _, n := range w.names {
			again = w.vms[n].read(w) || again
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.results)
	for len(w.results) > 0 {
		r := w.results[0]
		rest := slices.DeleteFunc(w.results, func(o string) bool { return o == r })
		times := ""
		if n := len(w.results) - len(rest); n > 1 {
			times = fmt.Sprintf(" (%d times)", n)
		}
		fmt.Fprintf(&w.out, "  %s%s\n", r, times)
		w.results = rest
	}
}

// read feeds a VM what it has not read, and reports whether there was any.
func (v *vm) read(w *world) bool {
	w.mu.Lock()
	first, records := w.first, slices.Clone(w.records)
	w.mu.Unlock()
	if v.paused {
		return false
	}
	fed := false
	if first > v.next {
		v.First(first)
		v.next, fed = first, true
	}
	for ; v.next <= int64(len(records)); v.next++ {
		fed = true
		e := records[v.next-1]
		if e.record == nil {
			v.Skip(v.next)
			continue
		}
		kind, body, err := claimer.EncodeRecord(e.record)
		if err == nil {
			err = v.Read(v.next, e.appended, kind, body)
		}
		if err != nil {
			panic(err)
		}
	}
	v.CaughtUp(v.next)
	return fed
}

// claim starts a claim whose request waits for 5 seconds.
func (w *world) claim(name, key, request string) {
	v := w.vms[name]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := v.Claim(ctx, time.Now(), key, request)
		w.mu.Lock()
		defer w.mu.Unlock()
		text := "granted"
		if err != nil {
			text = err.Error()
		}
		w.results = append(w.results, fmt.Sprintf("%s %s: %s", name, request, text))
	}()
}

// startOfTime is when virtual time begins, in Unix seconds.
const startOfTime = 946684800

// key returns a key minted a number of seconds after the start of time, from
// SECONDS-NAME. Another text is a key as it stands.
func key(s string) string {
	seconds, name, ok := strings.Cut(s, "-")
	n, err := strconv.Atoi(seconds)
	if !ok {
		return s
	}
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("%d-%s-0000000", startOfTime+n, name)
}
