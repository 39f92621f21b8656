package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

var (
	errConnectionReset = errors.New("connection reset")
	errLogDown         = errors.New("log is down")
)

// fakeCluster is a log with its VMs and the faults of a script. Time is counted in
// calls of wait; each lasts a second.
type fakeCluster struct {
	state         publisher.State
	offset        int64
	ticks         int
	deadlineTicks int            // ticks until the deadline
	faults        map[string]int // by name, with the tick at which each ends
	pending       []publisher.Record
	sentChanges   int // number of changes that were sent
	out           strings.Builder
}

func (s *fakeCluster) apply(r publisher.Record) {
	s.offset++
	s.state, _ = publisher.Apply(s.state, s.offset, r)
}

// faultActive reports whether the script sets a fault that has not ended yet.
func (s *fakeCluster) faultActive(name string) bool {
	n, ok := s.faults[name]
	return ok && s.ticks < n
}

func (s *fakeCluster) append(_ context.Context, c publisher.Change) error {
	s.sentChanges++
	if s.faultActive("rival") {
		s.apply(publisher.Change{ID: "rival", Publisher: "etiquetar", Files: c.Files})
	}
	switch {
	case s.faultActive("append-refused"):
		return fmt.Errorf("%w: key", publisher.ErrNotAppended)
	case s.faultActive("append-dropped"):
		return errConnectionReset
	case s.faultActive("append-late"):
		s.pending = append(s.pending, c)
		return errConnectionReset
	}
	s.apply(c)
	if s.faultActive("append-lost") {
		return errConnectionReset
	}
	return nil
}

func (s *fakeCluster) withdraw(_ context.Context, id string) error {
	if s.faultActive("withdraw-dropped") {
		return errLogDown
	}
	s.apply(publisher.Withdrawal{ID: id})
	return errConnectionReset
}

func (s *fakeCluster) read(context.Context) (publisher.State, error) {
	if s.sentChanges > 0 && s.faultActive("read-down") || s.faultActive("first-read-down") {
		return publisher.State{}, errLogDown
	}
	if s.faultActive("read-refused") {
		return publisher.State{}, publisher.ErrRefused
	}
	return s.state, nil
}

// revisions returns the current revision for VM a, and for VM b 0 while the fault
// "vm-behind" is active.
func (s *fakeCluster) revisions(context.Context) ([]publisher.VMRevision, error) {
	if s.faultActive("revisions-down") {
		return nil, errLogDown
	}
	vms := []publisher.VMRevision{{VM: "a", Revision: s.state.Revision()}, {VM: "b"}}
	if !s.faultActive("vm-behind") {
		vms[1].Revision = s.state.Revision()
	}
	return vms, nil
}

func (s *fakeCluster) wait(context.Context) error {
	s.ticks++
	if s.ticks >= s.deadlineTicks {
		return context.DeadlineExceeded
	}
	if !s.faultActive("append-late") {
		for _, r := range s.pending {
			s.apply(r)
		}
		s.pending = nil
	}
	return nil
}

func (s *fakeCluster) publisher() *publisher.Publisher {
	return &publisher.Publisher{
		Append: s.append, Withdraw: s.withdraw, Read: s.read, Revisions: s.revisions, Wait: s.wait,
		Now: func() time.Time { return time.Unix(int64(s.ticks), 0) },
		NewID: func() string {
			if s.sentChanges > 0 && s.faultActive("fresh-ids") {
				return fmt.Sprintf("ours-%d", s.sentChanges+1)
			}
			return "ours"
		},
		Report: func(line string) { fmt.Fprintln(&s.out, line) },
	}
}

// TestPublishScripts publishes the .toml files of each archive and compares the
// reported lines with "want". The file "faults" holds the faults, each with the tick at
// which it ends. Files that are in force at the start are in "before/".
func TestPublishScripts(t *testing.T) {
	scripter.Archives(t, "testdata/publish/*.txtar", runPublishScript)
}

func runPublishScript(t *testing.T, a scripter.Archive) {
	is := is.New(t)
	s := fakeCluster{state: publisher.New(), deadlineTicks: 30, faults: map[string]int{}}
	var q publisher.Request
	want := ""
	for _, f := range a.Scripts {
		before, isBefore := strings.CutPrefix(f.Name, "before/")
		switch {
		case f.Name == "want":
			want = f.Text
		case f.Name == "faults":
			parseFaults(f.Text, s.faults)
		case isBefore:
			s.apply(publisher.Change{ID: before, Publisher: "morfa", Files: []publisher.FileChange{{Name: before, Content: f.Text}}})
		default:
			q.Files = append(q.Files, decoder.File{Name: f.Name, Content: f.Text})
		}
	}
	q.DryRun, q.Base = s.faultActive("dry-run"), int64(s.faults["base"])
	r, err := s.publisher().Publish(t.Context(), q)
	fmt.Fprintf(&s.out, "result: revision %d, arrived %v, missing %v, error %v\n", r.Revision, r.Arrived, r.Missing, err)
	v, _ := s.state.Verdict("ours")
	fmt.Fprintf(&s.out, "log: sent %d times, %q, revision %d\n", s.sentChanges, v.Outcome, s.state.Revision())
	is.Equal(s.out.String(), want)
	if v.Outcome == publisher.OutcomeInForce {
		is.True(err == nil || errors.Is(err, publisher.ErrUnknown)) // a change in force is never reported as failed
	}
	if err != nil && !errors.Is(err, publisher.ErrUnknown) {
		for range 60 {
			s.deadlineTicks = 1000
			is.NoErr(s.wait(t.Context()))
		}
		v, _ := s.state.Verdict("ours")
		is.True(v.Outcome != publisher.OutcomeInForce) // a failed change never comes into force later
	}
}

func parseFaults(text string, faults map[string]int) {
	for line := range strings.Lines(text) {
		var name string
		var until int
		if _, err := fmt.Sscan(line, &name, &until); err != nil {
			panic(err)
		}
		faults[name] = until
	}
}
