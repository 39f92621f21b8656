package reducer_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105") // the same verdict every run; the command line may set another
	_ = flag.Set("rapid.checks", "30")
	flag.Parse()
	os.Exit(m.Run())
}

// TestScripts runs the scenarios in testdata. Each archive has one file named
// "script" with a command a line; the commands are the cases of script.do.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range a.Files {
				runScript(t, s.Name, string(s.Data))
			}
		})
	}
}

func runScript(t *testing.T, name, text string) {
	s := &script{world: newWorld(3, 1)}
	for n, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		err := s.do(words)
		if err == nil && len(s.broken) > 0 {
			err = fmt.Errorf("%s", s.broken[0])
		}
		if err != nil {
			t.Fatalf("%s:%d: %s: %v", name, n+1, line, err)
		}
	}
}

type script struct {
	*world

	err error // of the last submit
}

func (s *script) do(words []string) error {
	verb, args := words[0], words[1:]
	if k, ok := workerVerbs[verb]; ok {
		k(s.world, s.worker(args[0]))
		return nil
	}
	switch verb {
	case "worker": // ID RACK ACCELERATORS
		s.addWorker(args[0], args[1], number(args[2]))
	case "organisation": // NAME [key=value ...]
		s.organisation(args)
	case "submit": // ID ORGANISATION [key=value ...]
		s.err = s.submit(job(args))
	case "wave": // COUNT ID ORGANISATION [key=value ...]
		for n := range number(args[0]) {
			j := job(args[1:])
			j.ID = fmt.Sprintf("%s%d", j.ID, n)
			s.err = errors.Join(s.err, s.submit(j))
		}
	case "force": // ID ORGANISATION [key=value ...]: into the log without being validated
		j := job(args)
		s.append(reducer.AppendRecord{Record: reducer.JobAccepted{Job: j, Accepted: s.now}}, func(reducer.Event) {})
	case "expire": // AGE
		s.expire(duration(args[0]))
	case "cancel":
		s.append(reducer.AppendRecord{Record: reducer.JobCancelled{
			Job: args[0], Organisation: s.status(args[0]).Job.Organisation,
		}}, func(reducer.Event) {})
	case "advance":
		s.run(duration(args[0]))
	case "log-down":
		s.logDown = true
	case "log-up":
		s.logDown = false
	case "lose-append-answers":
		s.loseAnswers = number(args[0])
	case "lose-command": // WORKER KIND TIMES
		s.worker(args[0]).lost[reducer.CommandKind(args[1])] = number(args[2])
	case "lose-answer": // WORKER KIND TIMES
		s.worker(args[0]).unheard[reducer.CommandKind(args[1])] = number(args[2])
	case "kill-vm":
		s.vm(args[0]).alive = false
	case "start-vm":
		s.boot(s.vm(args[0]))
	case "cut-from": // WORKER VM
		s.worker(args[0]).cutFrom = s.vm(args[1]).id
	case "pause":
		s.vm(args[0]).paused = true
	case "resume":
		s.resume(s.vm(args[0]))
	case "expect":
		return s.expect(args)
	default:
		return fmt.Errorf("unknown command %q", verb)
	}
	return nil
}

var workerVerbs = map[string]func(*world, *fakeWorker){
	"worker-fail":   func(_ *world, k *fakeWorker) { k.failing = true },
	"worker-sound":  func(_ *world, k *fakeWorker) { k.failing = false },
	"worker-down":   func(_ *world, k *fakeWorker) { k.down = true },
	"worker-up":     func(w *world, k *fakeWorker) { w.restartWorker(k) },
	"worker-cut":    func(_ *world, k *fakeWorker) { k.cut = true },
	"worker-join":   func(_ *world, k *fakeWorker) { k.cut = false },
	"worker-pause":  func(_ *world, k *fakeWorker) { k.paused = true },
	"worker-resume": func(_ *world, k *fakeWorker) { k.paused = false },
	"worker-ignore": func(_ *world, k *fakeWorker) { k.ignoring = true },
	"worker-shrink": func(_ *world, k *fakeWorker) { k.table.Capacity.Accelerators /= 2 },
	"worker-leave":  func(w *world, k *fakeWorker) { k.leaving = true; w.listed++ },
}

// vm returns a VM by its name, or the one that leads.
func (s *script) vm(name string) *vm {
	if name == "leader" {
		return s.leader()
	}
	for _, v := range s.vms {
		if v.id == name {
			return v
		}
	}
	panic("no VM " + name)
}

func (s *script) organisation(args []string) {
	o := decoder.Organisation{Name: args[0], Weight: 1}
	g := decoder.Guarantee{Name: "block", Adjacency: placer.AdjacencyWorker, ReclaimBound: 30 * time.Second, Grace: 10 * time.Second}
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "weight":
			o.Weight = number(v)
		case "blocks":
			g.Blocks = number(v)
		case "block":
			g.Block = placer.Resources{MilliCores: 4000 * number(v), MemoryMB: 16000 * number(v), Accelerators: number(v)}
		case "adjacency":
			g.Adjacency = placer.Adjacency(v)
		case "hours":
			from, to, _ := strings.Cut(v, "-")
			g.From, g.To = duration(from), duration(to)
		case "zone":
			g.Location, _ = time.LoadLocation(v)
		case "quota":
			o.Teams = []decoder.Team{{Name: "team", Quota: placer.Resources{Accelerators: number(v)}}}
		}
	}
	if g.Blocks > 0 {
		o.Guarantees = []decoder.Guarantee{g}
	}
	c := s.config
	c.Revision++
	c.Organisations = append(slices.Clone(c.Organisations), o)
	c.Services = append(slices.Clone(c.Services), decoder.Service{Name: "service", Organisation: o.Name})
	s.config = c
	for _, v := range s.vms {
		s.feed(v, reducer.ConfigChanged{Config: c})
	}
}

func job(args []string) reducer.Job {
	j := reducer.Job{
		ID: args[0], Organisation: args[1], Service: "service", Class: reducer.ClassBatch,
		Gang: placer.Request{
			Tasks: 1, Adjacency: placer.AdjacencyNone,
			PerTask: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1},
		},
		DeclaredRun: time.Hour,
	}
	run, marks := "", ""
	for _, a := range args[2:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "real": // how long it runs, when that isn't what is declared
			run = v
		case "fail":
			marks += " fail"
		case "tasks":
			j.Gang.Tasks = number(v)
		case "accelerators":
			j.Gang.PerTask.Accelerators = number(v)
		case "adjacency":
			j.Gang.Adjacency = placer.Adjacency(v)
		case "run":
			j.DeclaredRun = duration(v)
		case "urgent":
			j.Class = reducer.ClassUrgent
		case "checkpointable":
			j.Checkpointable = true
		case "non-idempotent":
			j.NonIdempotent = true
			marks += " once"
		case "team":
			j.Team = v
		case "deadline": // RFC 3339; scripts begin at 2026-01-05T12:00:00Z
			j.Deadline, _ = time.Parse(time.RFC3339, v)
		}
	}
	if run == "" {
		run = j.DeclaredRun.String()
	}
	j.Payload = run + marks
	return j
}

// expect checks a fact: "phase JOB PHASE [OUTCOME]", "attempt JOB N", "starts TASK
// N", "why JOB PATTERN", "on JOB WORKER...", "leader VM", "within JOB DURATION",
// "error PATTERN".
func (s *script) expect(args []string) error {
	got, want := "", strings.Join(args[min(2, len(args)):], " ")
	switch args[0] {
	case "phase":
		v := s.status(args[1])
		got = strings.TrimSpace(fmt.Sprint(v.Phase, " ", v.Outcome))
	case "attempt":
		got = strconv.Itoa(s.status(args[1]).Attempt)
	case "starts":
		got = strconv.Itoa(s.starts[args[1]])
	case "on":
		got = strings.Join(s.status(args[1]).Workers, " ")
	case "why":
		if s.leader() == nil {
			return errors.New("nobody leads")
		}
		return match(want, s.leader().state.Why(s.now, args[1]))
	case "error":
		return match(strings.Join(args[1:], " "), fmt.Sprint(s.err))
	case "leader":
		want = args[1]
		if v := s.leader(); v != nil {
			got = v.id
		}
	case "within":
		v := s.status(args[1])
		if d := v.Started.Sub(s.accepted[args[1]]); v.Phase == reducer.PhaseRunning && d <= duration(args[2]) {
			return nil
		}
		return fmt.Errorf("%s since %s, accepted %s", v.Phase, v.Started, s.accepted[args[1]])
	default:
		return fmt.Errorf("unknown expectation %q", args[0])
	}
	if got != want {
		return fmt.Errorf("got %q", got)
	}
	return nil
}

func match(pattern, text string) error {
	if !regexp.MustCompile(pattern).MatchString(text) {
		return fmt.Errorf("got %q", text)
	}
	return nil
}

func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

func duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}
