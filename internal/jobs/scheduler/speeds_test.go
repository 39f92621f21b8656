package scheduler_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/jobs/profiler"
	"github.com/lacewingdoor/lacewingdoor/internal/jobs/scheduler"
	"github.com/lacewingdoor/lacewingdoor/placer"
)

func shapeNamed(name string) dayShape {
	all := dayShapes()
	return all[slices.IndexFunc(all, func(v dayShape) bool { return v.name == name })]
}

// playLearning plays a day of 120 workers and returns the reports of their speeds and the
// speeds of the workers of urgent starts after the first 12 seconds.
func playLearning(name string, seed uint64, load float64) ([]scheduler.ReportSpeeds, []float64) {
	const length = 30 * time.Second
	d := newShapedDay(shapeNamed(name), 120, seed)
	d.shape.submit(d, seed, length, load)
	var reports []scheduler.ReportSpeeds
	var speeds []float64
	d.onEffects = func(now time.Duration, _ []scheduler.Event, effects []scheduler.Effect) {
		for _, f := range effects {
			switch f := f.(type) {
			case scheduler.ReportSpeeds:
				reports = append(reports, f)
			case scheduler.Start:
				if now > 12*time.Second && d.jobs[f.Task.Job].class.name == "urgent" {
					speeds = append(speeds, d.shape.speedOf[f.Worker])
				}
			default:
			}
		}
	}
	d.run(length)
	return reports, speeds
}

// Guards against urgent work on slow workers while fast ones are free.
func TestUrgentWorkPrefersFastWorkers(t *testing.T) {
	is := is.New(t)
	reports, speeds := playLearning("slow-zone", 1, 0.5)
	is.True(len(reports) > 0)
	is.Equal(reports[len(reports)-1].Slow, 30)
	is.Equal(reports[len(reports)-1].Fast, 90)
	slow := 0
	for _, v := range speeds {
		if v < 1 {
			slow++
		}
	}
	is.True(len(speeds) > 50)
	is.True(slow*20 < len(speeds))
}

// Guards against preferences among workers that are alike: their decisions stay the same as
// without speeds as long as none is slow.
func TestWorkersThatAreAlikeAreNotToldApart(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		reports, _ := playLearning("alike", seed, 1)
		for _, r := range reports {
			is.Equal(r.Slow, 0)
			is.Equal(r.Fast, 0)
		}
	}
}

// Guards against a new leader that learns the speeds again from nothing.
func TestNewLeaderInheritsSpeeds(t *testing.T) {
	is := is.New(t)
	reports, _ := playLearning("slow-zone", 1, 0.5)
	stored := reports[slices.IndexFunc(reports, func(r scheduler.ReportSpeeds) bool { return r.Store })]
	b, err := json.Marshal(stored.Speeds)
	is.NoErr(err)
	is.True(len(b) < 16<<10)
	speeds, err := profiler.DecodeRecord(b)
	is.NoErr(err)

	v := shapeNamed("slow-zone")
	d := newShapedDay(v, 120, 1)
	d.s.InheritedSpeeds = speeds
	var on []string
	d.onEffects = func(_ time.Duration, _ []scheduler.Event, effects []scheduler.Effect) {
		for _, f := range effects {
			if f, ok := f.(scheduler.Start); ok {
				on = append(on, d.workers[f.Worker].info.Zone)
			}
		}
	}
	need := placer.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 8}
	job := scheduler.Job{
		ID: "a", Queue: "urgent", Organisation: "o", QueueConfig: v.classes[0].queue, AcceptedMS: d.start.Add(time.Second).UnixMilli(),
		Steps: []scheduler.Step{{Tasks: 3, Gang: true, Need: need, EstimateMS: 2000}},
	}
	d.jobs["a"] = &dayJob{job: job, class: &v.classes[0], work: 2 * time.Second, members: map[int64][]*dayRun{}}
	d.post(time.Second, scheduler.Submitted{Job: job})
	d.run(3 * time.Second)
	is.Equal(len(on), 3)
	is.True(!slices.Contains(on, "z0")) // of half speed
}
