package leaser_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// TestScripts runs the scripts of testdata: workers and renewing VMs in virtual
// time. "! " before a command says that the worker refuses, "fenced " that it is
// fenced off.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, s scripter.Script) { s.Play(t, newWorld().commands(), nil) })
}

// world is a set of workers and VMs.
type world struct {
	now     time.Time
	workers map[string]leaser.Table
	vms     map[string]*vm
	names   []string // of VMs, in the order in which they act
	away    map[string]bool
	cut     map[string]bool // "FROM>TO"
	token   leaser.Token
}

// vm is a renewing VM.
type vm struct {
	live     []string
	readings map[string]leaser.Reading
	told     map[string]leaser.Told
}

func newWorld() *world {
	return &world{
		now:     time.Unix(1_000_000, 0),
		workers: map[string]leaser.Table{}, vms: map[string]*vm{}, away: map[string]bool{}, cut: map[string]bool{},
	}
}

func (w *world) commands() scripter.Commands {
	c := scripter.Commands{
		"worker": func(name string, n int) {
			w.workers[name] = leaser.Table{Worker: name, Capacity: placer.Resources{Accelerators: n}}
		},
		"vms": func(names ...string) {
			w.names = names
			for _, n := range names {
				w.vms[n] = &vm{live: names, readings: map[string]leaser.Reading{}, told: map[string]leaser.Told{}}
			}
		},
		"believe": func(vm string, live ...string) { w.vms[vm].live = live },
		"leader": func(epoch, holder string) error {
			_, err := fmt.Sscanf(epoch, "%d.%d", &w.token.Epoch.Term, &w.token.Epoch.SubTerm)
			w.token.Holder = holder
			return err
		},
		"freeze": func(vm string) { w.away[vm] = true },
		"thaw":   func(vm string) { delete(w.away, vm) },
		"pause":  func(worker string) { w.away[worker] = true },
		"resume": func(worker string) { delete(w.away, worker) },
		"cut":    func(from, to string) { w.cut[from+">"+to] = true },
		"pass":   w.pass,
		"free":   func(worker string, n int) error { return want(w.workers[worker].Free().Accelerators, n) },
		"fence": func(worker string) error {
			return w.change(worker, func(t leaser.Table) (leaser.Table, error) { return t.Fence(w.now, w.token) })
		},
	}
	w.leaseCommands(c)
	c["!"] = func(words ...string) error { return refused(c.Do(words), false) }
	c["fenced"] = func(words ...string) error { return refused(c.Do(words), true) }
	return c
}

// leaseCommands adds the commands about one lease: WORKER JOB/ATTEMPT/TASK ...
func (w *world) leaseCommands(c scripter.Commands) {
	for name, f := range map[string]func(leaser.Table, leaser.ID) (leaser.Table, error){
		"start":      func(t leaser.Table, id leaser.ID) (leaser.Table, error) { return t.Start(w.now, w.token, id) },
		"checkpoint": func(t leaser.Table, id leaser.ID) (leaser.Table, error) { return t.Checkpoint(w.now, w.token, id) },
		"throttle":   func(t leaser.Table, id leaser.ID) (leaser.Table, error) { return t.Throttle(w.now, w.token, id) },
		"stop":       func(t leaser.Table, id leaser.ID) (leaser.Table, error) { return t.Stop(w.now, w.token, id) },
		"succeed": func(t leaser.Table, id leaser.ID) (leaser.Table, error) {
			return t.End(w.now, id, leaser.StateSucceeded, "")
		},
		"renew": func(t leaser.Table, id leaser.ID) (leaser.Table, error) {
			return t.Renew(w.now, time.Hour, []leaser.ID{id}), nil
		},
		"acknowledge": func(t leaser.Table, id leaser.ID) (leaser.Table, error) {
			return t.Acknowledge(w.now, []leaser.ID{id}), nil
		},
	} {
		c[name] = func(worker, id string) error {
			return w.change(worker, func(t leaser.Table) (leaser.Table, error) { return f(t, leaseID(id)) })
		}
	}
	c["prepare"] = func(worker, id string, size, accelerators int) error {
		l := leaser.Lease{ID: leaseID(id), Checkpointable: true, GangSize: size, Resources: placer.Resources{Accelerators: accelerators}}
		return w.change(worker, func(t leaser.Table) (leaser.Table, error) { return t.Prepare(w.now, w.token, l) })
	}
	c["state"] = func(worker, id, state string) error {
		return want(stateOf(w.workers[worker].Inventory(w.now), leaseID(id)), state)
	}
}

// change gives a worker the table that f makes of its own, also when f fails.
func (w *world) change(worker string, f func(leaser.Table) (leaser.Table, error)) error {
	t, err := f(w.workers[worker])
	w.workers[worker] = t
	return err
}

// refused wants the error of a command that a worker refused, fenced off or not.
func refused(err error, fenced bool) error {
	var u *scripter.UsageError
	var f *leaser.FencedError
	if err == nil || errors.As(err, &u) || errors.As(err, &f) != fenced {
		return fmt.Errorf("not refused so: %w", err)
	}
	return nil
}

func leaseID(s string) leaser.ID {
	var id leaser.ID
	f := strings.Split(s, "/")
	id.Job = f[0]
	id.Attempt, _ = strconv.Atoi(f[1])
	id.Task, _ = strconv.Atoi(f[2])
	return id
}

func want[T comparable](got, want T) error {
	if got != want {
		return fmt.Errorf("got %v, want %v", got, want)
	}
	return nil
}

func stateOf(i leaser.Inventory, id leaser.ID) string {
	for _, l := range i.Leases {
		if l.ID == id {
			return string(l.State)
		}
	}
	return "none"
}

// pass lets time go by: each VM acts once a second, one after the other.
func (w *world) pass(d time.Duration) {
	step := time.Second / time.Duration(max(1, len(w.names)))
	for end := w.now.Add(d); w.now.Before(end); {
		for _, n := range w.names {
			if !w.away[n] {
				w.beat(n)
			}
			w.now = w.now.Add(step)
		}
	}
	for n, t := range w.workers {
		if !w.away[n] {
			w.workers[n], _ = t.Lapse(w.now)
		}
	}
}

// beat renews the leases of a VM's workers, and tells the others its counts.
func (w *world) beat(name string) {
	v := w.vms[name]
	for n := range w.workers {
		if leaser.Owner(n, v.live) != name || w.away[n] || w.cut[name+">"+n] {
			continue
		}
		i := w.workers[n].Inventory(w.now)
		told := []leaser.Told{{VM: name, At: w.now, Gangs: leaser.Counts(w.now, v.list())}}
		for _, o := range v.told {
			told = append(told, o)
		}
		w.workers[n] = w.workers[n].Renew(w.now, leaser.TTL, leaser.Renewals(w.now, i, told))
		v.readings[n] = leaser.Reading{At: w.now, Inventory: i}
	}
	for _, n := range w.names {
		if n != name && !w.cut[name+">"+n] {
			w.vms[n].told[name] = leaser.Told{VM: name, At: w.now, Gangs: leaser.Counts(w.now, v.list())}
		}
	}
}

// list returns the readings in an order.
func (v *vm) list() []leaser.Reading {
	var r []leaser.Reading
	for _, x := range v.readings {
		r = append(r, x)
	}
	slices.SortFunc(r, func(a, b leaser.Reading) int { return strings.Compare(a.Inventory.Worker, b.Inventory.Worker) })
	return r
}
