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

// TestClaimScripts runs the file "session" of each archive in virtual time and
// compares its output.
func TestClaimScripts(t *testing.T) {
	scripter.Archives(t, "testdata/claims/*.txtar", func(t *testing.T, a scripter.Archive) {
		synctest.Test(t, func(t *testing.T) { runClaimScript(t, a) })
	})
}

func runClaimScript(t *testing.T, a scripter.Archive) {
	w := newCluster()
	session := a.Script(t, "session")
	session.Session().Play(t, w.commands(), func(line string, do func() error) error {
		fmt.Fprintf(&w.out, "> %s\n", line)
		defer w.settleAndPrint()
		return do()
	})
	for _, v := range w.vms {
		v.stop()
	}
	is.New(t).Equal(w.out.String(), session.Text)
}

// logMode is how the log handles an append.
type logMode string

const (
	modeUp         logMode = "up"
	modeDown       logMode = "down" // nothing is appended
	modeAnswerLost logMode = "lost" // the records are appended but the answer is lost
	modeDelayed    logMode = "late" // the answer is lost and the records are appended by the command "arrive"
)

// logEntry is a record of the stream with the time it was appended.
type logEntry struct {
	record   claimer.Record // nil when undecodable
	appended time.Time
}

// cluster is one stream of the log and the VMs of a script.
type cluster struct {
	mu      sync.Mutex
	mode    logMode
	first   int64
	records []logEntry // the one at index i has offset i+1
	delayed []claimer.Record
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

func newCluster() *cluster { return &cluster{mode: modeUp, first: 1, vms: map[string]*vm{}} }

var errNoAnswer = errors.New("no answer")

func (w *cluster) append(_ context.Context, records []claimer.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.mode {
	case modeUp:
		w.add(records...)
		return nil
	case modeAnswerLost:
		w.add(records...)
	case modeDelayed:
		w.delayed = append(w.delayed, records...)
	case modeDown:
	}
	return errNoAnswer
}

func (w *cluster) add(records ...claimer.Record) {
	for _, r := range records {
		w.records = append(w.records, logEntry{r, time.Now()})
	}
}

func (w *cluster) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("id%d", w.ids)
}

// settleAndPrint lets all VMs read the stream until there is no more progress, and
// prints the results of the finished claims.
func (w *cluster) settleAndPrint() {
	for progress := true; progress; {
		synctest.Wait()
		progress = false
		for _, n := range w.names {
			progress = w.vms[n].read(w) || progress
			synctest.Wait() // what the VM appends is there before the next one reads
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

// read passes new records to a VM and reports whether there were any.
func (v *vm) read(w *cluster) bool {
	w.mu.Lock()
	first, records := w.first, slices.Clone(w.records)
	w.mu.Unlock()
	if v.paused {
		return false
	}
	progress := false
	if first > v.next {
		v.SetFirstOffset(first)
		v.next, progress = first, true
	}
	for ; v.next <= int64(len(records)); v.next++ {
		progress = true
		e := records[v.next-1]
		if e.record == nil {
			v.SkipUndecodable(v.next)
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
	return progress
}

// claim starts a claim that waits for up to 5 seconds.
func (w *cluster) claim(name, key, request string) {
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

// startSeconds is the start of virtual time in Unix seconds.
const startSeconds = 946684800

// makeKey returns a key from SECONDS-NAME, minted that many seconds after the start
// of virtual time. A text without a dash is returned unchanged.
func makeKey(s string) string {
	seconds, name, ok := strings.Cut(s, "-")
	n, err := strconv.Atoi(seconds)
	if !ok {
		return s
	}
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("%d-%s-0000000", startSeconds+n, name)
}
