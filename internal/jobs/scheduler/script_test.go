package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/internal/scripter"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

// TestScripts runs the scripts of testdata with a scheduler, workers and a store
// in virtual time. After every time step it checks that no worker exceeds its
// capacity and no task runs twice.
func TestScripts(t *testing.T) {
	scripter.Scripts(t, "testdata/*.txtar", func(t *testing.T, s scripter.Script) { s.Play(t, newWorld().commands(), nil) })
}

func (w *world) commands() scripter.Commands {
	c := scripter.Commands{
		"worker": w.addWorker,
		"workers": func(count, perRack, gpus int) {
			for i := range count {
				w.addWorker(fmt.Sprintf("w%02d", i+1), fmt.Sprintf("r%d", i/perRack+1), gpus)
			}
		},
		"wave": func(number, most int, machines ...string) {
			w.knownWaves = append(w.knownWaves, scheduler.Wave{Number: number, Machines: machines, MaxDown: most, Duration: time.Minute})
			w.feed(scheduler.WavesChanged{Waves: w.knownWaves})
		},
		"queue": func(name string, priority, attempts int) {
			w.config.Queues[name] = scheduler.Queue{Service: "s", Priority: priority, MaxAttempts: attempts, Stretch: 3, ObjectiveMS: 1000}
			w.feed(scheduler.ConfigChanged{Config: w.config})
		},
		"queue-of": func(service, name string, priority, attempts int) {
			w.config.Queues[name] = scheduler.Queue{Service: service, Priority: priority, MaxAttempts: attempts, Stretch: 3, ObjectiveMS: 1000}
			w.feed(scheduler.ConfigChanged{Config: w.config})
		},
		"waves-lost": func() { w.wavesLost = true },
		"waves-kept": func() { w.wavesLost = false },
		"worker-of":  w.addWorkerTo,
		"pool": func(name string) {
			w.config.Pools[name] = false
			w.feed(scheduler.ConfigChanged{Config: w.config})
		},
		"standby-pool": func(name string) {
			w.config.Pools[name] = true
			w.feed(scheduler.ConfigChanged{Config: w.config})
		},
		"off":       w.addPoweredOff,
		"fixed":     func(machine string) { w.unmovable[machine] = true },
		"guarantee": func(org string, gpus int) { w.config.Guaranteed[org] = gpus },
		"job":       w.submitJob,
		"hopeless": func(count int, queue, organisation string, words ...string) error {
			for i := range count {
				if err := w.submitJob(fmt.Sprintf("hopeless-%d", i), queue, organisation, words...); err != nil {
					return err
				}
			}
			return nil
		},
		"scheduled": func(times int, delay, interval time.Duration, id, queue, organisation string, words ...string) error {
			w.schedule.times, w.schedule.delay, w.schedule.interval = times, delay, interval
			return w.submitJob(id, queue, organisation, words...)
		},
		"advised-queue": func(name string, valid time.Duration) {
			w.ticketLifetime = valid
			w.config.Queues[name] = scheduler.Queue{
				Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, ObjectiveMS: 1000, Advice: &scheduler.Advice{DecideMS: 50, PeriodMS: 2},
			}
			w.feed(scheduler.ConfigChanged{Config: w.config})
		},
		"advice-fails": func(id string) { w.unadvised = id },
		"allow": func(ids ...string) {
			for _, id := range ids {
				w.allowed[id] = true
			}
		},
		"label": func(id, label string) {
			v := w.workers[id]
			v.info.Labels = append(v.info.Labels, label)
			w.sendList()
		},
		"cancel": func(id string) {
			w.cancelled[id] = true
			w.feed(scheduler.Cancelled{Job: id})
		},
		"lead": w.startLeader,
		"lead-without": func(id string) {
			w.unreadJob = id
			w.startLeader()
		},
		"read-late": func() {
			e := w.jobs[w.unreadJob]
			e.Progress = w.stored[w.unreadJob]
			w.unreadJob = ""
			w.feed(e)
		},
		"save-every": func(d time.Duration) { w.saveInterval = d },
		"release": func() {
			w.releasedEpoch = w.epoch
			w.feed(scheduler.Released{})
		},
		"unsure":     func() { w.renewalsLost = true },
		"sure":       func() { w.renewalsLost = false },
		"cut":        func(id string) { w.unreachable[id] = true },
		"heal":       func(id string) { delete(w.unreachable, id) },
		"deafen":     func(id string) { w.answersLost[id] = true },
		"undeafen":   func(id string) { delete(w.answersLost, id) },
		"fail":       func(id string) { w.workers[id].failing = true },
		"doomed":     func(job string) { w.doomed[job] = true },
		"recover":    func(id string) { w.workers[id].failing = false },
		"store-down": func() { w.storeUp = false },
		"store-up":   func() { w.storeUp = true },
		"drain": func(id string) {
			w.workers[id].info.Draining = true
			w.sendList()
		},
		"drain-for": func(id string, remaining time.Duration) {
			w.workers[id].info.Draining, w.workers[id].info.MinRemaining = true, remaining
			w.sendList()
		},
		"delist": func(id string) {
			w.workers[id].inList = false
			w.sendList()
		},
		"kill": func(id string) {
			v := w.workers[id]
			v.alive = false
			for range v.openHolds {
				w.deliverAfter(worldStep, scheduler.HoldResult{Worker: id, Sent: w.now, Outcome: scheduler.OutcomeUnknown})
			}
			v.openHolds = nil
		},
		"tail": func(id string, milliseconds, perFiller int) {
			w.workers[id].baseTail, w.workers[id].fillerDelay = milliseconds, perFiller
		},
		"deadly":        func(job string, delay time.Duration) { w.deadly[job] = delay },
		"crash":         w.crash,
		"resize":        w.resize,
		"machines-down": func() { w.machinesDown = true },
		"machines-up":   func() { w.machinesDown = false },
		"crash-unseen": func(id string) { // no worker follows at its address
			w.crash(id)
			w.deliveries = slices.DeleteFunc(w.deliveries, func(d delivery) bool { return d.do != nil && d.at.Sub(w.now) >= 3*time.Second })
		},
		"hang":   func(id string) { w.workers[id].stalled = true },
		"unhang": func(id string) { w.workers[id].stalled = false },
		"pause":  func(d time.Duration) { w.pausedUntil = w.now.Add(d) },
		"lapse-unseen": func(id string) {
			w.workers[id].inList, w.workers[id].expiryUnseen = false, true
			w.sendList()
		},
		"relist": func(id string) {
			w.workers[id].inList, w.workers[id].expiryUnseen = true, false
			w.sendList()
		},
		"revive": func(id string) {
			w.restartWorker(id)
			w.sendList()
		},
		"revive-unseen": w.restartWorker,
		"list":          w.sendList,
		"after": func(d time.Duration) error {
			for end := w.now.Add(d); w.now.Before(end); {
				if err := w.advance(); err != nil {
					return err
				}
			}
			return nil
		},
	}
	w.addChecks(c)
	w.addStandingCommands(c)
	w.addEvacuationCommands(c)
	return c
}

func (w *world) addChecks(c scripter.Commands) {
	c["runs"] = func(job string, want int) error {
		if n := w.countRunning(job); n != want {
			return fmt.Errorf("%d tasks are running", n)
		}
		return nil
	}
	c["started"] = func(job string, want int) error {
		if n := w.starts[job]; n != want {
			return fmt.Errorf("%d runs were started", n)
		}
		return nil
	}
	c["counted"] = func(counter string, want int) error {
		if n := w.counters[counter]; n != want {
			return fmt.Errorf("the counter is %d", n)
		}
		return nil
	}
	c["amount"] = func(counter string, least, most int) error {
		if n := w.amounts[counter]; n < least || n > most {
			return fmt.Errorf("the sum is %d", n)
		}
		return nil
	}
	c["logged"] = func(want int, words ...string) error {
		if n := w.logged[strings.Join(words, " ")]; n != want {
			return fmt.Errorf("it was logged %d times", n)
		}
		return nil
	}
	c["logged-at-most"] = func(most int, words ...string) error {
		if n := w.logged[strings.Join(words, " ")]; n > most {
			return fmt.Errorf("it was logged %d times", n)
		}
		return nil
	}
	// "waits JOB CONDITION [FIELD VALUE ...]" checks the last line about a waiting job.
	c["waits"] = func(job, condition string, fields ...string) error {
		d := w.waits[job]
		for i, f := range append([]string{"condition", condition}, fields...) {
			if i%2 == 1 {
				continue
			}
			if got, want := fmt.Sprint(d[f]), append([]string{"condition", condition}, fields...)[i+1]; got != want {
				return fmt.Errorf("field %s is %s in %v", f, got, d)
			}
		}
		return nil
	}
	c["state"] = func(job, want string) error {
		if got := w.stored[job].State; string(got) != want {
			return fmt.Errorf("the stored state is %q", got)
		}
		return nil
	}
	c["records"] = func(job string, want int) error {
		n := 0
		for id := range w.stored {
			if baseJob(id) == job {
				n++
			}
		}
		if n != want {
			return fmt.Errorf("%d records of progress are stored", n)
		}
		return nil
	}
	c["asked"] = func(want int) error {
		if w.adviceCalls != want {
			return fmt.Errorf("advice was requested %d times", w.adviceCalls)
		}
		return nil
	}
	c["paced-at-most"] = func(most int) error {
		if w.paceChanges > most {
			return fmt.Errorf("the pace was changed %d times", w.paceChanges)
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
			return fmt.Errorf("the machines were listed %d times", w.listings)
		}
		return nil
	}
	c["wave-over"] = func(number int) error {
		if !w.waves[number].Completed {
			return fmt.Errorf("the wave is %+v", w.waves[number])
		}
		return nil
	}
	c["most-down"] = func(want int) error {
		if w.maxDown != want {
			return fmt.Errorf("up to %d machines were down at a time", w.maxDown)
		}
		return nil
	}
	c["cut-off"] = func(want int) error {
		if w.cutOffRuns != want {
			return fmt.Errorf("%d runs were cut off by upkeep or a move", w.cutOffRuns)
		}
		return nil
	}
	c["holds-at-most"] = func(most int) error {
		if w.holdCalls > most {
			return fmt.Errorf("%d holds were sent", w.holdCalls)
		}
		return nil
	}
	c["at"] = func(worker string, want int) error {
		if n := len(w.workers[worker].runs); n != want {
			return fmt.Errorf("%d tasks run on the worker", n)
		}
		return nil
	}
	c["unacknowledged"] = func(worker string, want int) error {
		if n := len(w.workers[worker].ends); n != want {
			return fmt.Errorf("%d ends are unacknowledged", n)
		}
		return nil
	}
}

// setAmount applies an option of the form NAME:NUMBER to a step.
func setAmount(s *scheduler.Step, option string) error {
	name, amount, _ := strings.Cut(option, ":")
	n, err := strconv.Atoi(amount)
	if err != nil {
		return fmt.Errorf("unknown option %q", option)
	}
	switch name {
	case "cores":
		s.Need.MilliCores = 1000 * n
	case "memory": // in GB
		s.Need.MemoryMB = 1000 * n
	case "per-worker":
		s.PerWorker = n
	case "may-miss":
		s.MaxUnavailable = n
	default:
		return fmt.Errorf("unknown option %q", option)
	}
	return nil
}

// submitJob submits a job: "job ID QUEUE ORGANISATION TASKS GPUS SECONDS [option
// ...]". The word "/" begins another step, which depends on the previous one.
func (w *world) submitJob(id, queue, organisation string, words ...string) error {
	e := scheduler.Submitted{
		Job:    scheduler.Job{ID: id, Queue: queue, Organisation: organisation, AcceptedMS: w.now.UnixMilli(), QueueConfig: w.config.Queues[queue]},
		Offset: int64(len(w.jobs)),
	}
	w.durations[id] = nil
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
			case "longer": // its tasks take 200 times as long as declared
				n[2] *= 200
			case "rack":
				s.SameRack = true
			case "checkpoints":
				s.Checkpoints = true
			case "apart":
				s.PerWorker = 1
			case "lasts":
				s.LongRunning = true
			case "serves":
				s.LongRunning, s.Serving, s.TargetMS = true, true, tailTargetMS
			case "fills":
				s.Filler = true
			case "copies":
				s.Speculative = true
			case "labelled":
				s.Label = "special"
			case "data-r2":
				s.DataRack = "r2"
			case "fails":
				w.faulty[id] = true
			default:
				if err := setAmount(&s, o); err != nil {
					return err
				}
			}
		}
		e.Job.Steps = append(e.Job.Steps, s)
		w.durations[id] = append(w.durations[id], time.Duration(n[2])*time.Second)
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
