package scheduler_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// TestScripts runs the scripts of testdata: a scheduler, workers and a store in
// virtual time. Every step of time checks that workers hold what fits and that no
// task runs twice.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, s scripter.Script) { s.Play(t, newWorld().commands(), nil) })
}

func (w *world) commands() scripter.Commands {
	c := scripter.Commands{
		"worker": w.addWorker,
		"wave": func(number, most int, machines ...string) {
			w.ordered = append(w.ordered, scheduler.Wave{Number: number, Machines: machines, Cap: most, Duration: time.Minute})
			w.feed(scheduler.WavesChanged{Waves: w.ordered})
		},
		"queue": func(name string, priority, attempts int) {
			w.terms.Queues[name] = scheduler.Queue{Service: "s", Priority: priority, MaxAttempts: attempts, Stretch: 3, ObjectiveMS: 1000}
			w.feed(scheduler.ConfigChanged{Terms: w.terms})
		},
		"queue-of": func(service, name string, priority, attempts int) {
			w.terms.Queues[name] = scheduler.Queue{Service: service, Priority: priority, MaxAttempts: attempts, Stretch: 3, ObjectiveMS: 1000}
			w.feed(scheduler.ConfigChanged{Terms: w.terms})
		},
		"worker-of": w.addTo,
		"pool": func(name string) {
			w.terms.Pools[name] = false
			w.feed(scheduler.ConfigChanged{Terms: w.terms})
		},
		"standby-pool": func(name string) {
			w.terms.Pools[name] = true
			w.feed(scheduler.ConfigChanged{Terms: w.terms})
		},
		"off":       w.switchedOff,
		"fixed":     func(machine string) { w.unmovable[machine] = true },
		"guarantee": func(org string, gpus int) { w.terms.Guaranteed[org] = gpus },
		"job":       w.job,
		"scheduled": func(times int, delay, interval time.Duration, id, queue, organisation string, words ...string) error {
			w.schedule.times, w.schedule.delay, w.schedule.interval = times, delay, interval
			return w.job(id, queue, organisation, words...)
		},
		"advised-queue": func(name string, valid time.Duration) {
			w.valid = valid
			w.terms.Queues[name] = scheduler.Queue{
				Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000, Advice: &scheduler.Advice{DecideMS: 50, PeriodMS: 2},
			}
			w.feed(scheduler.ConfigChanged{Terms: w.terms})
		},
		"allow": func(ids ...string) {
			for _, id := range ids {
				w.allowed[id] = true
			}
		},
		"label": func(id, label string) {
			v := w.workers[id]
			v.info.Labels = append(v.info.Labels, label)
			w.list()
		},
		"cancel": func(id string) { w.feed(scheduler.Cancelled{Job: id}) },
		"lead":   w.lead,
		"lead-without": func(id string) {
			w.late = id
			w.lead()
		},
		"read-late": func() {
			e := w.jobs[w.late]
			e.Progress = w.stored[w.late]
			w.late = ""
			w.feed(e)
		},
		"unsure":     func() { w.unsure = true },
		"sure":       func() { w.unsure = false },
		"cut":        func(id string) { w.cut[id] = true },
		"heal":       func(id string) { delete(w.cut, id) },
		"deafen":     func(id string) { w.deaf[id] = true },
		"undeafen":   func(id string) { delete(w.deaf, id) },
		"fail":       func(id string) { w.workers[id].failing = true },
		"recover":    func(id string) { w.workers[id].failing = false },
		"store-down": func() { w.storeUp = false },
		"store-up":   func() { w.storeUp = true },
		"drain": func(id string) {
			w.workers[id].info.Draining = true
			w.list()
		},
		"drain-for": func(id string, left time.Duration) {
			w.workers[id].info.Draining, w.workers[id].info.Left = true, left
			w.list()
		},
		"delist": func(id string) {
			w.workers[id].inList = false
			w.list()
		},
		"kill": func(id string) {
			v := w.workers[id]
			v.alive = false
			for range v.openHolds {
				w.later(worldStep, scheduler.Held{Worker: id, Sent: w.now, Outcome: scheduler.OutcomeUnknown})
			}
			v.openHolds = nil
		},
		"tail": func(id string, milliseconds, disturbs int) {
			w.workers[id].baseTail, w.workers[id].fillerDelay = milliseconds, disturbs
		},
		"hang":   func(id string) { w.workers[id].stalled = true },
		"unhang": func(id string) { w.workers[id].stalled = false },
		"pause":  func(d time.Duration) { w.paused = w.now.Add(d) },
		"lapse-unseen": func(id string) {
			w.workers[id].inList, w.workers[id].notLapsed = false, true
			w.list()
		},
		"relist": func(id string) {
			w.workers[id].inList, w.workers[id].notLapsed = true, false
			w.list()
		},
		"revive": func(id string) {
			w.revive(id)
			w.list()
		},
		"revive-unseen": w.revive,
		"list":          w.list,
		"after": func(d time.Duration) error {
			for end := w.now.Add(d); w.now.Before(end); {
				if err := w.step(); err != nil {
					return err
				}
			}
			return nil
		},
	}
	w.expectations(c)
	return c
}

func (w *world) expectations(c scripter.Commands) {
	c["runs"] = func(job string, want int) error {
		if n := w.running(job); n != want {
			return fmt.Errorf("%d tasks run", n)
		}
		return nil
	}
	c["started"] = func(job string, want int) error {
		if n := w.starts[job]; n != want {
			return fmt.Errorf("it was started %d times", n)
		}
		return nil
	}
	c["state"] = func(job, want string) error {
		if got := w.stored[job].State; string(got) != want {
			return fmt.Errorf("stored state is %q", got)
		}
		return nil
	}
	c["asked"] = func(want int) error {
		if w.asked != want {
			return fmt.Errorf("advice was asked %d times", w.asked)
		}
		return nil
	}
	c["paced-at-most"] = func(most int) error {
		if w.paces > most {
			return fmt.Errorf("paces were changed %d times", w.paces)
		}
		return nil
	}
	c["moved"] = func(want int) error {
		if w.moves != want {
			return fmt.Errorf("%d machines were moved", w.moves)
		}
		return nil
	}
	c["machines-listed"] = func(want int) error {
		if w.listings != want {
			return fmt.Errorf("machines were listed %d times", w.listings)
		}
		return nil
	}
	c["wave-over"] = func(number int) error {
		if !w.waves[number].Over {
			return fmt.Errorf("wave is %+v", w.waves[number])
		}
		return nil
	}
	c["most-down"] = func(want int) error {
		if w.mostDown != want {
			return fmt.Errorf("%d machines were down at once", w.mostDown)
		}
		return nil
	}
	c["cut-off"] = func(want int) error {
		if w.wasted != want {
			return fmt.Errorf("%d runs were cut off", w.wasted)
		}
		return nil
	}
	c["at"] = func(worker string, want int) error {
		if n := len(w.workers[worker].runs); n != want {
			return fmt.Errorf("%d tasks run there", n)
		}
		return nil
	}
	c["unacknowledged"] = func(worker string, want int) error {
		if n := len(w.workers[worker].ends); n != want {
			return fmt.Errorf("%d ends are kept there", n)
		}
		return nil
	}
}

// job submits a job: "job ID QUEUE ORGANISATION TASKS GPUS SECONDS [option ...]".
// A word "/" begins another step, which depends on the one before.
func (w *world) job(id, queue, organisation string, words ...string) error {
	e := scheduler.Submitted{
		Job:    scheduler.Job{ID: id, Queue: queue, Organisation: organisation, AcceptedMS: w.now.UnixMilli(), Terms: w.terms.Queues[queue]},
		Offset: int64(len(w.jobs)),
	}
	w.secs[id] = nil
	for i, step := range strings.Split(strings.Join(words, " "), " / ") {
		f := strings.Fields(step)
		var n [3]int
		for k := range n {
			v, err := strconv.Atoi(f[k])
			if err != nil {
				return err
			}
			n[k] = v
		}
		s := scheduler.Step{
			Tasks: n[0], Need: placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: n[1]},
			EstimateMS: 1000 * n[2],
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		for _, o := range f[3:] {
			switch o {
			case "gang":
				s.Gang = true
			case "longer": // than declared
				n[2] *= 200
			case "rack":
				s.SameRack = true
			case "checkpoints":
				s.Checkpoints = true
			case "apart":
				s.PerWorker = 1
			case "lasts":
				s.Lasts = true
			case "serves":
				s.Lasts, s.Serves, s.TargetMS = true, true, tailTarget
			case "fills":
				s.Fills = true
			case "copies":
				s.Speculative = true
			case "labelled":
				s.Label = "special"
			case "data-r2":
				s.DataRack = "r2"
			default:
				return fmt.Errorf("option %q is not known", o)
			}
		}
		e.Job.Steps = append(e.Job.Steps, s)
		w.secs[id] = append(w.secs[id], time.Duration(n[2])*time.Second)
	}
	if w.schedule.times > 0 {
		e.Job.Times, e.Job.IntervalMS = w.schedule.times, w.schedule.interval.Milliseconds()
		e.Job.FirstMS = w.now.Add(w.schedule.delay).UnixMilli()
		w.schedule.times = 0
	}
	w.jobs[id] = e
	w.feed(e)
	return nil
}
