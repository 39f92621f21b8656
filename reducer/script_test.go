package reducer_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105") // the same result in every run; the command line may override it
	_ = flag.Set("rapid.checks", "30")
	flag.Parse()
	os.Exit(m.Run())
}

// TestScripts runs the scenarios in testdata.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, text scripter.Script) {
		s := &script{cluster: newCluster(3, 1)}
		text.Play(t, s.commands(), func(_ string, do func() error) error {
			err := do()
			if err == nil && len(s.violations) > 0 {
				err = errors.New(s.violations[0])
			}
			return err
		})
	})
}

type script struct {
	*cluster

	err error // of the last submit or late-command
}

func (s *script) commands() scripter.Commands {
	c := scripter.Commands{
		"worker":       s.addWorker,
		"organisation": func(name string, options ...string) { s.organisation(append([]string{name}, options...)) },
		"submit": func(id, organisation string, options ...string) {
			s.err = s.submit(job(append([]string{id, organisation}, options...)))
		},
		"wave": func(count int, id, organisation string, options ...string) {
			for n := range count {
				j := job(append([]string{id, organisation}, options...))
				j.ID = fmt.Sprintf("%s%d", j.ID, n)
				s.err = errors.Join(s.err, s.submit(j))
			}
		},
		"force": func(id, organisation string, options ...string) { // append without validation
			j := job(append([]string{id, organisation}, options...))
			s.append(reducer.AppendRecord{Record: reducer.JobAccepted{Job: j, Accepted: s.now}}, func(reducer.Event) {})
		},
		"expire": s.expire,
		"cancel": func(id string) {
			s.append(reducer.AppendRecord{Record: reducer.JobCancelled{
				Job: id, Organisation: s.status(id).Job.Organisation,
			}}, func(reducer.Event) {})
		},
		"advance":             s.run,
		"log-down":            func() { s.logDown = true },
		"log-up":              func() { s.logDown = false },
		"lose-append-answers": func(times int) { s.lostAppendAnswers = times },
		"lose-command": func(worker string, k reducer.CommandKind, times int) {
			s.worker(worker).lostCommands[k] = times
		},
		"lose-answer": func(worker string, k reducer.CommandKind, times int) {
			s.worker(worker).lostAnswers[k] = times
		},
		"late-command": func(worker string) {
			k, v := s.worker(worker), s.leader()
			k.table, s.err = k.table.Fence(s.now, leaser.Token{Epoch: v.state.Epoch(), Holder: v.id})
		},
		"kill-vm":  func(name string) { s.vm(name).alive = false },
		"start-vm": func(name string) { s.startVM(s.vm(name)) },
		"cut-from": func(worker, vm string) { s.worker(worker).unreachableFrom = s.vm(vm).id },
		"pause":    func(name string) { s.vm(name).paused = true },
		"resume":   func(name string) { s.resume(s.vm(name)) },
		"expect":   func(what string, words ...string) error { return s.expect(append([]string{what}, words...)) },
	}
	for name, f := range workerCommands {
		c[name] = func(worker string) { f(s.cluster, s.worker(worker)) }
	}
	return c
}

var workerCommands = map[string]func(*cluster, *fakeWorker){
	"worker-fail":   func(_ *cluster, k *fakeWorker) { k.failing = true },
	"worker-sound":  func(_ *cluster, k *fakeWorker) { k.failing = false },
	"worker-down":   func(_ *cluster, k *fakeWorker) { k.down = true },
	"worker-up":     func(w *cluster, k *fakeWorker) { w.restartWorker(k) },
	"worker-cut":    func(_ *cluster, k *fakeWorker) { k.unreachable = true },
	"worker-join":   func(_ *cluster, k *fakeWorker) { k.unreachable = false },
	"worker-pause":  func(_ *cluster, k *fakeWorker) { k.paused = true },
	"worker-resume": func(_ *cluster, k *fakeWorker) { k.paused = false },
	"worker-ignore": func(_ *cluster, k *fakeWorker) { k.ignoresCheckpoints = true },
	"worker-shrink": func(_ *cluster, k *fakeWorker) { k.table.Capacity.Accelerators /= 2 },
	"worker-leave":  func(w *cluster, k *fakeWorker) { k.leaving = true; w.listVersion++ },
}

// vm returns a VM by its name; "leader" is the current leader.
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
	run, suffix := "", ""
	for _, a := range args[2:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "real": // actual run time, if it differs from the declared one
			run = v
		case "fail":
			suffix += " fail"
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
			suffix += " once"
		case "team":
			j.Team = v
		case "deadline": // RFC 3339; scripts begin at 2026-01-05T12:00:00Z
			j.Deadline, _ = time.Parse(time.RFC3339, v)
		}
	}
	if run == "" {
		run = j.DeclaredRun.String()
	}
	j.Payload = run + suffix
	return j
}

// expect checks an expectation: "phase JOB PHASE [OUTCOME]", "attempt JOB N", "starts
// TASK N", "why JOB PATTERN", "on JOB WORKER...", "leader VM", "within JOB DURATION",
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
		got = strconv.Itoa(s.startCount[args[1]])
	case "on":
		got = strings.Join(s.status(args[1]).Workers, " ")
	case "why":
		if s.leader() == nil {
			return errors.New("there is no leader")
		}
		return match(want, s.leader().state.ExplainWait(s.now, args[1]))
	case "error":
		return match(strings.Join(args[1:], " "), fmt.Sprint(s.err))
	case "leader":
		want = args[1]
		if v := s.leader(); v != nil {
			got = v.id
		}
	case "within":
		v := s.status(args[1])
		if d := v.Started.Sub(s.acceptedAt[args[1]]); v.Phase == reducer.PhaseRunning && d <= duration(args[2]) {
			return nil
		}
		return fmt.Errorf("%s since %s, accepted %s", v.Phase, v.Started, s.acceptedAt[args[1]])
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
