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
	errLost = errors.New("connection reset")
	errDown = errors.New("log is down")
)

// service is a log and its VMs, with the faults of a script. Time is the number
// of waits; one lasts a second.
type service struct {
	state    publisher.State
	offset   int64
	waits    int
	limit    int            // waits until the deadline
	faults   map[string]int // by name; the number is a count of waits
	pending  []publisher.Record
	appended int // changes that were sent
	out      strings.Builder
}

func (s *service) apply(r publisher.Record) {
	s.offset++
	s.state, _ = publisher.Apply(s.state, s.offset, r)
}

// has reports whether a fault is asked for and lasts until now.
func (s *service) has(name string) bool {
	n, ok := s.faults[name]
	return ok && s.waits < n
}

func (s *service) append(_ context.Context, c publisher.Change) error {
	s.appended++
	if s.has("rival") {
		s.apply(publisher.Change{ID: "rival", Publisher: "etiquetar", Files: c.Files})
	}
	switch {
	case s.has("append-refused"):
		return fmt.Errorf("%w: key", publisher.ErrNotAppended)
	case s.has("append-dropped"):
		return errLost
	case s.has("append-late"):
		s.pending = append(s.pending, c)
		return errLost
	}
	s.apply(c)
	if s.has("append-lost") {
		return errLost
	}
	return nil
}

func (s *service) withdraw(_ context.Context, id string) error {
	if s.has("withdraw-dropped") {
		return errDown
	}
	s.apply(publisher.Withdrawal{ID: id})
	return errLost
}

func (s *service) read(context.Context) (publisher.State, error) {
	if s.appended > 0 && s.has("read-down") || s.has("first-read-down") {
		return publisher.State{}, errDown
	}
	if s.has("read-refused") {
		return publisher.State{}, publisher.ErrRefused
	}
	return s.state, nil
}

// revisions shows VM a at once, and VM b once it is not behind.
func (s *service) revisions(context.Context) ([]publisher.VMRevision, error) {
	if s.has("revisions-down") {
		return nil, errDown
	}
	vms := []publisher.VMRevision{{VM: "a", Revision: s.state.Revision()}, {VM: "b"}}
	if !s.has("vm-behind") {
		vms[1].Revision = s.state.Revision()
	}
	return vms, nil
}

func (s *service) wait(context.Context) error {
	s.waits++
	if s.waits >= s.limit {
		return context.DeadlineExceeded
	}
	if !s.has("append-late") {
		for _, r := range s.pending {
			s.apply(r)
		}
		s.pending = nil
	}
	return nil
}

func (s *service) publisher() *publisher.Publisher {
	return &publisher.Publisher{
		Append: s.append, Withdraw: s.withdraw, Read: s.read, Revisions: s.revisions, Wait: s.wait,
		Now: func() time.Time { return time.Unix(int64(s.waits), 0) },
		NewID: func() string {
			if s.appended > 0 && s.has("fresh-ids") {
				return fmt.Sprintf("ours-%d", s.appended+1)
			}
			return "ours"
		},
		Report: func(line string) { fmt.Fprintln(&s.out, line) },
	}
}

// TestPublishScripts publishes the .toml files of each script while the faults
// last that the file "faults" names, each until a number of waits, and compares
// what is reported with "want". Files in force before are in "before/".
func TestPublishScripts(t *testing.T) {
	scripter.Archives(t, "testdata/publish/*.txtar", publishScript)
}

func publishScript(t *testing.T, a scripter.Archive) {
	is := is.New(t)
	s := service{state: publisher.New(), limit: 30, faults: map[string]int{}}
	var q publisher.Request
	want := ""
	for _, f := range a.Scripts {
		before, isBefore := strings.CutPrefix(f.Name, "before/")
		switch {
		case f.Name == "want":
			want = f.Text
		case f.Name == "faults":
			readFaults(f.Text, s.faults)
		case isBefore:
			s.apply(publisher.Change{ID: before, Publisher: "morfa", Files: []publisher.FileChange{{Name: before, Content: f.Text}}})
		default:
			q.Files = append(q.Files, decoder.File{Name: f.Name, Content: f.Text})
		}
	}
	q.DryRun, q.Base = s.has("dry-run"), int64(s.faults["base"])
	r, err := s.publisher().Publish(t.Context(), q)
	fmt.Fprintf(&s.out, "result: revision %d, arrived %v, missing %v, error %v\n", r.Revision, r.Arrived, r.Missing, err)
	v, _ := s.state.Verdict("ours")
	fmt.Fprintf(&s.out, "log: sent %d times, %q, revision %d\n", s.appended, v.Outcome, s.state.Revision())
	is.Equal(s.out.String(), want)
	if v.Outcome == publisher.OutcomeInForce {
		is.True(err == nil || errors.Is(err, publisher.ErrUnknown)) // in force is never reported as failed
	}
	if err != nil && !errors.Is(err, publisher.ErrUnknown) {
		for range 60 {
			s.limit = 1000
			is.NoErr(s.wait(t.Context()))
		}
		v, _ := s.state.Verdict("ours")
		is.True(v.Outcome != publisher.OutcomeInForce) // failed is never in force later
	}
}

func readFaults(text string, faults map[string]int) {
	for line := range strings.Lines(text) {
		var name string
		var until int
		if _, err := fmt.Sscan(line, &name, &until); err != nil {
			panic(err)
		}
		faults[name] = until
	}
}
