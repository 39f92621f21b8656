package leaser_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// TestScripts runs the scripts in testdata with workers and renewing VMs in
// virtual time. The prefix "!" expects that the worker refuses the command,
// "fenced" that it refuses the token.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, s scripter.Script) { s.Play(t, newCluster().commands(), nil) })
}

// cluster is a set of workers and VMs.
type cluster struct {
	now     time.Time
	workers map[string]leaser.Table
	vms     map[string]*vm
	names   []string        // of VMs, in the order in which they act
	paused  map[string]bool // workers and VMs
	blocked map[string]bool // "FROM>TO"
	token   leaser.Token
}

// vm is a renewing VM.
type vm struct {
	live        []string
	readings    map[string]leaser.Reading
	reports     map[string]leaser.GangReport
	reach       leaser.Reachability
	lastCall    map[string]time.Time
	steady      map[string]bool
	unreachable map[string][]uint32 // unreachable names by VM, own ones included
}

func newCluster() *cluster {
	return &cluster{
		now:     time.Unix(1_000_000, 0),
		workers: map[string]leaser.Table{}, vms: map[string]*vm{}, paused: map[string]bool{}, blocked: map[string]bool{},
	}
}

func (w *cluster) commands() scripter.Commands {
	c := scripter.Commands{
		"worker": func(name string, n int) {
			w.workers[name] = leaser.Table{Worker: name, Capacity: placer.Resources{Accelerators: n}}
		},
		"vms": func(names ...string) {
			w.names = names
			for _, n := range names {
				w.vms[n] = &vm{
					live: names, readings: map[string]leaser.Reading{}, reports: map[string]leaser.GangReport{},
					lastCall: map[string]time.Time{}, steady: map[string]bool{}, unreachable: map[string][]uint32{},
				}
			}
		},
		"believe": func(vm string, live ...string) { w.vms[vm].live = live },
		"leader": func(epoch, holder string) error {
			_, err := fmt.Sscanf(epoch, "%d.%d", &w.token.Epoch.Term, &w.token.Epoch.SubTerm)
			w.token.Holder = holder
			return err
		},
		"freeze": func(vm string) { w.paused[vm] = true },
		"thaw":   func(vm string) { delete(w.paused, vm) },
		"pause":  func(worker string) { w.paused[worker] = true },
		"resume": func(worker string) { delete(w.paused, worker) },
		"cut":    func(from, to string) { w.blocked[from+">"+to] = true },
		"join":   func(from, to string) { delete(w.blocked, from+">"+to) },
		"renews": func(vm, worker string) error {
			return expectEqual(w.now.Sub(w.vms[vm].readings[worker].At) <= leaser.MaxCountAge, true)
		},
		"pass": w.advance,
		"free": func(worker string, n int) error { return expectEqual(w.workers[worker].Free().Accelerators, n) },
		"fence": func(worker string) error {
			return w.update(worker, func(t leaser.Table) (leaser.Table, error) { return t.Fence(w.now, w.token) })
		},
	}
	w.leaseCommands(c)
	c["!"] = func(words ...string) error { return expectRefusal(c.Do(words), false) }
	c["fenced"] = func(words ...string) error { return expectRefusal(c.Do(words), true) }
	return c
}

// leaseCommands adds the commands on one lease: WORKER JOB/ATTEMPT/TASK ...
func (w *cluster) leaseCommands(c scripter.Commands) {
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
			return w.update(worker, func(t leaser.Table) (leaser.Table, error) { return f(t, leaseID(id)) })
		}
	}
	c["prepare"] = func(worker, id string, size, accelerators int) error {
		l := leaser.Lease{ID: leaseID(id), Checkpointable: true, GangSize: size, Resources: placer.Resources{Accelerators: accelerators}}
		return w.update(worker, func(t leaser.Table) (leaser.Table, error) { return t.Prepare(w.now, w.token, l) })
	}
	c["state"] = func(worker, id, state string) error {
		return expectEqual(stateOf(w.workers[worker].Inventory(w.now), leaseID(id)), state)
	}
}

// update replaces the table of a worker by the result of f, also if f fails.
func (w *cluster) update(worker string, f func(leaser.Table) (leaser.Table, error)) error {
	t, err := f(w.workers[worker])
	w.workers[worker] = t
	return err
}

// expectRefusal expects the error of a refused command, with or without a
// FencedError.
func expectRefusal(err error, fenced bool) error {
	var u *scripter.UsageError
	var f *leaser.FencedError
	if err == nil || errors.As(err, &u) || errors.As(err, &f) != fenced {
		return fmt.Errorf("not refused as expected: %w", err)
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

func expectEqual[T comparable](got, want T) error {
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

// advance advances the time by d; each VM acts once a second, in turn.
func (w *cluster) advance(d time.Duration) {
	step := time.Second / time.Duration(max(1, len(w.names)))
	for end := w.now.Add(d); w.now.Before(end); {
		for _, n := range w.names {
			if !w.paused[n] {
				w.renewWorkers(n)
			}
			w.now = w.now.Add(step)
		}
	}
	for n, t := range w.workers {
		if !w.paused[n] {
			w.workers[n], _ = t.Expire(w.now)
		}
	}
}

// renewWorkers renews the leases of a VM's workers, and sends its counts to the
// other VMs.
func (w *cluster) renewWorkers(name string) {
	v := w.vms[name]
	locations := w.locations()
	v.unreachable[name] = v.reach.Unreachable(locations)
	for _, p := range locations {
		n := p.Worker
		if leaser.Renewer(p, v.live, v.unreachable) != name && !v.reach.Retry(w.now, n) {
			delete(v.readings, n)
			continue
		}
		interval := leaser.CallInterval
		if v.steady[n] {
			interval = leaser.SteadyInterval
		}
		if !leaser.CallDue(w.now, v.lastCall[n], n, interval) {
			continue
		}
		v.lastCall[n], v.steady[n] = w.now, false
		if w.paused[n] || w.blocked[name+">"+n] {
			v.reach = v.reach.WithFailure(w.now, n, !v.readings[n].At.IsZero())
			continue
		}
		v.reach = v.reach.WithAnswer(n)
		i := w.workers[n].Inventory(w.now).WithMark()
		v.steady[n] = i.Steady() && i.Mark == v.readings[n].Inventory.Mark
		reports := []leaser.GangReport{{VM: name, At: w.now, Gangs: leaser.Counts(w.now, v.sortedReadings())}}
		for _, o := range v.reports {
			reports = append(reports, o)
		}
		w.workers[n] = w.workers[n].Renew(w.now, leaser.TTL, leaser.Renewals(w.now, i, reports))
		v.readings[n] = leaser.Reading{At: w.now, Inventory: i}
	}
	for _, n := range w.names {
		if n != name && !w.blocked[name+">"+n] {
			w.vms[n].reports[name] = leaser.GangReport{VM: name, At: w.now, Gangs: leaser.Counts(w.now, v.sortedReadings())}
			w.vms[n].unreachable[name] = v.reach.Unreachable(locations)
		}
	}
}

// locations returns the workers, sorted, each in a rack of its own.
func (w *cluster) locations() []leaser.WorkerLocation {
	var p []leaser.WorkerLocation
	for _, n := range slices.Sorted(maps.Keys(w.workers)) {
		p = append(p, leaser.WorkerLocation{Worker: n, Rack: n})
	}
	return p
}

// sortedReadings returns the readings sorted by worker.
func (v *vm) sortedReadings() []leaser.Reading {
	var r []leaser.Reading
	for _, x := range v.readings {
		r = append(r, x)
	}
	slices.SortFunc(r, func(a, b leaser.Reading) int { return strings.Compare(a.Inventory.Worker, b.Inventory.Worker) })
	return r
}
